//! Simulates root requests of several kinds that call one service, in virtual time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::SocketAddr,
    time::Duration,
};

use kumquatquay_core::routed::{
    Admission, AdvertisedRateLimit, EntryAdmission, EntryRequest, GateCall, HostGate,
    LevelController, QueueOrder, RouteRunTime,
};
use kumquatquay_wire::{
    BackendLife,
    routed::{NotRunReason, Priority, RouteEstimate, ServiceDemand},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// The service that is called.
const SERVICE: &str = "timetable";

/// Interval at which a gate sends updates of a route to an entry.
const ROUTE_UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// Period of the wave in which the load varies, in seconds.
const WAVE_PERIOD_S: f64 = 15.0;

/// Maximum number of gates to which one call is offered.
const MAX_OFFERS_COUNT: usize = 4;

/// Minimum time for which an entry excludes a gate that has refused a call for its rate limit.
const MIN_EXCLUSION_TIME: Duration = Duration::from_millis(20);

/// Interval at which gates update their admission levels.
const LEVEL_INTERVAL: Duration = Duration::from_millis(100);

/// A kind of root request. Its calls are made one after the other, on a route of its own.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) route: &'static str,
    pub(crate) priority: Priority,
    pub(crate) requests_per_s: f64,
    pub(crate) calls_count: u32,
    pub(crate) run_time: Duration,
    /// Time within which its answer has its full value.
    pub(crate) target_latency: Duration,
    /// Target latency of each of its calls, as known to the gate.
    pub(crate) call_target_latency: Duration,
    /// Time after which its answer is worthless.
    pub(crate) timeout: Duration,
}

/// Settings of a simulation, apart from the requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MeshSettings {
    pub(crate) entries_count: usize,
    pub(crate) gates_count: usize,
    pub(crate) slots_count: usize,
    /// Whether gates track the run times of calls by route.
    pub(crate) has_route_run_times: bool,
    pub(crate) order: QueueOrder,
    /// Amplitude of the wave in which the load varies, as a share of the mean load.
    pub(crate) swing_ratio: f64,
    pub(crate) seed: u64,
}

/// Results of the requests of one kind that arrived while results were recorded.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) offered_count: u32,
    /// Refused at the entry.
    pub(crate) refused_count: u32,
    /// Admitted, but one of its calls was refused or evicted, or it timed out.
    pub(crate) lost_count: u32,
    /// Answered within the timeout, but after the target latency.
    pub(crate) late_count: u32,
    /// Answered within the target latency.
    pub(crate) timely_count: u32,
}

impl Outcome {
    pub(crate) fn served_count(&self) -> u32 {
        self.late_count + self.timely_count
    }

    /// Share of the requests that were answered within the target latency.
    pub(crate) fn timely_ratio(&self) -> f64 {
        f64::from(self.timely_count) / f64::from(self.offered_count.max(1))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request arrives.
    Request { kind: usize },
    /// A call has ended at a gate.
    Ended {
        gate: usize,
        call: Call,
        run_time_us: u64,
    },
    /// The rate limit of a backend server allows another call.
    Admit { gate: usize },
    /// Gates update their admission levels.
    Levels,
}

/// A call of a request that arrived at an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Call {
    kind: usize,
    entry: usize,
    arrived_at: Duration,
    done_count: u32,
}

struct Gate {
    gate: HostGate<Call>,
    level: LevelController,
}

/// Simulated entries, gates of one service, and requests that arrive at random.
pub(crate) struct CallMesh {
    settings: MeshSettings,
    kinds: Vec<Kind>,
    priorities: BTreeMap<String, Priority>,
    entries: Vec<EntryAdmission>,
    gates: Vec<Gate>,
    updated_at: BTreeMap<(usize, usize, usize), Duration>,
    /// By entry and gate: until when the entry excludes the gate for its rate limit.
    excluded_until: BTreeMap<(usize, usize), Duration>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    random: StdRng,
    recorded_from: Duration,
    pub(crate) outcomes: Vec<Outcome>,
    /// Run time of calls that ended while results were recorded.
    slot_time: Duration,
    recorded_until: Duration,
}

impl CallMesh {
    pub(crate) fn new(settings: MeshSettings, kinds: &[Kind]) -> Self {
        let gate = || {
            let gate = HostGate::default().order(settings.order);
            let mut gate = if settings.has_route_run_times {
                gate
            } else {
                gate.without_route_run_times()
            };
            gate.set_limit_count(settings.slots_count / settings.gates_count);
            Gate {
                gate,
                level: LevelController::default(),
            }
        };
        let priorities = kinds
            .iter()
            .map(|kind| (String::from(kind.route), kind.priority));
        let entries = (0..settings.entries_count).map(|_| EntryAdmission::default());
        Self {
            settings,
            priorities: priorities.collect(),
            entries: entries.collect(),
            gates: (0..settings.gates_count).map(|_| gate()).collect(),
            updated_at: BTreeMap::new(),
            excluded_until: BTreeMap::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            random: StdRng::seed_from_u64(settings.seed),
            recorded_from: Duration::MAX,
            outcomes: vec![Outcome::default(); kinds.len()],
            slot_time: Duration::ZERO,
            recorded_until: Duration::MAX,
            kinds: kinds.to_vec(),
        }
    }

    /// Limits the backend servers of the first gates to this many calls a second.
    pub(crate) fn limit_gates(&mut self, gates_count: usize, per_s: f64) {
        let life = BackendLife::without_start("limited");
        for gate in &mut self.gates[..gates_count] {
            let limit = gate.gate.rate_limit_mut();
            limit.on_life(&life);
            let advertised = AdvertisedRateLimit::PerSecond(per_s);
            limit.on_answer(Duration::ZERO, &life, Duration::ZERO, advertised);
        }
    }

    /// Lets requests arrive for `warm_up`, and then for `recorded`, in which results are recorded.
    pub(crate) fn run(&mut self, warm_up: Duration, recorded: Duration) {
        self.recorded_from = warm_up;
        self.recorded_until = warm_up + recorded;
        for kind in 0..self.kinds.len() {
            self.at(Duration::ZERO, Event::Request { kind });
        }
        self.at(LEVEL_INTERVAL, Event::Levels);
        // The last requests have time to be answered.
        let until = self.recorded_until + Duration::from_secs(5);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now >= until {
                return;
            }
            match event {
                Event::Request { kind } => self.request(now, kind),
                Event::Ended {
                    gate,
                    call,
                    run_time_us,
                } => self.ended(now, gate, call, Duration::from_micros(run_time_us)),
                Event::Admit { gate } => self.admit_waiting(now, gate),
                Event::Levels => self.update_levels(now),
            }
        }
    }

    /// Share of the slots that was used while results were recorded.
    pub(crate) fn used_ratio(&self) -> f64 {
        let recorded = self.recorded_until - self.recorded_from;
        self.slot_time.as_secs_f64() / recorded.as_secs_f64() / self.settings.slots_count as f64
    }

    /// Mean number of slots that this many requests of a kind use.
    pub(crate) fn slots_of(&self, kind: usize, requests_count: u32) -> f64 {
        let recorded = self.recorded_until - self.recorded_from;
        let kind = self.kinds[kind];
        let run_time_s = kind.run_time.as_secs_f64() * f64::from(kind.calls_count);
        run_time_s * f64::from(requests_count) / recorded.as_secs_f64()
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn request(&mut self, now: Duration, kind: usize) {
        let settings = self.kinds[kind];
        let uniform: f64 = self.random.random_range(1e-9..1.0);
        let turns = now.as_secs_f64() / WAVE_PERIOD_S;
        let swing = 1.0 + self.settings.swing_ratio * (turns * std::f64::consts::TAU).sin();
        let pause_s = -uniform.ln() / (settings.requests_per_s * swing);
        self.at(
            now + Duration::from_secs_f64(pause_s),
            Event::Request { kind },
        );
        let entry = self.random.random_range(0..self.entries.len());
        let request = EntryRequest {
            route: settings.route,
            service: settings.route,
            priority: settings.priority,
            tie_breaker: self.random.random(),
        };
        let admitted = self.entries[entry].admit(now, &request, &self.priorities);
        let call = Call {
            kind,
            entry,
            arrived_at: now,
            done_count: 0,
        };
        self.count(call, |outcome| outcome.offered_count += 1);
        if admitted.is_err() {
            self.count(call, |outcome| outcome.refused_count += 1);
            return;
        }
        self.send(now, call);
    }

    fn count(&mut self, call: Call, count: impl FnOnce(&mut Outcome)) {
        if (self.recorded_from..self.recorded_until).contains(&call.arrived_at) {
            count(&mut self.outcomes[call.kind]);
        }
    }

    /// Offers a call to one gate after the other while they refuse it for their rate limits. Does
    /// the same for calls that this one evicts from a queue.
    fn send(&mut self, now: Duration, call: Call) {
        let mut pending = vec![(call, MAX_OFFERS_COUNT)];
        while let Some((call, offers_left)) = pending.pop() {
            let Some(gate) = self.pick_gate(now, call.entry) else {
                self.count(call, |outcome| outcome.lost_count += 1);
                continue;
            };
            for lost in self.offer(now, gate, call) {
                let offers_left = if lost == call { offers_left - 1 } else { 1 };
                if offers_left > 0 && self.exclude_if_rate_limited(now, lost.entry, gate) {
                    pending.push((lost, offers_left));
                } else {
                    self.count(lost, |outcome| outcome.lost_count += 1);
                }
            }
        }
    }

    /// Excludes a gate at an entry if it refuses calls for its rate limit. Returns whether it does.
    fn exclude_if_rate_limited(&mut self, now: Duration, entry: usize, gate: usize) -> bool {
        let from = &self.gates[gate].gate;
        if from.refusal(now) != NotRunReason::Limited {
            return false;
        }
        let rate = from.report(now, 1.0).rate;
        let wait = rate.map(|rate| rate.wait()).unwrap_or_default();
        let until = now + wait.max(MIN_EXCLUSION_TIME);
        self.excluded_until.insert((entry, gate), until);
        true
    }

    /// Offers a call to a gate. Returns the calls that the gate refuses or evicts.
    fn offer(&mut self, now: Duration, gate: usize, call: Call) -> Vec<Call> {
        let kind = self.kinds[call.kind];
        let known = self.entries[call.entry].level(now, SERVICE);
        let known_level = known.map_or(1.0, |(level, _)| level);
        let to = &mut self.gates[gate];
        let run_time = to.gate.run_times().estimate(kind.route);
        to.level.on_arrival(known_level, run_time);
        let asked = GateCall {
            priority: 0,
            request_priority: kind.priority,
            soft_deadline: now + kind.call_target_latency,
            deadline: call.arrived_at + kind.timeout,
            run_time,
        };
        let lost = match to.gate.offer(now, asked, call) {
            Admission::Run => {
                self.start(now, gate, call);
                Vec::new()
            }
            Admission::Wait(_) => Vec::new(),
            Admission::Evict(_, evicted) => evicted,
            Admission::Refuse(refused) => vec![refused],
        };
        self.schedule_admission(now, gate);
        lost
    }

    fn admit_waiting(&mut self, now: Duration, gate: usize) {
        while let Some(next) = self.gates[gate].gate.next(now) {
            self.start(now, gate, next);
        }
        self.schedule_admission(now, gate);
    }

    fn schedule_admission(&mut self, now: Duration, gate: usize) {
        if let Some(wait) = self.gates[gate].gate.rate_limit_wait(now) {
            self.at(now + wait, Event::Admit { gate });
        }
    }

    /// Picks the less loaded of two random gates that the entry doesn't exclude, if there are any.
    fn pick_gate(&mut self, now: Duration, entry: usize) -> Option<usize> {
        let is_excluded = |gate: usize| {
            let until = self.excluded_until.get(&(entry, gate));
            until.is_some_and(|until| now < *until)
        };
        let open: Vec<usize> = (0..self.gates.len())
            .filter(|gate| !is_excluded(*gate))
            .collect();
        if open.is_empty() {
            return None;
        }
        let mut any = || open[self.random.random_range(0..open.len())];
        let (one, other) = (any(), any());
        let cost = |gate: usize| {
            let report = self.gates[gate].gate.report(now, 1.0);
            let wait = report.rate.map(|rate| rate.wait()).unwrap_or_default();
            (wait, report.fill_ratio())
        };
        Some(if cost(one) <= cost(other) { one } else { other })
    }

    fn start(&mut self, now: Duration, gate: usize, call: Call) {
        let run_time = self.kinds[call.kind].run_time;
        let run_time = run_time.mul_f64(self.random.random_range(0.6..1.4));
        let run_time_us = run_time.as_micros() as u64;
        self.at(
            now + run_time,
            Event::Ended {
                gate,
                call,
                run_time_us,
            },
        );
    }

    fn ended(&mut self, now: Duration, gate: usize, call: Call, run_time: Duration) {
        let kind = self.kinds[call.kind];
        let route = kind.route;
        if (self.recorded_from..self.recorded_until).contains(&now) {
            self.slot_time += run_time;
        }
        self.gates[gate]
            .gate
            .ended(Some(RouteRunTime { route, run_time }));
        self.admit_waiting(now, gate);
        self.report(now, gate, call);
        let call = Call {
            done_count: call.done_count + 1,
            ..call
        };
        if call.done_count < kind.calls_count && now < call.arrived_at + kind.timeout {
            self.send(now, call);
            return;
        }
        let took = now - call.arrived_at;
        if took <= kind.target_latency {
            self.count(call, |outcome| outcome.timely_count += 1);
        } else if took <= kind.timeout {
            self.count(call, |outcome| outcome.late_count += 1);
        } else {
            self.count(call, |outcome| outcome.lost_count += 1);
        }
    }

    /// Reports the load of the gate to an entry with an answer, and updates its route at intervals.
    fn report(&mut self, now: Duration, gate: usize, call: Call) {
        let kind = self.kinds[call.kind];
        let from = &self.gates[gate];
        let address = SocketAddr::from(([10, 0, 0, 1], gate as u16));
        let report = from.gate.report(now, from.level.level());
        self.entries[call.entry].on_gate(now, SERVICE, address, &report);
        let updated_at = self.updated_at.entry((gate, call.entry, call.kind));
        let updated_at = updated_at.or_insert(Duration::ZERO);
        if *updated_at > Duration::ZERO && now < *updated_at + ROUTE_UPDATE_INTERVAL {
            return;
        }
        *updated_at = now;
        let run_time = from
            .gate
            .run_times()
            .route_mean(kind.route)
            .unwrap_or_default();
        let one = ServiceDemand {
            service: String::from(SERVICE),
            calls: 1.0,
            work_us: run_time.as_micros() as u32,
        };
        let update = RouteEstimate {
            is_from_outside: true,
            is_settled: true,
            demands: vec![one.scaled(kind.calls_count as f32)],
        };
        let is_plausible =
            self.entries[call.entry].on_route_update(now, kind.route, kind.route, address, update);
        assert!(is_plausible);
    }

    fn update_levels(&mut self, now: Duration) {
        for gate in &mut self.gates {
            gate.level.tick(now, gate.gate.state());
        }
        self.at(now + LEVEL_INTERVAL, Event::Levels);
    }
}
