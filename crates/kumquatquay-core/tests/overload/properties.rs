//! Properties that hold for any call graph and any faults.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, SystemTime},
};

use kumquatquay_core::{
    AllowanceSplit, Announcement, BackendInput, Input, Moment, Node, NodeSettings, Output, Policy,
    RefusalReason, WorkId, WorkInput, WorkResult,
};
use kumquatquay_wire::{Importance, MemberState, MeshKey, RequestContext};
use quickcheck::{Arbitrary, Gen, QuickCheck};

use crate::mesh::{Behaviour, Clients, Mesh};

const SPLITS: [AllowanceSplit; 5] = [
    AllowanceSplit::All,
    AllowanceSplit::Half,
    AllowanceSplit::AllButOne,
    AllowanceSplit::Quarter,
    AllowanceSplit::Nothing,
];

/// Size of the cases that are drawn.
const CASE_SIZE: usize = 100;

/// Seed of the cases, so that each run has the same verdict.
const CASE_SEED: u64 = 20_261_202;

fn checker(tests_count: u64) -> QuickCheck {
    let source = Gen::from_size_and_seed(CASE_SIZE, CASE_SEED);
    QuickCheck::new().rng(source).tests(tests_count)
}

/// A call graph without loops: each service calls services after it.
#[derive(Clone, Debug)]
struct Graph {
    /// For each service, stages of services that it calls.
    stages: Vec<Vec<Vec<usize>>>,
    broken_percent: Vec<u8>,
    lost_percent: Vec<u8>,
    allowance_count: u16,
    split: usize,
    slots_count: usize,
    seed: u64,
}

impl Arbitrary for Graph {
    fn arbitrary(source: &mut Gen) -> Self {
        let services_count = 1 + usize::arbitrary(source) % 5;
        let stages = (0..services_count)
            .map(|service| arbitrary_stages(source, service, services_count))
            .collect();
        let percents = |source: &mut Gen| {
            let percent = |_| u8::arbitrary(source) % 60;
            (0..services_count).map(percent).collect()
        };
        Self {
            stages,
            broken_percent: percents(source),
            lost_percent: percents(source),
            allowance_count: u16::arbitrary(source) % 7,
            split: usize::arbitrary(source) % SPLITS.len(),
            slots_count: 1 + usize::arbitrary(source) % 8,
            seed: u64::arbitrary(source),
        }
    }
}

fn arbitrary_stages(source: &mut Gen, service: usize, services_count: usize) -> Vec<Vec<usize>> {
    let later_count = services_count - service - 1;
    if later_count == 0 {
        return Vec::new();
    }
    let stages_count = usize::arbitrary(source) % 3;
    let stage = |source: &mut Gen| -> Vec<usize> {
        let calls_count = 1 + usize::arbitrary(source) % 3;
        let call = |_| service + 1 + usize::arbitrary(source) % later_count;
        (0..calls_count).map(call).collect()
    };
    (0..stages_count).map(|_| stage(source)).collect()
}

impl Graph {
    /// Calls that a run without any fault makes, the first one included.
    fn clean_calls_count(&self, service: usize) -> u32 {
        let called = self.stages[service].iter().flatten();
        let below: u32 = called.map(|service| self.clean_calls_count(*service)).sum();
        1 + below
    }

    fn mesh(&self) -> Mesh {
        let policy = Policy {
            allowance_count: self.allowance_count,
            allowance_split: SPLITS[self.split],
            ..Policy::all()
        };
        let mut mesh = Mesh::new(policy, self.seed);
        for (service, stages) in self.stages.iter().enumerate() {
            let name = |service: &usize| format!("s{service}");
            let named = stages.iter();
            let stages = named
                .map(|stage| stage.iter().map(name).collect())
                .collect();
            let behaviour = Behaviour {
                slots_count: self.slots_count,
                announced_count: self.slots_count,
                run: Duration::from_millis(3),
                is_exponential: false,
                stages,
                broken_ratio: f64::from(self.broken_percent[service]) / 100.0,
                lost_ratio: f64::from(self.lost_percent[service]) / 100.0,
                cold_until: Duration::ZERO,
                is_refusing: false,
            };
            for _ in 0..2 {
                mesh.add_host("hall-a", &format!("s{service}"), behaviour.clone());
            }
        }
        mesh
    }
}

// A search becomes dozens of calls when each layer adds retries of its own. For
// any graph, fan-out, loss and way of splitting, attempts of one request over all
// nodes are at most the calls of a clean run and the retries granted at its entry.
#[test]
fn attempts_stay_within_clean_calls_and_the_allowance() {
    fn holds(graph: Graph) -> bool {
        let mut mesh = graph.mesh();
        mesh.run_for(Duration::from_millis(1_000));
        let clients = Clients {
            entries: vec![0, 1],
            caller: String::from("foreman"),
            service: String::from("s0"),
            rate_per_s: 300.0,
            patience: Duration::from_millis(300),
            resends_count: 1,
            until: mesh.now + Duration::from_millis(300),
        };
        mesh.add_clients(clients);
        mesh.run_for(Duration::from_millis(1_500));
        let bound_count = graph.clean_calls_count(0) + u32::from(graph.allowance_count);
        let mut traces = mesh.traces.values();
        traces.all(|trace| trace.attempts_count <= bound_count)
    }
    checker(60).quickcheck(holds as fn(Graph) -> bool);
}

/// What happens at one gate.
#[derive(Clone, Debug)]
enum Step {
    Arrive {
        class: u8,
        cohort: u16,
        time_ms: u32,
    },
    Finish,
    Cancel(u8),
    Advance(u8),
}

impl Arbitrary for Step {
    fn arbitrary(source: &mut Gen) -> Self {
        match u8::arbitrary(source) % 8 {
            0..5 => Self::Arrive {
                class: u8::arbitrary(source) % 4,
                cohort: u16::arbitrary(source) % 8,
                time_ms: 5 + u32::arbitrary(source) % 400,
            },
            5 => Self::Finish,
            6 => Self::Cancel(u8::arbitrary(source)),
            _ => Self::Advance(u8::arbitrary(source) % 100),
        }
    }
}

/// One gate, and what the test knows to wait and to run there.
struct Gate {
    node: Node,
    now: Duration,
    last_work: WorkId,
    waiting: BTreeMap<WorkId, Importance>,
    running: BTreeSet<WorkId>,
    is_fair: bool,
}

impl Gate {
    fn new() -> Self {
        let address = |port: u16| std::net::SocketAddr::from(([127, 0, 0, 1], port));
        let mut gate = Self {
            node: Node::new(
                NodeSettings::new(
                    "hall-a",
                    address(7000),
                    address(7001),
                    MeshKey::from_secret("secret"),
                )
                .random_seed(3),
            ),
            now: Duration::from_secs(10),
            last_work: 0,
            waiting: BTreeMap::new(),
            running: BTreeSet::new(),
            is_fair: true,
        };
        let announcement = Announcement {
            life: None,
            service: String::from("archive"),
            address: address(8000),
            slots_count: 2,
            connections_count: 20,
            state: MemberState::Serving,
        };
        gate.feed(BackendInput::Announced(announcement).into());
        gate
    }

    fn feed(&mut self, input: Input) {
        let now = Moment {
            monotonic: self.now,
            wall: SystemTime::UNIX_EPOCH + self.now,
        };
        for output in self.node.handle(now, input) {
            self.on_output(&output);
        }
    }

    fn on_output(&mut self, output: &Output) {
        match output {
            Output::RunWork(run) => {
                let importance = self.waiting.remove(&run.work);
                let better = self.waiting.values().max();
                self.is_fair &= better <= importance.as_ref();
                self.running.insert(run.work);
            }
            Output::RefuseWork { work, refusal, .. } => {
                let importance = self.waiting.remove(work);
                let is_for_room = refusal.reason == RefusalReason::GateFull;
                let least = self.waiting.values().min();
                let is_least =
                    least.is_none_or(|least| importance.is_some_and(|own| own <= *least));
                self.is_fair &= !is_for_room || is_least;
            }
            _ => {}
        }
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Arrive {
                class,
                cohort,
                time_ms,
            } => self.arrive(*class, *cohort, *time_ms),
            Step::Finish => self.finish(),
            Step::Cancel(choice) => {
                let nth = usize::from(*choice) % self.waiting.len().max(1);
                if let Some(work) = self.waiting.keys().nth(nth).copied() {
                    self.waiting.remove(&work);
                    self.feed(Input::Work(WorkInput::Cancelled { work }));
                }
            }
            Step::Advance(ms) => {
                self.now += Duration::from_millis(u64::from(*ms));
                self.feed(Input::Tick);
            }
        }
    }

    fn arrive(&mut self, class: u8, cohort: u16, remaining_ms: u32) {
        self.last_work += 1;
        let work = self.last_work;
        self.waiting.insert(work, Importance::new(class, cohort));
        let context = RequestContext {
            trace: u128::from(work),
            request: work,
            caller: String::from("foreman"),
            service: String::from("archive"),
            class,
            cohort,
            remaining_ms,
            allowance_count: 0,
            is_retry: false,
            wants_services: false,
            caller_limit_per_s: 0,
            depth_count: 1,
            fingerprint: work,
            is_idempotent: true,
            operation: None,
            sender_incarnation: 1,
            attempt: work,
        };
        self.feed(Input::Work(WorkInput::Arrived { work, context }));
    }

    fn finish(&mut self) {
        let Some(work) = self.running.pop_first() else {
            return;
        };
        let result = WorkResult::Answered {
            status: 200,
            says_not_run: false,
        };
        self.feed(Input::Work(WorkInput::Answered { work, result }));
        self.feed(Input::Work(WorkInput::Finished { work }));
    }
}

// An inspector is refused while a search that came later runs. For any order of
// arrivals, ends, cancellations and pauses, a gate that is full refuses only the
// least important request there, and hands over the most important one.
#[test]
fn a_full_gate_refuses_the_least_important() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut gate = Gate::new();
        for step in &steps {
            gate.step(step);
        }
        gate.is_fair
    }
    checker(500).quickcheck(holds as fn(Vec<Step>) -> bool);
}
