//! Whole requests of several kinds that make their calls at one service, in virtual time.

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
    routed::{NotRunReason, Priority, RouteNews, ServiceDemand},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// The service at which all calls are made.
const SERVICE: &str = "timetable";

/// Time between two words on a route from one gate to one entry.
const NEWS_INTERVAL: Duration = Duration::from_millis(500);

/// Time from one top of the wave to the next, in seconds.
const WAVE_PERIOD_S: f64 = 15.0;

/// Gates that are asked for one call, at most.
const ASKED_COUNT: usize = 4;

/// How long a gate is left out at least once it has refused for its limit.
const LEFT_OUT_LEAST: Duration = Duration::from_millis(20);

/// How often gates set their levels.
const LEVEL_INTERVAL: Duration = Duration::from_millis(100);

/// One kind of whole request: its calls are made one after the other, on a route of its own.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) route: &'static str,
    pub(crate) priority: Priority,
    pub(crate) requests_per_s: f64,
    pub(crate) calls_count: u32,
    pub(crate) run_time: Duration,
    /// Time within which its answer is worth most.
    pub(crate) target_latency: Duration,
    /// The same for each of its calls, as far as the gate knows.
    pub(crate) call_target_latency: Duration,
    /// Time after which it is worth nothing.
    pub(crate) timeout: Duration,
}

/// What there is beside the requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MeshSettings {
    pub(crate) entries_count: usize,
    pub(crate) gates_count: usize,
    pub(crate) slots_count: usize,
    /// Whether the work of calls is told apart by route.
    pub(crate) has_route_run_times: bool,
    pub(crate) order: QueueOrder,
    /// Part of the mean load by which it goes up and down in a wave.
    pub(crate) swing_ratio: f64,
    pub(crate) seed: u64,
}

/// What became of the requests of one kind that came in while it was watched.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) offered_count: u32,
    /// Refused at the entry.
    pub(crate) refused_count: u32,
    /// Let in, and lost with one of its calls.
    pub(crate) lost_count: u32,
    /// Answered, but later than is worth most.
    pub(crate) late_count: u32,
    /// Answered in time.
    pub(crate) timely_count: u32,
}

impl Outcome {
    pub(crate) fn served_count(&self) -> u32 {
        self.late_count + self.timely_count
    }

    /// Share of the requests that were answered in time.
    pub(crate) fn timely_ratio(&self) -> f64 {
        f64::from(self.timely_count) / f64::from(self.offered_count.max(1))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request comes in.
    Request { kind: usize },
    /// A gate has ended a call that ran for so many microseconds.
    Ended {
        gate: usize,
        call: Call,
        work_us: u64,
    },
    /// The rate limit of a backend server allows for another call.
    Admit { gate: usize },
    /// Levels are set.
    Levels,
}

/// A call of a request that came in at an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Call {
    kind: usize,
    entry: usize,
    came: Duration,
    done_count: u32,
}

struct Gate {
    gate: HostGate<Call>,
    level: LevelController,
}

/// Entries, the gates of one service, and requests that come at random.
pub(crate) struct CallMesh {
    settings: MeshSettings,
    kinds: Vec<Kind>,
    priorities: BTreeMap<String, Priority>,
    entries: Vec<EntryAdmission>,
    gates: Vec<Gate>,
    told: BTreeMap<(usize, usize, usize), Duration>,
    /// By entry and gate: until when the entry leaves the gate out for its limit.
    left_out_until: BTreeMap<(usize, usize), Duration>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    random: StdRng,
    watched_from: Duration,
    pub(crate) outcomes: Vec<Outcome>,
    /// Slot time of calls that ended while it was watched.
    busy: Duration,
    watched_until: Duration,
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
            told: BTreeMap::new(),
            left_out_until: BTreeMap::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            random: StdRng::seed_from_u64(settings.seed),
            watched_from: Duration::MAX,
            outcomes: vec![Outcome::default(); kinds.len()],
            busy: Duration::ZERO,
            watched_until: Duration::MAX,
            kinds: kinds.to_vec(),
        }
    }

    /// The backend servers of the first gates take so many calls a second.
    pub(crate) fn limit_gates(&mut self, gates_count: usize, per_s: f64) {
        let life = BackendLife::untold("limited");
        for gate in &mut self.gates[..gates_count] {
            let limit = gate.gate.rate_limit_mut();
            limit.on_life(&life);
            let advertised = AdvertisedRateLimit::PerSecond(per_s);
            limit.on_answer(Duration::ZERO, &life, Duration::ZERO, advertised);
        }
    }

    /// Lets requests come for `warm` and then for `watched`, which counts.
    pub(crate) fn run(&mut self, warm: Duration, watched: Duration) {
        self.watched_from = warm;
        self.watched_until = warm + watched;
        for kind in 0..self.kinds.len() {
            self.at(Duration::ZERO, Event::Request { kind });
        }
        self.at(LEVEL_INTERVAL, Event::Levels);
        // Those that came at the end have their time to be answered.
        let until = self.watched_until + Duration::from_secs(5);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now >= until {
                return;
            }
            match event {
                Event::Request { kind } => self.request(now, kind),
                Event::Ended {
                    gate,
                    call,
                    work_us,
                } => self.ended(now, gate, call, Duration::from_micros(work_us)),
                Event::Admit { gate } => self.admit_waiting(now, gate),
                Event::Levels => self.set_levels(now),
            }
        }
    }

    /// Share of the slots that did work while it was watched.
    pub(crate) fn used_ratio(&self) -> f64 {
        let watched = self.watched_until - self.watched_from;
        self.busy.as_secs_f64() / watched.as_secs_f64() / self.settings.slots_count as f64
    }

    /// Slot time a second that so many requests of a kind take, in slots.
    pub(crate) fn slots_of(&self, kind: usize, requests_count: u32) -> f64 {
        let watched = self.watched_until - self.watched_from;
        let kind = self.kinds[kind];
        let work_s = kind.run_time.as_secs_f64() * f64::from(kind.calls_count);
        work_s * f64::from(requests_count) / watched.as_secs_f64()
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
            came: now,
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
        if (self.watched_from..self.watched_until).contains(&call.came) {
            count(&mut self.outcomes[call.kind]);
        }
    }

    /// Asks one gate after the other while they refuse for their limits, and does the same for calls
    /// that are put out of a queue for this one.
    fn send(&mut self, now: Duration, call: Call) {
        let mut unsent = vec![(call, ASKED_COUNT)];
        while let Some((call, asks_left)) = unsent.pop() {
            let Some(gate) = self.emptier_gate(now, call.entry) else {
                self.count(call, |outcome| outcome.lost_count += 1);
                continue;
            };
            for lost in self.ask(now, gate, call) {
                let asks_left = if lost == call { asks_left - 1 } else { 1 };
                if asks_left > 0 && self.is_left_out(now, lost.entry, gate) {
                    unsent.push((lost, asks_left));
                } else {
                    self.count(lost, |outcome| outcome.lost_count += 1);
                }
            }
        }
    }

    /// Whether an entry leaves a gate out from now on, as it refuses for its limit.
    fn is_left_out(&mut self, now: Duration, entry: usize, gate: usize) -> bool {
        let from = &self.gates[gate].gate;
        if from.refusal(now) != NotRunReason::Limited {
            return false;
        }
        let rate = from.report(now, 1.0).rate;
        let wait = rate.map(|rate| rate.wait()).unwrap_or_default();
        let until = now + wait.max(LEFT_OUT_LEAST);
        self.left_out_until.insert((entry, gate), until);
        true
    }

    /// Asks a gate to run a call; those that are lost.
    fn ask(&mut self, now: Duration, gate: usize, call: Call) -> Vec<Call> {
        let kind = self.kinds[call.kind];
        let known = self.entries[call.entry].level(now, SERVICE);
        let heard = known.map_or(1.0, |(level, _)| level);
        let to = &mut self.gates[gate];
        let work = to.gate.run_times().estimate(kind.route);
        to.level.on_arrival(heard, work);
        let asked = GateCall {
            priority: 0,
            request_priority: kind.priority,
            soft_deadline: now + kind.call_target_latency,
            deadline: call.came + kind.timeout,
            run_time: work,
        };
        let lost = match to.gate.offer(now, asked, call) {
            Admission::Run => {
                self.begin(now, gate, call);
                Vec::new()
            }
            Admission::Wait(_) => Vec::new(),
            Admission::Evict(_, evicted) => evicted,
            Admission::Refuse(refused) => vec![refused],
        };
        self.admit_later(now, gate);
        lost
    }

    fn admit_waiting(&mut self, now: Duration, gate: usize) {
        while let Some(next) = self.gates[gate].gate.next(now) {
            self.begin(now, gate, next);
        }
        self.admit_later(now, gate);
    }

    fn admit_later(&mut self, now: Duration, gate: usize) {
        if let Some(wait) = self.gates[gate].gate.rate_limit_wait(now) {
            self.at(now + wait, Event::Admit { gate });
        }
    }

    /// The emptier one of two gates that an entry doesn't leave out, if there are any.
    fn emptier_gate(&mut self, now: Duration, entry: usize) -> Option<usize> {
        let is_left_out = |gate: usize| {
            let until = self.left_out_until.get(&(entry, gate));
            until.is_some_and(|until| now < *until)
        };
        let open: Vec<usize> = (0..self.gates.len())
            .filter(|gate| !is_left_out(*gate))
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

    fn begin(&mut self, now: Duration, gate: usize, call: Call) {
        let work = self.kinds[call.kind].run_time;
        let work = work.mul_f64(self.random.random_range(0.6..1.4));
        let work_us = work.as_micros() as u64;
        self.at(
            now + work,
            Event::Ended {
                gate,
                call,
                work_us,
            },
        );
    }

    fn ended(&mut self, now: Duration, gate: usize, call: Call, work: Duration) {
        let kind = self.kinds[call.kind];
        let route = kind.route;
        if (self.watched_from..self.watched_until).contains(&now) {
            self.busy += work;
        }
        self.gates[gate].gate.ended(Some(RouteRunTime {
            route,
            run_time: work,
        }));
        self.admit_waiting(now, gate);
        self.tell(now, gate, call);
        let call = Call {
            done_count: call.done_count + 1,
            ..call
        };
        if call.done_count < kind.calls_count && now < call.came + kind.timeout {
            self.send(now, call);
            return;
        }
        let took = now - call.came;
        if took <= kind.target_latency {
            self.count(call, |outcome| outcome.timely_count += 1);
        } else if took <= kind.timeout {
            self.count(call, |outcome| outcome.late_count += 1);
        } else {
            self.count(call, |outcome| outcome.lost_count += 1);
        }
    }

    /// An answer tells its entry how busy the gate is, and now and then what it knows.
    fn tell(&mut self, now: Duration, gate: usize, call: Call) {
        let kind = self.kinds[call.kind];
        let from = &self.gates[gate];
        let address = SocketAddr::from(([10, 0, 0, 1], gate as u16));
        let report = from.gate.report(now, from.level.level());
        self.entries[call.entry].on_gate(now, SERVICE, address, &report);
        let told = self.told.entry((gate, call.entry, call.kind));
        let told = told.or_insert(Duration::ZERO);
        if *told > Duration::ZERO && now < *told + NEWS_INTERVAL {
            return;
        }
        *told = now;
        let work = from
            .gate
            .run_times()
            .route_mean(kind.route)
            .unwrap_or_default();
        let one = ServiceDemand {
            service: String::from(SERVICE),
            calls: 1.0,
            work_us: work.as_micros() as u32,
        };
        let news = RouteNews {
            is_from_outside: true,
            is_settled: true,
            leads_to: vec![one.scaled(kind.calls_count as f32)],
        };
        let makes_sense =
            self.entries[call.entry].on_route_update(now, kind.route, kind.route, address, news);
        assert!(makes_sense);
    }

    fn set_levels(&mut self, now: Duration) {
        for gate in &mut self.gates {
            gate.level.tick(now, gate.gate.state());
        }
        self.at(now + LEVEL_INTERVAL, Event::Levels);
    }
}
