//! A quota under kills, cuts, delays and wrong views, explored at random.
//!
//! Callers of one workspace send far more than its quota to every node, all the time. Nodes are
//! killed and started again, cut off in groups, and see other members than there are; messages
//! are late, lost and doubled. What must hold: at no moment do the parts that nodes let requests
//! in by add up to more than the whole, and in no window more requests are let in, over all nodes,
//! than the quota and its bucket allow.

use std::{collections::BTreeMap, time::Duration};

use kumquatquay_core::quota::{Lender, Loan, NodeQuotas, QuotaLimit};
use kumquatquay_wire::routed::SliceSets;
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{at_ms, node};

/// A quota with a small burst: whatever is let in beyond it shows.
const LIMIT: QuotaLimit = QuotaLimit {
    rate_per_s: 40.0,
    depth_count: 8.0,
};

/// Span in which requests are counted.
const WINDOW: Duration = Duration::from_secs(5);

const TICK_MS: u64 = 20;
const ASK_MS: u64 = 200;
const END_MS: u64 = 30_000;

/// Faults that a rule of the shares is there for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A lender forgets to whom it has lent.
    ForgetsLoans,
    /// A keeper counts a loan from the moment at which it hears of it.
    CountsFromTheAnswer,
    /// A node that starts owns its part at once.
    OwnsAtOnce,
}

enum Message {
    Ask {
        keeper: usize,
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
    /// Who it takes for the keeper of each half.
    keepers: [usize; 2],
}

struct Fleet {
    random: StdRng,
    fault: Fault,
    is_calm: bool,
    hosts: Vec<Host>,
    /// What arrives when, at whom; the number tells those of one moment apart.
    messages: BTreeMap<(u64, u64), (usize, Message)>,
    sent_count: u64,
    /// Requests let in, by the tick.
    let_in: Vec<u32>,
    /// The most that the parts of all nodes added up to.
    most_share: f64,
}

impl Fleet {
    fn new(nodes_count: usize, fault: Fault, seed: u64) -> Self {
        let host = |_| Host {
            quotas: started(fault, 0),
            starts_ms: 0,
            group: 0,
            keepers: [0, 1 % nodes_count],
        };
        Self {
            random: StdRng::seed_from_u64(seed),
            fault,
            is_calm: false,
            hosts: (0..nodes_count).map(host).collect(),
            messages: BTreeMap::new(),
            sent_count: 0,
            let_in: Vec::new(),
            most_share: 0.0,
        }
    }

    fn run(mut self) -> Self {
        for now_ms in (0..END_MS).step_by(TICK_MS as usize) {
            self.befall(now_ms);
            self.deliver(now_ms);
            if now_ms % ASK_MS == 0 {
                self.ask(now_ms);
            }
            let let_in = self.press(now_ms);
            self.let_in.push(let_in);
            self.add_up(now_ms);
        }
        self
    }

    fn add_up(&mut self, now_ms: u64) {
        let now = at_ms(now_ms);
        let up = self.hosts.iter_mut();
        let up = up.filter(|host| now_ms >= host.starts_ms);
        let share = up.map(|host| host.quotas.share(now, "north")).sum();
        self.most_share = self.most_share.max(share);
    }

    /// Kills, cuts and changes views now and then.
    fn befall(&mut self, now_ms: u64) {
        let count = self.hosts.len();
        if self.random.random_bool(0.02) {
            let share = self.random.random_range(0.0..1.0);
            let down_ms = self.random.random_range(0..1_500);
            let spares_keepers = self.random.random_bool(0.5);
            for place in 0..count {
                let is_spared = spares_keepers && self.hosts[place].keepers.contains(&place);
                if !is_spared && self.random.random_bool(share) {
                    let starts_ms = now_ms + down_ms;
                    let host = &mut self.hosts[place];
                    host.starts_ms = starts_ms;
                    host.quotas = started(self.fault, starts_ms);
                }
            }
        }
        if self.random.random_bool(0.02) {
            let groups = self.random.random_range(1..4);
            for place in 0..count {
                self.hosts[place].group = self.random.random_range(0..groups);
            }
        }
        if self.random.random_bool(0.05) {
            let first = self.random.random_range(0..count);
            let second = self.random.random_range(0..count);
            for place in 0..count {
                if self.random.random_bool(0.6) {
                    self.hosts[place].keepers = [first, second];
                }
            }
        }
    }

    fn is_up(&self, place: usize, now_ms: u64) -> bool {
        now_ms >= self.hosts[place].starts_ms
    }

    fn send(&mut self, now_ms: u64, to: usize, message: impl Fn() -> Message) {
        let copies = if self.random.random_bool(0.1) { 2 } else { 1 };
        for _ in 0..copies {
            let is_late = !self.is_calm && self.random.random_bool(0.3);
            let most_ms = if is_late { 3_000 } else { 60 };
            let delay_ms = self.random.random_range(0..most_ms);
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
                self.take_in(now_ms, to, message);
            }
        }
    }

    fn take_in(&mut self, now_ms: u64, to: usize, message: Message) {
        let nodes_count = self.hosts.len();
        let now = at_ms(now_ms);
        match message {
            Message::Ask {
                keeper,
                asked,
                wanted,
            } => {
                if self.hosts[to].group != self.hosts[keeper].group {
                    return;
                }
                let quotas = &mut self.hosts[to].quotas;
                let granted = if self.fault == Fault::ForgetsLoans {
                    Lender::new(at_ms(0)).lend(now, node(keeper), wanted)
                } else {
                    quotas.lend(now, node(keeper), wanted, Some(nodes_count))
                };
                let loan = Loan {
                    granted,
                    asked,
                    nodes_count,
                };
                self.send(now_ms, keeper, || Message::Loan { lender: to, loan });
            }
            Message::Loan { lender, mut loan } => {
                if self.fault == Fault::CountsFromTheAnswer {
                    loan.asked = now;
                }
                // A keeper that was started again never asked.
                let asked_before = loan.asked < at_ms(self.hosts[to].starts_ms);
                if !asked_before {
                    self.hosts[to].quotas.on_loan(now, node(lender), loan);
                }
            }
        }
    }

    /// Borrowers ask all others for loans, also those that they don't reach.
    fn ask(&mut self, now_ms: u64) {
        let nodes_count = self.hosts.len();
        let asked = at_ms(now_ms);
        for keeper in 0..nodes_count {
            if !self.is_up(keeper, now_ms) {
                continue;
            }
            let mut wanted = SliceSets::default();
            for half in 0..2 {
                if self.hosts[keeper].keepers[half] == keeper {
                    (0..16).for_each(|slice| wanted.add(half, slice));
                }
            }
            self.hosts[keeper]
                .quotas
                .use_unlent(asked, Some(nodes_count));
            if wanted.is_empty() {
                continue;
            }
            for other in 0..nodes_count {
                self.send(now_ms, other, || Message::Ask {
                    keeper,
                    asked,
                    wanted,
                });
            }
        }
    }

    /// Callers take all that any node has.
    fn press(&mut self, now_ms: u64) -> u32 {
        let now = at_ms(now_ms);
        let mut taken_count = 0;
        for place in 0..self.hosts.len() {
            if !self.is_up(place, now_ms) {
                continue;
            }
            let quotas = &mut self.hosts[place].quotas;
            while quotas.try_take(now, "north", LIMIT).is_ok() {
                taken_count += 1;
            }
        }
        taken_count
    }
}

fn started(fault: Fault, starts_ms: u64) -> NodeQuotas {
    let owns_before = if fault == Fault::OwnsAtOnce { 3_000 } else { 0 };
    NodeQuotas::new(at_ms(starts_ms.saturating_sub(owns_before)))
}

/// The most that was let in within any window.
fn most_in_window(let_in: &[u32]) -> u32 {
    let window_ticks = (WINDOW.as_millis() as u64 / TICK_MS) as usize;
    let windows = let_in.windows(window_ticks);
    windows.map(|window| window.iter().sum()).max().unwrap()
}

/// What a window may hold: a full bucket and what comes in it.
fn allowed() -> f64 {
    LIMIT.rate_per_s * WINDOW.as_secs_f64() + LIMIT.depth_count
}

fn passes(nodes_count: usize, fault: Fault, seed: u64) -> bool {
    let fleet = Fleet::new(nodes_count, fault, seed).run();
    let is_doubled = fleet.most_share > 1.0 + 1e-6;
    is_doubled || f64::from(most_in_window(&fleet.let_in)) > allowed()
}

/// Names each fleet whose nodes together never pass the quota.
macro_rules! never_passed {
    ($($name:ident: $nodes_count:literal, $seeds:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in $seeds {
                assert!(!passes($nodes_count, Fault::None, seed), "seed {seed}");
            }
        }
    )*};
}

never_passed! {
    by_two_nodes: 2, 0..60;
    by_six_nodes: 6, 0..60;
    by_seventy_eight_nodes: 78, 0..8;
    by_a_thousand_nodes: 1_000, 0..1;
}

/// Names each fault of the shares that is found out.
macro_rules! found_out {
    ($($name:ident: $fault:expr;)*) => {$(
        #[test]
        fn $name() {
            assert!((0..20).any(|seed| passes(6, $fault, seed)));
        }
    )*};
}

found_out! {
    a_lender_that_forgets_its_loans: Fault::ForgetsLoans;
    a_keeper_that_counts_from_the_answer: Fault::CountsFromTheAnswer;
    a_node_that_owns_its_part_at_once: Fault::OwnsAtOnce;
}

/// A calm fleet lets in what the quota says, and not less.
#[test]
fn a_calm_fleet_uses_the_whole_quota() {
    let mut fleet = Fleet::new(78, Fault::None, 1);
    fleet.is_calm = true;
    let mut let_in = Vec::new();
    for now_ms in (0..END_MS).step_by(TICK_MS as usize) {
        fleet.deliver(now_ms);
        if now_ms % ASK_MS == 0 {
            fleet.ask(now_ms);
        }
        let_in.push(fleet.press(now_ms));
    }
    let settled = &let_in[let_in.len() / 2..];
    let passed_s = settled.len() as f64 * TICK_MS as f64 / 1_000.0;
    let rate_per_s = f64::from(settled.iter().sum::<u32>()) / passed_s;
    assert!(rate_per_s >= 0.95 * LIMIT.rate_per_s, "{rate_per_s}");
}
