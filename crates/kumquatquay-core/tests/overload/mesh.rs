//! A few nodes joined by a queue of events, with fake backend servers and clients.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use kumquatquay_core::{
    Announcement, AnswerHead, AttemptEnded, AttemptId, AttemptResult, BackendInput, CallArrived,
    CallEnding, CallId, CallInput, CallOrigin, Input, LogInput, LogRecord, Moment, Node,
    NodeSettings, Output, Policy, RunWork, StartAttempt, WorkId, WorkInput, WorkResult,
};
use kumquatquay_wire::{
    AnswerContext, ConfigurationChange, ConfigurationRecord, Intent, IntentChange, MemberState,
    MeshKey, RequestContext,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Time that a message takes between hosts.
const LINK: Duration = Duration::from_micros(300);

/// Time that the log takes to answer.
const LOG_ANSWER: Duration = Duration::from_millis(50);

/// How much longer a cold backend server runs a request.
const COLD_SLOWDOWN: f64 = 10.0;

/// What a backend server does with each request.
#[derive(Clone, Debug)]
pub(crate) struct Behaviour {
    /// Requests that it really runs at the same time; the others wait inside it.
    pub(crate) slots_count: usize,
    /// Requests that it announces.
    pub(crate) announced_count: usize,
    /// Time to run one.
    pub(crate) run: Duration,
    /// Whether times to run are spread exponentially, not by a fifth.
    pub(crate) is_exponential: bool,
    /// Services that it calls after that, in stages of calls side by side.
    pub(crate) stages: Vec<Vec<String>>,
    /// Until when it is cold and runs each request ten times as long.
    pub(crate) cold_until: Duration,
    /// Whether it refuses by its documented statement what it has no room for.
    pub(crate) is_refusing: bool,
    /// Share of requests that it runs and then answers with 500.
    pub(crate) broken_ratio: f64,
    /// Share of answers of which the connection breaks.
    pub(crate) lost_ratio: f64,
}

/// Clients that call a service at a steady rate.
#[derive(Clone, Debug)]
pub(crate) struct Clients {
    pub(crate) entries: Vec<usize>,
    pub(crate) caller: String,
    pub(crate) service: String,
    pub(crate) rate_per_s: f64,
    pub(crate) patience: Duration,
    /// How often a client sends a failed request again.
    pub(crate) resends_count: u32,
    pub(crate) until: Duration,
}

/// One request of a client, resends included.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) caller: String,
    pub(crate) sent: Duration,
    pub(crate) answered: Option<Duration>,
}

/// What one trace cost.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Trace {
    pub(crate) attempts_count: u32,
    pub(crate) calls_count: u32,
    pub(crate) run: Duration,
    pub(crate) is_good: bool,
    pub(crate) sent: Duration,
}

pub(crate) struct Host {
    pub(crate) node: Node,
    peer: SocketAddr,
    control: SocketAddr,
    pub(crate) service: String,
    pub(crate) behaviour: Behaviour,
    /// Requests that it began to run, with the moment.
    pub(crate) started: Vec<Duration>,
    running_count: usize,
    waiting: VecDeque<WorkId>,
}

struct BackendWork {
    run: RunWork,
    stage: usize,
    pending_count: usize,
    is_failed: bool,
    has_started: bool,
}

enum Owner {
    Client {
        request: usize,
        clients: usize,
        tries_count: u32,
        trace: u128,
    },
    Work {
        host: usize,
        work: WorkId,
    },
}

struct Sender {
    host: usize,
    call: CallId,
    attempt: AttemptId,
}

enum Event {
    Tick,
    Client {
        clients: usize,
    },
    Resend {
        request: usize,
        clients: usize,
        tries_count: u32,
    },
    GiveUp {
        host: usize,
        call: CallId,
    },
    Work {
        host: usize,
        work: WorkId,
        context: Box<RequestContext>,
    },
    Cancel {
        host: usize,
        work: WorkId,
    },
    Ran {
        host: usize,
        work: WorkId,
    },
    Ended {
        host: usize,
        ended: AttemptEnded,
    },
    Datagram {
        host: usize,
        datagram: Box<kumquatquay_wire::Datagram>,
    },
    Log {
        host: usize,
        input: Box<Input>,
    },
}

pub(crate) struct Mesh {
    pub(crate) now: Duration,
    pub(crate) hosts: Vec<Host>,
    pub(crate) clients: Vec<Clients>,
    pub(crate) requests: Vec<Request>,
    pub(crate) traces: HashMap<u128, Trace>,
    pub(crate) policy: Policy,
    events: BTreeMap<(Duration, u64), Event>,
    random: StdRng,
    last_id: u64,
    owners: HashMap<CallId, Owner>,
    senders: HashMap<WorkId, Sender>,
    sent: HashMap<(usize, AttemptId), (usize, WorkId)>,
    works: HashMap<WorkId, BackendWork>,
    statuses: HashMap<CallId, u16>,
    intents: Vec<LogRecord>,
}

impl Mesh {
    pub(crate) fn new(policy: Policy, seed: u64) -> Self {
        let mut mesh = Self {
            now: Duration::from_secs(100),
            hosts: Vec::new(),
            clients: Vec::new(),
            requests: Vec::new(),
            traces: HashMap::new(),
            policy,
            events: BTreeMap::new(),
            random: StdRng::seed_from_u64(seed),
            last_id: 0,
            owners: HashMap::new(),
            senders: HashMap::new(),
            sent: HashMap::new(),
            works: HashMap::new(),
            statuses: HashMap::new(),
            intents: Vec::new(),
        };
        mesh.schedule(Duration::ZERO, Event::Tick);
        mesh
    }

    pub(crate) fn add_host(&mut self, data_centre: &str, service: &str, behaviour: Behaviour) {
        let number = self.hosts.len() as u16;
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let control = address(10_000 + number);
        let seeds: Vec<_> = self.hosts.iter().take(1).map(|host| host.control).collect();
        let settings = NodeSettings::new(
            String::from(data_centre),
            control,
            address(20_000 + number),
            MeshKey::from_secret("secret"),
        )
        .seeds(seeds)
        .random_seed(self.random.random())
        .policy(self.policy);
        let peer = settings.peer;
        let announcement = Announcement {
            life: None,
            service: String::from(service),
            address: address(30_000 + number),
            slots_count: behaviour.announced_count as u32,
            connections_count: 10 * behaviour.announced_count as u32,
            state: MemberState::Serving,
        };
        self.hosts.push(Host {
            node: Node::new(settings),
            peer,
            control,
            service: String::from(service),
            behaviour,
            started: Vec::new(),
            running_count: 0,
            waiting: VecDeque::new(),
        });
        let host = self.hosts.len() - 1;
        self.feed(host, BackendInput::Announced(announcement).into());
    }

    pub(crate) fn add_clients(&mut self, clients: Clients) {
        self.clients.push(clients);
        let clients = self.clients.len() - 1;
        self.schedule(Duration::ZERO, Event::Client { clients });
    }

    /// Lets time pass.
    pub(crate) fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = self.events.pop_first().unwrap();
            self.now = at;
            self.on_event(event);
        }
        self.now = end;
    }

    pub(crate) fn hosts_of(&self, service: &str) -> Vec<usize> {
        let hosts = self.hosts.iter().enumerate();
        let matching = hosts.filter(|(_, host)| host.service == service);
        matching.map(|(index, _)| index).collect()
    }

    pub(crate) fn moment(&self) -> Moment {
        Moment {
            monotonic: self.now,
            wall: SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000) + self.now,
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.last_id += 1;
        self.events.insert((self.now + after, self.last_id), event);
    }

    fn new_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn feed(&mut self, host: usize, input: Input) {
        let moment = self.moment();
        let outputs = self.hosts[host].node.handle(moment, input);
        for output in outputs {
            self.on_output(host, output);
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Tick => {
                for host in 0..self.hosts.len() {
                    self.feed(host, Input::Tick);
                }
                self.schedule(Node::TICK_INTERVAL, Event::Tick);
            }
            Event::Client { clients } => self.on_client(clients),
            Event::Resend {
                request,
                clients,
                tries_count,
            } => {
                self.send_request(request, clients, tries_count);
            }
            Event::GiveUp { host, call } => {
                if self.owners.contains_key(&call) {
                    self.end_client_call(host, call, false, Duration::ZERO);
                    self.feed(host, Input::Call(CallInput::Abandoned { call }));
                }
            }
            Event::Work {
                host,
                work,
                context,
            } => {
                let context = *context;
                self.feed(host, Input::Work(WorkInput::Arrived { work, context }));
            }
            Event::Cancel { host, work } => {
                self.feed(host, Input::Work(WorkInput::Cancelled { work }));
            }
            Event::Ran { host, work } => self.on_ran(host, work),
            Event::Ended { host, ended } => {
                if let AttemptResult::Answered(head) = &ended.result {
                    self.statuses.insert(ended.call, head.status);
                }
                self.feed(host, Input::Call(CallInput::AttemptEnded(ended)));
            }
            Event::Datagram { host, datagram } => self.feed(host, Input::Datagram(*datagram)),
            Event::Log { host, input } => self.feed(host, *input),
        }
    }

    fn on_client(&mut self, clients: usize) {
        let settings = self.clients[clients].clone();
        if self.now >= settings.until {
            return;
        }
        self.requests.push(Request {
            caller: settings.caller.clone(),
            sent: self.now,
            answered: None,
        });
        let request = self.requests.len() - 1;
        self.send_request(request, clients, 1);
        let mean_s = 1.0 / settings.rate_per_s;
        let draw: f64 = self.random.random_range(1e-9..1.0);
        let gap = Duration::from_secs_f64(-draw.ln() * mean_s);
        self.schedule(gap, Event::Client { clients });
    }

    fn send_request(&mut self, request: usize, clients: usize, tries_count: u32) {
        let settings = self.clients[clients].clone();
        let host = settings.entries[self.random.random_range(0..settings.entries.len())];
        let call = self.new_id();
        let trace = self.random.random();
        let owner = Owner::Client {
            request,
            clients,
            tries_count,
            trace,
        };
        self.owners.insert(call, owner);
        self.traces.entry(trace).or_default().sent = self.now;
        let caller = settings.caller.clone();
        let origin = CallOrigin::Outside { caller, trace };
        self.schedule(settings.patience, Event::GiveUp { host, call });
        self.arrive(
            host,
            call,
            origin,
            &settings.service,
            Some(settings.patience),
        );
    }

    fn arrive(
        &mut self,
        host: usize,
        call: CallId,
        origin: CallOrigin,
        service: &str,
        time_allowed: Option<Duration>,
    ) {
        let trace = trace_of(&origin);
        self.traces.entry(trace).or_default().calls_count += 1;
        let arrived = CallArrived {
            call,
            origin,
            service: String::from(service),
            method: String::from("GET"),
            path: String::from("/things/7"),
            query: None,
            body_digest: None,
            is_replayable: true,
            time_allowed,
            idempotency_key: None,
            operation_id: None,
            is_resend: false,
        };
        self.feed(host, Input::Call(CallInput::Arrived(arrived)));
    }

    fn on_output(&mut self, host: usize, output: Output) {
        match output {
            Output::StartAttempt(start) => self.on_start(host, start),
            Output::CancelAttempt { attempt, .. } => {
                if let Some((host, work)) = self.sent.remove(&(host, attempt)) {
                    self.schedule(LINK, Event::Cancel { host, work });
                }
            }
            Output::FinishCall { call, ending } => self.on_finish(host, call, ending),
            Output::RunWork(run) => self.on_run(host, run),
            Output::RefuseWork { work, context, .. } => self.reply(host, work, 503, context),
            Output::AnswerWork { work, context } => {
                let status = match self.works.get(&work) {
                    Some(work) if work.is_failed => 503,
                    _ => 200,
                };
                self.reply(host, work, status, context);
            }
            Output::CancelWork { work } => self.drop_work(host, work),
            Output::Send { to, datagram } => {
                let to = self.hosts.iter().position(|host| host.control == to);
                if let Some(host) = to {
                    let datagram = Box::new(datagram);
                    self.schedule(LINK, Event::Datagram { host, datagram });
                }
            }
            Output::Read {
                read, stream, from, ..
            } if stream == ConfigurationRecord::STREAM => {
                self.on_read(host, read, stream, from);
            }
            _ => {}
        }
    }

    /// Answers a read of the intents.
    fn on_read(&mut self, host: usize, read: u64, stream: String, from: u64) {
        let records = self.intents.iter().filter(|record| record.offset >= from);
        let input = LogInput::Read {
            read,
            stream,
            records: records.cloned().collect(),
            oldest_offset: 0,
            next_offset: self.intents.len() as u64,
            era: None,
        };
        let input = Box::new(Input::Log(input));
        self.schedule(LOG_ANSWER, Event::Log { host, input });
    }

    /// Puts an intent in force.
    pub(crate) fn add_intent(&mut self, intent: Intent) {
        let offset = self.intents.len() as u64;
        let change = ConfigurationChange {
            id: offset + 1,
            intents: vec![IntentChange {
                service: intent.service.clone(),
                base: None,
                intent: Some(intent),
            }],
            operator: String::from("tester"),
            confirmed_unix_ms: self.moment().unix_ms(),
        };
        let record = ConfigurationRecord::Change(change);
        self.intents.push(LogRecord {
            offset,
            appended_unix_ms: self.moment().unix_ms(),
            bytes: record.to_bytes(&MeshKey::from_secret("secret")),
        });
    }

    fn on_start(&mut self, host: usize, start: StartAttempt) {
        let trace = start.context.trace;
        self.traces.entry(trace).or_default().attempts_count += 1;
        let work = self.new_id();
        let target = self.hosts.iter().position(|host| host.peer == start.target);
        let target = target.expect("attempts go to hosts of the mesh");
        let (call, attempt) = (start.call, start.attempt);
        self.senders.insert(
            work,
            Sender {
                host,
                call,
                attempt,
            },
        );
        self.sent.insert((host, attempt), (target, work));
        let context = Box::new(start.context);
        self.schedule(
            LINK,
            Event::Work {
                host: target,
                work,
                context,
            },
        );
        let result = AttemptResult::TimedOut;
        let ended = AttemptEnded {
            call,
            attempt,
            result,
        };
        self.schedule(start.timeout, Event::Ended { host, ended });
    }

    fn reply(&mut self, host: usize, work: WorkId, status: u16, context: AnswerContext) {
        let Some(sender) = self.senders.remove(&work) else {
            return;
        };
        self.sent.remove(&(sender.host, sender.attempt));
        let ratio = self.hosts[host].behaviour.lost_ratio;
        let is_lost = ratio > 0.0 && self.random.random_bool(ratio);
        let head = AnswerHead {
            status,
            context: Some(context),
            stored: None,
        };
        let result = match is_lost {
            true => AttemptResult::Broken,
            false => AttemptResult::Answered(head),
        };
        let (call, attempt) = (sender.call, sender.attempt);
        let ended = AttemptEnded {
            call,
            attempt,
            result,
        };
        self.schedule(
            LINK,
            Event::Ended {
                host: sender.host,
                ended,
            },
        );
    }

    fn on_finish(&mut self, host: usize, call: CallId, ending: CallEnding) {
        let status = self.statuses.remove(&call);
        let (is_good, retry_after) = match ending {
            CallEnding::PassAnswer { .. } => (status.is_some_and(|status| status < 400), None),
            CallEnding::Replay(_) => (true, None),
            CallEnding::Refuse(refusal) => (false, refusal.retry_after),
        };
        match self.owners.get(&call) {
            Some(Owner::Client { .. }) => {
                self.end_client_call(host, call, is_good, retry_after.unwrap_or_default());
            }
            Some(Owner::Work { host, work }) => {
                let (host, work) = (*host, *work);
                self.owners.remove(&call);
                self.on_child(host, work, is_good);
            }
            None => {}
        }
    }

    fn end_client_call(&mut self, _host: usize, call: CallId, is_good: bool, wait: Duration) {
        let Some(Owner::Client {
            request,
            clients,
            tries_count,
            trace,
        }) = self.owners.remove(&call)
        else {
            return;
        };
        if is_good {
            self.requests[request].answered = Some(self.now);
            self.traces.entry(trace).or_default().is_good = true;
            return;
        }
        if tries_count <= self.clients[clients].resends_count {
            let pause = Duration::from_millis(self.random.random_range(5..50));
            let tries_count = tries_count + 1;
            let event = Event::Resend {
                request,
                clients,
                tries_count,
            };
            self.schedule(wait + pause, event);
        }
    }

    fn on_run(&mut self, host: usize, run: RunWork) {
        let work = run.work;
        let behaviour = &self.hosts[host].behaviour;
        if behaviour.is_refusing && self.hosts[host].running_count >= behaviour.slots_count {
            self.refuse_run(host, run);
            return;
        }
        let entry = BackendWork {
            run,
            stage: 0,
            pending_count: 0,
            is_failed: false,
            has_started: false,
        };
        self.works.insert(work, entry);
        self.hosts[host].waiting.push_back(work);
        self.start_waiting(host);
    }

    fn refuse_run(&mut self, host: usize, run: RunWork) {
        let work = run.work;
        let entry = BackendWork {
            run,
            stage: 0,
            pending_count: 0,
            is_failed: true,
            has_started: false,
        };
        self.works.insert(work, entry);
        let result = WorkResult::Answered {
            status: 503,
            says_not_run: true,
        };
        self.feed(host, Input::Work(WorkInput::Answered { work, result }));
        self.drop_work(host, work);
        self.feed(host, Input::Work(WorkInput::Finished { work }));
    }

    fn start_waiting(&mut self, host: usize) {
        while self.hosts[host].running_count < self.hosts[host].behaviour.slots_count {
            let Some(work) = self.hosts[host].waiting.pop_front() else {
                return;
            };
            let Some(entry) = self.works.get_mut(&work) else {
                continue;
            };
            entry.has_started = true;
            let trace = entry.run.trace;
            let run = self.hosts[host].behaviour.run;
            let is_cold = self.now < self.hosts[host].behaviour.cold_until;
            let slowdown = if is_cold { COLD_SLOWDOWN } else { 1.0 };
            let is_exponential = self.hosts[host].behaviour.is_exponential;
            let run = run.mul_f64(slowdown * self.draw_spread(is_exponential));
            self.traces.entry(trace).or_default().run += run;
            self.hosts[host].running_count += 1;
            self.hosts[host].started.push(self.now);
            self.schedule(run, Event::Ran { host, work });
        }
    }

    fn draw_spread(&mut self, is_exponential: bool) -> f64 {
        if !is_exponential {
            return self.random.random_range(0.8..1.2);
        }
        let draw: f64 = self.random.random_range(1e-9..1.0);
        -draw.ln()
    }

    fn on_ran(&mut self, host: usize, work: WorkId) {
        if !self.works.contains_key(&work) {
            return;
        }
        let broken_ratio = self.hosts[host].behaviour.broken_ratio;
        if broken_ratio > 0.0 && self.random.random_bool(broken_ratio) {
            self.works.get_mut(&work).unwrap().is_failed = true;
            self.answer(host, work);
            return;
        }
        self.next_stage(host, work);
    }

    fn next_stage(&mut self, host: usize, work: WorkId) {
        let Some(entry) = self.works.get_mut(&work) else {
            return;
        };
        let stage = self.hosts[host].behaviour.stages.get(entry.stage).cloned();
        let Some(services) = stage.filter(|_| !entry.is_failed) else {
            self.answer(host, work);
            return;
        };
        entry.stage += 1;
        entry.pending_count = services.len();
        let (token, trace) = (entry.run.token, entry.run.trace);
        for service in services {
            let call = self.new_id();
            self.owners.insert(call, Owner::Work { host, work });
            let origin = CallOrigin::Backend {
                token: Some(token),
                trace: Some(trace),
            };
            self.arrive(host, call, origin, &service, None);
        }
    }

    fn on_child(&mut self, host: usize, work: WorkId, is_good: bool) {
        let Some(entry) = self.works.get_mut(&work) else {
            return;
        };
        entry.is_failed |= !is_good;
        entry.pending_count = entry.pending_count.saturating_sub(1);
        if entry.pending_count == 0 {
            self.next_stage(host, work);
        }
    }

    fn answer(&mut self, host: usize, work: WorkId) {
        let is_failed = self.works[&work].is_failed;
        let result = WorkResult::Answered {
            status: if is_failed { 503 } else { 200 },
            says_not_run: false,
        };
        self.feed(host, Input::Work(WorkInput::Answered { work, result }));
        self.drop_work(host, work);
        self.feed(host, Input::Work(WorkInput::Finished { work }));
    }

    fn drop_work(&mut self, host: usize, work: WorkId) {
        let Some(entry) = self.works.remove(&work) else {
            return;
        };
        if entry.has_started {
            self.hosts[host].running_count -= 1;
            self.start_waiting(host);
        }
    }
}

fn trace_of(origin: &CallOrigin) -> u128 {
    match origin {
        CallOrigin::Outside { trace, .. } => *trace,
        CallOrigin::Backend { trace, .. } => trace.unwrap_or_default(),
        CallOrigin::Home { context } => context.trace,
    }
}
