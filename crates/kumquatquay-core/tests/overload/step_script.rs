//! The test language for single steps on a few nodes.
//!
//! - `node name=… service=… slots=…` adds a node; `meet` makes them known
//! - `call at=… id=… service=…` a call arrives; `calls count=…` many, in short
//! - `arrive call=… work=…` its attempt reaches the gate that it was sent to
//! - `work at=… id=… class=… cohort=…` work of an unnamed sender reaches a gate
//! - `answer at=… work=…`, `finish at=… work=…` the backend server answers
//! - `return work=…` the answer reaches the sender; `again` repeats it
//! - `fail call=… how=…` an attempt fails without an answer
//! - `retry-after least-ms=… greatest-ms=… spread-ms=…` checks the refusals since
//! - `abandon`, `cancel`, `level`, `advance ms=…`, `set-clock`, `show`

use std::{
    collections::{BTreeMap, HashMap},
    fmt::Write,
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use datadriven::TestCase;
use kumquatquay_core::{
    Announcement, AnswerHead, AttemptEnded, AttemptId, AttemptResult, BackendInput, CallArrived,
    CallEnding, CallId, CallInput, CallOrigin, Input, Moment, Node, NodeSettings, Output, Policy,
    RunWork, WorkId, WorkInput, WorkResult,
};
use kumquatquay_wire::{
    AnswerContext, ControlBody, Datagram, Importance, MemberRecord, MemberState, MeshKey,
    RequestContext, Rumour, ServiceLevel,
};

use crate::{args::Args, mesh_script::policy_of};

struct Sent {
    name: String,
    attempt: AttemptId,
    target: SocketAddr,
    context: RequestContext,
}

struct Answer {
    call: CallId,
    context: AnswerContext,
    status: u16,
}

#[derive(Default)]
pub(crate) struct StepScript {
    nodes: BTreeMap<String, Node>,
    records: BTreeMap<String, MemberRecord>,
    elapsed: Duration,
    wall_offset_s: i64,
    sent: HashMap<CallId, Sent>,
    arrived: HashMap<WorkId, CallId>,
    runs: HashMap<WorkId, RunWork>,
    answers: HashMap<WorkId, Answer>,
    statuses: HashMap<WorkId, u16>,
    places: HashMap<WorkId, String>,
    sequence: u64,
    retry_afters: Vec<Duration>,
}

impl StepScript {
    pub(crate) fn command(&mut self, case: &TestCase) -> String {
        let args = Args(case);
        match case.directive.as_str() {
            "node" => self.node(&args),
            "meet" => self.meet(),
            "call" => self.call(&args),
            "calls" => self.calls(&args),
            "arrive" => self.arrive(&args),
            "work" => self.work(&args),
            "answer" => self.answer(&args),
            "finish" => {
                let work = args.number("work");
                self.feed(
                    &self.place(&args),
                    Input::Work(WorkInput::Finished { work }),
                )
            }
            "return" => self.return_answer(&args),
            "fail" => self.fail(&args),
            "abandon" => {
                let call = args.number("call");
                self.feed(&args.name("at"), Input::Call(CallInput::Abandoned { call }))
            }
            "cancel" => {
                let work = args.number("work");
                self.feed(
                    &self.place(&args),
                    Input::Work(WorkInput::Cancelled { work }),
                )
            }
            "level" => self.level(&args),
            "retry-after" => self.check_retry_after(&args),
            "died" => self.feed(&args.name("at"), BackendInput::Died.into()),
            "advance" => self.advance(args.ms("ms")),
            "set-clock" => {
                self.wall_offset_s = args.number("forward-s");
                String::from("ok\n")
            }
            "show" => self.show(&args),
            other => panic!("no command {other}"),
        }
    }

    /// The node where a piece of work is.
    fn place(&self, args: &Args<'_>) -> String {
        let work: WorkId = args.number("work");
        let named = args.text("at");
        named.unwrap_or_else(|| self.places[&work].clone())
    }

    fn moment(&self) -> Moment {
        let start = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000_000);
        let offset = Duration::from_secs(self.wall_offset_s.unsigned_abs());
        let wall = match self.wall_offset_s >= 0 {
            true => start + offset,
            false => start - offset,
        };
        Moment {
            monotonic: Duration::from_secs(100) + self.elapsed,
            wall: wall + self.elapsed,
        }
    }

    fn node(&mut self, args: &Args<'_>) -> String {
        let number = self.nodes.len() as u16;
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let name = args.name("name");
        let policy = args.text("policy").map(|name| policy_of(&name));
        let mut policy: Policy = policy.unwrap_or_default();
        policy.allowance_count = args.maybe("allowance").unwrap_or(policy.allowance_count);
        let data_centre = args.text("dc").unwrap_or_else(|| String::from("hall-a"));
        let settings = NodeSettings::new(
            data_centre.clone(),
            address(10_000 + number),
            address(20_000 + number),
            MeshKey::from_secret("secret"),
        )
        .random_seed(u64::from(number) + 1)
        .policy(policy);
        let service = args.name("service");
        let slots_count = args.number("slots");
        let record = MemberRecord {
            control: settings.control,
            peer: settings.peer,
            data_centre,
            service: Some(service.clone()),
            life: None,
            incarnation: 1,
            revision: 1,
            state: MemberState::Serving,
            is_suspect: false,
            slots_count,
        };
        self.nodes.insert(name.clone(), Node::new(settings));
        self.records.insert(name.clone(), record);
        let announcement = Announcement {
            life: None,
            service,
            address: address(30_000 + number),
            slots_count,
            connections_count: 10 * slots_count,
            state: MemberState::Serving,
        };
        self.feed(&name, BackendInput::Announced(announcement).into())
    }

    fn meet(&mut self) -> String {
        let names: Vec<_> = self.nodes.keys().cloned().collect();
        let records: Vec<_> = self.records.values().cloned().collect();
        for name in names {
            let rumours = records.iter().cloned().map(Rumour::Member).collect();
            self.tell(&name, rumours);
        }
        String::from("ok\n")
    }

    /// Brings news to a node, from the first node that is not itself.
    fn tell(&mut self, name: &str, rumours: Vec<Rumour>) {
        let own = self.records[name].control;
        let other = self.records.values().find(|record| record.control != own);
        let Some(sender) = other.map(|record| record.control) else {
            return;
        };
        self.sequence += 1;
        let datagram = Datagram {
            sender,
            incarnation: 1,
            sequence: self.sequence,
            body: ControlBody::Gossip,
            rumours,
        };
        self.feed(name, Input::Datagram(datagram));
    }

    fn level(&mut self, args: &Args<'_>) -> String {
        let level = ServiceLevel {
            service: args.name("service"),
            data_centre: args.text("dc").unwrap_or_else(|| String::from("hall-a")),
            least_admitted: Importance::new(args.number("class"), args.number("cohort")),
            age_ms: 0,
        };
        self.tell(&args.name("at"), vec![Rumour::Level(level)]);
        String::from("ok\n")
    }

    fn arrived_call(&self, args: &Args<'_>, id: CallId, trace: u128) -> CallArrived {
        let by_work = args.maybe::<WorkId>("for-work");
        let by_trace = args.maybe::<u128>("for-trace");
        let origin = match (by_work, by_trace) {
            (None, None) => CallOrigin::Outside {
                caller: args
                    .text("caller")
                    .unwrap_or_else(|| String::from("foreman")),
                trace,
            },
            (work, trace) => CallOrigin::Backend {
                token: work.map(|work| self.runs[&work].token),
                trace: trace.or_else(|| work.map(|work| self.runs[&work].trace)),
            },
        };
        CallArrived {
            call: id,
            origin,
            service: args.name("service"),
            method: args.text("method").unwrap_or_else(|| String::from("GET")),
            path: String::from("/pits/7"),
            query: None,
            body_digest: None,
            is_replayable: !args.has("streamed"),
            time_allowed: args.maybe("time-ms").map(Duration::from_millis),
            idempotency_key: None,
            operation_id: None,
            is_resend: args.has("resend"),
        }
    }

    fn call(&mut self, args: &Args<'_>) -> String {
        let trace = args.maybe("trace").unwrap_or(7);
        let arrived = self.arrived_call(args, args.number("id"), trace);
        self.feed(&args.name("at"), Input::Call(CallInput::Arrived(arrived)))
    }

    /// Many calls with a trace each; says how many were sent on. Each is
    /// answered at once, so that nothing stays out.
    fn calls(&mut self, args: &Args<'_>) -> String {
        let name = args.name("at");
        let count: u64 = args.number("count");
        let mut sent_count = 0;
        for number in 0..count {
            let trace = u128::from(number) + 1_000;
            let id = 1_000_000 + self.sequence * 100_000 + number;
            let arrived = self.arrived_call(args, id, trace);
            self.feed(&name, Input::Call(CallInput::Arrived(arrived)));
            let Some(sent) = self.sent.remove(&id) else {
                continue;
            };
            sent_count += 1;
            let ended = AttemptEnded {
                call: id,
                attempt: sent.attempt,
                result: AttemptResult::TimedOut,
            };
            self.feed(&name, Input::Call(CallInput::AttemptEnded(ended)));
        }
        self.sequence += 1;
        match args.maybe::<u64>("at-least") {
            Some(least_count) => {
                let most_count = args.number("at-most");
                let holds = least_count <= sent_count && sent_count <= most_count;
                match holds {
                    true => String::from("yes\n"),
                    false => format!("no, {sent_count} of {count} were sent\n"),
                }
            }
            None => format!("{sent_count} of {count} sent\n"),
        }
    }

    fn arrive(&mut self, args: &Args<'_>) -> String {
        let (call, work) = (args.number("call"), args.number("work"));
        let sent = &self.sent[&call];
        let target = self.records.iter();
        let mut target = target.filter(|(_, record)| record.peer == sent.target);
        let name = target
            .next()
            .expect("it was sent to a known node")
            .0
            .clone();
        let context = sent.context.clone();
        self.arrived.insert(work, call);
        self.places.insert(work, name.clone());
        self.feed(&name, Input::Work(WorkInput::Arrived { work, context }))
    }

    fn work(&mut self, args: &Args<'_>) -> String {
        let name = args.name("at");
        let record = &self.records[&name];
        let work: WorkId = args.number("id");
        self.places.insert(work, name.clone());
        let context = RequestContext {
            trace: args.maybe("trace").unwrap_or_else(|| u128::from(work)),
            request: work,
            caller: args
                .text("caller")
                .unwrap_or_else(|| String::from("foreman")),
            service: record.service.clone().unwrap_or_default(),
            class: args.maybe("class").unwrap_or(1),
            cohort: args.maybe("cohort").unwrap_or(0),
            remaining_ms: args.maybe("time-ms").unwrap_or(1_000),
            allowance_count: args.maybe("allowance").unwrap_or(0),
            is_retry: args.has("repeat"),
            wants_services: false,
            caller_limit_per_s: 0,
            depth_count: 1,
            fingerprint: work,
            is_idempotent: !args.has("filing"),
            operation: None,
            sender_incarnation: 1,
            attempt: work,
        };
        self.feed(&name, Input::Work(WorkInput::Arrived { work, context }))
    }

    fn answer(&mut self, args: &Args<'_>) -> String {
        let work = args.number("work");
        let status = args.maybe("status").unwrap_or(200);
        self.statuses.insert(work, status);
        let result = match args.text("how").as_deref() {
            None => WorkResult::Answered {
                status,
                says_not_run: args.has("not-run"),
            },
            Some("not-sent") => WorkResult::NotSent,
            Some("broken") => WorkResult::Broken,
            Some("timed-out") => WorkResult::TimedOut,
            Some(other) => panic!("no way {other}"),
        };
        let input = Input::Work(WorkInput::Answered { work, result });
        self.feed(&self.place(args), input)
    }

    fn return_answer(&mut self, args: &Args<'_>) -> String {
        let work = args.number("work");
        let answer = &self.answers[&work];
        let call = answer.call;
        let mut context = answer.context.clone();
        let claim = args.maybe("claim");
        context.allowance_returned_count = claim.unwrap_or(context.allowance_returned_count);
        let head = AnswerHead {
            status: answer.status,
            context: (!args.has("forged")).then_some(context.clone()),
            stored: None,
        };
        let ended = AttemptEnded {
            call,
            attempt: context.attempt,
            result: AttemptResult::Answered(head),
        };
        let name = self.sent[&call].name.clone();
        self.feed(&name, Input::Call(CallInput::AttemptEnded(ended)))
    }

    fn fail(&mut self, args: &Args<'_>) -> String {
        let call = args.number("call");
        let sent = &self.sent[&call];
        let result = match args.name("how").as_str() {
            "not-sent" => AttemptResult::NotSent,
            "broken" => AttemptResult::Broken,
            "timed-out" => AttemptResult::TimedOut,
            other => panic!("no way {other}"),
        };
        let attempt = sent.attempt;
        let name = sent.name.clone();
        let ended = AttemptEnded {
            call,
            attempt,
            result,
        };
        self.feed(&name, Input::Call(CallInput::AttemptEnded(ended)))
    }

    fn advance(&mut self, duration: Duration) -> String {
        let end = self.elapsed + duration;
        let names: Vec<_> = self.nodes.keys().cloned().collect();
        let mut text = String::new();
        while self.elapsed < end {
            self.elapsed = (self.elapsed + Node::TICK_INTERVAL).min(end);
            for name in &names {
                text += &self.feed_quietly(name, Input::Tick);
            }
        }
        or_nothing(text)
    }

    fn check_retry_after(&mut self, args: &Args<'_>) -> String {
        let told = std::mem::take(&mut self.retry_afters);
        let least = told.iter().min().copied().unwrap_or_default();
        let greatest = told.iter().max().copied().unwrap_or_default();
        let holds = least >= args.ms("least-ms")
            && greatest <= args.ms("greatest-ms")
            && greatest - least >= args.ms("spread-ms");
        match holds {
            true => format!("yes, {} times\n", told.len()),
            false => format!("no, {least:?} to {greatest:?}\n"),
        }
    }

    fn show(&self, args: &Args<'_>) -> String {
        let node = &self.nodes[&args.name("at")];
        let dump = node.state_dump(self.moment());
        if let Some(counter) = args.text("counter") {
            let mut counts = node.counters().iter();
            let count = counts.find(|(known, _)| known.to_string() == counter);
            return format!("{counter} {}\n", count.map_or(0, |(_, count)| count));
        }
        format!(
            "calls {} ledgers {} running {} queued {} limit {}\n",
            dump.calls_count,
            dump.ledgers_count,
            dump.running_count,
            dump.queued_count,
            dump.gate_limit_count,
        )
    }

    fn feed(&mut self, name: &str, input: Input) -> String {
        or_nothing(self.feed_quietly(name, input))
    }

    fn feed_quietly(&mut self, name: &str, input: Input) -> String {
        let moment = self.moment();
        let node = self.nodes.get_mut(name).expect("the node was added");
        let outputs = node.handle(moment, input);
        let mut text = String::new();
        for output in outputs {
            self.on_output(name, output, &mut text);
        }
        text
    }

    fn on_output(&mut self, name: &str, output: Output, text: &mut String) {
        match output {
            Output::StartAttempt(start) => {
                let target = self.records.iter();
                let mut target = target.filter(|(_, record)| record.peer == start.target);
                let to = target.next().map_or("?", |(name, _)| name);
                let context = start.context;
                writeln!(
                    text,
                    "{name}: call {} sent to {to}, class {}, {} ms, {} retries lent{}",
                    start.call,
                    context.class,
                    context.remaining_ms,
                    context.allowance_count,
                    if context.is_retry { ", a repeat" } else { "" },
                )
                .unwrap();
                let sent = Sent {
                    name: String::from(name),
                    attempt: start.attempt,
                    target: start.target,
                    context,
                };
                self.sent.insert(start.call, sent);
            }
            Output::CancelAttempt { call, .. } => {
                writeln!(text, "{name}: call {call} cancelled").unwrap();
            }
            Output::FinishCall { call, ending } => {
                if let CallEnding::Refuse(refusal) = &ending {
                    self.retry_afters.extend(refusal.retry_after);
                }
                writeln!(text, "{name}: call {call} {}", ending_text(&ending)).unwrap();
            }
            Output::RunWork(run) => {
                writeln!(text, "{name}: work {} runs", run.work).unwrap();
                self.runs.insert(run.work, run);
            }
            Output::RefuseWork {
                work,
                refusal,
                context,
            } => {
                let (reason, outcome) = (refusal.reason, refusal.outcome);
                writeln!(text, "{name}: work {work} refused, {reason}, {outcome}").unwrap();
                self.keep_answer(work, context, 503);
            }
            Output::AnswerWork { work, context } => {
                let returned_count = context.allowance_returned_count;
                let outcome = context.outcome;
                writeln!(
                    text,
                    "{name}: work {work} answered, {outcome}, {returned_count} retries returned"
                )
                .unwrap();
                let status = self.statuses.get(&work).copied().unwrap_or(200);
                self.keep_answer(work, context, status);
            }
            Output::CancelWork { work } => {
                writeln!(text, "{name}: work {work} given up").unwrap();
            }
            _ => {}
        }
    }

    fn keep_answer(&mut self, work: WorkId, context: AnswerContext, status: u16) {
        let Some(call) = self.arrived.get(&work).copied() else {
            return;
        };
        let answer = Answer {
            call,
            context,
            status,
        };
        self.answers.insert(work, answer);
    }
}

fn or_nothing(text: String) -> String {
    if text.is_empty() {
        String::from("nothing\n")
    } else {
        text
    }
}

fn ending_text(ending: &CallEnding) -> String {
    match ending {
        CallEnding::PassAnswer { outcome, .. } => format!("answered, {outcome}"),
        CallEnding::Replay(_) => String::from("replayed"),
        CallEnding::Refuse(refusal) => {
            format!("refused, {}, {}", refusal.reason, refusal.outcome)
        }
    }
}
