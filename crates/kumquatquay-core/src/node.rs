//! Entry point of the core: a node that handles inputs.

use std::{net::SocketAddr, time::Duration};

use kumquatquay_wire::{Class, ConfigurationVersion, Fingerprint, MemberRecord, TableDigest};

use crate::{
    Blackboard, Counter, Counters, CrashSync, Input, KnownCrash, LogInput, Moment, NodeSettings,
    Output, RunVerdict, StateDump, WorkId, call, configuration, gate, membership, operations,
    overload, quarantine,
};

/// State machine of one node.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, SystemTime};
///
/// use kumquatquay_core::{Input, Moment, Node, NodeSettings};
/// use kumquatquay_wire::MeshKey;
///
/// let settings = NodeSettings::new(
///     "hall-a",
///     "127.0.0.1:7000".parse().unwrap(),
///     "127.0.0.1:7001".parse().unwrap(),
///     MeshKey::from_secret("secret"),
/// );
/// let mut node = Node::new(settings);
/// let now = Moment { monotonic: Duration::ZERO, wall: SystemTime::UNIX_EPOCH };
/// let _outputs = node.handle(now, Input::Tick);
/// ```
#[derive(Debug)]
pub struct Node {
    board: Blackboard,
}

impl Node {
    /// How often the host sends [`Input::Tick`] while work waits at the gate.
    pub const TICK_INTERVAL: Duration = Duration::from_millis(10);

    /// How often the host sends [`Input::Tick`] otherwise.
    pub const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(50);

    /// Longest answer that is stored for resends of an operation.
    pub const STORED_ANSWER_LIMIT_BYTES: usize = 64 * 1024;

    /// Creates a node that has handled no input yet.
    pub fn new(settings: NodeSettings) -> Self {
        Self {
            board: Blackboard::new(settings),
        }
    }

    /// Handles one input and returns what the host has to do.
    ///
    /// The monotonic time of the inputs must not decrease.
    pub fn handle(&mut self, now: Moment, input: Input) -> Vec<Output> {
        let board = &mut self.board;
        let mut outputs = Vec::new();
        let out = &mut outputs;
        if let Input::Log(input) = &input
            && is_awaited(board, input)
        {
            operations::on_log_era(board, now, input, out);
        }
        match input {
            Input::Tick => on_tick(board, now, out),
            Input::Stopping { grace } => membership::on_stopping(board, now, grace, out),
            Input::Call(input) => call::on_input(board, now, input, out),
            Input::Work(input) => gate::on_input(board, now, input, out),
            Input::Run(input) => quarantine::on_run_ended(board, now, input, out),
            Input::KeptCrash(report) => quarantine::on_crash_report(board, now, &report, out),
            Input::CrashesRead => quarantine::on_crashes_read(board),
            Input::AskForCrashes(to) => quarantine::ask_for_crashes(to, out),
            Input::SiblingServices(services) => board.quarantine.sibling_services = services,
            Input::Backend(input) => {
                gate::on_backend(board, now, &input, out);
                membership::on_backend(board, now, input, out);
            }
            Input::Seeds(seeds) => membership::on_seeds(board, now, &seeds, out),
            Input::Datagram(datagram) => membership::on_datagram(board, now, datagram, out),
            Input::Bulk(input) => membership::on_bulk(board, now, input, out),
            Input::Log(input) if operations::owns(board, &input) => {
                operations::on_log(board, now, input, out);
            }
            Input::Log(input) if membership::owns(board, &input) => {
                membership::on_log(board, now, input);
            }
            Input::Log(input) => configuration::on_log(board, now, input, out),
            Input::Operator(input) => configuration::on_operator(board, now, input, out),
        }
        outputs
    }

    /// Version of the configuration in force at this node.
    pub fn configuration_version(&self) -> Option<ConfigurationVersion> {
        self.board.configuration.version()
    }

    /// Class that the intents in force at this node assign to a call.
    pub fn class_of(&self, caller: &str, service: &str, method: &str, path: &str) -> Class {
        let table = &self.board.configuration;
        table.classify(caller, service, method, path).class
    }

    /// How long the host may wait before the next [`Input::Tick`].
    ///
    /// Only work in the queue of the gate needs short ticks, for its deadlines; everything else
    /// that depends on ticks has intervals of 100 ms and more. A host that always ticks every
    /// [`Node::TICK_INTERVAL`] gets the same decisions for more processor time.
    pub fn tick_interval(&self) -> Duration {
        if self.board.gate.queued_count() > 0 {
            Self::TICK_INTERVAL
        } else {
            Self::IDLE_TICK_INTERVAL
        }
    }

    // Calls on routes

    /// Whether a run of a call on a route may begin at the backend server of this host; if so, it
    /// is in flight until a [`RunInput`](crate::RunInput) tells how it ended.
    pub fn begin_run(&mut self, now: Moment, work: WorkId, fingerprint: Fingerprint) -> RunVerdict {
        quarantine::begin_run(&mut self.board, now, work, fingerprint)
    }

    /// Whether no request is suspected of a crash, so that none needs a fingerprint.
    pub fn has_no_suspects(&self) -> bool {
        self.board.quarantine.is_empty()
    }

    /// Whether calls with a fingerprint to a service are refused.
    pub fn is_quarantined(&self, now: Moment, service: &str, of: Fingerprint) -> bool {
        quarantine::is_quarantined(&self.board, now, service, of)
    }

    /// Whether calls with a fingerprint to a service may have crashed a backend server.
    pub fn is_suspect(&self, now: Moment, service: &str, of: Fingerprint) -> bool {
        quarantine::is_active(&self.board, now, service, of)
    }

    /// Whether the entry of a call on a route may send it again after a run of it broke.
    pub fn may_send_again(&self, now: Moment, service: &str, of: Fingerprint) -> bool {
        quarantine::may_send_again(&self.board, now, service, of)
    }

    /// Number of crashes of a fingerprint at a service that this node knows and that count at present.
    pub fn crashes_count(&self, now: Moment, service: &str, of: Fingerprint) -> usize {
        quarantine::crashes_count(&self.board, now, service, of)
    }

    /// The gate of a service that runs a suspect where only one may: its control address.
    pub fn isolation_gate(&self, service: &str, of: Fingerprint) -> Option<SocketAddr> {
        quarantine::isolation_gate(&self.board, service, of)
    }

    /// Whether a call with a fingerprint ran to an answer at the backend server of this host within the
    /// last seconds.
    pub fn ran_lately(&self, now: Moment, of: Fingerprint) -> bool {
        quarantine::ran_lately(&self.board, now, of)
    }

    /// Numbers of fingerprints that are suspects, and that are quarantined.
    pub fn quarantine_counts(&self, now: Moment) -> (usize, usize) {
        quarantine::counts(&self.board, now)
    }

    /// What this node knows of the crashes before its start.
    pub fn crash_sync(&self) -> CrashSync {
        self.board.quarantine.crash_sync
    }

    /// Crashes that this node knows; they should outlast a restart of all nodes.
    pub fn known_crashes(&self, now: Moment) -> Vec<KnownCrash> {
        quarantine::known_crashes(&self.board, now)
    }

    /// Event counters since the node's start.
    pub fn counters(&self) -> &Counters {
        &self.board.counters
    }

    /// Increments the counter of an event that only the host sees.
    pub fn increment(&mut self, counter: Counter) {
        self.board.counters.increment(counter);
    }

    /// Record of one member, which may be the node itself.
    pub fn member(&self, control: SocketAddr) -> Option<&MemberRecord> {
        self.board.members.get(control)
    }

    /// Records of all members, including the node itself and members that are gone.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.board.members.iter()
    }

    /// When the state of any member last changed at this node, on the monotonic clock.
    ///
    /// A host rebuilds the tables that it derives from the members when this changes.
    pub fn members_changed_at(&self) -> Duration {
        self.board.members.last_changed_at()
    }

    /// Digest of the members that are not gone; equal at nodes with the same view.
    pub fn members_digest(&self) -> TableDigest {
        self.board.members.digest()
    }

    /// Dumps the state of the node for operators.
    pub fn state_dump(&self, now: Moment) -> StateDump {
        StateDump::of(&self.board, now)
    }
}

fn on_tick(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    call::on_tick(board, now, out);
    gate::on_tick(board, now, out);
    overload::on_tick(board, now, out);
    operations::on_tick(board, now, out);
    quarantine::on_tick(board, now, out);
    membership::on_tick(board, now, out);
    configuration::on_tick(board, now, out);
}

/// Whether the input answers an append or a read that is still outstanding.
fn is_awaited(board: &Blackboard, input: &LogInput) -> bool {
    operations::owns(board, input)
        || membership::owns(board, input)
        || configuration::is_awaiting(board, input)
}
