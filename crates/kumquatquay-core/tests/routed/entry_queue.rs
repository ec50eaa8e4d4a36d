//! Requests that wait at the entry.

use std::{collections::VecDeque, time::Duration};

use kumquatquay_core::routed::{
    EntryLine, EntryQueue, HoldOffer, HoldOutcome, HoldRequest, Released, RetryAfter,
};
use quickcheck::{TestResult, quickcheck};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::at_ms;

const TARGET: Duration = Duration::from_secs(5);
const NEEDED: Duration = Duration::from_millis(900);

fn line(priority: u32) -> EntryLine {
    EntryLine {
        route: String::from("timetable"),
        service: String::from("schedule"),
        priority,
        claimant: String::from("harbour"),
    }
}

/// A queue that knows how long requests on the route take.
fn queue<T>() -> EntryQueue<T> {
    let mut queue = EntryQueue::default();
    for _ in 0..200 {
        queue.answered("timetable", NEEDED);
    }
    queue
}

fn offer(queue: &mut EntryQueue<u32>, at: u64, chance: f64, ticket: u32) -> HoldOffer {
    let request = HoldRequest {
        line: &line(2),
        chance,
        due: at_ms(at) + TARGET,
        held_bytes: 1_000,
    };
    let mut random = StdRng::seed_from_u64(u64::from(ticket));
    queue.offer(at_ms(at), &request, ticket, &mut random)
}

/// Offers requests until one is held; then the line's credit is used up.
fn held(queue: &mut EntryQueue<u32>, at: u64, chance: f64) -> u32 {
    (0..10)
        .find(|ticket| matches!(offer(queue, at, chance, *ticket), HoldOffer::Held(_)))
        .unwrap()
}

fn outcomes(released: &[Released<u32>]) -> Vec<HoldOutcome> {
    released.iter().map(|released| released.outcome).collect()
}

#[test]
fn with_room_for_all_nobody_waits() {
    let mut queue = queue();
    for ticket in 0..100 {
        let at = u64::from(ticket) * 10;
        assert_eq!(offer(&mut queue, at, 1.0, ticket), HoldOffer::Admitted);
    }
    assert_eq!(queue.held_count(), 0);
}

#[test]
fn a_held_request_is_let_in_when_the_shortage_ends() {
    let mut queue = queue();
    let ticket = held(&mut queue, 0, 0.6);
    let released = (25..5_000)
        .step_by(25)
        .find_map(|at| queue.release(at_ms(at), |_| 1.0).pop());
    let released = released.unwrap();
    assert_eq!(released.ticket, ticket);
    assert_eq!(released.outcome, HoldOutcome::Room);
    assert_eq!((queue.held_count(), queue.held_bytes()), (0, 0));
}

/// Its caller was told to wait; refused now, it would have waited for nothing.
#[test]
fn one_that_can_wait_no_longer_is_let_in_while_there_is_some_room() {
    let mut queue = queue();
    held(&mut queue, 0, 0.6);
    // No chance is told meanwhile: nothing is offered anew within this moment.
    let released = queue.release(at_ms(0) + TARGET - NEEDED, |_| 0.0);
    assert_eq!(outcomes(&released), [HoldOutcome::Due]);
}

#[test]
fn where_no_room_comes_it_goes_back_soon() {
    let mut queue = queue();
    held(&mut queue, 0, 0.6);
    let (at, released) = (25..5_000)
        .step_by(25)
        .map(|at| (at, queue.release(at_ms(at), |_| 0.0)))
        .find(|(_, released)| !released.is_empty())
        .unwrap();
    assert!(matches!(
        outcomes(&released)[..],
        [HoldOutcome::NoRoom { .. }]
    ));
    assert!(at < 3_000, "{at}");
}

#[test]
fn nothing_is_held_that_would_be_late_anyway() {
    let mut queue = EntryQueue::default();
    for _ in 0..200 {
        queue.answered("timetable", TARGET);
    }
    for ticket in 0..100 {
        let offer = offer(&mut queue, 0, 0.2, ticket);
        assert!(!matches!(offer, HoldOffer::Held(_)));
    }
}

/// How long it takes is not known after a start.
#[test]
fn nothing_is_held_on_a_route_of_which_no_answer_was_seen() {
    let mut queue = EntryQueue::default();
    for ticket in 0..100 {
        let offer = offer(&mut queue, 0, 0.2, ticket);
        assert!(!matches!(offer, HoldOffer::Held(_)));
    }
}

#[test]
fn without_any_room_nothing_is_held() {
    let mut queue = queue();
    for ticket in 0..100 {
        let offer = offer(&mut queue, 0, 0.0, ticket);
        assert!(!matches!(offer, HoldOffer::Held(_)), "{offer:?}");
    }
}

#[test]
fn the_request_of_a_caller_who_leaves_takes_no_memory() {
    let mut queue = queue();
    let keys: Vec<_> = (0..20)
        .filter_map(|ticket| match offer(&mut queue, 0, 0.5, ticket) {
            HoldOffer::Held(key) => Some(key),
            _ => None,
        })
        .collect();
    assert_eq!(queue.held_count(), keys.len());
    for key in &keys {
        assert!(queue.remove(key).is_some());
        assert!(queue.remove(key).is_none());
    }
    assert_eq!((queue.held_count(), queue.held_bytes()), (0, 0));
}

#[test]
fn all_go_back_together() {
    let mut queue = queue();
    held(&mut queue, 0, 0.5);
    held(&mut queue, 10, 0.5);
    assert_eq!(queue.take_all().len(), 2);
    assert_eq!((queue.held_count(), queue.held_bytes()), (0, 0));
    assert!(queue.release(at_ms(9_000), |_| 1.0).is_empty());
}

#[test]
fn the_important_are_offered_first() {
    let mut queue = queue::<u32>();
    let mut random = StdRng::seed_from_u64(1);
    for priority in [3, 1, 2] {
        let line = line(priority);
        let request = HoldRequest {
            line: &line,
            chance: 0.6,
            due: TARGET,
            held_bytes: 1_000,
        };
        for _ in 0..3 {
            queue.offer(at_ms(0), &request, priority, &mut random);
        }
    }
    let mut offered = Vec::new();
    queue.release(at_ms(2_500), |line| {
        offered.push(line.priority);
        0.5
    });
    offered.dedup();
    assert_eq!(offered, [1, 2, 3]);
}

quickcheck! {
    /// Whatever comes, in whatever order: what is held is counted, bounded, and comes out once.
    fn each_comes_out_once(steps: Vec<(u16, u8, u32)>) -> TestResult {
        let mut queue = queue();
        let mut held = 0_usize;
        let mut now = Duration::ZERO;
        for (ticket, (pause_ms, chance, bytes)) in steps.into_iter().enumerate() {
            now += Duration::from_millis(u64::from(pause_ms % 300));
            let chance = f64::from(chance) / 255.0;
            let request = HoldRequest {
                line: &line(u32::from(pause_ms % 3)),
                chance,
                due: now + TARGET,
                held_bytes: bytes as usize,
            };
            let mut random = StdRng::seed_from_u64(ticket as u64);
            let offer = queue.offer(now, &request, ticket, &mut random);
            held += usize::from(matches!(offer, HoldOffer::Held(_)));
            held -= queue.release(now, |_| chance).len();
            if queue.held_count() != held || queue.held_bytes() > 4 * 1024 * 1024 {
                return TestResult::failed();
            }
        }
        held -= queue.take_all().len();
        TestResult::from_bool(held == 0 && queue.held_bytes() == 0)
    }
}

/// What entries do with a request for which there is no room at once.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    /// By chance; refused callers come back once.
    Refuse,
    Hold,
}

/// Many entries before one service, whose room for the requests of one line changes.
///
/// Entries know the chance as of some tenths of a second ago, as the share of what all of them
/// offered that there was room for.
struct Fleet {
    way: Way,
    entries: Vec<EntryQueue<Sent>>,
    random: StdRng,
    /// Offers of the last spans, the oldest first.
    offers: VecDeque<f64>,
    chances: VecDeque<f64>,
    returning: Vec<Sent>,
    seen: Seen,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    at: Duration,
    comes: Duration,
    has_returned: bool,
}

#[derive(Debug, Default)]
struct Seen {
    sent: f64,
    in_time: f64,
    late: f64,
    refused: f64,
    /// Held, and refused then.
    held_in_vain: f64,
    held: f64,
    /// Let in, by tenths of a second, beside the room there was.
    let_in: Vec<LetIn>,
}

#[derive(Clone, Copy, Debug)]
struct LetIn {
    count: f64,
    room: f64,
}

impl Seen {
    fn in_time_ratio(&self) -> f64 {
        self.in_time / self.sent
    }

    /// The part of what was let in that was beyond the room of its second.
    fn beyond_room_ratio(&self) -> f64 {
        let beyond = self.let_in.chunks(10).map(|second| {
            let excess = second.iter().map(|span| span.count - span.room);
            excess.sum::<f64>().max(0.0)
        });
        beyond.sum::<f64>() / self.sent
    }
}

const SPAN: Duration = Duration::from_millis(100);
const ENTRIES: usize = 60;
/// Spans over which a level is found, and after which it is known.
const LEVEL_SPANS: usize = 5;

impl Fleet {
    fn new(way: Way, seed: u64) -> Self {
        Self {
            way,
            entries: (0..ENTRIES).map(|_| queue()).collect(),
            random: StdRng::seed_from_u64(seed),
            offers: VecDeque::from(vec![0.0; LEVEL_SPANS]),
            chances: VecDeque::from(vec![1.0; LEVEL_SPANS]),
            returning: Vec::new(),
            seen: Seen::default(),
        }
    }

    /// One span in which so many come, with room for so many.
    fn step(&mut self, now: Duration, coming: f64, room: f64) {
        self.seen.let_in.push(LetIn { count: 0.0, room });
        let chance = self.chances.pop_front().unwrap();
        let mut offers = 0.0;
        let arriving = coming + coming.sqrt() * self.random.random_range(-1.7..1.7);
        let fresh = (0..arriving.max(0.0) as u32).map(|_| Sent {
            at: now,
            comes: now,
            has_returned: false,
        });
        let (due, later) = self.returning.drain(..).partition(|sent| sent.comes <= now);
        self.returning = later;
        let coming: Vec<Sent> = Vec::into_iter(due).chain(fresh).collect();
        for sent in coming {
            self.seen.sent += f64::from(u8::from(!sent.has_returned));
            offers += 1.0;
            self.offer(now, sent, chance);
        }
        for entry in 0..ENTRIES {
            let released = self.entries[entry].release(now, |_| {
                offers += 1.0;
                chance
            });
            for Released { ticket, outcome } in released {
                match outcome {
                    HoldOutcome::Room | HoldOutcome::Due => self.let_in(now, ticket),
                    HoldOutcome::NoRoom { room_in } => {
                        self.seen.held_in_vain += 1.0;
                        self.refuse(now, ticket, room_in);
                    }
                }
            }
        }
        self.offers.pop_front();
        self.offers.push_back(offers);
        let mean = self.offers.iter().sum::<f64>() / LEVEL_SPANS as f64;
        self.chances.push_back((room / mean.max(1e-3)).min(1.0));
    }

    fn offer(&mut self, now: Duration, sent: Sent, chance: f64) {
        if chance >= 1.0 {
            return self.let_in(now, sent);
        }
        if self.way == Way::Refuse {
            if self.random.random::<f64>() < chance {
                return self.let_in(now, sent);
            }
            return self.refuse(now, sent, None);
        }
        let entry = self.random.random_range(0..ENTRIES);
        let request = HoldRequest {
            line: &line(2),
            chance,
            due: sent.at + TARGET,
            held_bytes: 1_000,
        };
        match self.entries[entry].offer(now, &request, sent, &mut self.random) {
            HoldOffer::Admitted => self.let_in(now, sent),
            HoldOffer::Held(_) => self.seen.held += 1.0,
            HoldOffer::Refused { room_in } => self.refuse(now, sent, room_in),
        }
    }

    fn let_in(&mut self, now: Duration, sent: Sent) {
        self.seen.let_in.last_mut().unwrap().count += 1.0;
        if now + NEEDED <= sent.at + TARGET + SPAN {
            self.seen.in_time += 1.0;
        } else {
            self.seen.late += 1.0;
        }
    }

    fn refuse(&mut self, now: Duration, sent: Sent, room_in: Option<Duration>) {
        if sent.has_returned {
            self.seen.refused += 1.0;
            return;
        }
        let returns = RetryAfter {
            target_latency: TARGET,
            time_left: Some((sent.at + 2 * TARGET).saturating_sub(now)),
            short_for: Duration::ZERO,
            room_in,
        };
        let comes = now + returns.draw(&mut self.random);
        self.returning.push(Sent {
            comes,
            has_returned: true,
            ..sent
        });
    }
}

/// A minute of so many requests a second, with room that is told by the second.
fn play(way: Way, seed: u64, per_s: f64, room_per_s: impl Fn(f64) -> f64) -> Seen {
    let mut fleet = Fleet::new(way, seed);
    for span in 0..600 {
        let now = SPAN * span;
        let room = room_per_s(now.as_secs_f64());
        fleet.step(now, per_s / 10.0, room / 10.0);
    }
    fleet.seen
}

/// Room for the least important swings with the demand of the others, every eleven seconds.
fn swings(at_s: f64) -> f64 {
    105.0 + 50.0 * (at_s * std::f64::consts::TAU / 11.0).sin()
}

/// Nearly none of them is let in for four seconds out of twelve.
fn bursts(at_s: f64) -> f64 {
    if at_s % 12.0 < 4.0 { 40.0 } else { 140.0 }
}

macro_rules! holding {
    ($($name:ident: $room:expr, gains $gain:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 1..=5 {
                let refused = play(Way::Refuse, seed, 100.0, $room);
                let held = play(Way::Hold, seed, 100.0, $room);
                assert!(held.in_time_ratio() >= refused.in_time_ratio() + $gain);
                assert!(held.beyond_room_ratio() <= refused.beyond_room_ratio() + 0.02);
                assert!(held.refused <= refused.refused / 3.0);
                assert!(held.held_in_vain <= 0.01 * held.held);
                assert!(held.late <= 0.01 * held.sent);
            }
        }
    )*};
}

holding! {
    a_swing_is_bridged: swings, gains 0.01;
    a_burst_is_bridged: bursts, gains 0.01;
}
