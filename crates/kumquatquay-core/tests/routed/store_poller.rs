//! How soon a fleet has the newest configuration, beside a store that ails.
//!
//! What was seen: configurations were confirmed and not in force on any node of a fleet
//! for 4 s after the store had come back from 5 s of silence; calls went where only older
//! versions let them go. How it came about: all nodes woke up from the same record, began
//! their next reads in step, gave them up in step, and began new ones while the store was
//! still silent. A read that meets the silence is never answered, also after its end; each
//! node waited for its own as if the store held it for news, and no peer knew more.
//! What proved it: the lines of all nodes stand 5.50 s apart, the time after which a read is
//! given up, while a short call of the same nodes was answered 3 s before.

use std::time::Duration;

use kumquatquay_core::routed::{PollStep, PollerFleet, StorePoller, StoreReaders};

use crate::at_ms;

/// Time within which a node that reaches the store has the newest configuration after the
/// store's return, and after a confirmation.
const GOAL: Duration = Duration::from_secs(1);

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Time beyond its hold after which the client of the store gives a read up.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time until a version that one node has is on all that hear of each other: calls and
/// answers carry it several times in that time, and a document takes a round trip.
const SPREAD_TIME: Duration = Duration::from_millis(20);

/// Reading calls a second that the store takes of all nodes together.
const READS_PER_S: usize = 2_000;

/// Time between two confirmations.
const CHANGE_INTERVAL_MS: u64 = 900;

/// What the store does wrong for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ailment {
    /// Calls that it has, or gets, are never answered.
    Silent,
    /// Calls that it gets are refused at once.
    Busy,
    /// Answers take that much longer.
    Slow(Duration),
}

/// A fleet and its store.
#[derive(Clone, Copy, Debug)]
struct Scene {
    nodes_count: usize,
    /// Nodes that read the store for all, the first ones.
    readers_count: usize,
    /// Readers that the store turns away all the time.
    turned_away_count: usize,
    hears_peers: bool,
    ailment: Ailment,
    /// Time between the last confirmation before the ailment and its begin.
    gap_ms: u64,
    length_ms: u64,
    tick_ms: u64,
}

impl Scene {
    /// Fifteen nodes in three data centres that hear of each other.
    const FLEET: Self = Self {
        nodes_count: 15,
        readers_count: 6,
        turned_away_count: 0,
        hears_peers: true,
        ailment: Ailment::Silent,
        gap_ms: 2_000,
        length_ms: 5_400,
        tick_ms: 1,
    };

    /// When changes are confirmed: in a series before the ailment, and again from its end
    /// on; the store confirms none while it ails.
    fn confirmations(&self) -> Vec<Duration> {
        let before = (1..=4).map(|change| change * CHANGE_INTERVAL_MS);
        let returned_ms = self.returned().as_millis() as u64;
        let after = [60, 130, 600, 1_500, 2_400, 3_300].map(|after_ms| returned_ms + after_ms);
        before.chain(after).map(at_ms).collect()
    }

    fn fleet(&self, place: usize) -> PollerFleet {
        PollerFleet {
            nodes_count: self.nodes_count,
            readers: StoreReaders {
                is_reader: place < self.readers_count,
                count: self.readers_count,
            },
        }
    }

    fn began(&self) -> Duration {
        at_ms(4 * CHANGE_INTERVAL_MS + self.gap_ms)
    }

    fn returned(&self) -> Duration {
        self.began() + at_ms(self.length_ms)
    }

    fn ails(&self, now: Duration) -> bool {
        (self.began()..self.returned()).contains(&now)
    }
}

#[derive(Debug)]
struct Read {
    began: Duration,
    hold: Duration,
    /// Confirmations that the node had read when it began.
    from: usize,
    is_lost: bool,
    /// Whether the store turns this node away.
    is_refused: bool,
}

#[derive(Debug)]
enum ReadEnd {
    Answered { through: usize },
    Failed,
}

impl Read {
    fn end(&mut self, scene: &Scene, confirmations: &[Duration], now: Duration) -> Option<ReadEnd> {
        let answer_time = match scene.ailment {
            Ailment::Slow(time) if scene.ails(self.began) => ANSWER_TIME + time,
            _ => ANSWER_TIME,
        };
        self.is_lost |= scene.ailment == Ailment::Silent && scene.ails(now);
        let since = now.saturating_sub(self.began);
        if self.is_lost || answer_time > self.hold + READ_TIMEOUT {
            return (since >= self.hold + READ_TIMEOUT).then_some(ReadEnd::Failed);
        }
        let is_busy = scene.ailment == Ailment::Busy && scene.ails(self.began);
        if is_busy || self.is_refused {
            return (since >= ANSWER_TIME).then_some(ReadEnd::Failed);
        }
        let seen = now.saturating_sub(answer_time);
        let through = confirmations.partition_point(|confirmed| *confirmed <= seen);
        let is_due = since >= self.hold + answer_time;
        let has_news = since >= answer_time && through > self.from;
        (is_due || has_news).then_some(ReadEnd::Answered { through })
    }
}

#[derive(Debug)]
struct Host {
    place: usize,
    follower: StorePoller,
    reads: Vec<Read>,
    waits_until: Duration,
    /// Confirmations that it has read.
    position: usize,
    /// Confirmations that are in force.
    in_force: usize,
}

/// What became of a fleet.
#[derive(Debug, Default)]
struct Outcome {
    /// The longest time that a node lacked a change after it was due.
    latest: Duration,
    /// When reads began.
    reads: Vec<Duration>,
}

impl Outcome {
    /// The most reads that began in one span of this length, from a moment on.
    fn most_in(&self, span: Duration, from: Duration) -> usize {
        let reads: Vec<_> = self.reads.iter().filter(|began| **began >= from).collect();
        let mut first = 0;
        let mut most = 0;
        for (place, began) in reads.iter().enumerate() {
            while **began - *reads[first] >= span {
                first += 1;
            }
            most = most.max(place + 1 - first);
        }
        most
    }
}

fn play(scene: &Scene, seed: u64) -> Outcome {
    let confirmations = scene.confirmations();
    let mut hosts: Vec<Host> = (0..scene.nodes_count)
        .map(|host| Host {
            place: host,
            follower: StorePoller::new(Duration::ZERO, seed * 10_000 + host as u64),
            reads: Vec::new(),
            waits_until: Duration::ZERO,
            position: 0,
            in_force: 0,
        })
        .collect();
    let mut outcome = Outcome::default();
    // When the most answers of the store were known of anywhere.
    let mut answers = Vec::new();
    // When each confirmation was first in force anywhere.
    let mut first_at = vec![Duration::MAX; confirmations.len() + 1];
    let end = scene.returned() + at_ms(5_000);
    let mut now = Duration::ZERO;
    while now < end {
        let heard = (0..=confirmations.len())
            .rev()
            .find(|known| first_at[*known].saturating_add(SPREAD_TIME) <= now);
        let due = due(scene, &confirmations, now);
        let told_count = answers_at(&answers, now.saturating_sub(SPREAD_TIME));
        for host in &mut hosts {
            if scene.hears_peers {
                host.follower.on_peer_state(now, None, told_count);
            }
            act(scene, &confirmations, now, host, &mut outcome);
            let known_count = host.follower.answers_count();
            if answers.last().is_none_or(|(_, most)| known_count > *most) {
                answers.push((now, known_count));
            }
            if scene.hears_peers {
                host.in_force = host.in_force.max(heard.unwrap_or(0));
            }
            let first = &mut first_at[host.in_force];
            *first = (*first).min(now);
            if host.in_force < due {
                let late = now.saturating_sub(due_at(scene, &confirmations, host.in_force));
                outcome.latest = outcome.latest.max(late);
            }
        }
        now += at_ms(scene.tick_ms);
    }
    outcome
}

/// The most answers of the store that any node knew of at a moment.
fn answers_at(answers: &[(Duration, u64)], at: Duration) -> u64 {
    let known = answers.partition_point(|(told, _)| *told <= at);
    answers[..known].last().map_or(0, |(_, count)| *count)
}

/// When the change behind this many is due: at once, or at the store's return.
fn due_at(scene: &Scene, confirmations: &[Duration], in_force: usize) -> Duration {
    let confirmed = confirmations[in_force];
    if confirmed < scene.returned() && confirmed + GOAL > scene.began() {
        scene.returned()
    } else {
        confirmed
    }
}

/// How many changes every node should have by now.
fn due(scene: &Scene, confirmations: &[Duration], now: Duration) -> usize {
    let places = 0..confirmations.len();
    places
        .take_while(|place| due_at(scene, confirmations, *place) <= now)
        .count()
}

fn act(
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
                host.follower.on_failure(now);
                host.waits_until = now;
            }
            Some(ReadEnd::Answered { through }) => {
                let has_news = through > host.position;
                host.position = host.position.max(through);
                host.in_force = host.in_force.max(through);
                host.follower.on_answer(now, has_news);
                host.waits_until = now;
                // Those beside it aren't waited for any more.
                host.reads.clear();
                break;
            }
        }
    }
    while host.waits_until <= now {
        match host.follower.step(now, scene.fleet(host.place)) {
            PollStep::Wait { until } => host.waits_until = until,
            // Word of the readers comes by itself here, as far as it comes.
            PollStep::AskReader => {}
            PollStep::Read { hold } => {
                outcome.reads.push(now);
                host.reads.push(Read {
                    began: now,
                    hold,
                    from: host.position,
                    is_lost: false,
                    is_refused: host.place < scene.turned_away_count,
                });
            }
        }
    }
}

/// Names each scene in which every node has the newest configuration within the goal.
macro_rules! in_force_in_time {
    ($($name:ident: $scene:expr,)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..20 {
                let outcome = play(&$scene, seed);
                assert!(outcome.latest <= GOAL, "seed {seed}: {:?}", outcome.latest);
            }
        }
    )*};
}

in_force_in_time! {
    after_five_seconds_of_silence: Scene::FLEET,
    after_a_short_silence_right_behind_a_change:
        Scene { gap_ms: 10, length_ms: 300, ..Scene::FLEET },
    after_a_second_of_silence: Scene { length_ms: 1_000, ..Scene::FLEET },
    after_twenty_seconds_of_silence: Scene { length_ms: 20_000, ..Scene::FLEET },
    of_three_nodes_after_a_silence: Scene { nodes_count: 3, ..Scene::FLEET },
    of_sixty_nodes_after_a_silence: Scene { nodes_count: 60, ..Scene::FLEET },
    of_nodes_that_hear_of_nobody_after_a_long_silence:
        Scene { hears_peers: false, length_ms: 20_000, ..Scene::FLEET },
    after_refusals: Scene { ailment: Ailment::Busy, length_ms: 9_000, ..Scene::FLEET },
    of_nodes_that_hear_of_nobody_after_refusals:
        Scene { ailment: Ailment::Busy, hears_peers: false, length_ms: 9_000, ..Scene::FLEET },
    after_slow_answers: Scene { ailment: Ailment::Slow(at_ms(600)), ..Scene::FLEET },
    after_answers_that_come_too_late:
        Scene { ailment: Ailment::Slow(at_ms(3_000)), length_ms: 9_000, ..Scene::FLEET },
    of_five_thousand_nodes_after_a_silence:
        Scene { nodes_count: 5_100, readers_count: 40, tick_ms: 10, ..Scene::FLEET },
    of_ninety_five_nodes_after_a_silence:
        Scene { nodes_count: 95, readers_count: 10, ..Scene::FLEET },
    of_a_thousand_nodes_after_a_silence:
        Scene { nodes_count: 1_000, readers_count: 10, tick_ms: 5, ..Scene::FLEET },
    of_ninety_five_nodes_half_of_whose_readers_are_turned_away:
        Scene { nodes_count: 95, readers_count: 10, turned_away_count: 5, ..Scene::FLEET },
}

/// All nodes wake up from the same record. If their next reads ended in step too, a single
/// silence would meet all of them, and their repeats would reach the store as one burst.
#[test]
fn nodes_do_not_read_in_step() {
    for seed in 0..20 {
        let outcome = play(&Scene::FLEET, seed);
        let settled = Scene::FLEET.returned() + at_ms(3_400);
        for from in [Scene::FLEET.began() + at_ms(100), settled] {
            let most = outcome.most_in(at_ms(10), from);
            assert!(most <= Scene::FLEET.nodes_count / 2, "seed {seed}: {most}");
        }
    }
}

/// The fleet of two years from now, whose reads the store counts together: while it is
/// silent, right after its return, and when a change wakes all of them up, no second holds
/// more of them than it takes; beyond, it refuses, and refusals would be repeated.
#[test]
fn five_thousand_nodes_stay_within_what_the_store_takes() {
    let scene = Scene {
        nodes_count: 5_100,
        readers_count: 40,
        tick_ms: 10,
        ..Scene::FLEET
    };
    let outcome = play(&scene, 1);
    let started = at_ms(5_000);
    let most = outcome.most_in(Duration::from_secs(1), started);
    assert!(most <= READS_PER_S, "{most}");
}

/// All nodes of the fleet start at the same moment and have no configuration. What the first
/// ones read reaches the others before they ask the store too; a start reads twice.
#[test]
fn nodes_that_start_together_do_not_all_read() {
    for (nodes_count, readers_count) in [(95, 10), (1_000, 10), (5_100, 40)] {
        let scene = Scene {
            nodes_count,
            readers_count,
            tick_ms: 5,
            ..Scene::FLEET
        };
        let outcome = play(&scene, 1);
        let at_start = outcome.reads.iter().filter(|began| **began < at_ms(1_000));
        let calls_count = 2 * at_start.count();
        assert!(calls_count <= READS_PER_S, "{nodes_count}: {calls_count}");
    }
}

/// Reads a second that all nodes begin in thirty seconds of calm.
fn calm_reads_per_s(scene: &Scene) -> f64 {
    let outcome = play(scene, 1);
    let calm = at_ms(6_000)..at_ms(36_000);
    let reads = outcome.reads.iter().filter(|began| calm.contains(began));
    reads.count() as f64 / 30.0
}

/// Thirty seconds of calm. The calls don't grow with the fleet: what a silence is found out
/// by is a number of reads a second of all readers together.
#[test]
fn a_calm_fleet_costs_the_same_at_any_size() {
    for (nodes_count, readers_count) in [(15, 6), (95, 10), (1_000, 10)] {
        let scene = Scene {
            nodes_count,
            readers_count,
            tick_ms: 5,
            gap_ms: 36_000,
            length_ms: 0,
            ..Scene::FLEET
        };
        let reads_per_s = calm_reads_per_s(&scene);
        assert!(reads_per_s <= 7.5, "{nodes_count}: {reads_per_s}");
    }
}

/// The store turns half of the readers away and answers the others. Those that are turned away
/// hear the news from these, and don't ask twice a second all the while.
#[test]
fn readers_that_are_turned_away_ask_seldom() {
    let scene = Scene {
        nodes_count: 95,
        readers_count: 10,
        turned_away_count: 5,
        gap_ms: 36_000,
        length_ms: 0,
        ..Scene::FLEET
    };
    let reads_per_s = calm_reads_per_s(&scene);
    assert!(reads_per_s <= 10.0, "{reads_per_s}");
}
