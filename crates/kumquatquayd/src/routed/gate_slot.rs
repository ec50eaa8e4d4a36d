//! Slots of the gate of this host: calls wait for them, and are refused where they can't run.

use std::{cell::OnceCell, rc::Rc, time::Duration};

use kumquatquay_core::routed::{Admission, GateCall, GateQueueKey, Mechanism, RouteRunTime};
use kumquatquay_wire::{
    Fingerprint,
    routed::{CallHead, NotRunReason, Payload},
};
use tokio::sync::oneshot;

use super::{
    backend_death::on_backend_unresponsive,
    call_fingerprint::fingerprint_at_gate,
    node::{RoutedNode, RunPermit},
    repeat_admission::admits_repeat,
};

/// Least time to the deadline with which a call is still forwarded to the backend server.
const MIN_TIME_LEFT: Duration = Duration::from_millis(2);

/// A call with its soft deadline and its deadline.
pub(super) struct TimedCall<'a> {
    pub(super) call: &'a CallHead<'a>,
    pub(super) payload: &'a Payload,
    pub(super) soft_deadline: Duration,
    pub(super) deadline: Duration,
    /// Computed when it is first needed.
    pub(super) known_fingerprint: OnceCell<Fingerprint>,
}

impl TimedCall<'_> {
    /// Identifies the call when its caller sends it again.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        let compute = || fingerprint_at_gate(self.call, self.payload);
        *self.known_fingerprint.get_or_init(compute)
    }

    /// The latest start with which the call may still end before its deadline. It is refused
    /// after that, while its sender can still report that it has not run.
    ///
    /// A shutdown of this node may bring it forward.
    pub(super) fn latest_start(&self, node: &RoutedNode) -> Duration {
        let run_time = node.gate.borrow().run_times().estimate(self.call.route);
        let deadline = node.limit_deadline(self.deadline);
        deadline.saturating_sub(run_time.mul_f64(MIN_RUN_TIME_RATIO))
    }

    /// Waits until it is too late for the call to start.
    async fn too_late(&self, node: &RoutedNode) {
        let wait = || tokio::time::sleep(self.latest_start(node).saturating_sub(node.now()));
        tokio::select! {
            () = wait() => {}
            () = node.stop_requested(), if !node.is_stopping() => wait().await,
        }
    }
}

/// Part of the mean run time of its route that must be left before a call's deadline when the
/// call starts.
pub(super) const MIN_RUN_TIME_RATIO: f64 = 0.5;

/// Interval at which the admission level of the gate is updated.
const LEVEL_INTERVAL: Duration = Duration::from_millis(100);

/// Updates the admission level from the state of the gate, and reports the backend server as
/// dead when it gives no answers.
pub(crate) async fn update_level_periodically(node: Rc<RoutedNode>) {
    loop {
        tokio::time::sleep(LEVEL_INTERVAL).await;
        let now = node.now();
        let state = node.gate.borrow().state();
        let run_time = node.gate.borrow().mean_run_time();
        let mut liveness = node.backend_liveness.borrow_mut();
        if let Some(since) = node.backend.time_since_part() {
            liveness.on_activity(now.saturating_sub(since));
        }
        let is_silent = liveness.is_silent(now, run_time);
        drop(liveness);
        if is_silent && node.is_on(Mechanism::SilentBackend) {
            // Running calls are not cancelled: their answers may still come.
            on_backend_unresponsive(&node, "it does not answer calls");
        }
        node.level_controller.borrow_mut().tick(now, state);
    }
}

/// Starts waiting calls as the rate limit of the backend server permits.
pub(crate) async fn admit_within_rate_limit(node: Rc<RoutedNode>) {
    loop {
        let wait = node.gate.borrow().rate_limit_wait(node.now());
        match wait {
            Some(wait) => tokio::time::sleep(wait).await,
            None => node.limit_wait_started.notified().await,
        }
        admit_waiting(&node);
    }
}

/// A slot of the gate; dropping it starts the next waiting call.
pub(super) struct RunSlot {
    node: Rc<RoutedNode>,
    route: String,
    pub(super) started_at: Duration,
    pub(super) records_run_time: bool,
    pub(super) is_forwarded: bool,
}

impl Drop for RunSlot {
    fn drop(&mut self) {
        let run_time = self.node.now().saturating_sub(self.started_at);
        let run = self.records_run_time.then_some(RouteRunTime {
            route: &self.route,
            run_time,
        });
        let mut gate = self.node.gate.borrow_mut();
        if self.is_forwarded {
            gate.ended(run);
        } else {
            gate.not_forwarded(self.node.now());
        }
        drop(gate);
        admit_waiting(&self.node);
    }
}

/// Starts waiting calls as far as there are free slots.
pub(crate) fn admit_waiting(node: &RoutedNode) {
    let now = node.now();
    loop {
        let next = node.gate.borrow_mut().next(now);
        let Some(permit) = next else {
            if node.gate.borrow().rate_limit_wait(now).is_some() {
                node.limit_wait_started.notify_one();
            }
            return;
        };
        if permit.send(()).is_err() {
            // The call was cancelled while it waited.
            node.gate.borrow_mut().not_forwarded(now);
        }
    }
}

/// Withdraws all waiting calls, since the backend server is leaving or dead. Their senders try
/// other backend servers.
pub(crate) fn withdraw_waiting(node: &RoutedNode) {
    let waiting = node.gate.borrow_mut().withdraw_all();
    // A call learns from its dropped permit that it isn't run here.
    drop(waiting);
}

pub(super) async fn wait_for_confirmed_slot(
    node: &Rc<RoutedNode>,
    timed: &TimedCall<'_>,
    confirmed: impl Future<Output = bool>,
) -> Result<RunSlot, NotRunReason> {
    let slot = wait_for_slot(node, timed).await?;
    if !confirmed.await {
        return Err(NotRunReason::Late);
    }
    check_runnable(node, timed)?;
    Ok(slot)
}

async fn wait_for_slot(
    node: &Rc<RoutedNode>,
    timed: &TimedCall<'_>,
) -> Result<RunSlot, NotRunReason> {
    check_runnable(node, timed)?;
    let (permit, granted) = oneshot::channel();
    let admission = offer_to_gate(node, timed, permit);
    let key = match admission {
        Admission::Run => return Ok(RunSlot::new(node, timed)),
        Admission::Refuse(_) => return Err(refusal_reason(node)),
        Admission::Wait(key) => key,
        Admission::Evict(key, evicted) => {
            drop(evicted);
            key
        }
    };
    if node.gate.borrow().rate_limit_wait(node.now()).is_some() {
        node.metrics.count("server_limit", "waited");
        node.limit_wait_started.notify_one();
    }
    let mut waiting = WaitingCall { node, key, granted };
    let granted = tokio::select! {
        biased;
        granted = &mut waiting.granted => granted,
        () = timed.too_late(node) => return Err(NotRunReason::Late),
    };
    if granted.is_err() {
        return Err(refusal_reason(node));
    }
    let slot = RunSlot::new(node, timed);
    check_runnable(node, timed)?;
    Ok(slot)
}

/// Why the gate refuses a call.
fn refusal_reason(node: &RoutedNode) -> NotRunReason {
    let reason = node.gate.borrow().refusal(node.now());
    if reason == NotRunReason::Limited {
        node.metrics.count("server_limit", "refused");
    }
    reason
}

/// A call in the queue of the gate; dropping it withdraws the call.
struct WaitingCall<'a> {
    node: &'a Rc<RoutedNode>,
    key: GateQueueKey,
    granted: oneshot::Receiver<()>,
}

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        let withdrawn = self.node.gate.borrow_mut().withdraw(self.key);
        // A granted permit that is never used would occupy its slot forever.
        if withdrawn.is_none() && self.granted.try_recv().is_ok() {
            let now = self.node.now();
            self.node.gate.borrow_mut().not_forwarded(now);
            admit_waiting(self.node);
        }
    }
}

fn offer_to_gate(
    node: &RoutedNode,
    timed: &TimedCall<'_>,
    permit: RunPermit,
) -> Admission<RunPermit> {
    let call = GateCall {
        priority: timed.call.priority,
        request_priority: timed.call.request_priority,
        soft_deadline: timed.soft_deadline,
        deadline: timed.deadline,
        run_time: node.gate.borrow().run_times().estimate(timed.call.route),
    };
    node.gate.borrow_mut().offer(node.now(), call, permit)
}

/// Checks that a call has time left and that the backend server it is meant for takes it.
pub(super) fn check_runnable(node: &RoutedNode, timed: &TimedCall<'_>) -> Result<(), NotRunReason> {
    let now = node.now();
    if now + MIN_TIME_LEFT > timed.deadline {
        return Err(NotRunReason::Late);
    }
    if node.is_stopping() && now > timed.latest_start(node) {
        return Err(NotRunReason::Late);
    }
    let lives = node.lives.borrow();
    let is_served = lives
        .current()
        .is_some_and(|current| current.service == timed.call.service);
    let drain = node.settings.bounds.drain.mul_f64(DRAIN_CALLS_RATIO);
    let life = timed.call.life.as_deref();
    let avoids_failing_backend = !timed.call.is_idempotent && !timed.call.accepts_failing;
    if avoids_failing_backend
        && node.is_on(Mechanism::OutlierEjection)
        && node.run_failures.borrow().is_failing()
    {
        return Err(NotRunReason::Failing);
    }
    if timed.call.repeat.is_some() && !admits_repeat(node, timed.call) {
        return Err(NotRunReason::OverBudget);
    }
    if is_served && lives.may_run(now, life, drain) {
        Ok(())
    } else {
        Err(NotRunReason::Closed)
    }
}

/// Part of the drain time in which a leaving backend server still gets calls. After it, all
/// nodes know that the server leaves; the rest is left for the calls started until then.
const DRAIN_CALLS_RATIO: f64 = 0.6;

impl RunSlot {
    fn new(node: &Rc<RoutedNode>, timed: &TimedCall<'_>) -> Self {
        Self {
            node: Rc::clone(node),
            route: String::from(timed.call.route),
            started_at: node.now(),
            records_run_time: false,
            is_forwarded: false,
        }
    }
}
