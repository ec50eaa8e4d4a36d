//! The core behind a lock, and the way to and from it.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use kumquatquay_core::{
    CallId, Clock, Counter, Counters, CrashSync, Input, KnownCrash, Moment, Node, Note,
    OperationIssued, Output, RunVerdict, Severity, StateDump, WorkId,
};
use kumquatquay_wire::{Fingerprint, MemberRecord, OperatorReply};
use tokio::sync::{
    mpsc::{self, UnboundedReceiver, UnboundedSender},
    oneshot, watch,
};

use super::{
    events::{CallEvent, Effect, WorkEvent},
    waiters::Waiters,
};
use crate::clock::SystemClock;

/// The decisions of one node, shared by its tasks.
///
/// The lock is held for one [`Node::handle`] at a time, whose work is bounded
/// (one datagram, one call, one page of the log), so no control task can hold
/// up the request path for long.
#[derive(Debug)]
pub(crate) struct Engine {
    clock: SystemClock,
    inner: Mutex<Inner>,
    effects: UnboundedSender<Effect>,
    last_id: AtomicU64,
    connections: AtomicUsize,
    /// Flights that were cut off, once the node says that it may stop.
    stopped: watch::Sender<Option<usize>>,
}

#[derive(Debug)]
struct Inner {
    node: Node,
    waiters: Waiters,
}

impl Engine {
    pub(crate) fn new(node: Node) -> (Arc<Self>, UnboundedReceiver<Effect>) {
        let (effects, receiver) = mpsc::unbounded_channel();
        let inner = Inner {
            node,
            waiters: Waiters::default(),
        };
        let engine = Self {
            clock: SystemClock::new(),
            inner: Mutex::new(inner),
            effects,
            last_id: AtomicU64::new(0),
            connections: AtomicUsize::new(0),
            stopped: watch::Sender::new(None),
        };
        (Arc::new(engine), receiver)
    }

    /// Takes in one thing that happened and passes on what to do.
    ///
    /// Outputs are passed on under the lock, so that two tasks can't reorder
    /// them: a cancellation never overtakes the start that it cancels.
    pub(crate) fn handle(&self, input: impl Into<Input>) {
        self.handle_in(&mut self.lock(), input.into());
    }

    fn handle_in(&self, inner: &mut Inner, input: Input) {
        let outputs = inner.node.handle(self.clock.now(), input);
        for output in outputs {
            self.pass_on(&mut inner.waiters, output);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pass_on(&self, waiters: &mut Waiters, output: Output) {
        match output {
            Output::StartAttempt(start) => {
                waiters.tell_call(start.call, CallEvent::Start(start));
            }
            Output::CancelAttempt { call, attempt } => {
                waiters.tell_call(call, CallEvent::Cancel(attempt));
            }
            Output::FinishCall { call, ending } => {
                waiters.tell_call(call, CallEvent::Finish(ending));
            }
            Output::OperationIssued(issued) => {
                if let Some(waiter) = waiters.issues.remove(&issued.request) {
                    let _ = waiter.send(issued);
                }
            }
            Output::StopNow { aborted_count } => {
                self.stopped.send_replace(Some(aborted_count));
            }
            Output::RunWork(run) => waiters.tell_work(run.work, WorkEvent::Run(run)),
            Output::RefuseWork {
                work,
                refusal,
                context,
            } => waiters.tell_work(work, WorkEvent::Refuse(refusal, context)),
            Output::AnswerWork { work, context } => {
                waiters.tell_work(work, WorkEvent::Answer(context));
            }
            Output::CancelWork { work } => waiters.tell_work(work, WorkEvent::Cancel),
            Output::Operator(answer) => {
                if let Some(waiter) = waiters.operators.remove(&answer.request) {
                    let _ = waiter.send(answer.reply);
                }
            }
            Output::BulkAnswer { exchange, answer } => {
                if let Some(waiter) = waiters.exchanges.remove(&exchange) {
                    let _ = waiter.send(answer);
                }
            }
            Output::Note(note) => write_note(&note),
            Output::Send { to, datagram } => self.effect(Effect::Send { to, datagram }),
            Output::BulkAsk { to, question } => self.effect(Effect::BulkAsk { to, question }),
            Output::Append {
                append,
                stream,
                record,
            } => self.effect(Effect::Append {
                append,
                stream,
                record,
            }),
            Output::Read {
                read,
                stream,
                from,
                wait,
            } => self.effect(Effect::Read {
                read,
                stream,
                from,
                wait,
            }),
        }
    }

    /// Queues an effect; after the node's stop there is nobody to carry it out.
    fn effect(&self, effect: Effect) {
        let _ = self.effects.send(effect);
    }

    /// Tells the core that time passed; returns when to do so again.
    pub(crate) fn tick(&self) -> Duration {
        let mut inner = self.lock();
        self.handle_in(&mut inner, Input::Tick);
        inner.node.tick_interval()
    }

    // Waiting

    /// An id that this life of the process has not used.
    pub(crate) fn next_id(&self) -> u64 {
        self.last_id.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Registers a new call.
    pub(crate) fn begin_call(&self) -> (CallId, UnboundedReceiver<CallEvent>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let call = self.next_id();
        self.lock().waiters.calls.insert(call, sender);
        (call, receiver)
    }

    /// Forgets a call that was answered.
    pub(crate) fn end_call(&self, call: CallId) {
        self.lock().waiters.calls.remove(&call);
    }

    /// Registers new work.
    pub(crate) fn begin_work(&self) -> (WorkId, UnboundedReceiver<WorkEvent>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let work = self.next_id();
        self.lock().waiters.works.insert(work, sender);
        (work, receiver)
    }

    /// Forgets work that was answered.
    pub(crate) fn end_work(&self, work: WorkId) {
        self.lock().waiters.works.remove(&work);
    }

    /// Registers an operator's request.
    pub(crate) fn begin_operator(&self) -> (u64, oneshot::Receiver<OperatorReply>) {
        let (sender, receiver) = oneshot::channel();
        let request = self.next_id();
        self.lock().waiters.operators.insert(request, sender);
        (request, receiver)
    }

    /// Registers a request for an operation id.
    pub(crate) fn begin_issue(&self) -> (CallId, oneshot::Receiver<OperationIssued>) {
        let (sender, receiver) = oneshot::channel();
        let request = self.next_id();
        self.lock().waiters.issues.insert(request, sender);
        (request, receiver)
    }

    /// Waits until the node may stop; returns the flights that are cut off.
    pub(crate) async fn stopped(&self) -> usize {
        let mut stopped = self.stopped.subscribe();
        let aborted_count = stopped.wait_for(Option::is_some).await;
        aborted_count.map_or(0, |count| count.unwrap_or_default())
    }

    /// Registers a bulk question of another node.
    pub(crate) fn begin_exchange(&self) -> (u64, oneshot::Receiver<Vec<u8>>) {
        let (sender, receiver) = oneshot::channel();
        let exchange = self.next_id();
        self.lock().waiters.exchanges.insert(exchange, sender);
        (exchange, receiver)
    }

    // Reading

    /// What the node did since its start.
    pub(crate) fn counters(&self) -> Counters {
        self.lock().node.counters().clone()
    }

    /// What the node knows.
    pub(crate) fn state_dump(&self) -> StateDump {
        let now = self.now();
        self.lock().node.state_dump(now)
    }

    /// All members, this node and those that are gone included.
    pub(crate) fn members(&self) -> Vec<MemberRecord> {
        self.lock().node.members().cloned().collect()
    }

    /// Looks at all members, this node and those that are gone included, without a copy of them.
    ///
    /// The engine is locked meanwhile: `look` must not use it.
    pub(crate) fn look_at_members<T>(
        &self,
        look: impl FnOnce(&mut dyn Iterator<Item = &MemberRecord>) -> T,
    ) -> T {
        look(&mut self.lock().node.members())
    }

    /// When the state of any member last changed.
    pub(crate) fn members_changed(&self) -> Duration {
        self.lock().node.members_changed_at()
    }

    // Calls on routes

    /// [`Node::begin_run`].
    pub(crate) fn begin_run(&self, work: WorkId, fingerprint: Fingerprint) -> RunVerdict {
        let now = self.now();
        self.lock().node.begin_run(now, work, fingerprint)
    }

    /// [`Node::has_no_suspects`].
    pub(crate) fn has_no_suspects(&self) -> bool {
        self.lock().node.has_no_suspects()
    }

    /// [`Node::is_quarantined`].
    pub(crate) fn is_quarantined(&self, service: &str, of: Fingerprint) -> bool {
        let now = self.now();
        self.lock().node.is_quarantined(now, service, of)
    }

    /// [`Node::is_suspect`].
    pub(crate) fn is_suspect(&self, service: &str, of: Fingerprint) -> bool {
        let now = self.now();
        self.lock().node.is_suspect(now, service, of)
    }

    /// [`Node::may_send_again`].
    pub(crate) fn may_send_again(&self, service: &str, of: Fingerprint) -> bool {
        let now = self.now();
        self.lock().node.may_send_again(now, service, of)
    }

    /// [`Node::isolation_gate`].
    pub(crate) fn isolation_gate(&self, service: &str, of: Fingerprint) -> Option<SocketAddr> {
        self.lock().node.isolation_gate(service, of)
    }

    /// [`Node::ran_lately`].
    pub(crate) fn ran_lately(&self, of: Fingerprint) -> bool {
        let now = self.now();
        self.lock().node.ran_lately(now, of)
    }

    /// [`Node::crashes_count`].
    pub(crate) fn crashes_count(&self, service: &str, of: Fingerprint) -> usize {
        let now = self.now();
        self.lock().node.crashes_count(now, service, of)
    }

    /// [`Node::quarantine_counts`].
    pub(crate) fn quarantine_counts(&self) -> (usize, usize) {
        let now = self.now();
        self.lock().node.quarantine_counts(now)
    }

    /// [`Node::crash_sync`].
    pub(crate) fn crash_sync(&self) -> CrashSync {
        self.lock().node.crash_sync()
    }

    /// [`Node::known_crashes`].
    pub(crate) fn known_crashes(&self) -> Vec<KnownCrash> {
        let now = self.now();
        self.lock().node.known_crashes(now)
    }

    /// Reads the clock that the node is fed from.
    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Counts something that the listeners saw and the core did not.
    pub(crate) fn count(&self, counter: Counter) {
        self.lock().node.increment(counter);
    }

    // Connections

    /// Counts a connection that was opened or closed.
    pub(crate) fn connections(&self) -> &AtomicUsize {
        &self.connections
    }

    /// Connections that are open on the listeners.
    pub(crate) fn connections_count(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

fn write_note(note: &Note) {
    let level = match note.severity {
        Severity::Debug => log::Level::Debug,
        Severity::Info => log::Level::Info,
        Severity::Warn => log::Level::Warn,
        Severity::Error => log::Level::Error,
    };
    log::log!(level, event = note.event; "{}", note.detail);
}
