//! The nodes and what is under way between them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, SystemTime},
};

use kumquatquay_core::{
    Announcement, AnswerHead, AttemptEnded, AttemptResult, BackendInput, BulkInput, CallArrived,
    CallEnding, CallId, CallInput, CallOrigin, Input, IssueOperation, LogInput, Moment, Node,
    NodeSettings, OperatorInput, Output, Policy, StartAttempt, StoredAnswer, WorkId, WorkInput,
    WorkResult,
};
use kumquatquay_wire::{
    AnswerContext, ControlBody, Datagram, LoadReport, MemberRecord, MemberState, MeshKey,
    OperatorCommand, OperatorReply, Outcome, Rumour,
};

use super::{
    event::Event,
    host::{Backend, CallEntry, Ending, Host, Request, Waiting, WorkEntry, control_of, peer_of},
    log::{Log, LogMode},
};

/// The wall clock when a mesh starts.
const START_UNIX_MS: u64 = 1_800_000_000_000;

/// How often nodes get a tick while time passes.
const TICK_MS: u64 = 50;

/// A few nodes, their backend servers and the log.
pub(crate) struct Mesh {
    pub(crate) now_ms: u64,
    pub(crate) hosts: Vec<Host>,
    pub(crate) log: Log,
    pub(crate) log_mode: LogMode,
    /// Hosts that are cut from the log.
    pub(crate) log_cuts: BTreeSet<usize>,
    /// Pairs of hosts that are cut from each other.
    pub(crate) cuts: BTreeSet<(usize, usize)>,
    pub(crate) pending: Vec<Event>,
    /// Records that will land late.
    delayed: Vec<(String, Vec<u8>)>,
    /// Bodies that were run, with the host, in their order.
    pub(crate) runs: Vec<(String, usize)>,
    pub(crate) endings: BTreeMap<usize, Ending>,
    /// Sends that ended, in the order of their ends.
    pub(crate) ended: Vec<usize>,
    pub(crate) sends_count: usize,
    /// Calls from node to node are contended too.
    pub(crate) delays_calls: bool,
    /// Answers of backend servers name another attempt than their own.
    pub(crate) crosses_answers: bool,
    bodies: Vec<String>,
    /// Whether a node is told of a death before each connection that broke.
    pub(crate) tells_deaths_first: bool,
    /// How long a node needs to notice that its backend server died.
    pub(crate) notice_after_ms: u64,
    /// Deaths that nodes have not noticed, with the time when they will.
    unnoticed: Vec<(u64, usize)>,
    /// Backend servers die of this body.
    pub(crate) poison: Option<String>,
    policy: Policy,
    last_id: u64,
}

impl Mesh {
    /// Hosts of one service, one for each name of a data centre.
    pub(crate) fn new(data_centres: &[&str], policy: Policy) -> Self {
        let mut mesh = Self {
            now_ms: 0,
            hosts: Vec::new(),
            log: Log::default(),
            log_mode: LogMode::Up,
            log_cuts: BTreeSet::new(),
            cuts: BTreeSet::new(),
            pending: Vec::new(),
            delayed: Vec::new(),
            runs: Vec::new(),
            endings: BTreeMap::new(),
            ended: Vec::new(),
            sends_count: 0,
            delays_calls: false,
            crosses_answers: false,
            bodies: Vec::new(),
            tells_deaths_first: false,
            notice_after_ms: 0,
            unnoticed: Vec::new(),
            poison: None,
            policy,
            last_id: 0,
        };
        for (index, data_centre) in data_centres.iter().enumerate() {
            let host = mesh.host(index, 1, data_centre);
            mesh.hosts.push(host);
        }
        for index in 0..mesh.hosts.len() {
            mesh.announce(index);
        }
        mesh.introduce();
        mesh
    }

    fn host(&self, index: usize, incarnation: u64, data_centre: &str) -> Host {
        let settings = NodeSettings::new(
            String::from(data_centre),
            control_of(index),
            peer_of(index),
            MeshKey::from_secret("secret"),
        )
        .incarnation(incarnation)
        .random_seed(index as u64 + 1)
        .policy(self.policy);
        Host {
            node: Node::new(settings),
            incarnation,
            is_up: true,
            is_paused: false,
            is_deaf: false,
            backend: Backend::Answers,
            data_centre: String::from(data_centre),
            calls: BTreeMap::new(),
            works: BTreeMap::new(),
            handed: BTreeSet::new(),
            held: Vec::new(),
            crashes_count: 0,
        }
    }

    /// The backend server of a host announces itself.
    pub(crate) fn announce(&mut self, index: usize) {
        let announcement = Announcement {
            life: None,
            service: String::from("settlement"),
            address: "127.0.0.1:8000".parse().unwrap(),
            slots_count: 64,
            connections_count: 256,
            state: MemberState::Serving,
        };
        self.give(index, BackendInput::Announced(announcement).into());
    }

    /// Tells every node of every other one, as gossip would in time.
    pub(crate) fn introduce(&mut self) {
        let records: Vec<_> = (0..self.hosts.len())
            .map(|index| self.record(index))
            .collect();
        for to in 0..self.hosts.len() {
            let datagram = Datagram {
                sender: control_of(200),
                incarnation: 1,
                sequence: self.next_id(),
                body: ControlBody::Gossip,
                rumours: records.iter().cloned().map(Rumour::Member).collect(),
            };
            if self.hosts[to].is_up {
                self.give(to, Input::Datagram(datagram));
            }
        }
    }

    fn record(&self, index: usize) -> MemberRecord {
        let host = &self.hosts[index];
        MemberRecord {
            control: control_of(index),
            peer: peer_of(index),
            data_centre: host.data_centre.clone(),
            service: Some(String::from("settlement")),
            life: None,
            incarnation: host.incarnation,
            revision: 1,
            state: if host.is_up {
                MemberState::Serving
            } else {
                MemberState::Gone
            },
            is_suspect: false,
            slots_count: 64,
        }
    }

    pub(crate) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn moment(&self) -> Moment {
        Moment {
            monotonic: Duration::from_millis(1_000 + self.now_ms),
            wall: SystemTime::UNIX_EPOCH + Duration::from_millis(self.unix_ms()),
        }
    }

    pub(crate) fn unix_ms(&self) -> u64 {
        START_UNIX_MS + self.now_ms
    }

    /// A key of the caller's own, made some time ago.
    pub(crate) fn key(&self, name: &str, age_ms: u64) -> String {
        let hash = blake3::hash(name.as_bytes());
        let random: [u8; 10] = hash.as_bytes()[..10].try_into().unwrap();
        let millis = self.unix_ms() - age_ms;
        let builder = uuid::Builder::from_unix_timestamp_millis(millis, &random);
        builder.into_uuid().to_string()
    }

    /// Sends a request to a node; the number names the send.
    pub(crate) fn send(&mut self, index: usize, request: Request) -> usize {
        let send = self.sends_count;
        self.sends_count += 1;
        self.bodies.push(request.body.clone());
        if !self.hosts[index].is_up {
            self.end_send(send, Ending::Cut);
            return send;
        }
        let entry = CallEntry {
            request,
            waiting: Waiting::Caller { send },
            answer: None,
        };
        let to = (index, self.hosts[index].incarnation);
        self.pending.push(Event::Call { to, entry });
        send
    }

    /// What a send asked for.
    pub(crate) fn body_of(&self, send: usize) -> String {
        self.bodies[send].clone()
    }

    /// Drops what the mesh itself remembers of the past.
    pub(crate) fn forget_past(&mut self) {
        self.endings.clear();
        self.ended.clear();
        self.bodies.clear();
        self.runs.clear();
        self.sends_count = 0;
    }

    /// The callers of a host's calls hang up.
    pub(crate) fn hang_up(&mut self, index: usize) {
        let calls: Vec<CallId> = self.hosts[index].calls.keys().copied().collect();
        for call in calls {
            self.give(index, CallInput::Abandoned { call }.into());
        }
    }

    /// Asks a node for an operation id.
    pub(crate) fn issue(&mut self, index: usize, caller: &str) -> String {
        let asked = IssueOperation {
            request: self.next_id(),
            caller: String::from(caller),
        };
        let outputs = self.handle(index, Input::Call(CallInput::IssueOperation(asked)));
        let issued = outputs.into_iter().find_map(|output| match output {
            Output::OperationIssued(issued) => Some(issued.operation),
            _ => None,
        });
        issued.expect("a node issues ids at once")
    }

    /// Sends a command of an operator to a node.
    pub(crate) fn operate(&mut self, index: usize, command: OperatorCommand) -> OperatorReply {
        let input = OperatorInput {
            request: self.next_id(),
            operator: String::from("ada"),
            command,
        };
        let outputs = self.handle(index, Input::Operator(input));
        let reply = outputs.into_iter().find_map(|output| match output {
            Output::Operator(answer) => Some(answer.reply),
            _ => None,
        });
        reply.expect("a node answers operators")
    }

    fn handle(&mut self, index: usize, input: Input) -> Vec<Output> {
        let now = self.moment();
        self.hosts[index].node.handle(now, input)
    }

    /// Gives a node an input and carries out what it says.
    pub(crate) fn give(&mut self, index: usize, input: Input) {
        for output in self.handle(index, input) {
            self.carry_out(index, output);
        }
    }

    fn name(&self, index: usize) -> (usize, u64) {
        (index, self.hosts[index].incarnation)
    }

    fn is_there(&self, (index, incarnation): (usize, u64)) -> bool {
        let host = &self.hosts[index];
        host.is_up && host.incarnation == incarnation
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        self.cuts.contains(&(one.min(other), one.max(other)))
    }

    fn carry_out(&mut self, index: usize, output: Output) {
        let from = self.name(index);
        match output {
            Output::StartAttempt(start) => self.start(index, start),
            Output::FinishCall { call, ending } => self.finish(index, call, ending),
            Output::RunWork(run) => {
                let work = run.work;
                self.hosts[index].handed.insert(work);
                self.pending.push(Event::Run { to: from, work });
            }
            Output::RefuseWork {
                work,
                refusal,
                context,
            } => {
                let _ = refusal;
                self.answer(index, work, 503, context, None);
                self.hosts[index].works.remove(&work);
            }
            Output::AnswerWork { work, context } => self.answer_work(index, work, context),
            Output::Send { to, datagram } => {
                let to = (0..self.hosts.len()).find(|host| control_of(*host) == to);
                if let Some(to) = to {
                    self.pending.push(Event::Datagram { to, datagram });
                }
            }
            Output::BulkAsk { to, .. } => self.give(index, BulkInput::Failed { from: to }.into()),
            Output::Append {
                append,
                stream,
                record,
            } => {
                self.pending.push(Event::Append {
                    from,
                    append,
                    stream,
                    record,
                });
            }
            Output::Read {
                read,
                stream,
                from: offset,
                ..
            } => {
                self.pending.push(Event::Read {
                    from,
                    read,
                    stream,
                    offset,
                });
            }
            _ => {}
        }
    }

    fn start(&mut self, index: usize, start: StartAttempt) {
        let sender = self.name(index);
        let target = (0..self.hosts.len()).find(|host| peer_of(*host) == start.target);
        let target = target.expect("attempts go to hosts");
        let entry = self.hosts[index]
            .calls
            .get(&start.call)
            .expect("the call is under way");
        let request = entry.request.clone();
        if !self.hosts[target].is_up || self.is_cut(index, target) {
            self.end_attempt(sender, start.call, start.attempt, AttemptResult::NotSent);
            return;
        }
        let to = self.name(target);
        let event = if start.context.operation.is_some() {
            let waiting = Waiting::Node {
                host: sender,
                call: start.call,
                context: Box::new(start.context),
            };
            let entry = CallEntry {
                request,
                waiting,
                answer: None,
            };
            Event::Call { to, entry }
        } else {
            let entry = WorkEntry {
                request,
                sender,
                call: start.call,
                attempt: start.attempt,
            };
            Event::Work {
                to,
                context: start.context,
                entry,
            }
        };
        self.pending.push(event);
    }

    fn end_attempt(&mut self, to: (usize, u64), call: CallId, attempt: u64, result: AttemptResult) {
        let ended = AttemptEnded {
            call,
            attempt,
            result,
        };
        self.pending.push(Event::Ended { to, ended });
    }

    fn finish(&mut self, index: usize, call: CallId, ending: CallEnding) {
        let Some(entry) = self.hosts[index].calls.remove(&call) else {
            return;
        };
        match entry.waiting {
            Waiting::Caller { send } => {
                let ending = ending_of(ending, entry.answer);
                self.end_send(send, ending);
            }
            Waiting::Node {
                host,
                call,
                context,
            } => {
                let (outcome, stored) = match ending {
                    CallEnding::PassAnswer { outcome, .. } => (outcome, entry.answer),
                    CallEnding::Replay(answer) => (Outcome::Ran, Some(answer)),
                    CallEnding::Refuse(refusal) => {
                        let body = format!("({})", refusal.reason);
                        (refusal.outcome, Some(stored(body)))
                    }
                };
                let head = head(context.attempt, outcome, stored);
                self.end_attempt(host, call, context.attempt, AttemptResult::Answered(head));
            }
        }
    }

    fn answer_work(&mut self, index: usize, work: WorkId, context: AnswerContext) {
        let runs_count = self.runs.len();
        let Some(entry) = self.hosts[index].works.get(&work) else {
            return;
        };
        let (status, body) = match context.outcome {
            Outcome::Ran => (200, format!("{}#{runs_count}", entry.request.body)),
            Outcome::NotRun => (503, String::from("(not run)")),
            Outcome::Unknown => (502, String::from("(broken)")),
        };
        self.answer(index, work, status, context, Some(stored(body)));
    }

    fn answer(
        &mut self,
        index: usize,
        work: WorkId,
        status: u16,
        context: AnswerContext,
        stored: Option<StoredAnswer>,
    ) {
        let Some(entry) = self.hosts[index].works.get(&work).cloned() else {
            return;
        };
        let crossing = u64::from(self.crosses_answers);
        let head = AnswerHead {
            status,
            context: Some(AnswerContext {
                attempt: context.attempt + crossing,
                ..context
            }),
            stored,
        };
        let result = if self.is_cut(index, entry.sender.0) {
            AttemptResult::Broken
        } else {
            AttemptResult::Answered(head)
        };
        self.end_attempt(entry.sender, entry.call, entry.attempt, result);
    }

    fn end_send(&mut self, send: usize, ending: Ending) {
        let earlier = self.endings.insert(send, ending);
        assert!(earlier.is_none(), "a send ends once");
        self.ended.push(send);
    }

    /// Sends that ended, without the first ones.
    pub(crate) fn told_since(&self, count: usize) -> Vec<(usize, Ending)> {
        let ended = self.ended[count..].iter();
        ended
            .map(|send| (*send, self.endings[send].clone()))
            .collect()
    }

    /// Lets one pending event happen.
    pub(crate) fn happen(&mut self, place: usize) {
        let event = self.pending.remove(place);
        self.happen_now(event);
    }

    fn happen_now(&mut self, event: Event) {
        match event {
            Event::Call { to, entry } => self.arrive(to, entry),
            Event::Work { to, context, entry } => {
                if !self.is_there(to) {
                    self.end_attempt(
                        entry.sender,
                        entry.call,
                        entry.attempt,
                        AttemptResult::Broken,
                    );
                    return;
                }
                let work = self.next_id();
                self.hosts[to.0].works.insert(work, entry);
                self.give(to.0, WorkInput::Arrived { work, context }.into());
            }
            Event::Ended { to, ended } => self.end(to, ended),
            Event::Run { to, work } => self.run(to, work),
            Event::Append {
                from,
                append,
                stream,
                record,
            } => {
                let mode = self.mode_for(from.0);
                self.append(from, append, &stream, record, mode);
            }
            Event::Read {
                from,
                read,
                stream,
                offset,
            } => {
                let mode = self.mode_for(from.0);
                self.read(from, read, &stream, offset, mode);
            }
            Event::LogAnswer { to, input } => {
                if self.is_there(to) {
                    self.give(to.0, Input::Log(input));
                }
            }
            Event::LateAppend { stream, record } => {
                let now = self.unix_ms();
                self.log.append(&stream, now, record);
            }
            Event::Datagram { to, datagram } => {
                let from = (0..self.hosts.len()).find(|host| control_of(*host) == datagram.sender);
                let is_cut = from.is_some_and(|from| self.is_cut(from, to));
                if self.hosts[to].is_up && !is_cut {
                    self.give(to, Input::Datagram(datagram));
                }
            }
        }
    }

    pub(crate) fn mode_for(&self, index: usize) -> LogMode {
        if self.log_cuts.contains(&index) {
            LogMode::Down
        } else {
            self.log_mode
        }
    }

    /// An append reaches the log, which treats it by a mode.
    pub(crate) fn append(
        &mut self,
        from: (usize, u64),
        append: u64,
        stream: &str,
        record: Vec<u8>,
        mode: LogMode,
    ) {
        let now = self.unix_ms();
        let input = match mode {
            LogMode::Up => {
                let offset = self.log.append(stream, now, record);
                LogInput::Appended { append, offset }
            }
            LogMode::LosesAnswers => {
                self.log.append(stream, now, record);
                LogInput::AppendOutcomeUnknown { append }
            }
            LogMode::Down => LogInput::AppendRefused { append },
            LogMode::Silent => LogInput::AppendOutcomeUnknown { append },
            LogMode::Delays => {
                self.delayed.push((String::from(stream), record));
                LogInput::AppendOutcomeUnknown { append }
            }
        };
        self.pending.push(Event::LogAnswer { to: from, input });
    }

    /// A read reaches the log, which treats it by a mode.
    pub(crate) fn read(
        &mut self,
        from: (usize, u64),
        read: u64,
        stream: &str,
        offset: u64,
        mode: LogMode,
    ) {
        let input = match mode {
            LogMode::Up | LogMode::LosesAnswers | LogMode::Delays => {
                self.log.read(read, stream, offset)
            }
            LogMode::Down | LogMode::Silent => LogInput::ReadFailed { read },
        };
        self.pending.push(Event::LogAnswer { to: from, input });
    }

    fn arrive(&mut self, to: (usize, u64), entry: CallEntry) {
        if !self.is_there(to) {
            self.cut(entry.waiting);
            return;
        }
        let call = self.next_id();
        let request = &entry.request;
        let origin = match &entry.waiting {
            Waiting::Caller { .. } => CallOrigin::Outside {
                caller: request.caller.clone(),
                trace: u128::from(call),
            },
            Waiting::Node { context, .. } => CallOrigin::Home {
                context: (**context).clone(),
            },
        };
        let arrived = CallArrived {
            call,
            origin,
            service: request.service.clone(),
            method: request.method.clone(),
            path: request.path.clone(),
            query: request.query.clone(),
            body_digest: Some(*blake3::hash(request.body.as_bytes()).as_bytes()),
            is_replayable: true,
            time_allowed: Some(Duration::from_millis(request.time_allowed_ms)),
            idempotency_key: request.key.clone(),
            operation_id: request.id.clone(),
            is_resend: false,
        };
        self.hosts[to.0].calls.insert(call, entry);
        self.give(to.0, CallInput::Arrived(arrived).into());
    }

    fn end(&mut self, to: (usize, u64), ended: AttemptEnded) {
        if !self.is_there(to) {
            return;
        }
        let entry = self.hosts[to.0].calls.get_mut(&ended.call);
        if let (Some(entry), AttemptResult::Answered(head)) = (entry, &ended.result) {
            entry.answer = head.stored.clone();
        }
        self.give(to.0, CallInput::AttemptEnded(ended).into());
    }

    /// The backend server of a host runs work.
    fn run(&mut self, to: (usize, u64), work: WorkId) {
        let index = to.0;
        if !self.is_there(to) {
            return;
        }
        let Some(entry) = self.hosts[index].works.get(&work) else {
            return;
        };
        let body = entry.request.body.clone();
        if self.hosts[index].backend == Backend::Refuses {
            self.end_work(index, work, answered(503, true));
            return;
        }
        self.runs.push((body.clone(), index));
        if self.poison.as_ref() == Some(&body) {
            self.crash_backend(index);
            return;
        }
        match self.hosts[index].backend {
            Backend::Answers => self.end_work(index, work, answered(200, false)),
            Backend::Fails => self.end_work(index, work, answered(503, false)),
            Backend::LosesAnswers => self.end_work(index, work, WorkResult::Broken),
            Backend::Holds => self.hosts[index].held.push(work),
            Backend::Refuses => {}
        }
    }

    fn end_work(&mut self, index: usize, work: WorkId, result: WorkResult) {
        self.give(index, WorkInput::Answered { work, result }.into());
        self.give(index, WorkInput::Finished { work }.into());
        self.hosts[index].works.remove(&work);
        self.hosts[index].handed.remove(&work);
    }

    /// The backend server answers the work that it holds.
    pub(crate) fn answer_held(&mut self, index: usize) {
        for work in std::mem::take(&mut self.hosts[index].held) {
            self.end_work(index, work, answered(200, false));
        }
    }

    /// The backend server dies with all that was handed to it; its connections
    /// break before its node knows. A new one announces itself.
    pub(crate) fn crash_backend(&mut self, index: usize) {
        self.hosts[index].crashes_count += 1;
        self.hosts[index].held.clear();
        self.pending
            .retain(|event| !matches!(event, Event::Run { to, .. } if to.0 == index));
        for work in std::mem::take(&mut self.hosts[index].handed) {
            if self.tells_deaths_first {
                self.give(index, BackendInput::Died.into());
            }
            self.end_work(index, work, WorkResult::Broken);
        }
        if self.tells_deaths_first {
            self.announce(index);
            return;
        }
        self.unnoticed
            .push((self.now_ms + self.notice_after_ms, index));
        self.notice_deaths();
    }

    fn notice_deaths(&mut self) {
        let now_ms = self.now_ms;
        let is_due = |death: &(u64, usize)| death.0 <= now_ms;
        let (due, later) = std::mem::take(&mut self.unnoticed)
            .into_iter()
            .partition(is_due);
        self.unnoticed = later;
        let due: Vec<_> = due;
        for (_, index) in due {
            self.give(index, BackendInput::Died.into());
            self.announce(index);
        }
    }

    /// Whoever waits sees the connection break.
    fn cut(&mut self, waiting: Waiting) {
        match waiting {
            Waiting::Caller { send } => {
                self.end_send(send, Ending::Cut);
            }
            Waiting::Node {
                host,
                call,
                context,
            } => {
                self.end_attempt(host, call, context.attempt, AttemptResult::Broken);
            }
        }
    }

    /// A host dies, and its node with it.
    pub(crate) fn kill(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.is_up = false;
        host.held.clear();
        let calls = std::mem::take(&mut host.calls);
        let works = std::mem::take(&mut host.works);
        for entry in calls.into_values() {
            self.cut(entry.waiting);
        }
        for entry in works.into_values() {
            self.end_attempt(
                entry.sender,
                entry.call,
                entry.attempt,
                AttemptResult::Broken,
            );
        }
    }

    /// A new host takes the place of one, under its address.
    pub(crate) fn replace(&mut self, index: usize) {
        if self.hosts[index].is_up {
            self.kill(index);
        }
        let incarnation = self.hosts[index].incarnation + 1;
        let data_centre = self.hosts[index].data_centre.clone();
        self.hosts[index] = self.host(index, incarnation, &data_centre);
        self.announce(index);
        self.introduce();
    }

    /// Whether a host takes no part at the moment.
    fn is_stopped(&self, event: &Event) -> bool {
        if let Event::Call { to, entry } = event
            && matches!(entry.waiting, Waiting::Node { .. })
            && self.hosts[to.0].is_deaf
        {
            return true;
        }
        let index = match event {
            Event::Call { to, .. }
            | Event::Work { to, .. }
            | Event::Ended { to, .. }
            | Event::LogAnswer { to, .. } => to.0,
            Event::Datagram { to, .. } => *to,
            _ => return false,
        };
        self.hosts[index].is_paused && self.hosts[index].is_up
    }

    /// Lets everything happen that is under way, in order.
    pub(crate) fn settle(&mut self) {
        while let Some(place) = self.next_place(|_| true) {
            self.happen(place);
        }
    }

    /// Lets happen what no other order could change.
    pub(crate) fn settle_uncontended(&mut self) {
        let delays_calls = self.delays_calls;
        let is_contended =
            |event: &Event| event.is_contended() || (delays_calls && event.is_forwarded_call());
        while let Some(place) = self.next_place(|event| !is_contended(event)) {
            self.happen(place);
        }
    }

    /// Lets everything happen until the first append of a host is in the log.
    pub(crate) fn settle_claim(&mut self, index: usize) {
        let before_count = self.log.appends_count;
        while self.log.appends_count == before_count {
            let place = self.next_place(|_| true).expect("the host appends a claim");
            self.happen(place);
        }
        let _ = index;
    }

    fn next_place(&self, wanted: impl Fn(&Event) -> bool) -> Option<usize> {
        let mut events = self.pending.iter();
        events.position(|event| wanted(event) && !self.is_stopped(event))
    }

    /// Lets everything happen until work is on its way to a gate, and says its
    /// fingerprint.
    pub(crate) fn fingerprint_of_next_work(&mut self) -> u64 {
        loop {
            let work = self.pending.iter().find_map(|event| match event {
                Event::Work { context, .. } => Some(context.fingerprint),
                _ => None,
            });
            if let Some(fingerprint) = work {
                return fingerprint;
            }
            self.happen(0);
        }
    }

    /// Time passes, and everything happens in order meanwhile.
    pub(crate) fn advance(&mut self, ms: u64) {
        self.advance_by(ms, TICK_MS);
    }

    /// [`Mesh::advance`] with ticks of another length.
    pub(crate) fn advance_by(&mut self, ms: u64, tick_ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.now_ms += tick_ms.min(end_ms - self.now_ms);
            self.notice_deaths();
            self.tick();
            self.settle();
        }
    }

    /// The first of the delayed appends lands; the others are lost.
    pub(crate) fn land(&mut self) {
        let now = self.unix_ms();
        let first = std::mem::take(&mut self.delayed).into_iter().next();
        let (stream, record) = first.expect("an append was delayed");
        self.log.append(&stream, now, record);
    }

    /// Somebody else appends to every stream.
    pub(crate) fn append_junk(&mut self) {
        let now = self.unix_ms();
        let streams: Vec<String> = self.log.streams.keys().cloned().collect();
        for stream in streams {
            self.log.append(&stream, now, b"junk".to_vec());
        }
    }

    /// Gives every node that runs a tick.
    pub(crate) fn tick(&mut self) {
        for index in 0..self.hosts.len() {
            if self.hosts[index].is_up && !self.hosts[index].is_paused {
                self.give(index, Input::Tick);
            }
        }
    }

    /// How often a body was run.
    pub(crate) fn runs_of(&self, body: &str) -> usize {
        self.runs.iter().filter(|(run, _)| run == body).count()
    }

    /// Backend servers that died.
    pub(crate) fn crashes_count(&self) -> usize {
        self.hosts.iter().map(|host| host.crashes_count).sum()
    }
}

fn answered(status: u16, says_not_run: bool) -> WorkResult {
    WorkResult::Answered {
        status,
        says_not_run,
    }
}

fn stored(body: String) -> StoredAnswer {
    StoredAnswer {
        status: 200,
        content_type: None,
        body: body.into_bytes(),
    }
}

fn head(attempt: u64, outcome: Outcome, stored: Option<StoredAnswer>) -> AnswerHead {
    AnswerHead {
        status: if stored.is_some() { 200 } else { 503 },
        context: Some(AnswerContext {
            attempt,
            outcome,
            allowance_returned_count: 0,
            attempts_count: 0,
            levels: Vec::new(),
            load: LoadReport::default(),
            is_leaving: false,
            retry_after_ms: 0,
        }),
        stored,
    }
}

fn ending_of(ending: CallEnding, answer: Option<StoredAnswer>) -> Ending {
    let text = |answer: StoredAnswer| String::from_utf8(answer.body).unwrap();
    match ending {
        CallEnding::PassAnswer { outcome, .. } => Ending::Answer {
            body: answer.map(text).unwrap_or_default(),
            outcome,
        },
        CallEnding::Replay(answer) => Ending::Replay { body: text(answer) },
        CallEnding::Refuse(refusal) => Ending::Refusal {
            reason: refusal.reason,
            outcome: refusal.outcome,
        },
    }
}
