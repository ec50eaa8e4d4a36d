//! Tests of the discovery of other nodes through the register of nodes in the store.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use kumquatquay_core::routed::{
    RegisterBootstrap, RegisterPageSummary, RegisterPosition, RegisterStep, register_position,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::at_ms;

/// Entries on a page of the store.
const PAGE_ENTRIES_COUNT: usize = 50;

/// Duration of a call to the store, and time over which the starts of all nodes are spread.
const CALL_MS: u64 = 4;
const STARTS_MS: u64 = 300;

/// Entries a second that all nodes together may write again. The store handles 2,000 calls a second
/// of them, and they read it again at the same time.
const ENTRIES_PER_S: usize = 700;

/// Time after a restore of the store from a backup within which all nodes learn of it.
const LEARN_MS: u64 = 1_000;

fn address(host: usize) -> SocketAddr {
    let host = host as u16;
    let [high, low] = host.to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_000))
}

/// A call to the store that is in progress.
#[derive(Clone, Copy, Debug)]
struct Call {
    step: RegisterStep,
    done: Duration,
}

struct Host {
    bootstrap: RegisterBootstrap,
    call: Option<Call>,
    wakes_at: Duration,
    /// When it learns of a restore of the store.
    learns_at: Option<Duration>,
}

/// A restore of the store from a backup.
#[derive(Clone, Copy, Debug)]
struct Restore {
    at: Duration,
    /// When the backup was made.
    backup_at: Duration,
}

/// Hosts that start together, and the register in the store.
struct Fleet {
    hosts: Vec<Host>,
    register: BTreeMap<(RegisterPosition, SocketAddr), usize>,
    /// Groups of hosts that were introduced to each other, as a union-find forest.
    parents: Vec<usize>,
    peers_counts: Vec<usize>,
    calls_count: usize,
    /// When calls started.
    calls: Vec<Duration>,
    /// Restores of the store, and the backups that were made.
    restores: Vec<Restore>,
    backups: BTreeMap<Duration, BTreeMap<(RegisterPosition, SocketAddr), usize>>,
    /// One answer of so many is lost, although the store has executed the call.
    lost_one_of: Option<u32>,
    random: StdRng,
}

impl Fleet {
    fn new(hosts_count: usize, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let hosts = (0..hosts_count).map(|host| {
            let starts_at = at_ms(random.random_range(0..STARTS_MS));
            Host {
                bootstrap: RegisterBootstrap::new(
                    starts_at,
                    address(host),
                    seed * 10_000 + host as u64,
                ),
                call: None,
                wakes_at: starts_at,
                learns_at: None,
            }
        });
        Self {
            hosts: hosts.collect(),
            register: BTreeMap::new(),
            parents: (0..hosts_count).collect(),
            peers_counts: vec![0; hosts_count],
            calls_count: 0,
            calls: Vec::new(),
            restores: Vec::new(),
            backups: BTreeMap::new(),
            lost_one_of: None,
            random,
        }
    }

    fn run(&mut self, until: Duration) {
        self.run_between(Duration::ZERO, until);
    }

    fn run_between(&mut self, from: Duration, until: Duration) {
        let mut now = from;
        while now < until {
            self.back_up_and_restore(now);
            for host in 0..self.hosts.len() {
                self.advance(now, host);
            }
            now += at_ms(1);
        }
    }

    fn back_up_and_restore(&mut self, now: Duration) {
        if self.restores.iter().any(|restore| restore.backup_at == now) {
            self.backups.insert(now, self.register.clone());
        }
        let Some(restore) = self.restores.iter().find(|restore| restore.at == now) else {
            return;
        };
        self.register = self.backups[&restore.backup_at].clone();
        for host in &mut self.hosts {
            let learns_at = now + at_ms(self.random.random_range(1..LEARN_MS));
            host.learns_at = Some(
                host.learns_at
                    .map_or(learns_at, |earlier| earlier.min(learns_at)),
            );
        }
    }

    /// Maximum number of calls that started within one second.
    fn max_calls_per_s(&self) -> usize {
        let calls_in_second = |first: &Duration| {
            let later_calls = self.calls.iter().skip_while(|call| *call < first);
            later_calls
                .take_while(|call| **call < *first + at_ms(1_000))
                .count()
        };
        let firsts = self.calls.iter().step_by(50);
        firsts.map(calls_in_second).max().unwrap_or_default()
    }

    fn advance(&mut self, now: Duration, host: usize) {
        if self.hosts[host]
            .learns_at
            .take_if(|learns_at| *learns_at <= now)
            .is_some()
        {
            let hosts_count = self.hosts.len();
            self.hosts[host]
                .bootstrap
                .on_store_restored(now, hosts_count);
            self.hosts[host].wakes_at = now;
        }
        if let Some(call) = self.hosts[host].call.take_if(|call| call.done <= now) {
            self.end_call(now, host, call.step);
        }
        while self.hosts[host].call.is_none() && self.hosts[host].wakes_at <= now {
            let peers_count = self.peers_counts[host];
            let step = self.hosts[host].bootstrap.step(now, peers_count);
            match step {
                RegisterStep::Wait { until } => self.hosts[host].wakes_at = until,
                RegisterStep::Done => self.hosts[host].wakes_at = Duration::MAX,
                RegisterStep::Enter | RegisterStep::ReadPage { .. } => {
                    self.calls_count += 1;
                    self.calls.push(now);
                    let done = now + at_ms(CALL_MS);
                    self.hosts[host].call = Some(Call { step, done });
                }
            }
        }
    }

    fn end_call(&mut self, now: Duration, host: usize, step: RegisterStep) {
        if step == RegisterStep::Enter {
            let key = (register_position(address(host)), address(host));
            self.register.insert(key, host);
        }
        let is_lost = self
            .lost_one_of
            .is_some_and(|one_of| self.random.random_ratio(1, one_of));
        if is_lost {
            self.hosts[host].bootstrap.on_failure(now);
            return;
        }
        match step {
            RegisterStep::Enter => self.hosts[host].bootstrap.on_entered(now),
            RegisterStep::ReadPage { from: position } => self.read_page(now, host, position),
            RegisterStep::Wait { .. } | RegisterStep::Done => {}
        }
    }

    fn read_page(&mut self, now: Duration, host: usize, position: RegisterPosition) {
        let first = (position, SocketAddr::from(([0, 0, 0, 0], 0)));
        let entries = self.register.range(first..);
        let is_last = entries.clone().count() <= PAGE_ENTRIES_COUNT;
        let page: Vec<(RegisterPosition, usize)> = entries
            .take(PAGE_ENTRIES_COUNT)
            .map(|((position, _), found)| (*position, *found))
            .collect();
        let others = page.iter().filter(|(_, found)| *found != host);
        let page_summary = RegisterPageSummary {
            from: position,
            last_position: page.last().map(|(position, _)| *position),
            others_count: others.clone().count(),
            is_last,
        };
        for (_, found) in others {
            // Other entries are those of hosts that no longer exist.
            if *found < self.hosts.len() {
                self.introduce(host, *found);
            }
        }
        self.hosts[host].bootstrap.on_page(now, page_summary);
    }

    fn introduce(&mut self, host: usize, other: usize) {
        self.peers_counts[host] += 1;
        self.peers_counts[other] += 1;
        let (a, b) = (self.group_root(host), self.group_root(other));
        self.parents[a] = b;
    }

    /// Root of a host's group: the hosts that are connected, directly or through others.
    fn group_root(&self, host: usize) -> usize {
        let mut group_root = host;
        while self.parents[group_root] != group_root {
            group_root = self.parents[group_root];
        }
        group_root
    }

    fn groups_count(&self) -> usize {
        let hosts = 0..self.hosts.len();
        hosts.filter(|host| self.parents[*host] == *host).count()
    }
}

/// Defines a test for each number of hosts that start within 0.3 s.
macro_rules! all_are_connected {
    ($($name:ident: $hosts_count:literal hosts, $seeds_count:literal seeds;)*) => {$(
        /// All hosts start at the same time, with an empty register. Of any two, the one that reads
        /// later finds the other, or a host before it. A start takes three calls at most.
        #[test]
        fn $name() {
            for seed in 0..$seeds_count {
                let mut fleet = Fleet::new($hosts_count, seed);
                fleet.run(at_ms(1_000));
                assert_eq!(fleet.groups_count(), 1, "seed {seed}");
                assert!(fleet.calls_count <= 3 * $hosts_count, "{}", fleet.calls_count);
            }
        }
    )*};
}

all_are_connected! {
    three_are_connected: 3 hosts, 50 seeds;
    sixteen_are_connected: 16 hosts, 50 seeds;
    ninety_five_are_connected: 95 hosts, 20 seeds;
    a_thousand_are_connected: 1_000 hosts, 3 seeds;
    five_thousand_are_connected: 5_100 hosts, 1 seeds;
}

/// One answer of three is lost, although the call was executed. Nodes retry after random pauses,
/// and all are connected in the end.
#[test]
fn lost_answers_leave_no_node_unconnected() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(95, seed);
        fleet.lost_one_of = Some(3);
        fleet.run(at_ms(20_000));
        assert_eq!(fleet.groups_count(), 1, "seed {seed}");
    }
}

/// A host restarts; its entry and those of the others are in the register. The number of calls
/// doesn't depend on the size of the fleet.
#[test]
fn a_restart_takes_three_calls_at_any_size() {
    for hosts_count in [16, 95, 1_000, 5_100] {
        for seed in 0..10 {
            let mut fleet = Fleet::new(1, seed);
            for other in 0..hosts_count {
                let key = (register_position(address(other)), address(other));
                fleet.register.insert(key, other);
            }
            fleet.peers_counts[0] = 1;
            fleet.run(at_ms(5_000));
            assert!(
                fleet.calls_count <= 3,
                "{hosts_count}: {}",
                fleet.calls_count
            );
        }
    }
}

/// All entries that a node finds are of hosts that no longer exist, so none answers. The node reads
/// other pages, after pauses that double, and doesn't give up.
#[test]
fn a_node_without_answers_reads_other_pages() {
    let mut fleet = Fleet::new(1, 1);
    for other in 1..400 {
        let key = (register_position(address(other)), address(other));
        fleet.register.insert(key, other);
    }
    fleet.run(at_ms(60_000));
    assert!(
        (5..=20).contains(&fleet.calls_count),
        "{}",
        fleet.calls_count
    );
}

/// The number of nodes is estimated from one page of the register: it is between 0.66 and 1.5 times
/// the true number.
#[test]
fn the_number_of_nodes_is_estimated_from_a_page() {
    for hosts_count in [1_000, 5_100] {
        let mut positions: Vec<RegisterPosition> = (0..hosts_count)
            .map(|host| register_position(address(host)))
            .collect();
        positions.sort_unstable();
        let page_summary = RegisterPageSummary {
            from: positions[100],
            last_position: Some(positions[100 + PAGE_ENTRIES_COUNT - 1]),
            others_count: PAGE_ENTRIES_COUNT - 1,
            is_last: false,
        };
        let ratio = page_summary.estimate_count() as f64 / hosts_count as f64;
        assert!((0.66..=1.5).contains(&ratio), "{hosts_count}: {ratio}");
    }
}

/// A fleet whose store is restored from backups. Each pair is the time of a restore and that of its
/// backup, in milliseconds.
fn fleet_with_restores(hosts_count: usize, seed: u64, restores: &[(u64, u64)]) -> Fleet {
    let mut fleet = Fleet::new(hosts_count, seed);
    let restores = restores.iter().map(|(at, backup_at)| Restore {
        at: at_ms(*at),
        backup_at: at_ms(*backup_at),
    });
    fleet.restores = restores.collect();
    fleet
}

/// Defines a test for each fleet that starts while the store loses entries by a restore. Nodes that
/// write their entries before and after it don't find each other in the register, but all must be
/// connected in the end.
macro_rules! all_are_connected_despite_restores {
    ($($name:ident: $hosts_count:literal hosts, $seeds_count:literal seeds, $restores:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..$seeds_count {
                let mut fleet = fleet_with_restores($hosts_count, seed, &$restores);
                fleet.run(at_ms(16_000));
                assert_eq!(fleet.groups_count(), 1, "seed {seed}");
                assert_eq!(fleet.register.len(), $hosts_count, "seed {seed}");
            }
        }
    )*};
}

all_are_connected_despite_restores! {
    two_that_start_before_and_after_a_restore: 2 hosts, 50 seeds, [(150, 0)];
    sixteen_while_the_store_is_restored: 16 hosts, 50 seeds, [(150, 0)];
    sixteen_while_it_is_restored_repeatedly: 16 hosts, 50 seeds, [(100, 0), (200, 50), (700, 150)];
    ninety_five_while_the_store_is_restored: 95 hosts, 20 seeds, [(150, 0)];
    a_thousand_long_after_the_start: 1_000 hosts, 1 seeds, [(4_000, 100)];
}

/// All 5,100 nodes learn within a second that their entries may be lost. If they wrote them again
/// at once, the store couldn't handle the calls.
#[test]
fn five_thousand_write_their_entries_again_as_fast_as_the_store_allows() {
    let mut fleet = fleet_with_restores(5_100, 1, &[(4_000, 10), (7_000, 4_000)]);
    fleet.run(at_ms(2_000));
    let at_start = fleet.calls.len();
    fleet.peers_counts.fill(5_099);
    fleet.run_between(at_ms(2_000), at_ms(22_000));
    fleet.calls.drain(..at_start);
    assert_eq!(fleet.register.len(), 5_100);
    let max_per_s = fleet.max_calls_per_s();
    assert!(max_per_s <= ENTRIES_PER_S, "{max_per_s}");
}

/// The store accepts an entry, and is restored without it before the node gets the answer.
#[test]
fn an_entry_that_was_lost_before_its_answer_came_is_written_again() {
    let mut bootstrap = RegisterBootstrap::new(Duration::ZERO, address(1), 1);
    assert_eq!(bootstrap.step(at_ms(0), 0), RegisterStep::Enter);
    bootstrap.on_store_restored(at_ms(3), 1);
    bootstrap.on_entered(at_ms(4));
    let RegisterStep::Wait { until } = bootstrap.step(at_ms(5), 0) else {
        panic!("{bootstrap:?}");
    };
    assert_eq!(bootstrap.step(until, 0), RegisterStep::Enter);
    bootstrap.on_entered(until);
    assert!(matches!(
        bootstrap.step(until, 0),
        RegisterStep::ReadPage { .. }
    ));
}

/// A page that was requested before the restore says nothing about the register as it is now.
#[test]
fn a_page_from_before_a_restore_is_ignored() {
    let mut bootstrap = RegisterBootstrap::new(Duration::ZERO, address(1), 1);
    bootstrap.step(at_ms(0), 0);
    bootstrap.on_entered(at_ms(4));
    bootstrap.on_store_restored(at_ms(5), 1);
    let page = RegisterPageSummary {
        from: register_position(address(1)),
        last_position: None,
        others_count: 40,
        is_last: false,
    };
    bootstrap.on_page(at_ms(6), page);
    let again = bootstrap.step(at_ms(2_000), 40);
    assert_eq!(again, RegisterStep::Enter);
}

/// Restores are more frequent than entries are written again. None of them may postpone an entry
/// that is due.
#[test]
fn frequent_restores_do_not_prevent_entries() {
    let mut bootstrap = RegisterBootstrap::new(Duration::ZERO, address(1), 1);
    bootstrap.step(at_ms(0), 0);
    bootstrap.on_entered(at_ms(4));
    let mut entries_count = 0;
    for ms in (10..60_000).step_by(10) {
        bootstrap.on_store_restored(at_ms(ms), 5_100);
        if bootstrap.step(at_ms(ms), 5_099) == RegisterStep::Enter {
            entries_count += 1;
            bootstrap.on_entered(at_ms(ms));
        }
    }
    assert!((5..=30).contains(&entries_count), "{entries_count}");
}
