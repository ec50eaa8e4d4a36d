//! Every short schedule of two operators who race on one service.
//!
//! Two nodes each confirm a plan made on the same base. The log takes, refuses
//! or loses each append and answers or fails each read, in every order; the
//! node that took the first confirmation may crash, and its operator then
//! confirms the same plan at the other node. After each schedule all is
//! answered, and what the operators were told is held against the log.

use std::{
    collections::{BTreeMap, BTreeSet, hash_map::DefaultHasher},
    hash::{Hash, Hasher},
    time::{Duration, SystemTime},
};

use kumquatquay_core::{
    Input, LogInput, LogRecord, Moment, Node, NodeSettings, OperatorInput, Output, Policy,
};
use kumquatquay_wire::{Intent, IntentEdit, MeshKey, OperatorCommand, OperatorReply, Priority};

/// Choices that a schedule makes before all is answered.
const DEPTH_COUNT: usize = 5;

/// A search that ends with fewer has lost its choices.
const SCHEDULES_LEAST_COUNT: usize = 5_000;

/// What the log and the network do, one at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Choice {
    /// The log takes the oldest append of a node and answers.
    Take(usize),
    /// The log takes it and the answer is lost.
    TakeAndLose(usize),
    /// The log refuses it.
    Refuse(usize),
    /// It is lost on the way.
    Lose(usize),
    /// The log answers the read of a node.
    Read(usize),
    /// The read fails.
    FailRead(usize),
    /// Time passes at both nodes, enough for a retry.
    Wait,
    /// The first node crashes; its operator goes to the other one.
    Crash,
}

/// How a host reports an append whose answer was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HostFault {
    None,
    /// As if the log had refused it.
    ReportsLossAsRefusal,
    /// As if the log had answered with the offset that it expected.
    AcceptsWithoutReading,
}

struct Host {
    node: Node,
    appends: Vec<(u64, Vec<u8>)>,
    read: Option<(u64, u64)>,
    is_up: bool,
    /// Hash of all inputs and their moments, which the node's state follows from.
    inputs: u64,
}

struct World {
    hosts: Vec<Host>,
    now: Duration,
    records: Vec<LogRecord>,
    plans: Vec<String>,
    replies: BTreeMap<u64, OperatorReply>,
    fault: HostFault,
}

impl World {
    fn new(fault: HostFault) -> Self {
        let mut world = Self {
            hosts: (0..2).map(host).collect(),
            now: Duration::from_secs(1),
            records: Vec::new(),
            plans: Vec::new(),
            replies: BTreeMap::new(),
            fault,
        };
        for _ in 0..8 {
            world.wait(Duration::from_millis(100));
            world.answer_reads();
        }
        for (index, caller) in ["inspector", "foreman"].iter().enumerate() {
            let plan = world.plan(index, caller);
            world.plans.push(plan);
        }
        for index in 0..2 {
            world.confirm(index, index);
        }
        world
    }

    fn plan(&mut self, index: usize, caller: &str) -> String {
        let intent = Intent::new("settlement").priority(Priority::caller(caller));
        let edit = IntentEdit {
            service: String::from("settlement"),
            intent: Some(intent),
        };
        let command = OperatorCommand::Plan {
            edits: vec![edit],
            allows_unknown: true,
        };
        self.command(index, 100 + index as u64, command);
        match self.replies.remove(&(100 + index as u64)) {
            Some(OperatorReply::Plan(plan)) => plan.sealed,
            other => panic!("{other:?}"),
        }
    }

    fn confirm(&mut self, index: usize, plan: usize) {
        let command = OperatorCommand::Confirm {
            plan: self.plans[plan].clone(),
        };
        self.command(index, plan as u64, command);
    }

    fn command(&mut self, index: usize, request: u64, command: OperatorCommand) {
        let input = OperatorInput {
            request,
            operator: format!("operator-{request}"),
            command,
        };
        self.feed(index, input.into());
    }

    fn feed(&mut self, index: usize, input: Input) {
        let moment = Moment {
            monotonic: self.now,
            wall: SystemTime::UNIX_EPOCH + self.now,
        };
        let host = &mut self.hosts[index];
        if !host.is_up {
            return;
        }
        let mut hasher = DefaultHasher::new();
        (host.inputs, self.now, format!("{input:?}")).hash(&mut hasher);
        host.inputs = hasher.finish();
        for output in host.node.handle(moment, input) {
            match output {
                Output::Append { append, record, .. } => host.appends.push((append, record)),
                Output::Read { read, from, .. } => host.read = Some((read, from)),
                Output::Operator(operator) => {
                    self.replies.insert(operator.request, operator.reply);
                }
                _ => {}
            }
        }
    }

    fn wait(&mut self, duration: Duration) {
        self.now += duration;
        for index in 0..self.hosts.len() {
            self.feed(index, Input::Tick);
        }
    }

    fn answer_reads(&mut self) {
        for index in 0..self.hosts.len() {
            self.answer_read(index);
        }
    }

    fn answer_read(&mut self, index: usize) {
        let Some((read, from)) = self.hosts[index].read.take() else {
            return;
        };
        let records = self.records.iter().skip(from as usize).cloned();
        let input = LogInput::Read {
            read,
            stream: String::from("configuration"),
            records: records.collect(),
            oldest_offset: 0,
            next_offset: self.records.len() as u64,
            era: None,
        };
        self.feed(index, input.into());
    }

    fn take(&mut self, index: usize, is_answered: bool) {
        let (append, bytes) = self.hosts[index].appends.remove(0);
        let offset = self.records.len() as u64;
        self.records.push(LogRecord {
            offset,
            appended_unix_ms: self.now.as_millis() as u64,
            bytes,
        });
        let input = match is_answered {
            true => LogInput::Appended { append, offset },
            false => self.lost(append),
        };
        self.feed(index, input.into());
    }

    /// What the host says of an append whose answer was lost.
    fn lost(&self, append: u64) -> LogInput {
        match self.fault {
            HostFault::None | HostFault::AcceptsWithoutReading => {
                LogInput::AppendOutcomeUnknown { append }
            }
            HostFault::ReportsLossAsRefusal => LogInput::AppendRefused { append },
        }
    }

    fn choices(&self) -> Vec<Choice> {
        let mut choices = vec![Choice::Wait];
        for (index, host) in self.hosts.iter().enumerate().filter(|(_, host)| host.is_up) {
            if !host.appends.is_empty() {
                choices.extend([Choice::Take(index), Choice::TakeAndLose(index)]);
                choices.extend([Choice::Refuse(index), Choice::Lose(index)]);
            }
            if host.read.is_some() {
                choices.extend([Choice::Read(index), Choice::FailRead(index)]);
            }
        }
        if self.hosts[0].is_up {
            choices.push(Choice::Crash);
        }
        choices
    }

    fn choose(&mut self, choice: Choice) {
        match choice {
            Choice::Take(index) => self.take(index, true),
            Choice::TakeAndLose(index) => self.take(index, false),
            Choice::Refuse(index) => {
                let (append, _) = self.hosts[index].appends.remove(0);
                self.feed(index, LogInput::AppendRefused { append }.into());
            }
            Choice::Lose(index) => {
                let (append, _) = self.hosts[index].appends.remove(0);
                let input = self.lost(append);
                self.feed(index, input.into());
            }
            Choice::Read(index) => self.answer_read(index),
            Choice::FailRead(index) => {
                if let Some((read, _)) = self.hosts[index].read.take() {
                    self.feed(index, LogInput::ReadFailed { read }.into());
                }
            }
            Choice::Wait => self.wait(Duration::from_millis(600)),
            Choice::Crash => {
                self.hosts[0].is_up = false;
                if !self.replies.contains_key(&0) {
                    self.confirm(1, 0);
                }
            }
        }
        if self.fault == HostFault::AcceptsWithoutReading {
            self.accept_taken();
        }
    }

    /// The fault of a tool that takes the append's answer for acceptance.
    fn accept_taken(&mut self) {
        for request in 0..2_u64 {
            let is_taken = self.records.len() as u64 > request;
            if is_taken && !self.replies.contains_key(&request) {
                let reply = OperatorReply::Accepted {
                    version: request,
                    is_repeat: false,
                    message: String::new(),
                };
                self.replies.insert(request, reply);
            }
        }
    }

    /// Answers everything until both operators have their reply.
    fn finish(&mut self) {
        for _ in 0..40 {
            for index in 0..self.hosts.len() {
                while self.hosts[index].is_up && !self.hosts[index].appends.is_empty() {
                    self.take(index, true);
                }
            }
            self.answer_reads();
            self.wait(Duration::from_millis(300));
        }
    }

    /// The configuration that a node has, by its own words.
    fn told(&mut self, index: usize) -> (Option<u64>, Vec<Intent>) {
        self.command(index, 200, OperatorCommand::IntentList);
        match self.replies.remove(&200) {
            Some(OperatorReply::Intents {
                version, entries, ..
            }) => {
                let intents = entries.into_iter().filter_map(|entry| entry.intent);
                (version, intents.collect())
            }
            other => panic!("{other:?}"),
        }
    }

    /// Who confirmed the changes that a node remembers.
    fn winners(&mut self, index: usize) -> Vec<String> {
        self.command(index, 201, OperatorCommand::IntentHistory { service: None });
        match self.replies.remove(&201) {
            Some(OperatorReply::History { changes }) => changes
                .into_iter()
                .map(|accepted| accepted.change.operator)
                .collect(),
            other => panic!("{other:?}"),
        }
    }

    /// Two worlds with the same fingerprint go on alike: each node has had the
    /// same inputs at the same moments, and the log holds the same records.
    fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for record in &self.records {
            (record.appended_unix_ms, &record.bytes).hash(&mut hasher);
        }
        for host in &self.hosts {
            (host.is_up, host.inputs, host.read, &host.appends).hash(&mut hasher);
        }
        self.now.hash(&mut hasher);
        hasher.finish()
    }
}

fn host(index: usize) -> Host {
    let port = 7_000 + index as u16;
    let node = Node::new(NodeSettings {
        control: ([127, 0, 0, 1], port).into(),
        peer: ([127, 0, 0, 1], port + 1_000).into(),
        data_centre: format!("hall-{index}"),
        incarnation: 1,
        seeds: Vec::new(),
        key: MeshKey::from_secret("secret"),
        random_seed: index as u64,
        policy: Policy::all(),
        has_log: true,
    });
    Host {
        node,
        appends: Vec::new(),
        read: None,
        is_up: true,
        inputs: 0,
    }
}

/// What was explored.
#[derive(Debug, Default)]
struct Exploration {
    schedules_count: usize,
    states: BTreeSet<u64>,
    broken: Option<(Vec<Choice>, String)>,
}

fn explore(fault: HostFault, schedule: &mut Vec<Choice>, exploration: &mut Exploration) {
    if exploration.broken.is_some() {
        return;
    }
    let mut world = World::new(fault);
    for choice in schedule.iter() {
        world.choose(*choice);
    }
    let is_new = exploration.states.insert(world.fingerprint());
    if !is_new {
        return;
    }
    if schedule.len() < DEPTH_COUNT {
        for choice in world.choices() {
            schedule.push(choice);
            explore(fault, schedule, exploration);
            schedule.pop();
        }
        return;
    }
    exploration.schedules_count += 1;
    world.finish();
    if let Err(what) = check(&mut world) {
        exploration.broken = Some((schedule.clone(), what));
    }
}

/// Holds what the operators were told against what the nodes have in the end.
fn check(world: &mut World) -> Result<(), String> {
    let up: Vec<usize> = (0..2).filter(|index| world.hosts[*index].is_up).collect();
    let told: Vec<_> = up.iter().map(|index| world.told(*index)).collect();
    if told.windows(2).any(|pair| pair[0] != pair[1]) {
        return Err(format!("the nodes differ: {told:?}"));
    }
    let winners = world.winners(up[0]);
    let mut accepted_count = 0;
    for (request, reply) in &world.replies {
        let has_won = winners.contains(&format!("operator-{request}"));
        match reply {
            OperatorReply::Accepted { .. } => {
                accepted_count += 1;
                if !has_won {
                    return Err(format!("{request} was accepted and is not in force"));
                }
            }
            OperatorReply::Refused { message } if has_won => {
                // A refusal speaks for one confirmation. The first one of this
                // plan, at the node that crashed, may have reached the log.
                let was_confirmed_before = *request == 0 && !world.hosts[0].is_up;
                if !was_confirmed_before || !message.contains("confirmed before") {
                    return Err(format!("{request} was refused and is in force"));
                }
            }
            OperatorReply::Conflict { .. } if has_won => {
                return Err(format!("{request} had lost and is in force"));
            }
            _ => {}
        }
    }
    match accepted_count {
        0 | 1 => Ok(()),
        count => Err(format!("{count} plans on the same base were accepted")),
    }
}

fn explored(fault: HostFault) -> Exploration {
    let mut exploration = Exploration::default();
    explore(fault, &mut Vec::new(), &mut exploration);
    exploration
}

/// The operators are told what holds, whatever the log does: at most one plan
/// is accepted, an accepted one is in force, a refused one never is, and the
/// nodes agree.
#[test]
fn no_schedule_of_two_operators_breaks_a_promise() {
    let exploration = explored(HostFault::None);
    assert_eq!(exploration.broken, None);
    let (schedules_count, states_count) = (exploration.schedules_count, exploration.states.len());
    println!("{schedules_count} schedules, {states_count} states");
    assert!(
        schedules_count > SCHEDULES_LEAST_COUNT,
        "the search is cut short"
    );
}

/// A host that calls a lost answer a refusal makes the node tell an operator
/// that nothing changed, while the record is in the log and wins.
#[test]
fn a_loss_that_is_reported_as_a_refusal_is_caught() {
    let broken = explored(HostFault::ReportsLossAsRefusal).broken;
    let (schedule, what) = broken.expect("the fault shows");
    assert!(
        what.contains("was refused and is in force"),
        "{schedule:?}: {what}"
    );
}

/// A tool that takes the append's answer for acceptance tells both operators
/// that they won.
#[test]
fn acceptance_without_reading_back_is_caught() {
    let broken = explored(HostFault::AcceptsWithoutReading).broken;
    let (schedule, what) = broken.expect("the fault shows");
    assert!(what.contains("accepted"), "{schedule:?}: {what}");
}
