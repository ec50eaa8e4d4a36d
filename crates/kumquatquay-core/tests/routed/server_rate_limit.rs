//! The rate limit that a backend server advertises, by itself and at a gate, in simulated time.

use std::{collections::VecDeque, time::Duration};

use kumquatquay_core::routed::{
    Admission, AdvertisedRateLimit, BackendLoad, GateCall, HostGate, RouteRunTime, ServerRateLimit,
};
use kumquatquay_wire::{
    BackendLife,
    routed::{KnownLimit, NotRunReason, Priority},
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};

use crate::at_ms;

/// Length of the sliding window in which calls are compared with the limit.
const WINDOW_MS: u64 = 4_000;

/// Time after the first advertised limit that no checked window may include.
const SETTLING_MS: u64 = 3_000;

/// How often the arrivals are compared with the limit.
const CHECK_INTERVAL_MS: u64 = 10;

/// Time after the first report of a limit to a caller from which on its calls count, and for which
/// a higher limit is still allowed after it has changed.
const REPORT_DELAY_MS: u64 = 500;

fn life(name: &str) -> BackendLife {
    BackendLife::without_start(String::from(name))
}

fn limited(per_s: f64) -> ServerRateLimit {
    let mut limit = ServerRateLimit::default();
    limit.on_life(&life("a"));
    limit.on_answer(
        at_ms(0),
        &life("a"),
        at_ms(0),
        AdvertisedRateLimit::PerSecond(per_s),
    );
    limit
}

fn known(limit_per_s: f64, age_ms: u64) -> KnownLimit {
    KnownLimit {
        limit_milli_per_s: (limit_per_s * 1_000.0) as u64,
        age_ms,
    }
}

/// Takes a token whenever there is one, at each millisecond from `from_ms` to `to_ms`, and counts
/// them.
fn take_all(limit: &mut ServerRateLimit, from_ms: u64, to_ms: u64) -> usize {
    let mut count = 0;
    for ms in from_ms..to_ms {
        while limit.has_token(at_ms(ms)) {
            limit.take(at_ms(ms));
            count += 1;
            assert!(count < 1_000_000, "no limit");
        }
    }
    count
}

macro_rules! keeps_the_advertised_limit {
    ($($name:ident: $per_s:expr;)*) => {
        $(
            /// While there are always calls to begin, their rate is the limit or up to a tenth less.
            #[test]
            fn $name() {
                let mut limit = limited($per_s);
                let count = take_all(&mut limit, 0, 60_000) as f64;
                assert!(count <= 60.0 * $per_s + 1.0, "{count}");
                assert!(count >= 0.9 * 60.0 * $per_s, "{count}");
            }
        )*
    };
}

keeps_the_advertised_limit! {
    less_than_one_call_a_second: 0.3;
    one_and_a_half: 1.6;
    forty: 41.9;
    a_thousand: 1_000.0;
}

/// A backend server that takes no calls still gets one every five seconds as a probe: without any
/// calls, it could never lift its limit.
#[test]
fn a_limit_of_zero_lets_probes_through() {
    let mut limit = limited(0.0);
    let count = take_all(&mut limit, 0, 60_000);
    assert!((10..=12).contains(&count), "{count}");
}

/// Tokens left from a higher limit could all be taken at once under the lower one, so they are
/// capped when the limit falls.
#[test]
fn a_lowered_limit_leaves_no_burst() {
    let mut limit = limited(1_000.0);
    limit.on_answer(
        at_ms(10_000),
        &life("a"),
        at_ms(9_990),
        AdvertisedRateLimit::PerSecond(1.0),
    );
    assert!(take_all(&mut limit, 10_000, 14_000) <= 5);
}

/// After a pause, as many calls as the limit allows in a quarter of a second may begin at once,
/// and one more.
#[test]
fn the_burst_after_a_pause_is_small() {
    let mut limit = limited(40.0);
    assert_eq!(take_all(&mut limit, 60_000, 60_001), 11);
}

/// The answer of a long run was written before the server advertised its limit, and is read after
/// one that advertises it. If it were taken for the latest state, all calls would be let through.
#[test]
fn an_answer_to_an_earlier_run_does_not_lift_a_limit() {
    let mut limit = limited(1.0);
    limit.on_answer(
        at_ms(2_000),
        &life("a"),
        at_ms(1_900),
        AdvertisedRateLimit::PerSecond(1.0),
    );
    let change = limit.on_answer(
        at_ms(2_100),
        &life("a"),
        at_ms(1_500),
        AdvertisedRateLimit::None,
    );
    assert_eq!((change, limit.per_s()), (None, Some(1.0)));
    let change = limit.on_answer(
        at_ms(2_200),
        &life("a"),
        at_ms(2_050),
        AdvertisedRateLimit::None,
    );
    assert_eq!(change.unwrap().to_per_s, None);
    assert_eq!(limit.per_s(), None);
}

#[test]
fn a_malformed_limit_changes_nothing() {
    let mut limit = limited(2.0);
    let change = limit.on_answer(
        at_ms(2_000),
        &life("a"),
        at_ms(1_900),
        AdvertisedRateLimit::Malformed,
    );
    assert_eq!((change, limit.per_s()), (None, Some(2.0)));
}

#[test]
fn another_life_starts_without_a_limit() {
    let mut limit = limited(2.0);
    limit.on_life(&life("a"));
    assert_eq!(limit.per_s(), Some(2.0));
    limit.on_life(&life("b"));
    assert_eq!(limit.per_s(), None);
}

/// A node that has just started learns the id of a life first and its start time later. It is the
/// same life, so its limit still applies.
#[test]
fn a_limit_stays_when_the_start_of_its_life_becomes_known() {
    let mut limit = limited(2.0);
    let with_start = BackendLife {
        born_unix_ms: Some(7),
        ..life("a")
    };
    limit.on_life(&with_start);
    assert_eq!(limit.per_s(), Some(2.0));
    limit.on_answer(
        at_ms(9),
        &life("a"),
        at_ms(8),
        AdvertisedRateLimit::PerSecond(3.0),
    );
    assert_eq!(limit.per_s(), Some(3.0));
    let next = BackendLife {
        born_unix_ms: Some(8),
        ..life("a")
    };
    limit.on_life(&next);
    assert_eq!(limit.per_s(), None);
}

/// A node restarts beside a rate limited backend server. The newest limit that its callers know
/// applies until the backend server itself answers.
#[test]
fn a_restarted_node_learns_the_limit_from_its_callers() {
    let mut limit = ServerRateLimit::default();
    limit.on_life(&life("a"));
    let change = limit.on_caller_report(at_ms(10), &life("b"), known(9.0, 0));
    assert_eq!(change, None);
    limit.on_caller_report(at_ms(10), &life("a"), known(2.0, 5_000));
    limit.on_caller_report(at_ms(20), &life("a"), known(3.0, 1_000));
    limit.on_caller_report(at_ms(30), &life("a"), known(4.0, 8_000));
    assert_eq!(limit.per_s(), Some(3.0));
    assert_eq!(limit.age(at_ms(30)), Duration::from_millis(1_010));
    limit.on_answer(at_ms(200), &life("a"), at_ms(15), AdvertisedRateLimit::None);
    assert_eq!(limit.per_s(), None);
    limit.on_caller_report(at_ms(210), &life("a"), known(2.0, 0));
    assert_eq!(limit.per_s(), None);
}

/// A caller disconnects before its call was forwarded: another call may begin in its place.
#[test]
fn a_call_that_was_not_forwarded_takes_no_token() {
    let mut limit = limited(1.0);
    limit.take(at_ms(1_000));
    assert!(!limit.has_token(at_ms(1_000)));
    limit.give_back(at_ms(1_000));
    assert!(limit.has_token(at_ms(1_000)));
}

type Ticket = usize;

fn call(now_ms: u64, priority: Priority) -> GateCall {
    GateCall {
        priority,
        request_priority: priority,
        soft_deadline: at_ms(now_ms + 500),
        deadline: at_ms(now_ms + 2_000),
        run_time: Duration::from_millis(50),
    }
}

fn limited_gate(per_s: f64) -> HostGate<Ticket> {
    let mut gate = HostGate::default();
    gate.set_limit_count(100);
    let limit = gate.rate_limit_mut();
    limit.on_life(&life("a"));
    limit.on_answer(
        at_ms(0),
        &life("a"),
        at_ms(0),
        AdvertisedRateLimit::PerSecond(per_s),
    );
    gate
}

/// A call that would wait for a second is refused at once with the rate limit as the reason:
/// another backend server may have room.
#[test]
fn a_call_does_not_wait_long_for_a_limit() {
    let mut gate = limited_gate(1.0);
    assert_eq!(gate.offer(at_ms(0), call(0, 1), 1), Admission::Refuse(1));
    assert_eq!(gate.refusal(at_ms(0)), NotRunReason::Limited);
    assert!(matches!(
        gate.offer(at_ms(800), call(800, 1), 2),
        Admission::Wait(_)
    ));
    assert_eq!(gate.next(at_ms(990)), None);
    let wait = gate.rate_limit_wait(at_ms(990)).unwrap();
    assert!(wait <= Duration::from_millis(11), "{wait:?}");
    assert_eq!(gate.next(at_ms(1_001)), Some(2));
}

/// Many calls wait for a slot when the limit is first advertised. Those that would wait too long
/// for it are removed, the least important first, so that they can be sent elsewhere.
#[test]
fn a_new_limit_sheds_the_least_important() {
    let mut gate = HostGate::default();
    gate.set_limit_count(1);
    gate.rate_limit_mut().on_life(&life("a"));
    gate.offer(at_ms(0), call(0, 1), 0);
    for ticket in 1..=20 {
        let priority = if ticket % 2 == 0 { 0 } else { 2 };
        gate.offer(at_ms(0), call(0, priority), ticket);
    }
    let limit = AdvertisedRateLimit::PerSecond(20.0);
    gate.rate_limit_mut()
        .on_answer(at_ms(100), &life("a"), at_ms(50), limit);
    let shed = gate.shed(at_ms(100));
    assert_eq!(shed.len(), 15);
    assert!(shed[..10].iter().all(|ticket| ticket % 2 == 1));
}

/// A rate limit counts as the number of slots that it can keep in use: 20 calls a second of 50 ms
/// each keep one of the 100 slots in use.
#[test]
fn a_limit_reduces_the_reported_slots() {
    let mut gate = limited_gate(20.0);
    for _ in 0..100 {
        let run = RouteRunTime {
            route: "r",
            run_time: Duration::from_millis(50),
        };
        gate.ended(Some(run));
    }
    assert!((gate.state().slots - 1.0).abs() < 0.1);
    let report = gate.report(at_ms(0), 1.0);
    assert!((report.slots() - 1.0).abs() < 0.1);
    assert_eq!(report.rate.unwrap().limit_milli_per_s, 20_000);
}

/// Simulates one backend server, its gate, and callers on other hosts that know the limits that
/// were reported to them.
struct Simulation {
    random: StdRng,
    now_ms: u64,
    gate: HostGate<Ticket>,
    /// Callers of all calls, by ticket.
    callers: Vec<usize>,
    /// Calls at the backend server: end, start, caller.
    running: Vec<(u64, u64, usize)>,
    limit: AdvertisedRateLimit,
    first_advertised_ms: Option<u64>,
    /// The advertised limit in calls a second, at each check; infinite without a limit.
    limits: Vec<f64>,
    /// The highest of the limits in the last half second, at each check.
    allowed: Vec<f64>,
    /// The limit that was last reported to each caller, and when.
    reported: Vec<Option<(KnownLimit, u64)>>,
    /// When a limit was first reported to each caller.
    first_reported_ms: Vec<Option<u64>>,
    /// Calls in the window that count: start, caller.
    arrivals: VecDeque<(u64, usize)>,
    arrivals_count: usize,
    max_excess: f64,
}

/// Callers in the simulation.
const CALLERS_COUNT: usize = 8;

/// Slots of the backend server in the simulation.
const SLOTS: usize = 60;

fn new_gate() -> HostGate<Ticket> {
    let mut gate = HostGate::default();
    gate.set_limit_count(SLOTS);
    gate.rate_limit_mut().on_life(&life("a"));
    gate
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            now_ms: 0,
            gate: new_gate(),
            callers: Vec::new(),
            running: Vec::new(),
            limit: AdvertisedRateLimit::None,
            first_advertised_ms: None,
            limits: Vec::new(),
            allowed: Vec::new(),
            reported: vec![None; CALLERS_COUNT],
            first_reported_ms: vec![None; CALLERS_COUNT],
            arrivals: VecDeque::new(),
            arrivals_count: 0,
            max_excess: f64::NEG_INFINITY,
        }
    }

    /// The node beside the backend server restarts; the calls that waited there are lost.
    fn restart(&mut self) {
        self.gate = new_gate();
    }

    /// The backend server changes the limit that it advertises.
    fn advertise(&mut self, per_s: Option<f64>) {
        self.limit = per_s.map_or(AdvertisedRateLimit::None, AdvertisedRateLimit::PerSecond);
        if per_s.is_some() {
            self.first_advertised_ms.get_or_insert(self.now_ms);
        }
    }

    /// Simulates one millisecond in which calls arrive at this rate.
    fn step(&mut self, offered_per_s: f64) {
        let now = at_ms(self.now_ms);
        self.end_runs();
        while let Some(ticket) = self.gate.next(now) {
            self.begin(self.callers[ticket]);
        }
        let mut expected_calls = offered_per_s / 1_000.0;
        while expected_calls > 0.0 && self.random.random_bool(expected_calls.min(1.0)) {
            self.offer();
            expected_calls -= 1.0;
        }
        if self.now_ms.is_multiple_of(CHECK_INTERVAL_MS) {
            self.check_window();
        }
        self.now_ms += 1;
    }

    fn offer(&mut self) {
        let now = at_ms(self.now_ms);
        let caller = self.random.random_range(0..CALLERS_COUNT);
        if let Some((known, reported_ms)) = self.reported[caller] {
            let age_ms = self.now_ms - reported_ms;
            let known = KnownLimit { age_ms, ..known };
            self.gate
                .rate_limit_mut()
                .on_caller_report(now, &life("a"), known);
        }
        let ticket = self.callers.len();
        self.callers.push(caller);
        let priority = self.random.random_range(0..3);
        if self.gate.offer(now, call(self.now_ms, priority), ticket) == Admission::Run {
            self.begin(caller);
        }
    }

    fn begin(&mut self, caller: usize) {
        let run_time_ms = self.random.random_range(5..400);
        self.running
            .push((self.now_ms + run_time_ms, self.now_ms, caller));
        self.arrivals_count += 1;
        let reported_ms = self.first_reported_ms[caller];
        if reported_ms.is_some_and(|reported_ms| reported_ms + REPORT_DELAY_MS <= self.now_ms) {
            self.arrivals.push_back((self.now_ms, caller));
        }
    }

    fn end_runs(&mut self) {
        let now = at_ms(self.now_ms);
        let (ended, running) = self
            .running
            .drain(..)
            .partition(|(end_ms, ..)| *end_ms <= self.now_ms);
        self.running = running;
        let ended: Vec<(u64, u64, usize)> = ended;
        for (_, start_ms, caller) in ended {
            let limit = self.gate.rate_limit_mut();
            limit.on_answer(now, &life("a"), at_ms(start_ms), self.limit);
            self.gate.on_backend_load(BackendLoad {
                running_count: self.running.len(),
                waiting_count: 0,
            });
            self.gate.ended(Some(RouteRunTime {
                route: "r",
                run_time: at_ms(self.now_ms - start_ms),
            }));
            let rate = self.gate.report(now, 1.0).rate;
            self.reported[caller] = rate.map(|rate| {
                let limit_milli_per_s = rate.limit_milli_per_s;
                let known = KnownLimit {
                    limit_milli_per_s,
                    age_ms: 0,
                };
                (known, self.now_ms)
            });
            if matches!(self.limit, AdvertisedRateLimit::PerSecond(_)) {
                self.first_reported_ms[caller].get_or_insert(self.now_ms);
            }
        }
    }

    /// Compares the calls in the last window with the limit. Callers learn of a limit only with
    /// an answer, so at each time the highest limit of the last half second is allowed.
    fn check_window(&mut self) {
        self.limits.push(match self.limit {
            AdvertisedRateLimit::PerSecond(per_s) => per_s,
            _ => f64::INFINITY,
        });
        let delay_checks = (REPORT_DELAY_MS / CHECK_INTERVAL_MS) as usize;
        let recent = self.limits.iter().rev().take(delay_checks + 1);
        self.allowed.push(recent.copied().fold(0.0, f64::max));
        while let Some((at_ms, _)) = self.arrivals.front()
            && at_ms + WINDOW_MS <= self.now_ms
        {
            self.arrivals.pop_front();
        }
        let from_ms = self.now_ms.saturating_sub(WINDOW_MS);
        let is_settled = self
            .first_advertised_ms
            .is_some_and(|advertised_ms| advertised_ms + SETTLING_MS <= from_ms);
        if !is_settled {
            return;
        }
        let window_checks = (WINDOW_MS / CHECK_INTERVAL_MS) as usize;
        let allowed = self.allowed.iter().rev().take(window_checks);
        let allowed = allowed.sum::<f64>() * at_ms(CHECK_INTERVAL_MS).as_secs_f64();
        let excess = self.arrivals.len() as f64 - (1.5 * allowed + 5.0);
        self.max_excess = self.max_excess.max(excess);
    }
}

/// A backend server advertises changing limits, and at times none, while the node beside it
/// restarts again and again and forgets the limit. Callers go on sending, and no window may have
/// more than one and a half times the calls that the limit allows, and five.
#[test]
fn no_window_exceeds_the_limit_while_nodes_restart() {
    for seed in 0..40 {
        let mut simulation = Simulation::new(seed);
        let offered_per_s = *[20.0, 80.0, 300.0].choose(&mut simulation.random).unwrap();
        for ms in 0..40_000 {
            if ms >= 2_000 && simulation.random.random_ratio(1, 5_000) || ms == 2_000 {
                let limits = [0.0, 0.4, 1.0, 1.6, 5.0, 41.9, 1_000.0];
                let limit = *limits.choose(&mut simulation.random).unwrap();
                simulation.advertise(Some(limit));
            }
            if ms >= 2_000 && simulation.random.random_ratio(1, 20_000) {
                simulation.advertise(None);
            }
            if simulation.random.random_ratio(1, 3_000) {
                simulation.restart();
            }
            simulation.step(offered_per_s);
        }
        assert!(simulation.first_advertised_ms.is_some());
        let excess = simulation.max_excess;
        assert!(
            excess <= 0.0,
            "seed {seed}: {excess} calls over what is allowed"
        );
    }
}

/// While callers send more calls than the limit allows, a rate limited backend server gets at
/// least nine tenths of it.
#[test]
fn nine_tenths_of_a_limit_are_used() {
    for (seed, per_s) in [1.0, 1.6, 5.0, 41.9, 120.0].into_iter().enumerate() {
        let mut simulation = Simulation::new(seed as u64);
        simulation.advertise(Some(per_s));
        for _ in 0..5_000 {
            simulation.step(2.0 * per_s + 20.0);
        }
        let before = simulation.arrivals_count;
        for _ in 0..30_000 {
            simulation.step(2.0 * per_s + 20.0);
        }
        let used = (simulation.arrivals_count - before) as f64 / (30.0 * per_s);
        assert!(used >= 0.9, "{used} of {per_s} a second");
    }
}
