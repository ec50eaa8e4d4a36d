//! Requests that are held at the entry until there is room for them.

use std::{collections::VecDeque, time::Duration};

use kumquatquay_core::routed::{
    EntryQueue, FlowKey, HoldDecision, HoldRequest, ReleaseReason, ReleasedRequest, RetryAfter,
};
use quickcheck::{TestResult, quickcheck};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::at_ms;

const TARGET_LATENCY: Duration = Duration::from_secs(5);
const LATENCY: Duration = Duration::from_millis(900);

fn flow(priority: u32) -> FlowKey {
    FlowKey {
        route: String::from("timetable"),
        service: String::from("schedule"),
        priority,
        claimant: String::from("harbour"),
    }
}

/// A queue that has learnt how long requests on the route take.
fn queue<T>() -> EntryQueue<T> {
    let mut queue = EntryQueue::default();
    for _ in 0..200 {
        queue.on_answer("timetable", LATENCY);
    }
    queue
}

fn offer(
    queue: &mut EntryQueue<u32>,
    now_ms: u64,
    admission_probability: f64,
    ticket: u32,
) -> HoldDecision {
    let request = HoldRequest {
        flow: &flow(2),
        admission_probability,
        soft_deadline: at_ms(now_ms) + TARGET_LATENCY,
        held_bytes: 1_000,
    };
    let mut random = StdRng::seed_from_u64(u64::from(ticket));
    queue.offer(at_ms(now_ms), &request, ticket, &mut random)
}

/// Offers requests until one is held, which uses up the credit of its flow; returns its ticket.
fn held(queue: &mut EntryQueue<u32>, now_ms: u64, admission_probability: f64) -> u32 {
    (0..10)
        .find(|ticket| {
            matches!(
                offer(queue, now_ms, admission_probability, *ticket),
                HoldDecision::Held(_)
            )
        })
        .unwrap()
}

fn reasons(released: &[ReleasedRequest<u32>]) -> Vec<ReleaseReason> {
    released.iter().map(|released| released.reason).collect()
}

#[test]
fn with_room_for_all_no_request_is_held() {
    let mut queue = queue();
    for ticket in 0..100 {
        let now_ms = u64::from(ticket) * 10;
        assert_eq!(
            offer(&mut queue, now_ms, 1.0, ticket),
            HoldDecision::Admitted
        );
    }
    assert_eq!(queue.held_count(), 0);
}

#[test]
fn a_held_request_is_admitted_when_the_shortage_ends() {
    let mut queue = queue();
    let ticket = held(&mut queue, 0, 0.6);
    let released = (25..5_000)
        .step_by(25)
        .find_map(|now_ms| queue.release(at_ms(now_ms), |_| 1.0).pop());
    let released = released.unwrap();
    assert_eq!(released.ticket, ticket);
    assert_eq!(released.reason, ReleaseReason::RoomAvailable);
    assert_eq!((queue.held_count(), queue.held_bytes()), (0, 0));
}

/// At the last moment at which a held request can still be answered in time, it is admitted. If
/// it were refused then, its caller would have waited for nothing.
#[test]
fn a_held_request_is_admitted_when_it_can_wait_no_longer() {
    let mut queue = queue();
    held(&mut queue, 0, 0.6);
    // No release runs before this one, so none has refused the request for lack of room.
    let released = queue.release(at_ms(0) + TARGET_LATENCY - LATENCY, |_| 0.0);
    assert_eq!(reasons(&released), [ReleaseReason::WaitExhausted]);
}

#[test]
fn a_held_request_is_refused_soon_if_no_room_appears() {
    let mut queue = queue();
    held(&mut queue, 0, 0.6);
    let (now_ms, released) = (25..5_000)
        .step_by(25)
        .map(|now_ms| (now_ms, queue.release(at_ms(now_ms), |_| 0.0)))
        .find(|(_, released)| !released.is_empty())
        .unwrap();
    assert!(matches!(
        reasons(&released)[..],
        [ReleaseReason::NoRoom { .. }]
    ));
    assert!(now_ms < 3_000, "{now_ms}");
}

#[test]
fn a_request_that_would_be_late_anyway_is_not_held() {
    let mut queue = EntryQueue::default();
    for _ in 0..200 {
        queue.on_answer("timetable", TARGET_LATENCY);
    }
    for ticket in 0..100 {
        let offer = offer(&mut queue, 0, 0.2, ticket);
        assert!(!matches!(offer, HoldDecision::Held(_)));
    }
}

/// After a start, it is not known how long requests on a route take, and so not how long they
/// can wait.
#[test]
fn no_request_is_held_on_a_route_without_answers() {
    let mut queue = EntryQueue::default();
    for ticket in 0..100 {
        let offer = offer(&mut queue, 0, 0.2, ticket);
        assert!(!matches!(offer, HoldDecision::Held(_)));
    }
}

#[test]
fn without_any_room_no_request_is_held() {
    let mut queue = queue();
    for ticket in 0..100 {
        let offer = offer(&mut queue, 0, 0.0, ticket);
        assert!(!matches!(offer, HoldDecision::Held(_)), "{offer:?}");
    }
}

#[test]
fn the_request_of_a_caller_that_disconnects_takes_no_memory() {
    let mut queue = queue();
    let keys: Vec<_> = (0..20)
        .filter_map(|ticket| match offer(&mut queue, 0, 0.5, ticket) {
            HoldDecision::Held(key) => Some(key),
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
fn all_held_requests_can_be_withdrawn_at_once() {
    let mut queue = queue();
    held(&mut queue, 0, 0.5);
    held(&mut queue, 10, 0.5);
    assert_eq!(queue.withdraw_all().len(), 2);
    assert_eq!((queue.held_count(), queue.held_bytes()), (0, 0));
    assert!(queue.release(at_ms(9_000), |_| 1.0).is_empty());
}

#[test]
fn the_most_important_requests_are_offered_first() {
    let mut queue = queue::<u32>();
    let mut random = StdRng::seed_from_u64(1);
    for priority in [3, 1, 2] {
        let flow = flow(priority);
        let request = HoldRequest {
            flow: &flow,
            admission_probability: 0.6,
            soft_deadline: TARGET_LATENCY,
            held_bytes: 1_000,
        };
        for _ in 0..3 {
            queue.offer(at_ms(0), &request, priority, &mut random);
        }
    }
    let mut offered = Vec::new();
    queue.release(at_ms(2_500), |flow| {
        offered.push(flow.priority);
        0.5
    });
    offered.dedup();
    assert_eq!(offered, [1, 2, 3]);
}

quickcheck! {
    /// Whatever requests are offered, in whatever order: those that are held are counted, their
    /// bytes are bounded, and each is released once.
    fn each_held_request_is_released_once(steps: Vec<(u16, u8, u32)>) -> TestResult {
        let mut queue = queue();
        let mut held = 0_usize;
        let mut now = Duration::ZERO;
        for (ticket, (pause_ms, probability_byte, bytes)) in steps.into_iter().enumerate() {
            now += Duration::from_millis(u64::from(pause_ms % 300));
            let admission_probability = f64::from(probability_byte) / 255.0;
            let request = HoldRequest {
                flow: &flow(u32::from(pause_ms % 3)),
                admission_probability,
                soft_deadline: now + TARGET_LATENCY,
                held_bytes: bytes as usize,
            };
            let mut random = StdRng::seed_from_u64(ticket as u64);
            let offer = queue.offer(now, &request, ticket, &mut random);
            held += usize::from(matches!(offer, HoldDecision::Held(_)));
            held -= queue.release(now, |_| admission_probability).len();
            if queue.held_count() != held || queue.held_bytes() > 4 * 1024 * 1024 {
                return TestResult::failed();
            }
        }
        held -= queue.withdraw_all().len();
        TestResult::from_bool(held == 0 && queue.held_bytes() == 0)
    }
}

/// What entries do with a request for which there is no room now.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// Admit with the admission probability; refused callers retry once.
    Refuse,
    Hold,
}

/// Many entries before one service, whose room for the requests of one flow changes.
///
/// Entries learn the admission probability some tenths of a second late. It is the share of the
/// requests offered at all entries that there was room for.
struct EntrySimulation {
    policy: Policy,
    entries: Vec<EntryQueue<SentRequest>>,
    random: StdRng,
    /// Offers in the last steps, the oldest first.
    offers: VecDeque<f64>,
    /// Admission probabilities that the entries don't know yet, the oldest first.
    admission_probabilities: VecDeque<f64>,
    retrying: Vec<SentRequest>,
    totals: Totals,
}

#[derive(Clone, Copy, Debug)]
struct SentRequest {
    first_sent: Duration,
    arrives: Duration,
    is_retry: bool,
}

#[derive(Debug, Default)]
struct Totals {
    sent: f64,
    in_time: f64,
    late: f64,
    /// Refused again after the retry.
    refused: f64,
    /// Held, and then refused.
    held_then_refused: f64,
    held: f64,
    /// By step.
    admissions: Vec<StepAdmissions>,
}

/// Requests admitted in a step, and how many there was room for.
#[derive(Clone, Copy, Debug)]
struct StepAdmissions {
    count: f64,
    room: f64,
}

impl Totals {
    fn in_time_ratio(&self) -> f64 {
        self.in_time / self.sent
    }

    /// Requests admitted beyond the room of their second, as a share of all that were sent.
    fn beyond_room_ratio(&self) -> f64 {
        let beyond = self.admissions.chunks(10).map(|second| {
            let excess = second.iter().map(|step| step.count - step.room);
            excess.sum::<f64>().max(0.0)
        });
        beyond.sum::<f64>() / self.sent
    }
}

const STEP: Duration = Duration::from_millis(100);
const ENTRIES: usize = 60;
/// Steps over which offers are averaged for the admission probability, and after which entries
/// learn it.
const PROBABILITY_STEPS: usize = 5;

impl EntrySimulation {
    fn new(policy: Policy, seed: u64) -> Self {
        Self {
            policy,
            entries: (0..ENTRIES).map(|_| queue()).collect(),
            random: StdRng::seed_from_u64(seed),
            offers: VecDeque::from(vec![0.0; PROBABILITY_STEPS]),
            admission_probabilities: VecDeque::from(vec![1.0; PROBABILITY_STEPS]),
            retrying: Vec::new(),
            totals: Totals::default(),
        }
    }

    /// One step with `mean_arrivals` new requests on average and room for `room` requests.
    fn step(&mut self, now: Duration, mean_arrivals: f64, room: f64) {
        self.totals
            .admissions
            .push(StepAdmissions { count: 0.0, room });
        let admission_probability = self.admission_probabilities.pop_front().unwrap();
        let mut offers = 0.0;
        let arrivals = mean_arrivals + mean_arrivals.sqrt() * self.random.random_range(-1.7..1.7);
        let fresh = (0..arrivals.max(0.0) as u32).map(|_| SentRequest {
            first_sent: now,
            arrives: now,
            is_retry: false,
        });
        let (due, later) = self
            .retrying
            .drain(..)
            .partition(|sent| sent.arrives <= now);
        self.retrying = later;
        let arrived: Vec<SentRequest> = Vec::into_iter(due).chain(fresh).collect();
        for sent in arrived {
            self.totals.sent += f64::from(u8::from(!sent.is_retry));
            offers += 1.0;
            self.offer(now, sent, admission_probability);
        }
        for entry in 0..ENTRIES {
            let released = self.entries[entry].release(now, |_| {
                offers += 1.0;
                admission_probability
            });
            for ReleasedRequest { ticket, reason } in released {
                match reason {
                    ReleaseReason::RoomAvailable | ReleaseReason::WaitExhausted => {
                        self.admit(now, ticket);
                    }
                    ReleaseReason::NoRoom { room_expected_in } => {
                        self.totals.held_then_refused += 1.0;
                        self.refuse(now, ticket, room_expected_in);
                    }
                }
            }
        }
        self.offers.pop_front();
        self.offers.push_back(offers);
        let mean = self.offers.iter().sum::<f64>() / PROBABILITY_STEPS as f64;
        self.admission_probabilities
            .push_back((room / mean.max(1e-3)).min(1.0));
    }

    fn offer(&mut self, now: Duration, sent: SentRequest, admission_probability: f64) {
        if admission_probability >= 1.0 {
            return self.admit(now, sent);
        }
        if self.policy == Policy::Refuse {
            if self.random.random::<f64>() < admission_probability {
                return self.admit(now, sent);
            }
            return self.refuse(now, sent, None);
        }
        let entry = self.random.random_range(0..ENTRIES);
        let request = HoldRequest {
            flow: &flow(2),
            admission_probability,
            soft_deadline: sent.first_sent + TARGET_LATENCY,
            held_bytes: 1_000,
        };
        match self.entries[entry].offer(now, &request, sent, &mut self.random) {
            HoldDecision::Admitted => self.admit(now, sent),
            HoldDecision::Held(_) => self.totals.held += 1.0,
            HoldDecision::Refused { room_expected_in } => self.refuse(now, sent, room_expected_in),
        }
    }

    fn admit(&mut self, now: Duration, sent: SentRequest) {
        self.totals.admissions.last_mut().unwrap().count += 1.0;
        if now + LATENCY <= sent.first_sent + TARGET_LATENCY + STEP {
            self.totals.in_time += 1.0;
        } else {
            self.totals.late += 1.0;
        }
    }

    fn refuse(&mut self, now: Duration, sent: SentRequest, room_expected_in: Option<Duration>) {
        if sent.is_retry {
            self.totals.refused += 1.0;
            return;
        }
        let delay = RetryAfter {
            target_latency: TARGET_LATENCY,
            time_left: Some((sent.first_sent + 2 * TARGET_LATENCY).saturating_sub(now)),
            shortage_duration: Duration::ZERO,
            room_expected_in,
        };
        let arrives = now + delay.sample(&mut self.random);
        self.retrying.push(SentRequest {
            arrives,
            is_retry: true,
            ..sent
        });
    }
}

/// Simulates a minute with `per_s` requests a second and the room that `room_per_s` gives for
/// each time in seconds.
fn simulate(policy: Policy, seed: u64, per_s: f64, room_per_s: impl Fn(f64) -> f64) -> Totals {
    let mut simulation = EntrySimulation::new(policy, seed);
    for step in 0..600 {
        let now = STEP * step;
        let room = room_per_s(now.as_secs_f64());
        simulation.step(now, per_s / 10.0, room / 10.0);
    }
    simulation.totals
}

/// Room for the least important requests, which rises and falls with the demand of the others in
/// a period of eleven seconds.
fn oscillating_room(at_s: f64) -> f64 {
    105.0 + 50.0 * (at_s * std::f64::consts::TAU / 11.0).sin()
}

/// Room for two fifths of the requests in four seconds out of twelve, and for more than all in
/// the others.
fn room_between_bursts(at_s: f64) -> f64 {
    if at_s % 12.0 < 4.0 { 40.0 } else { 140.0 }
}

macro_rules! holding_gains {
    ($($name:ident: $room:expr, gains $gain:expr;)*) => {$(
        /// Refused callers retry at random times, and many are refused again. With holding, more
        /// requests are answered in time, the service isn't overloaded more than without, there
        /// are at most a third of the refusals, and hardly any held request is refused or late.
        #[test]
        fn $name() {
            for seed in 1..=5 {
                let refused = simulate(Policy::Refuse, seed, 100.0, $room);
                let held = simulate(Policy::Hold, seed, 100.0, $room);
                assert!(held.in_time_ratio() >= refused.in_time_ratio() + $gain);
                assert!(held.beyond_room_ratio() <= refused.beyond_room_ratio() + 0.02);
                assert!(held.refused <= refused.refused / 3.0);
                assert!(held.held_then_refused <= 0.01 * held.held);
                assert!(held.late <= 0.01 * held.sent);
            }
        }
    )*};
}

holding_gains! {
    holding_bridges_oscillations: oscillating_room, gains 0.01;
    holding_bridges_bursts: room_between_bursts, gains 0.01;
}
