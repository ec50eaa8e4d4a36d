//! A few nodes on a virtual clock, wired by a queue of messages.
//!
//! Time passes in steps of [`Node::TICK_INTERVAL`]. Datagrams are sealed, encoded, decoded
//! and checked as in the daemon, and may be lost, delayed, cut off or sent again.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant, SystemTime},
};

use kumquatquay_core::{
    Announcement, AppendId, BackendInput, BulkInput, Input, LogInput, LogRecord, Moment, Node,
    NodeSettings, Note, Output, ReadId,
};
use kumquatquay_wire::{Datagram, MemberState, MeshKey, StreamName};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Delay of a message within a data centre.
const NEAR_DELAY: Duration = Duration::from_micros(200);

/// Delay of a message between data centres.
const FAR_DELAY: Duration = Duration::from_millis(20);

/// One host: its node, and whether it runs.
pub(crate) struct Host {
    pub(crate) node: Node,
    pub(crate) data_centre: String,
    pub(crate) is_paused: bool,
    pub(crate) usage: Usage,
    pub(crate) notes: Vec<Note>,
    pub(crate) stopped: Option<usize>,
    waiting: Vec<Input>,
}

/// What a host spent on control.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    pub(crate) sent_bytes: u64,
    pub(crate) received_bytes: u64,
    pub(crate) sent_count: u64,
    pub(crate) received_count: u64,
    pub(crate) bulk_sent_bytes: u64,
    pub(crate) bulk_received_bytes: u64,
    pub(crate) busy: Duration,
}

/// A message on its way.
enum Message {
    Datagram {
        from: SocketAddr,
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    BulkRequest {
        from: SocketAddr,
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    BulkAnswer {
        from: SocketAddr,
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    BulkFailed {
        from: SocketAddr,
        to: SocketAddr,
    },
    LogAnswer {
        to: SocketAddr,
        answer: LogInput,
    },
}

/// The hosts and what is between them.
pub(crate) struct Mesh {
    pub(crate) now: Duration,
    pub(crate) hosts: BTreeMap<SocketAddr, Host>,
    pub(crate) key: MeshKey,
    /// Share of datagrams that get lost.
    pub(crate) loss_ratio: f64,
    /// Pairs whose messages get lost, in this direction.
    pub(crate) cuts: BTreeSet<(SocketAddr, SocketAddr)>,
    /// Delay added to every datagram.
    pub(crate) extra_delay: Duration,
    /// Whether sent datagrams are kept for replays.
    pub(crate) is_recording: bool,
    /// Kept datagrams, by their sender's address.
    pub(crate) recorded: BTreeMap<SocketAddr, Vec<Vec<u8>>>,
    /// Whether time spent in nodes is measured.
    pub(crate) is_measured: bool,
    queue: BTreeMap<(Duration, u64), Message>,
    streams: BTreeMap<StreamName, Vec<LogRecord>>,
    messages_count: u64,
    exchanges: BTreeMap<u64, (SocketAddr, SocketAddr)>,
    random: StdRng,
}

/// Control address of the nth host of the nth data centre.
pub(crate) fn control(data_centre: usize, host: usize) -> SocketAddr {
    let ip = Ipv4Addr::new(
        10,
        data_centre as u8,
        (host / 250) as u8,
        (host % 250) as u8,
    );
    SocketAddr::from((ip, 7000))
}

impl Mesh {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            now: Duration::from_secs(100),
            hosts: BTreeMap::new(),
            key: MeshKey::from_secret("secret"),
            loss_ratio: 0.0,
            cuts: BTreeSet::new(),
            extra_delay: Duration::ZERO,
            is_recording: false,
            recorded: BTreeMap::new(),
            is_measured: false,
            queue: BTreeMap::new(),
            streams: BTreeMap::new(),
            messages_count: 0,
            exchanges: BTreeMap::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    pub(crate) fn moment(&self) -> Moment {
        Moment {
            monotonic: self.now,
            wall: SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000) + self.now,
        }
    }

    /// Starts a node; one that ran at the address before is gone.
    pub(crate) fn start(
        &mut self,
        control: SocketAddr,
        data_centre: &str,
        incarnation: u64,
        seeds: Vec<SocketAddr>,
    ) {
        let peer = SocketAddr::new(control.ip(), control.port() + 1);
        let settings = NodeSettings::new(data_centre, control, peer, self.key.clone())
            .incarnation(incarnation)
            .seeds(seeds)
            .random_seed(self.random.random());
        let host = Host {
            node: Node::new(settings),
            data_centre: data_centre.to_owned(),
            is_paused: false,
            usage: Usage::default(),
            notes: Vec::new(),
            stopped: None,
            waiting: Vec::new(),
        };
        self.hosts.insert(control, host);
    }

    /// The backend server of a host announces itself.
    pub(crate) fn announce(&mut self, control: SocketAddr, service: &str, state: MemberState) {
        let announcement = Announcement {
            life: None,
            service: service.to_owned(),
            address: SocketAddr::new(control.ip(), 8000),
            slots_count: 10,
            connections_count: 100,
            state,
        };
        self.handle(control, BackendInput::Announced(announcement).into());
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Lets one tick pass.
    pub(crate) fn step(&mut self) {
        let next = self.now + Node::TICK_INTERVAL;
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= next
        {
            let ((due, _), message) = entry.remove_entry();
            self.now = self.now.max(due);
            self.deliver(message);
        }
        self.now = next;
        let controls: Vec<SocketAddr> = self.hosts.keys().copied().collect();
        for control in controls {
            self.handle(control, Input::Tick);
        }
    }

    /// Gives an input to a node; a paused one gets it when it wakes.
    pub(crate) fn handle(&mut self, control: SocketAddr, input: Input) {
        let moment = self.moment();
        let is_measured = self.is_measured;
        let Some(host) = self.hosts.get_mut(&control) else {
            return;
        };
        if host.stopped.is_some() {
            return;
        }
        if host.is_paused {
            if !matches!(input, Input::Tick) {
                host.waiting.push(input);
            }
            return;
        }
        let began = is_measured.then(Instant::now);
        let outputs = host.node.handle(moment, input);
        host.usage.busy += began.map_or(Duration::ZERO, |began| began.elapsed());
        for output in outputs {
            self.carry_out(control, output);
        }
    }

    /// Wakes a paused node; its timer fires before it reads what arrived meanwhile.
    #[allow(dead_code, reason = "only scenarios pause hosts")]
    pub(crate) fn resume(&mut self, control: SocketAddr) {
        let host = self.hosts.get_mut(&control).expect("the host is known");
        host.is_paused = false;
        let waiting = std::mem::take(&mut host.waiting);
        self.handle(control, Input::Tick);
        for input in waiting {
            self.handle(control, input);
        }
    }

    /// Hands recorded bytes to a host as if they came from the network.
    pub(crate) fn receive(&mut self, to: SocketAddr, bytes: &[u8]) {
        let is_measured = self.is_measured;
        let Some(host) = self.hosts.get_mut(&to) else {
            return;
        };
        host.usage.received_bytes += (bytes.len() + Datagram::NETWORK_HEADERS_BYTES) as u64;
        host.usage.received_count += 1;
        let began = is_measured.then(Instant::now);
        let opened = Datagram::from_bytes(bytes, &self.key);
        host.usage.busy += began.map_or(Duration::ZERO, |began| began.elapsed());
        if let Ok(datagram) = opened {
            self.handle(to, datagram.into());
        }
    }

    fn carry_out(&mut self, from: SocketAddr, output: Output) {
        let host = self.hosts.get_mut(&from).expect("the host is known");
        match output {
            Output::Send { to, datagram } => self.send(from, to, &datagram),
            Output::BulkAsk { to, question } => {
                host.usage.bulk_sent_bytes += question.len() as u64;
                let is_there = self.is_reachable(from, to) && self.is_reachable(to, from);
                let message = if is_there {
                    Message::BulkRequest {
                        from,
                        to,
                        bytes: question,
                    }
                } else {
                    Message::BulkFailed { from: to, to: from }
                };
                self.enqueue(FAR_DELAY, message);
            }
            Output::BulkAnswer { exchange, answer } => {
                host.usage.bulk_sent_bytes += answer.len() as u64;
                if let Some((asker, answerer)) = self.exchanges.remove(&exchange) {
                    let message = Message::BulkAnswer {
                        from: answerer,
                        to: asker,
                        bytes: answer,
                    };
                    self.enqueue(FAR_DELAY, message);
                }
            }
            Output::Append {
                append,
                stream,
                record,
            } => {
                let answer = self.append(append, &stream, record);
                self.enqueue(FAR_DELAY, Message::LogAnswer { to: from, answer });
            }
            Output::Read {
                read,
                stream,
                from: first,
                wait,
            } => {
                let answer = self.read(read, stream, first);
                self.enqueue(wait + FAR_DELAY, Message::LogAnswer { to: from, answer });
            }
            Output::Note(note) => host.notes.push(note),
            Output::StopNow { aborted_count } => host.stopped = Some(aborted_count),
            _ => {}
        }
    }

    fn append(&mut self, append: AppendId, stream: &StreamName, bytes: Vec<u8>) -> LogInput {
        let appended_unix_ms = self.moment().unix_ms();
        let records = self.streams.entry(stream.clone()).or_default();
        let offset = records.len() as u64;
        records.push(LogRecord {
            offset,
            appended_unix_ms,
            bytes,
        });
        LogInput::Appended { append, offset }
    }

    /// The log's answer with what it holds now; a reader that waits gets new
    /// records with its next question.
    fn read(&self, read: ReadId, stream: StreamName, from: u64) -> LogInput {
        let records = self.streams.get(&stream).cloned().unwrap_or_default();
        LogInput::Read {
            read,
            stream,
            next_offset: records.len() as u64,
            records: records.into_iter().skip(from as usize).collect(),
            oldest_offset: 0,
            era: None,
        }
    }

    fn send(&mut self, from: SocketAddr, to: SocketAddr, datagram: &Datagram) {
        let host = self.hosts.get_mut(&from).expect("the host is known");
        let began = self.is_measured.then(Instant::now);
        let bytes = datagram.to_bytes(&self.key);
        host.usage.busy += began.map_or(Duration::ZERO, |began| began.elapsed());
        assert!(
            bytes.len() <= Datagram::LIMIT_BYTES,
            "a datagram of {} bytes is longer than allowed",
            bytes.len()
        );
        host.usage.sent_bytes += (bytes.len() + Datagram::NETWORK_HEADERS_BYTES) as u64;
        host.usage.sent_count += 1;
        if self.is_recording {
            self.recorded.entry(from).or_default().push(bytes.clone());
        }
        let data_centre_of = |control| self.hosts.get(control).map(|host| &host.data_centre);
        let is_near = data_centre_of(&from) == data_centre_of(&to);
        let delay = if is_near { NEAR_DELAY } else { FAR_DELAY };
        if self.random.random_bool(self.loss_ratio) {
            return;
        }
        let delay = delay + self.extra_delay;
        self.enqueue(delay, Message::Datagram { from, to, bytes });
    }

    fn enqueue(&mut self, delay: Duration, message: Message) {
        self.messages_count += 1;
        let key = (self.now + delay, self.messages_count);
        self.queue.insert(key, message);
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Datagram { from, to, bytes } => {
                if !self.cuts.contains(&(from, to)) {
                    self.receive(to, &bytes);
                }
            }
            Message::BulkRequest { from, to, bytes } => {
                self.messages_count += 1;
                let exchange = self.messages_count;
                self.exchanges.insert(exchange, (from, to));
                let question = bytes;
                self.handle(to, BulkInput::Asked { exchange, question }.into());
            }
            Message::BulkAnswer { from, to, bytes } => {
                if let Some(host) = self.hosts.get_mut(&to) {
                    host.usage.bulk_received_bytes += bytes.len() as u64;
                }
                let answer = bytes;
                self.handle(to, BulkInput::Answered { from, answer }.into());
            }
            Message::LogAnswer { to, answer } => self.handle(to, answer.into()),
            Message::BulkFailed { from, to } => self.handle(to, BulkInput::Failed { from }.into()),
        }
    }

    fn is_reachable(&self, from: SocketAddr, to: SocketAddr) -> bool {
        let host = self.hosts.get(&to);
        let runs = host.is_some_and(|host| !host.is_paused && host.stopped.is_none());
        runs && !self.cuts.contains(&(from, to))
    }
}
