//! How nodes that start find each other by the register.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use kumquatquay_core::routed::{
    RegisterBootstrap, RegisterPageSummary, RegisterPosition, RegisterStep, register_position,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::at_ms;

/// Entries on a page of the store.
const PAGE_COUNT: usize = 50;

/// Time of a call at the store, and the most by which starts of one moment lie apart.
const CALL_MS: u64 = 4;
const STARTS_MS: u64 = 300;

/// Entries that all nodes together make again in a second, at the most: the store takes 2,000 calls
/// a second of them, and they read it anew meanwhile.
const ENTRIES_PER_S: usize = 700;

/// The longest time after the store's return from a copy in which nodes learn of it.
const LEARN_MS: u64 = 1_000;

fn address(host: usize) -> SocketAddr {
    let host = host as u16;
    let [high, low] = host.to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_000))
}

/// A call at the store that is under way.
#[derive(Clone, Copy, Debug)]
struct Call {
    step: RegisterStep,
    done: Duration,
}

struct Host {
    course: RegisterBootstrap,
    call: Option<Call>,
    wakes: Duration,
    /// When it learns of a return of the store.
    learns: Option<Duration>,
}

/// The store comes back from a copy.
#[derive(Clone, Copy, Debug)]
struct Return {
    at: Duration,
    /// Moment of the copy.
    copied: Duration,
}

/// Hosts that start together, and the register in the store.
struct Fleet {
    hosts: Vec<Host>,
    register: BTreeMap<(RegisterPosition, SocketAddr), usize>,
    /// Who was introduced to whom; both know each other then.
    joined: Vec<usize>,
    peers_counts: Vec<usize>,
    calls_count: usize,
    /// When calls began.
    calls: Vec<Duration>,
    /// Returns of the store to come, and the copies that were made.
    returns: Vec<Return>,
    copies: BTreeMap<Duration, BTreeMap<(RegisterPosition, SocketAddr), usize>>,
    /// One call of so many gets no answer, and is done all the same.
    lost_one_of: Option<u32>,
    random: StdRng,
}

impl Fleet {
    fn new(hosts_count: usize, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let hosts = (0..hosts_count).map(|host| {
            let starts = at_ms(random.random_range(0..STARTS_MS));
            Host {
                course: RegisterBootstrap::new(starts, address(host), seed * 10_000 + host as u64),
                call: None,
                wakes: starts,
                learns: None,
            }
        });
        Self {
            hosts: hosts.collect(),
            register: BTreeMap::new(),
            joined: (0..hosts_count).collect(),
            peers_counts: vec![0; hosts_count],
            calls_count: 0,
            calls: Vec::new(),
            returns: Vec::new(),
            copies: BTreeMap::new(),
            lost_one_of: None,
            random,
        }
    }

    fn run(&mut self, until: Duration) {
        self.run_on(Duration::ZERO, until);
    }

    fn run_on(&mut self, from: Duration, until: Duration) {
        let mut now = from;
        while now < until {
            self.copy_and_return(now);
            for host in 0..self.hosts.len() {
                self.act(now, host);
            }
            now += at_ms(1);
        }
    }

    fn copy_and_return(&mut self, now: Duration) {
        if self.returns.iter().any(|to_come| to_come.copied == now) {
            self.copies.insert(now, self.register.clone());
        }
        let Some(returned) = self.returns.iter().find(|to_come| to_come.at == now) else {
            return;
        };
        self.register = self.copies[&returned.copied].clone();
        for host in &mut self.hosts {
            let learns = now + at_ms(self.random.random_range(1..LEARN_MS));
            host.learns = Some(host.learns.map_or(learns, |known| known.min(learns)));
        }
    }

    /// The most calls that began in one second.
    fn most_calls_per_s(&self) -> usize {
        let of_a_second = |first: &Duration| {
            let begun = self.calls.iter().skip_while(|call| *call < first);
            begun
                .take_while(|call| **call < *first + at_ms(1_000))
                .count()
        };
        let firsts = self.calls.iter().step_by(50);
        firsts.map(of_a_second).max().unwrap_or_default()
    }

    fn act(&mut self, now: Duration, host: usize) {
        if self.hosts[host]
            .learns
            .take_if(|learns| *learns <= now)
            .is_some()
        {
            let hosts_count = self.hosts.len();
            self.hosts[host].course.on_store_restored(now, hosts_count);
            self.hosts[host].wakes = now;
        }
        if let Some(call) = self.hosts[host].call.take_if(|call| call.done <= now) {
            self.end_call(now, host, call.step);
        }
        while self.hosts[host].call.is_none() && self.hosts[host].wakes <= now {
            let peers_count = self.peers_counts[host];
            let step = self.hosts[host].course.step(now, peers_count);
            match step {
                RegisterStep::Wait { until } => self.hosts[host].wakes = until,
                RegisterStep::Done => self.hosts[host].wakes = Duration::MAX,
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
            self.hosts[host].course.on_failure(now);
            return;
        }
        match step {
            RegisterStep::Enter => self.hosts[host].course.on_entered(now),
            RegisterStep::ReadPage { from: place } => self.look(now, host, place),
            RegisterStep::Wait { .. } | RegisterStep::Done => {}
        }
    }

    fn look(&mut self, now: Duration, host: usize, place: RegisterPosition) {
        let first = (place, SocketAddr::from(([0, 0, 0, 0], 0)));
        let behind = self.register.range(first..);
        let is_last = behind.clone().count() <= PAGE_COUNT;
        let page: Vec<(RegisterPosition, usize)> = behind
            .take(PAGE_COUNT)
            .map(|((place, _), found)| (*place, *found))
            .collect();
        let others = page.iter().filter(|(_, found)| *found != host);
        let look = RegisterPageSummary {
            from: place,
            last_position: page.last().map(|(place, _)| *place),
            others_count: others.clone().count(),
            is_last,
        };
        for (_, found) in others {
            // Entries of hosts that are gone for good stand for nobody here.
            if *found < self.hosts.len() {
                self.introduce(host, *found);
            }
        }
        self.hosts[host].course.on_page(now, look);
    }

    fn introduce(&mut self, host: usize, other: usize) {
        self.peers_counts[host] += 1;
        self.peers_counts[other] += 1;
        let (a, b) = (self.group(host), self.group(other));
        self.joined[a] = b;
    }

    /// The group of nodes that know each other by way of others.
    fn group(&self, host: usize) -> usize {
        let mut group = host;
        while self.joined[group] != group {
            group = self.joined[group];
        }
        group
    }

    fn groups_count(&self) -> usize {
        let hosts = 0..self.hosts.len();
        hosts.filter(|host| self.joined[*host] == *host).count()
    }
}

/// Names each size at which all hosts that start within 0.3 s find together.
macro_rules! all_find_together {
    ($($name:ident: $hosts_count:literal hosts, $seeds_count:literal seeds;)*) => {$(
        /// All start at once and the register is empty: of any two the one that reads later
        /// finds the other, or somebody before it. A start costs three calls at the most.
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

all_find_together! {
    three_find_together: 3 hosts, 50 seeds;
    sixteen_find_together: 16 hosts, 50 seeds;
    ninety_five_find_together: 95 hosts, 20 seeds;
    a_thousand_find_together: 1_000 hosts, 3 seeds;
    five_thousand_find_together: 5_100 hosts, 1 seeds;
}

/// One call of three gets no answer, and may have been done. Nodes ask again in random
/// pauses, and all find together.
#[test]
fn lost_answers_keep_nobody_apart() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(95, seed);
        fleet.lost_one_of = Some(3);
        fleet.run(at_ms(20_000));
        assert_eq!(fleet.groups_count(), 1, "seed {seed}");
    }
}

/// A host starts again: its entry stands, and those of the others. The price is the same
/// whatever the size of the fleet.
#[test]
fn a_restart_costs_three_calls_at_any_size() {
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

/// All that it finds are entries of hosts that are gone for good: nobody answers. It looks
/// elsewhere, in pauses that double, and doesn't give up.
#[test]
fn a_node_whom_nobody_answers_looks_again() {
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

/// The size of the register is told from one page of it, within a third.
#[test]
fn a_page_tells_how_many_nodes_there_are() {
    for hosts_count in [1_000, 5_100] {
        let mut places: Vec<RegisterPosition> = (0..hosts_count)
            .map(|host| register_position(address(host)))
            .collect();
        places.sort_unstable();
        let look = RegisterPageSummary {
            from: places[100],
            last_position: Some(places[100 + PAGE_COUNT - 1]),
            others_count: PAGE_COUNT - 1,
            is_last: false,
        };
        let told = look.estimate_count() as f64 / hosts_count as f64;
        assert!((0.66..=1.5).contains(&told), "{hosts_count}: {told}");
    }
}

/// A fleet whose store comes back, at each of these moments, from a copy of some time before.
fn fleet_with_returns(hosts_count: usize, seed: u64, returns: &[(u64, u64)]) -> Fleet {
    let mut fleet = Fleet::new(hosts_count, seed);
    let returns = returns.iter().map(|(at, copied)| Return {
        at: at_ms(*at),
        copied: at_ms(*copied),
    });
    fleet.returns = returns.collect();
    fleet
}

/// Names each fleet that starts while the store loses entries: nodes on either side of a return
/// know nothing of each other by the register, and find together all the same.
macro_rules! all_find_together_beside_returns {
    ($($name:ident: $hosts_count:literal hosts, $seeds_count:literal seeds, $returns:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..$seeds_count {
                let mut fleet = fleet_with_returns($hosts_count, seed, &$returns);
                fleet.run(at_ms(16_000));
                assert_eq!(fleet.groups_count(), 1, "seed {seed}");
                assert_eq!(fleet.register.len(), $hosts_count, "seed {seed}");
            }
        }
    )*};
}

all_find_together_beside_returns! {
    two_on_either_side_of_a_return: 2 hosts, 50 seeds, [(150, 0)];
    sixteen_while_the_store_returns: 16 hosts, 50 seeds, [(150, 0)];
    sixteen_while_it_returns_again_and_again: 16 hosts, 50 seeds, [(100, 0), (200, 50), (700, 150)];
    ninety_five_while_the_store_returns: 95 hosts, 20 seeds, [(150, 0)];
    a_thousand_long_after_the_start: 1_000 hosts, 1 seeds, [(4_000, 100)];
}

/// All 5,100 nodes learn within a second that their entries may be lost.
#[test]
fn five_thousand_enter_themselves_again_within_what_the_store_takes() {
    let mut fleet = fleet_with_returns(5_100, 1, &[(4_000, 10), (7_000, 4_000)]);
    fleet.run(at_ms(2_000));
    let at_start = fleet.calls.len();
    fleet.peers_counts.fill(5_099);
    fleet.run_on(at_ms(2_000), at_ms(22_000));
    fleet.calls.drain(..at_start);
    assert_eq!(fleet.register.len(), 5_100);
    let most = fleet.most_calls_per_s();
    assert!(most <= ENTRIES_PER_S, "{most}");
}

/// The store takes an entry, and comes back without it before the node has the answer.
#[test]
fn an_entry_that_was_lost_before_its_answer_came_is_made_again() {
    let mut course = RegisterBootstrap::new(Duration::ZERO, address(1), 1);
    assert_eq!(course.step(at_ms(0), 0), RegisterStep::Enter);
    course.on_store_restored(at_ms(3), 1);
    course.on_entered(at_ms(4));
    let RegisterStep::Wait { until } = course.step(at_ms(5), 0) else {
        panic!("{course:?}");
    };
    assert_eq!(course.step(until, 0), RegisterStep::Enter);
    course.on_entered(until);
    assert!(matches!(
        course.step(until, 0),
        RegisterStep::ReadPage { .. }
    ));
}

/// A page that was asked for before the return tells nothing of the register as it is now.
#[test]
fn a_page_from_before_a_return_does_not_count() {
    let mut course = RegisterBootstrap::new(Duration::ZERO, address(1), 1);
    course.step(at_ms(0), 0);
    course.on_entered(at_ms(4));
    course.on_store_restored(at_ms(5), 1);
    let page = RegisterPageSummary {
        from: register_position(address(1)),
        last_position: None,
        others_count: 40,
        is_last: false,
    };
    course.on_page(at_ms(6), page);
    let again = course.step(at_ms(2_000), 40);
    assert_eq!(again, RegisterStep::Enter);
}

/// Returns come faster than entries are made again: none puts an entry off that is due.
#[test]
fn a_store_that_returns_all_the_time_is_entered_all_the_same() {
    let mut course = RegisterBootstrap::new(Duration::ZERO, address(1), 1);
    course.step(at_ms(0), 0);
    course.on_entered(at_ms(4));
    let mut entries_count = 0;
    for ms in (10..60_000).step_by(10) {
        course.on_store_restored(at_ms(ms), 5_100);
        if course.step(at_ms(ms), 5_099) == RegisterStep::Enter {
            entries_count += 1;
            course.on_entered(at_ms(ms));
        }
    }
    assert!((5..=30).contains(&entries_count), "{entries_count}");
}
