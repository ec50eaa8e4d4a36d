//! Tests of how soon a fleet has the newest configuration after a disturbance of the store.
//!
//! They guard against reads that all nodes start at the same time. After the store had been
//! unresponsive for 5 s, confirmed configurations weren't in force on any node for 4 s, and
//! calls went to destinations that only older versions allowed. All nodes had received the same
//! record, started their next reads at the same time, timed out at the same time, and started
//! new ones while the store was still unresponsive. A read that the store has, or gets, at that
//! time is never answered, not even after the store's recovery. Each node waited for its own
//! read as if the store held it, and no peer knew more. In the logs, the reads of all nodes
//! ended 5.50 s apart, which is the time-out of a read, although a short call of the same nodes
//! had been answered 3 s before.

use std::time::Duration;

use kumquatquay_core::routed::{PollStep, PollerFleet, StorePoller, StoreReaders};

use crate::at_ms;

/// Time after the store's recovery, and after a confirmation, within which a node that reaches the
/// store must have the newest configuration.
const GOAL: Duration = Duration::from_secs(1);

/// Time in which the store answers.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Time after the end of its hold at which a read times out.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time until a version that one node has is in force on all nodes that call each other. Calls and
/// answers report it several times within that time, and fetching a configuration takes a round
/// trip.
const SPREAD_TIME: Duration = Duration::from_millis(20);

/// Reads a second that the store handles, of all nodes together.
const READS_PER_S: usize = 2_000;

/// Time between two confirmations.
const CHANGE_INTERVAL_MS: u64 = 900;

/// Temporary fault of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StoreFault {
    /// Calls that it holds or receives are never answered.
    Unresponsive,
    /// Calls that it receives are rejected at once.
    Rejecting,
    /// Answers take this much longer.
    Slow(Duration),
}

/// A fleet and its store.
#[derive(Clone, Copy, Debug)]
struct Scene {
    nodes_count: usize,
    /// Nodes that read the store on behalf of all: the first ones.
    readers_count: usize,
    /// Readers whose reads the store always rejects: the first ones.
    rejected_count: usize,
    has_reports: bool,
    fault: StoreFault,
    /// Time from the last confirmation before the fault to the start of the fault.
    gap_ms: u64,
    duration_ms: u64,
    tick_ms: u64,
}

impl Scene {
    /// Fifteen nodes in three data centres that report to each other.
    const FLEET: Self = Self {
        nodes_count: 15,
        readers_count: 6,
        rejected_count: 0,
        has_reports: true,
        fault: StoreFault::Unresponsive,
        gap_ms: 2_000,
        duration_ms: 5_400,
        tick_ms: 1,
    };

    /// Times at which changes are confirmed: before the fault and after it, since the store
    /// confirms none during it.
    fn confirmations(&self) -> Vec<Duration> {
        let before = (1..=4).map(|change| change * CHANGE_INTERVAL_MS);
        let recovered_ms = self.recovered_at().as_millis() as u64;
        let after = [60, 130, 600, 1_500, 2_400, 3_300].map(|after_ms| recovered_ms + after_ms);
        before.chain(after).map(at_ms).collect()
    }

    fn fleet(&self, index: usize) -> PollerFleet {
        PollerFleet {
            nodes_count: self.nodes_count,
            readers: StoreReaders {
                is_reader: index < self.readers_count,
                count: self.readers_count,
            },
        }
    }

    fn fault_started_at(&self) -> Duration {
        at_ms(4 * CHANGE_INTERVAL_MS + self.gap_ms)
    }

    fn recovered_at(&self) -> Duration {
        self.fault_started_at() + at_ms(self.duration_ms)
    }

    fn is_faulty(&self, now: Duration) -> bool {
        (self.fault_started_at()..self.recovered_at()).contains(&now)
    }
}

#[derive(Debug)]
struct Read {
    started_at: Duration,
    hold: Duration,
    /// Confirmations that the node had read when this read started.
    from: usize,
    is_lost: bool,
    /// Whether the store rejects the reads of this node.
    is_always_rejected: bool,
}

#[derive(Debug)]
enum ReadEnd {
    Answered { confirmed_count: usize },
    Failed,
}

impl Read {
    fn end(&mut self, scene: &Scene, confirmations: &[Duration], now: Duration) -> Option<ReadEnd> {
        let answer_time = match scene.fault {
            StoreFault::Slow(time) if scene.is_faulty(self.started_at) => ANSWER_TIME + time,
            _ => ANSWER_TIME,
        };
        self.is_lost |= scene.fault == StoreFault::Unresponsive && scene.is_faulty(now);
        let since = now.saturating_sub(self.started_at);
        if self.is_lost || answer_time > self.hold + READ_TIMEOUT {
            return (since >= self.hold + READ_TIMEOUT).then_some(ReadEnd::Failed);
        }
        let is_rejected = scene.fault == StoreFault::Rejecting && scene.is_faulty(self.started_at);
        if is_rejected || self.is_always_rejected {
            return (since >= ANSWER_TIME).then_some(ReadEnd::Failed);
        }
        let seen = now.saturating_sub(answer_time);
        let confirmed_count = confirmations.partition_point(|confirmed| *confirmed <= seen);
        let is_hold_over = since >= self.hold + answer_time;
        let has_change = since >= answer_time && confirmed_count > self.from;
        (is_hold_over || has_change).then_some(ReadEnd::Answered { confirmed_count })
    }
}

#[derive(Debug)]
struct Host {
    index: usize,
    poller: StorePoller,
    reads: Vec<Read>,
    waits_until: Duration,
    /// Confirmations that it has read.
    position: usize,
    /// Confirmations that are in force.
    in_force: usize,
}

/// Result of a simulation.
#[derive(Debug, Default)]
struct Outcome {
    /// Longest time for which a node lacked a change after it was due.
    max_delay: Duration,
    /// When reads started.
    reads: Vec<Duration>,
}

impl Outcome {
    /// Maximum number of reads that started within any span of this length, from a moment on.
    fn max_count_in(&self, span: Duration, from: Duration) -> usize {
        let reads: Vec<_> = self
            .reads
            .iter()
            .filter(|started_at| **started_at >= from)
            .collect();
        let mut first = 0;
        let mut max_count = 0;
        for (index, started_at) in reads.iter().enumerate() {
            while **started_at - *reads[first] >= span {
                first += 1;
            }
            max_count = max_count.max(index + 1 - first);
        }
        max_count
    }
}

fn simulate(scene: &Scene, seed: u64) -> Outcome {
    let confirmations = scene.confirmations();
    let mut hosts: Vec<Host> = (0..scene.nodes_count)
        .map(|host| Host {
            index: host,
            poller: StorePoller::new(Duration::ZERO, seed * 10_000 + host as u64),
            reads: Vec::new(),
            waits_until: Duration::ZERO,
            position: 0,
            in_force: 0,
        })
        .collect();
    let mut outcome = Outcome::default();
    // The highest count of answers of the store that any node knew, at each time at which it rose.
    let mut answers = Vec::new();
    // When each number of confirmations was first in force on any node.
    let mut first_at = vec![Duration::MAX; confirmations.len() + 1];
    let end = scene.recovered_at() + at_ms(5_000);
    let mut now = Duration::ZERO;
    while now < end {
        let reported = (0..=confirmations.len())
            .rev()
            .find(|known| first_at[*known].saturating_add(SPREAD_TIME) <= now);
        let due_count = due_count(scene, &confirmations, now);
        let reported_count = answers_at(&answers, now.saturating_sub(SPREAD_TIME));
        for host in &mut hosts {
            if scene.has_reports {
                host.poller.on_peer_state(now, None, reported_count);
            }
            run_poller(scene, &confirmations, now, host, &mut outcome);
            let known_count = host.poller.answers_count();
            if answers
                .last()
                .is_none_or(|(_, max_count)| known_count > *max_count)
            {
                answers.push((now, known_count));
            }
            if scene.has_reports {
                host.in_force = host.in_force.max(reported.unwrap_or(0));
            }
            let first = &mut first_at[host.in_force];
            *first = (*first).min(now);
            if host.in_force < due_count {
                let delay = now.saturating_sub(due_at(scene, &confirmations, host.in_force));
                outcome.max_delay = outcome.max_delay.max(delay);
            }
        }
        now += at_ms(scene.tick_ms);
    }
    outcome
}

/// Highest count of answers of the store that any node knew at a moment.
fn answers_at(answers: &[(Duration, u64)], at: Duration) -> u64 {
    let known = answers.partition_point(|(known_at, _)| *known_at <= at);
    answers[..known].last().map_or(0, |(_, count)| *count)
}

/// When the change after this many is due: at its confirmation, or at the store's recovery.
fn due_at(scene: &Scene, confirmations: &[Duration], in_force: usize) -> Duration {
    let confirmed = confirmations[in_force];
    if confirmed < scene.recovered_at() && confirmed + GOAL > scene.fault_started_at() {
        scene.recovered_at()
    } else {
        confirmed
    }
}

/// Number of changes that every node should have in force now.
fn due_count(scene: &Scene, confirmations: &[Duration], now: Duration) -> usize {
    let indexes = 0..confirmations.len();
    indexes
        .take_while(|index| due_at(scene, confirmations, *index) <= now)
        .count()
}

fn run_poller(
    scene: &Scene,
    confirmations: &[Duration],
    now: Duration,
    host: &mut Host,
    outcome: &mut Outcome,
) {
    for mut read in std::mem::take(&mut host.reads) {
        match read.end(scene, confirmations, now) {
            None => host.reads.push(read),
            Some(ReadEnd::Failed) => {
                host.poller.on_failure(now);
                host.waits_until = now;
            }
            Some(ReadEnd::Answered { confirmed_count }) => {
                let has_change = confirmed_count > host.position;
                host.position = host.position.max(confirmed_count);
                host.in_force = host.in_force.max(confirmed_count);
                host.poller.on_answer(now, has_change);
                host.waits_until = now;
                // The other reads in progress are dropped.
                host.reads.clear();
                break;
            }
        }
    }
    while host.waits_until <= now {
        match host.poller.step(now, scene.fleet(host.index)) {
            PollStep::Wait { until } => host.waits_until = until,
            // The simulation delivers reports to all nodes, so no question is needed.
            PollStep::AskReader => {}
            PollStep::Read { hold } => {
                outcome.reads.push(now);
                host.reads.push(Read {
                    started_at: now,
                    hold,
                    from: host.position,
                    is_lost: false,
                    is_always_rejected: host.index < scene.rejected_count,
                });
            }
        }
    }
}

/// Defines a test for each scene: every node has the newest configuration in time.
macro_rules! in_force_in_time {
    ($($name:ident: $scene:expr,)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..20 {
                let outcome = simulate(&$scene, seed);
                assert!(outcome.max_delay <= GOAL, "seed {seed}: {:?}", outcome.max_delay);
            }
        }
    )*};
}

in_force_in_time! {
    after_five_seconds_without_answers: Scene::FLEET,
    after_a_short_time_without_answers_right_after_a_change:
        Scene { gap_ms: 10, duration_ms: 300, ..Scene::FLEET },
    after_a_second_without_answers: Scene { duration_ms: 1_000, ..Scene::FLEET },
    after_twenty_seconds_without_answers: Scene { duration_ms: 20_000, ..Scene::FLEET },
    of_three_nodes_after_a_time_without_answers: Scene { nodes_count: 3, ..Scene::FLEET },
    of_sixty_nodes_after_a_time_without_answers: Scene { nodes_count: 60, ..Scene::FLEET },
    of_nodes_without_reports_after_a_long_time_without_answers:
        Scene { has_reports: false, duration_ms: 20_000, ..Scene::FLEET },
    after_rejections: Scene { fault: StoreFault::Rejecting, duration_ms: 9_000, ..Scene::FLEET },
    of_nodes_without_reports_after_rejections:
        Scene {
            fault: StoreFault::Rejecting,
            has_reports: false,
            duration_ms: 9_000,
            ..Scene::FLEET
        },
    after_slow_answers: Scene { fault: StoreFault::Slow(at_ms(600)), ..Scene::FLEET },
    after_answers_later_than_the_timeout:
        Scene { fault: StoreFault::Slow(at_ms(3_000)), duration_ms: 9_000, ..Scene::FLEET },
    of_five_thousand_nodes_after_a_time_without_answers:
        Scene { nodes_count: 5_100, readers_count: 40, tick_ms: 10, ..Scene::FLEET },
    of_ninety_five_nodes_after_a_time_without_answers:
        Scene { nodes_count: 95, readers_count: 10, ..Scene::FLEET },
    of_a_thousand_nodes_after_a_time_without_answers:
        Scene { nodes_count: 1_000, readers_count: 10, tick_ms: 5, ..Scene::FLEET },
    of_ninety_five_nodes_half_of_whose_readers_are_rejected:
        Scene { nodes_count: 95, readers_count: 10, rejected_count: 5, ..Scene::FLEET },
}

/// All nodes receive the same record. If their next reads ended at the same time, too, a short
/// fault of the store would affect all of them, and their retries would reach it as one burst.
#[test]
fn reads_of_nodes_are_not_synchronized() {
    for seed in 0..20 {
        let outcome = simulate(&Scene::FLEET, seed);
        let settled = Scene::FLEET.recovered_at() + at_ms(3_400);
        for from in [Scene::FLEET.fault_started_at() + at_ms(100), settled] {
            let max_count = outcome.max_count_in(at_ms(10), from);
            assert!(
                max_count <= Scene::FLEET.nodes_count / 2,
                "seed {seed}: {max_count}"
            );
        }
    }
}

/// A fleet of the size that is planned for, whose reads the store limits together. Neither while
/// the store is unresponsive, nor right after its recovery, nor when a change ends all reads at
/// once, do the nodes start more reads a second than the store handles: it would reject the others,
/// and these would be retried.
#[test]
fn five_thousand_nodes_do_not_overload_the_store() {
    let scene = Scene {
        nodes_count: 5_100,
        readers_count: 40,
        tick_ms: 10,
        ..Scene::FLEET
    };
    let outcome = simulate(&scene, 1);
    let startup_over = at_ms(5_000);
    let max_count = outcome.max_count_in(Duration::from_secs(1), startup_over);
    assert!(max_count <= READS_PER_S, "{max_count}");
}

/// All nodes start at the same moment, without a configuration. What the first ones read reaches
/// the others before these read the store too. A first read takes two calls.
#[test]
fn nodes_that_start_together_do_not_all_read() {
    for (nodes_count, readers_count) in [(95, 10), (1_000, 10), (5_100, 40)] {
        let scene = Scene {
            nodes_count,
            readers_count,
            tick_ms: 5,
            ..Scene::FLEET
        };
        let outcome = simulate(&scene, 1);
        let at_start = outcome
            .reads
            .iter()
            .filter(|started_at| **started_at < at_ms(1_000));
        let calls_count = 2 * at_start.count();
        assert!(calls_count <= READS_PER_S, "{nodes_count}: {calls_count}");
    }
}

/// Reads a second that all nodes start in thirty seconds without faults.
fn undisturbed_reads_per_s(scene: &Scene) -> f64 {
    let outcome = simulate(scene, 1);
    let undisturbed = at_ms(6_000)..at_ms(36_000);
    let reads = outcome
        .reads
        .iter()
        .filter(|started_at| undisturbed.contains(started_at));
    reads.count() as f64 / 30.0
}

/// Without faults, the number of calls doesn't grow with the fleet: the reads that detect an
/// unresponsive store are a fixed number a second of all readers together.
#[test]
fn without_faults_reads_do_not_grow_with_the_fleet() {
    for (nodes_count, readers_count) in [(15, 6), (95, 10), (1_000, 10)] {
        let scene = Scene {
            nodes_count,
            readers_count,
            tick_ms: 5,
            gap_ms: 36_000,
            duration_ms: 0,
            ..Scene::FLEET
        };
        let reads_per_s = undisturbed_reads_per_s(&scene);
        assert!(reads_per_s <= 7.5, "{nodes_count}: {reads_per_s}");
    }
}

/// The store rejects the reads of half of the readers and answers the others. Those that are
/// rejected learn of changes from the others, and don't go on reading twice a second.
#[test]
fn rejected_readers_read_less_often() {
    let scene = Scene {
        nodes_count: 95,
        readers_count: 10,
        rejected_count: 5,
        gap_ms: 36_000,
        duration_ms: 0,
        ..Scene::FLEET
    };
    let reads_per_s = undisturbed_reads_per_s(&scene);
    assert!(reads_per_s <= 10.0, "{reads_per_s}");
}
