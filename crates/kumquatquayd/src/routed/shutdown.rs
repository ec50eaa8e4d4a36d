//! Shutdown of a node: requests are served for as long as they can be, and each one that was read gets an
//! answer before the node ends.

use std::{rc::Rc, time::Duration};

use kumquatquay_core::{
    Input,
    routed::{Mechanism, ShutdownSchedule},
};

use super::node::{RoutedNode, StopPhase};

/// Interval at which a stopping node checks the time and the work in progress.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Shuts the node down: callers are asked to use other nodes, then connections close, and the
/// node ends when no work is in progress. At the end of the grace period each request that is
/// still in progress gets its final answer.
pub(super) async fn shut_down(node: &Rc<RoutedNode>) {
    let requested_at = node.boot_time();
    let grace = node.settings.bounds.grace;
    let mut schedule = ShutdownSchedule::new(requested_at, grace);
    if !node.is_on(Mechanism::DelayedShutdown) {
        schedule = schedule.without_delay(requested_at);
    }
    log::info!(event = "stopping", grace_ms = grace.as_millis() as u64,
        in_flight = node.in_flight_count.get() as u64;
        "the node was requested to stop");
    node.answers_due_at.set(Some(schedule.answer_at));
    node.stop.send_replace(StopPhase::Leaving);
    wait_while(node, schedule.announce_at, || true).await;
    let grace = schedule.answer_at.saturating_sub(node.boot_time());
    node.engine.handle(Input::Stopping { grace });
    wait_while(node, schedule.close_at, || true).await;
    node.stop.send_replace(StopPhase::Closing);
    if !wait_until_idle(node, schedule.answer_at).await {
        give_last_answers(node, schedule.last_answers_time).await;
    }
    log::info!(event = "stopped", cut = node.in_flight_count.get() as u64; "the node has stopped");
}

/// Waits while something is so, until a moment of the clock that includes suspended time at most; returns whether
/// it was so until then. The timers of the runtime don't include that time, so they are used for short
/// intervals only.
async fn wait_while(node: &RoutedNode, until: Duration, is_so: impl Fn() -> bool) -> bool {
    while is_so() {
        let left = until.saturating_sub(node.boot_time());
        if left.is_zero() {
            return true;
        }
        tokio::time::sleep(left.min(STOP_CHECK_INTERVAL)).await;
    }
    false
}

/// Waits until no work is in progress and the bytes of the last answer are written; `false` if that takes
/// too long.
///
/// During the final check nothing is accepted, calls of backend servers included: they would be
/// cut off at the end of the process while their runs go on elsewhere.
async fn wait_until_idle(node: &RoutedNode, deadline: Duration) -> bool {
    loop {
        if wait_while(node, deadline, || is_busy(node)).await {
            return false;
        }
        node.stop.send_replace(StopPhase::Ending);
        tokio::time::sleep(STOP_CHECK_INTERVAL).await;
        if !is_busy(node) {
            return true;
        }
    }
}

/// Ends all requests with their final answers, and waits until these are written.
///
/// The time for it begins now, not when it was planned: after a pause of the process nothing would be left of it.
async fn give_last_answers(node: &RoutedNode, time: Duration) {
    log::warn!(event = "grace_used_up", in_flight = node.in_flight_count.get() as u64;
        "requests that are still in progress get their final answers");
    node.stop.send_replace(StopPhase::Expired);
    let written = wait_while(node, Duration::MAX, || is_busy(node));
    let _ = tokio::time::timeout(time, written).await;
}

fn is_busy(node: &RoutedNode) -> bool {
    let report = node.gate_report();
    node.in_flight_count.get() > 0 || report.running_count + report.waiting_count > 0
}

impl RoutedNode {
    /// Whether a shutdown was requested.
    pub(super) fn is_stopping(&self) -> bool {
        self.stop_phase() > StopPhase::Serving
    }

    /// A deadline as far as this node can keep it: once a shutdown is requested, no later than the time at
    /// which all requests get their final answers.
    pub(super) fn limit_deadline(&self, deadline: Duration) -> Duration {
        self.answers_due().map_or(deadline, |due| deadline.min(due))
    }

    /// Time since the start of the node at which all requests get their final answers, once a shutdown is
    /// requested.
    pub(super) fn answers_due(&self) -> Option<Duration> {
        let due_at = self.answers_due_at.get()?;
        Some(due_at.saturating_sub(self.suspended_offset.get()))
    }

    /// Waits until a shutdown has been requested.
    pub(super) async fn stop_requested(&self) {
        self.stop_reached(StopPhase::Leaving).await;
    }

    /// Waits until all requests get their final answers.
    pub(super) async fn grace_used_up(&self) {
        self.stop_reached(StopPhase::Expired).await;
    }

    /// Waits until a deadline, or until all requests get their final answers if that is earlier.
    pub(super) async fn deadline_reached(&self, deadline: Duration) {
        tokio::select! {
            () = tokio::time::sleep(deadline.saturating_sub(self.now())) => {}
            () = self.grace_used_up() => {}
        }
    }

    /// Waits until the shutdown has reached a phase.
    pub(super) async fn stop_reached(&self, phase: StopPhase) {
        let mut stop = self.stop.subscribe();
        // The node holds the sender.
        let _ = stop.wait_for(|reached| *reached >= phase).await;
    }
}
