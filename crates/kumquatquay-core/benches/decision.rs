//! Time of the decisions for one call, in four parts: what the entry decides when
//! it arrives, the gate when it arrives there, and both when it is answered;
//! against services, members and calls in flight. The clock adds some 20 ns.

#![allow(
    missing_docs,
    reason = "the macro of criterion writes functions without"
)]

use std::{
    hint::black_box,
    net::SocketAddr,
    time::{Duration, Instant, SystemTime},
};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use kumquatquay_core::{
    Announcement, AnswerHead, AttemptEnded, AttemptResult, BackendInput, CallArrived, CallInput,
    CallOrigin, Input, Moment, Node, NodeSettings, Output, RequestIdentity, RunInput, WorkInput,
    WorkResult,
};
use kumquatquay_wire::{
    ControlBody, Datagram, MemberRecord, MemberState, MeshKey, RequestContext, Rumour,
};

const ENTRY_ARRIVAL: usize = 0;
const GATE_ARRIVAL: usize = 1;
const GATE_ANSWER: usize = 2;
const ENTRY_ANSWER: usize = 3;

const PARTS: [(usize, &str); 4] = [
    (ENTRY_ARRIVAL, "entry, arrival"),
    (GATE_ARRIVAL, "gate, arrival"),
    (GATE_ANSWER, "gate, answer"),
    (ENTRY_ANSWER, "entry, answer"),
];

/// Members in one datagram.
const RECORDS_COUNT: usize = 8;

fn address(number: usize, port: u16) -> SocketAddr {
    let [_, _, high, low] = (number as u32).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], port))
}

fn moment(elapsed: Duration) -> Moment {
    Moment {
        monotonic: Duration::from_secs(10) + elapsed,
        wall: SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000) + elapsed,
    }
}

struct Bench {
    node: Node,
    elapsed: Duration,
    last_id: u64,
    services_count: usize,
}

impl Bench {
    fn new(services_count: usize, members_count: usize) -> Self {
        let settings = NodeSettings::new(
            "hall-a",
            address(0, 7000),
            address(0, 7001),
            MeshKey::from_secret("secret"),
        )
        .random_seed(7);
        let mut bench = Self {
            node: Node::new(settings),
            elapsed: Duration::ZERO,
            last_id: 0,
            services_count,
        };
        let announcement = Announcement {
            life: None,
            service: String::from("service-0"),
            address: address(0, 8000),
            slots_count: 1_000_000,
            connections_count: 1_000_000,
            state: MemberState::Serving,
        };
        bench.feed(BackendInput::Announced(announcement).into());
        let numbers: Vec<_> = (1..members_count).collect();
        for (sequence, numbers) in numbers.chunks(RECORDS_COUNT).enumerate() {
            let records = numbers.iter().map(|number| bench.record(*number));
            let datagram = Datagram {
                sender: address(1, 7000),
                incarnation: 1,
                sequence: sequence as u64 + 1,
                body: ControlBody::Gossip,
                rumours: records.map(Rumour::Member).collect(),
            };
            bench.feed(Input::Datagram(datagram));
        }
        bench
    }

    fn record(&self, number: usize) -> MemberRecord {
        MemberRecord {
            control: address(number, 7000),
            peer: address(number, 7001),
            data_centre: format!("hall-{}", number % 20),
            service: Some(format!("service-{}", number % self.services_count)),
            life: None,
            incarnation: 1,
            revision: 1,
            state: MemberState::Serving,
            is_suspect: false,
            slots_count: 100,
        }
    }

    fn feed(&mut self, input: Input) -> Vec<Output> {
        self.elapsed += Duration::from_micros(10);
        self.node.handle(moment(self.elapsed), input)
    }

    fn call(&mut self) -> (u64, u64, RequestContext) {
        self.last_id += 1;
        let id = self.last_id;
        let service = id as usize % self.services_count;
        let arrived = CallArrived {
            call: id,
            origin: CallOrigin::Outside {
                caller: String::from("foreman"),
                trace: u128::from(id) * 0x9E37_79B9_7F4A_7C15,
            },
            service: format!("service-{service}"),
            method: String::from("GET"),
            path: String::from("/pits/7"),
            query: None,
            body_digest: None,
            is_replayable: true,
            time_allowed: Some(Duration::from_secs(100)),
            idempotency_key: None,
            operation_id: None,
            is_resend: false,
        };
        let outputs = self.feed(Input::Call(CallInput::Arrived(arrived)));
        let started = outputs.into_iter().find_map(|output| match output {
            Output::StartAttempt(start) => Some((start.attempt, start.context)),
            _ => None,
        });
        let (attempt, context) = started.expect("the call is sent");
        (id, attempt, context)
    }

    /// One call through entry and gate, as if its target were this node; adds
    /// the time of each part.
    fn whole_call(&mut self, times: &mut [Duration; 4]) {
        let started = Instant::now();
        let (call, attempt, context) = self.call();
        times[ENTRY_ARRIVAL] += started.elapsed();
        let work = call;
        let arrived = Input::Work(WorkInput::Arrived { work, context });
        let started = Instant::now();
        black_box(self.feed(arrived));
        times[GATE_ARRIVAL] += started.elapsed();
        let result = WorkResult::Answered {
            status: 200,
            says_not_run: false,
        };
        let started = Instant::now();
        let outputs = self.feed(Input::Work(WorkInput::Answered { work, result }));
        let context = outputs.into_iter().find_map(|output| match output {
            Output::AnswerWork { context, .. } => Some(context),
            _ => None,
        });
        black_box(self.feed(Input::Work(WorkInput::Finished { work })));
        times[GATE_ANSWER] += started.elapsed();
        let head = AnswerHead {
            status: 200,
            context,
            stored: None,
        };
        let ended = AttemptEnded {
            call,
            attempt,
            result: AttemptResult::Answered(head),
        };
        let ended = Input::Call(CallInput::AttemptEnded(ended));
        let started = Instant::now();
        black_box(self.feed(ended));
        times[ENTRY_ANSWER] += started.elapsed();
    }

    /// Time that one part takes in many calls.
    fn time_of(&mut self, part: usize, calls_count: u64) -> Duration {
        let mut times = [Duration::ZERO; 4];
        for _ in 0..calls_count {
            self.whole_call(&mut times);
        }
        times[part]
    }

    fn keep_in_flight(&mut self, count: usize) {
        for _ in 0..count {
            let (work, _, context) = self.call();
            self.feed(Input::Work(WorkInput::Arrived { work, context }));
        }
    }
}

fn measure(criterion: &mut Criterion, name: &str, sizes: &[usize], new: impl Fn(usize) -> Bench) {
    for (part, part_name) in PARTS {
        let mut group = criterion.benchmark_group(format!("{part_name}, {name}"));
        for size in sizes {
            let mut bench = new(*size);
            let id = BenchmarkId::from_parameter(size);
            group.bench_function(id, |bencher| {
                bencher.iter_custom(|calls_count| bench.time_of(part, calls_count));
            });
        }
    }
}

fn against_members(criterion: &mut Criterion) {
    measure(
        criterion,
        "members",
        &[10, 100, 1_000, 5_100],
        |members_count| Bench::new((members_count / 12).max(1), members_count),
    );
}

fn against_services(criterion: &mut Criterion) {
    measure(
        criterion,
        "services of 5,100 members",
        &[10, 100, 430],
        |services_count| Bench::new(services_count, 5_100),
    );
}

fn against_in_flight(criterion: &mut Criterion) {
    measure(
        criterion,
        "calls in flight",
        &[0, 100, 1_000, 10_000],
        |in_flight_count| {
            let mut bench = Bench::new(430, 5_100);
            bench.keep_in_flight(in_flight_count);
            bench
        },
    );
}

fn tick(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("tick, calls in flight");
    for in_flight_count in [0, 1_000, 10_000] {
        let mut bench = Bench::new(430, 5_100);
        bench.keep_in_flight(in_flight_count);
        let id = BenchmarkId::from_parameter(in_flight_count);
        group.bench_function(id, |bencher| {
            bencher.iter(|| black_box(bench.feed(Input::Tick)));
        });
    }
}

/// Time that the quarantine adds to a run of a call on a route: its fingerprint, and its begin and end at
/// the gate.
fn guarded_run(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("run on a route");
    for body_bytes in [0, 1_000, 40_000] {
        let body = vec![b'x'; body_bytes];
        let mut node = Node::new(settings_of_gate());
        let mut work = 0;
        let id = BenchmarkId::from_parameter(body_bytes);
        group.bench_with_input(id, &body, |bencher, body| {
            bencher.iter(|| {
                work += 1;
                let digest = (!body.is_empty()).then(|| *blake3::hash(body).as_bytes());
                let identity = RequestIdentity {
                    destination: "pits.example",
                    method: "POST",
                    path: "/survey/pit-seven/2026",
                    query: "",
                    caller: "",
                    body_digest: digest.as_ref(),
                    idempotency_key: None,
                };
                let fingerprint = identity.fingerprint() ^ (work % 4_000);
                let now = moment(Duration::from_micros(work));
                black_box(node.begin_run(now, work, fingerprint));
                node.handle(now, RunInput::Answered { work }.into())
            });
        });
    }
    group.finish();
}

fn settings_of_gate() -> NodeSettings {
    let key = MeshKey::from_secret("secret");
    NodeSettings::new("hall-a", address(1, 7_000), address(1, 7_001), key).without_log()
}

criterion_group!(
    benches,
    against_members,
    against_services,
    against_in_flight,
    tick,
    guarded_run
);
criterion_main!(benches);
