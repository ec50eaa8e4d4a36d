//! Tests that random faults never make the nodes together exceed a quota.
//!
//! Callers of one workspace permanently send far more than its quota to every node. Nodes are
//! killed and restarted, partitioned into groups, and know wrong borrowers; messages are delayed,
//! lost and duplicated. Two properties must hold: the shares of the quota that nodes may use never
//! add up to more than the quota, and within no window do all nodes together admit more requests
//! than the rate and the burst of the quota allow.

use std::{collections::BTreeMap, time::Duration};

use kumquatquay_core::quota::{Lender, Loan, NodeQuotas, QuotaLimit};
use kumquatquay_wire::routed::SliceSets;
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{at_ms, node};

/// A quota with a small burst, so that any excess is noticed.
const LIMIT: QuotaLimit = QuotaLimit {
    rate_per_s: 40.0,
    depth_count: 8.0,
};

/// Length of the windows in which admitted requests are counted.
const WINDOW: Duration = Duration::from_secs(5);

const TICK_MS: u64 = 20;
const ASK_MS: u64 = 200;
const END_MS: u64 = 30_000;

/// Faults in the lending of quotas, each of which the test must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A lender forgets its loans.
    ForgetsLoans,
    /// A borrower counts the duration of a loan from the answer instead of from its request.
    CountsFromTheAnswer,
    /// A node owns its part of the quota as soon as it starts.
    OwnsAtOnce,
}

enum Message {
    Ask {
        borrower: usize,
        asked: Duration,
        wanted: SliceSets,
    },
    Loan {
        lender: usize,
        loan: Loan,
    },
}

struct Host {
    quotas: NodeQuotas,
    starts_ms: u64,
    group: usize,
    /// The borrower of each half, as far as it knows.
    borrowers: [usize; 2],
}

struct Fleet {
    random: StdRng,
    fault: Fault,
    is_without_delays: bool,
    hosts: Vec<Host>,
    /// Messages in transit and their receivers, by time of arrival and order of sending.
    messages: BTreeMap<(u64, u64), (usize, Message)>,
    sent_count: u64,
    /// Number of admitted requests in each tick.
    admitted_counts: Vec<u32>,
    /// Maximum of the sum of the shares of all nodes.
    max_share: f64,
}

impl Fleet {
    fn new(nodes_count: usize, fault: Fault, seed: u64) -> Self {
        let host = |_| Host {
            quotas: start_node(fault, 0),
            starts_ms: 0,
            group: 0,
            borrowers: [0, 1 % nodes_count],
        };
        Self {
            random: StdRng::seed_from_u64(seed),
            fault,
            is_without_delays: false,
            hosts: (0..nodes_count).map(host).collect(),
            messages: BTreeMap::new(),
            sent_count: 0,
            admitted_counts: Vec::new(),
            max_share: 0.0,
        }
    }

    fn run(mut self) -> Self {
        for now_ms in (0..END_MS).step_by(TICK_MS as usize) {
            self.inject_faults(now_ms);
            self.deliver(now_ms);
            if now_ms % ASK_MS == 0 {
                self.ask(now_ms);
            }
            let admitted_count = self.take_all_tokens(now_ms);
            self.admitted_counts.push(admitted_count);
            self.record_share(now_ms);
        }
        self
    }

    fn record_share(&mut self, now_ms: u64) {
        let now = at_ms(now_ms);
        let up = self.hosts.iter_mut();
        let up = up.filter(|host| now_ms >= host.starts_ms);
        let share = up.map(|host| host.quotas.share(now, "north")).sum();
        self.max_share = self.max_share.max(share);
    }

    /// Occasionally kills nodes, partitions the fleet, or changes which borrowers nodes know.
    fn inject_faults(&mut self, now_ms: u64) {
        let count = self.hosts.len();
        if self.random.random_bool(0.02) {
            let share = self.random.random_range(0.0..1.0);
            let down_ms = self.random.random_range(0..1_500);
            let spares_borrowers = self.random.random_bool(0.5);
            for index in 0..count {
                let is_spared = spares_borrowers && self.hosts[index].borrowers.contains(&index);
                if !is_spared && self.random.random_bool(share) {
                    let starts_ms = now_ms + down_ms;
                    let host = &mut self.hosts[index];
                    host.starts_ms = starts_ms;
                    host.quotas = start_node(self.fault, starts_ms);
                }
            }
        }
        if self.random.random_bool(0.02) {
            let groups = self.random.random_range(1..4);
            for index in 0..count {
                self.hosts[index].group = self.random.random_range(0..groups);
            }
        }
        if self.random.random_bool(0.05) {
            let first = self.random.random_range(0..count);
            let second = self.random.random_range(0..count);
            for index in 0..count {
                if self.random.random_bool(0.6) {
                    self.hosts[index].borrowers = [first, second];
                }
            }
        }
    }

    fn is_up(&self, index: usize, now_ms: u64) -> bool {
        now_ms >= self.hosts[index].starts_ms
    }

    fn send(&mut self, now_ms: u64, to: usize, message: impl Fn() -> Message) {
        let copies = if self.random.random_bool(0.1) { 2 } else { 1 };
        for _ in 0..copies {
            let is_late = !self.is_without_delays && self.random.random_bool(0.3);
            let max_ms = if is_late { 3_000 } else { 60 };
            let delay_ms = self.random.random_range(0..max_ms);
            self.sent_count += 1;
            let key = (now_ms + delay_ms, self.sent_count);
            self.messages.insert(key, (to, message()));
        }
    }

    fn deliver(&mut self, now_ms: u64) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > now_ms {
                return;
            }
            let (to, message) = entry.remove();
            if self.is_up(to, now_ms) {
                self.receive(now_ms, to, message);
            }
        }
    }

    fn receive(&mut self, now_ms: u64, to: usize, message: Message) {
        let nodes_count = self.hosts.len();
        let now = at_ms(now_ms);
        match message {
            Message::Ask {
                borrower,
                asked,
                wanted,
            } => {
                if self.hosts[to].group != self.hosts[borrower].group {
                    return;
                }
                let quotas = &mut self.hosts[to].quotas;
                let granted = if self.fault == Fault::ForgetsLoans {
                    Lender::new(at_ms(0)).lend(now, node(borrower), wanted)
                } else {
                    quotas.lend(now, node(borrower), wanted, Some(nodes_count))
                };
                let loan = Loan {
                    granted,
                    asked,
                    nodes_count,
                };
                self.send(now_ms, borrower, || Message::Loan { lender: to, loan });
            }
            Message::Loan { lender, mut loan } => {
                if self.fault == Fault::CountsFromTheAnswer {
                    loan.asked = now;
                }
                // The answer is for the process before the restart.
                let asked_before = loan.asked < at_ms(self.hosts[to].starts_ms);
                if !asked_before {
                    self.hosts[to].quotas.on_loan(now, node(lender), loan);
                }
            }
        }
    }

    /// Lets borrowers ask all nodes for loans, even those that they can't reach.
    fn ask(&mut self, now_ms: u64) {
        let nodes_count = self.hosts.len();
        let asked = at_ms(now_ms);
        for borrower in 0..nodes_count {
            if !self.is_up(borrower, now_ms) {
                continue;
            }
            let mut wanted = SliceSets::default();
            for half in 0..2 {
                if self.hosts[borrower].borrowers[half] == borrower {
                    (0..16).for_each(|slice| wanted.add(half, slice));
                }
            }
            self.hosts[borrower]
                .quotas
                .use_unlent(asked, Some(nodes_count));
            if wanted.is_empty() {
                continue;
            }
            for other in 0..nodes_count {
                self.send(now_ms, other, || Message::Ask {
                    borrower,
                    asked,
                    wanted,
                });
            }
        }
    }

    /// Takes all tokens that all nodes have. Returns their number.
    fn take_all_tokens(&mut self, now_ms: u64) -> u32 {
        let now = at_ms(now_ms);
        let mut taken_count = 0;
        for index in 0..self.hosts.len() {
            if !self.is_up(index, now_ms) {
                continue;
            }
            let quotas = &mut self.hosts[index].quotas;
            while quotas.try_take(now, "north", LIMIT).is_ok() {
                taken_count += 1;
            }
        }
        taken_count
    }
}

fn start_node(fault: Fault, starts_ms: u64) -> NodeQuotas {
    let owns_before = if fault == Fault::OwnsAtOnce { 3_000 } else { 0 };
    NodeQuotas::new(at_ms(starts_ms.saturating_sub(owns_before)))
}

/// Maximum number of requests that were admitted within one window.
fn max_in_window(admitted_counts: &[u32]) -> u32 {
    let window_ticks = (WINDOW.as_millis() as u64 / TICK_MS) as usize;
    let windows = admitted_counts.windows(window_ticks);
    windows.map(|window| window.iter().sum()).max().unwrap()
}

/// Requests that may be admitted within one window: a full bucket, and the tokens that are added.
fn max_allowed() -> f64 {
    LIMIT.rate_per_s * WINDOW.as_secs_f64() + LIMIT.depth_count
}

fn exceeds_quota(nodes_count: usize, fault: Fault, seed: u64) -> bool {
    let fleet = Fleet::new(nodes_count, fault, seed).run();
    let is_share_exceeded = fleet.max_share > 1.0 + 1e-6;
    is_share_exceeded || f64::from(max_in_window(&fleet.admitted_counts)) > max_allowed()
}

/// Defines a test for each fleet: its nodes together never exceed the quota.
macro_rules! never_exceeds_quota {
    ($($name:ident: $nodes_count:literal, $seeds:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in $seeds {
                assert!(!exceeds_quota($nodes_count, Fault::None, seed), "seed {seed}");
            }
        }
    )*};
}

never_exceeds_quota! {
    by_two_nodes: 2, 0..60;
    by_six_nodes: 6, 0..60;
    by_seventy_eight_nodes: 78, 0..8;
    by_a_thousand_nodes: 1_000, 0..1;
}

/// Defines a test for each fault in the lending of quotas: some seed shows it.
macro_rules! is_detected {
    ($($name:ident: $fault:expr;)*) => {$(
        #[test]
        fn $name() {
            assert!((0..20).any(|seed| exceeds_quota(6, $fault, seed)));
        }
    )*};
}

is_detected! {
    a_lender_that_forgets_its_loans: Fault::ForgetsLoans;
    a_borrower_that_counts_from_the_answer: Fault::CountsFromTheAnswer;
    a_node_that_owns_its_part_at_once: Fault::OwnsAtOnce;
}

/// Without kills, partitions and long delays, the fleet admits at least 95 % of the quota.
#[test]
fn a_fleet_without_faults_uses_the_whole_quota() {
    let mut fleet = Fleet::new(78, Fault::None, 1);
    fleet.is_without_delays = true;
    let mut admitted_counts = Vec::new();
    for now_ms in (0..END_MS).step_by(TICK_MS as usize) {
        fleet.deliver(now_ms);
        if now_ms % ASK_MS == 0 {
            fleet.ask(now_ms);
        }
        admitted_counts.push(fleet.take_all_tokens(now_ms));
    }
    let settled = &admitted_counts[admitted_counts.len() / 2..];
    let passed_s = settled.len() as f64 * TICK_MS as f64 / 1_000.0;
    let rate_per_s = f64::from(settled.iter().sum::<u32>()) / passed_s;
    assert!(rate_per_s >= 0.95 * LIMIT.rate_per_s, "{rate_per_s}");
}
