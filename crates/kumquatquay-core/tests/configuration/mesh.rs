//! A few nodes, a log, and the messages between them in one queue.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use kumquatquay_core::{
    Announcement, BackendInput, BulkInput, Input, LogInput, Moment, Node, NodeSettings,
    OperatorInput, Output,
};
use kumquatquay_wire::{MemberState, MeshKey, OperatorCommand, OperatorReply};

use crate::fake_log::{AppendFault, FakeLog};

const FIRST_LETTER_PORT: u16 = 7_000;
const FIRST_NUMBER_PORT: u16 = 10_000;
const STREAM: &str = "configuration";
/// Nodes that a new one is told of.
const SEEDS_COUNT: usize = 8;

const NETWORK_DELAY: Duration = Duration::from_millis(1);
const READ_RETRY: Duration = Duration::from_millis(20);

/// One node and its host.
pub(crate) struct Host {
    pub(crate) node: Node,
    pub(crate) data_centre: String,
    pub(crate) is_paused: bool,
    pub(crate) is_cut_from_log: bool,
    held: Vec<Event>,
}

/// Something that reaches a host later.
#[derive(Clone, Debug)]
enum Event {
    Input(Input),
    AppendArrives {
        append: u64,
        record: Vec<u8>,
    },
    ReadArrives {
        read: u64,
        from: u64,
        until: Duration,
    },
    Asked {
        by: SocketAddr,
        question: Vec<u8>,
    },
}

/// The nodes, the log and the clock.
pub(crate) struct Mesh {
    pub(crate) hosts: BTreeMap<String, Host>,
    pub(crate) log: FakeLog,
    pub(crate) now: Duration,
    pub(crate) notes: Vec<(String, String)>,
    pub(crate) bulk_bytes: u64,
    pub(crate) cuts: BTreeSet<(String, String)>,
    queue: BTreeMap<(Duration, u64), (String, Event)>,
    replies: BTreeMap<u64, OperatorReply>,
    exchanges: BTreeMap<u64, (String, String)>,
    last_number: u64,
}

impl Mesh {
    pub(crate) fn new() -> Self {
        Self {
            hosts: BTreeMap::new(),
            log: FakeLog::default(),
            now: Duration::from_secs(1),
            notes: Vec::new(),
            bulk_bytes: 0,
            cuts: BTreeSet::new(),
            queue: BTreeMap::new(),
            replies: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            last_number: 0,
        }
    }

    fn number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    pub(crate) fn moment(&self) -> Moment {
        Moment {
            monotonic: self.now,
            wall: SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000) + self.now,
        }
    }

    /// Starts a node; its name is one letter or a number.
    pub(crate) fn start(&mut self, name: &str, data_centre: &str, service: Option<&str>) {
        let incarnation = self.now.as_millis() as u64;
        let control = address(name);
        let seeds = self.hosts.keys().take(SEEDS_COUNT);
        let seeds: Vec<_> = seeds.map(|name| address(name)).collect();
        let mut peer = control;
        peer.set_port(control.port() + 20_000);
        let node = Node::new(
            NodeSettings::new(
                String::from(data_centre),
                control,
                peer,
                MeshKey::from_secret("secret"),
            )
            .incarnation(incarnation)
            .seeds(seeds)
            .random_seed(u64::from(control.port())),
        );
        let host = Host {
            node,
            data_centre: String::from(data_centre),
            is_paused: false,
            is_cut_from_log: false,
            held: Vec::new(),
        };
        self.hosts.insert(String::from(name), host);
        if let Some(service) = service {
            let announcement = Announcement {
                life: None,
                service: String::from(service),
                address: peer,
                slots_count: 10,
                connections_count: 100,
                state: MemberState::Serving,
            };
            self.feed(name, BackendInput::Announced(announcement).into());
        }
    }

    pub(crate) fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Lets one tick pass.
    pub(crate) fn step(&mut self) {
        self.now += Node::TICK_INTERVAL;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (name, event) = entry.remove();
            self.deliver(&name, event);
        }
        let names: Vec<String> = self.hosts.keys().cloned().collect();
        for name in names {
            if !self.hosts[&name].is_paused {
                self.feed(&name, Input::Tick);
            }
        }
    }

    pub(crate) fn resume(&mut self, name: &str) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        host.is_paused = false;
        for event in std::mem::take(&mut host.held) {
            self.deliver(name, event);
        }
    }

    fn post(&mut self, name: &str, delay: Duration, event: Event) {
        let number = self.number();
        self.queue
            .insert((self.now + delay, number), (String::from(name), event));
    }

    fn deliver(&mut self, name: &str, event: Event) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        match event {
            Event::Input(_) | Event::AppendArrives { .. } if host.is_paused => {
                host.held.push(event);
            }
            Event::Input(input) => self.feed(name, input),
            Event::AppendArrives { append, record } => self.append(name, append, record),
            Event::ReadArrives { read, from, until } => self.read(name, read, from, until),
            Event::Asked { by, question } => {
                let exchange = self.number();
                let by = name_of(by);
                self.exchanges.insert(exchange, (by, String::from(name)));
                self.feed(name, BulkInput::Asked { exchange, question }.into());
            }
        }
    }

    fn append(&mut self, name: &str, append: u64, record: Vec<u8>) {
        let is_cut = self.hosts[name].is_cut_from_log;
        let fault = std::mem::take(&mut self.log.next_fault);
        let input = if is_cut || self.log.is_down {
            LogInput::AppendRefused { append }
        } else {
            let unix_ms = self.moment().unix_ms();
            match fault {
                AppendFault::None => LogInput::Appended {
                    append,
                    offset: self.log.append(unix_ms, record),
                },
                AppendFault::LostAnswer => {
                    self.log.append(unix_ms, record);
                    LogInput::AppendOutcomeUnknown { append }
                }
                AppendFault::DownAfterRecord => {
                    self.log.append(unix_ms, record);
                    self.log.is_down = true;
                    LogInput::AppendOutcomeUnknown { append }
                }
                AppendFault::LostRecord => LogInput::AppendOutcomeUnknown { append },
            }
        };
        self.post(name, self.log.delay, Event::Input(input.into()));
    }

    fn read(&mut self, name: &str, read: u64, from: u64, until: Duration) {
        if self.hosts[name].is_cut_from_log || self.log.is_down {
            self.post(
                name,
                NETWORK_DELAY,
                Event::Input(LogInput::ReadFailed { read }.into()),
            );
            return;
        }
        if self.log.is_silent {
            return;
        }
        let records = self.log.read(from);
        if records.is_empty() && self.now < until {
            self.post(name, READ_RETRY, Event::ReadArrives { read, from, until });
            return;
        }
        let input = LogInput::Read {
            read,
            stream: String::from(STREAM),
            records,
            oldest_offset: self.log.oldest_offset,
            next_offset: self.log.next_offset(),
            era: self.log.era,
        };
        self.post(name, self.log.delay, Event::Input(input.into()));
    }

    pub(crate) fn feed(&mut self, name: &str, input: Input) {
        let moment = self.moment();
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        for output in host.node.handle(moment, input) {
            self.carry_out(name, output);
        }
    }

    fn can_reach(&self, from: &str, to: &str) -> bool {
        let Some(to) = self.hosts.get(to) else {
            return false;
        };
        let cut = (self.hosts[from].data_centre.clone(), to.data_centre.clone());
        let back = (cut.1.clone(), cut.0.clone());
        !self.cuts.contains(&cut) && !self.cuts.contains(&back)
    }

    fn carry_out(&mut self, name: &str, output: Output) {
        match output {
            Output::Append {
                append,
                stream,
                record,
            } if stream == STREAM => {
                let delay = NETWORK_DELAY + self.log.delay;
                self.post(name, delay, Event::AppendArrives { append, record });
            }
            Output::Read {
                read,
                stream,
                from,
                wait,
            } if stream == STREAM => {
                let until = self.now + wait;
                let delay = NETWORK_DELAY + self.log.delay;
                self.post(name, delay, Event::ReadArrives { read, from, until });
            }
            Output::Send { to, datagram } => {
                let to = name_of(to);
                if self.can_reach(name, &to) {
                    self.post(&to, NETWORK_DELAY, Event::Input(Input::Datagram(datagram)));
                }
            }
            Output::BulkAsk { to, question } => self.ask(name, to, question),
            Output::BulkAnswer { exchange, answer } => self.answer(exchange, answer),
            Output::Operator(operator) => {
                self.replies.insert(operator.request, operator.reply);
            }
            Output::Note(note) => {
                self.notes
                    .push((String::from(name), note.event.to_string()));
            }
            _ => {}
        }
    }

    fn ask(&mut self, name: &str, to: SocketAddr, question: Vec<u8>) {
        let is_there = self
            .hosts
            .get(&name_of(to))
            .is_some_and(|host| !host.is_paused);
        if is_there && self.can_reach(name, &name_of(to)) {
            let by = address(name);
            self.post(&name_of(to), NETWORK_DELAY, Event::Asked { by, question });
        } else {
            let failed = BulkInput::Failed { from: to };
            self.post(name, NETWORK_DELAY, Event::Input(failed.into()));
        }
    }

    fn answer(&mut self, exchange: u64, answer: Vec<u8>) {
        self.bulk_bytes += answer.len() as u64;
        if let Some((by, name)) = self.exchanges.remove(&exchange) {
            let from = address(&name);
            let answered = BulkInput::Answered { from, answer };
            self.post(&by, NETWORK_DELAY, Event::Input(answered.into()));
        }
    }

    /// Sends a command; the reply may come later.
    pub(crate) fn command(&mut self, name: &str, operator: &str, command: OperatorCommand) -> u64 {
        let request = self.number();
        let input = OperatorInput {
            request,
            operator: String::from(operator),
            command,
        };
        self.feed(name, input.into());
        request
    }

    pub(crate) fn reply(&mut self, request: u64) -> Option<OperatorReply> {
        self.replies.remove(&request)
    }

    /// Sends a command and lets time pass until its reply is there.
    pub(crate) fn ask_operator(&mut self, name: &str, command: OperatorCommand) -> OperatorReply {
        let request = self.command(name, "mei", command);
        self.wait_for(request)
    }

    pub(crate) fn wait_for(&mut self, request: u64) -> OperatorReply {
        const PATIENCE_TICKS: u32 = 3_000;
        for _ in 0..PATIENCE_TICKS {
            if let Some(reply) = self.reply(request) {
                return reply;
            }
            self.step();
        }
        panic!("the node never answered the operator");
    }

    /// The version in force at a node.
    pub(crate) fn version(&mut self, name: &str) -> Option<u64> {
        match self.ask_operator(name, OperatorCommand::IntentList) {
            OperatorReply::Intents { version, .. } => version,
            other => panic!("{other:?}"),
        }
    }
}

/// The control address of a node: its name is a letter or a number, which
/// gives the port.
pub(crate) fn address(name: &str) -> SocketAddr {
    let letter = name.bytes().next().unwrap_or_default();
    let port = match name.parse::<u16>() {
        Ok(number) => FIRST_NUMBER_PORT + number,
        Err(_) => FIRST_LETTER_PORT + u16::from(letter),
    };
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn name_of(control: SocketAddr) -> String {
    let port = control.port();
    if let Some(number) = port.checked_sub(FIRST_NUMBER_PORT) {
        return number.to_string();
    }
    let letter = port.checked_sub(FIRST_LETTER_PORT);
    let letter = letter.and_then(|letter| u8::try_from(letter).ok());
    letter
        .map(|letter| char::from(letter).to_string())
        .unwrap_or_default()
}
