//! Requests that are held at the entry until there is capacity for them.

use std::{rc::Rc, time::Duration};

use kumquatquay_core::routed::{
    EntryQueue, FlowKey, HoldDecision, HoldKey, HoldRequest, ReleaseReason, ReleasedRequest,
    Shortage,
};

use tokio::sync::oneshot;

use super::{
    admission::{ClaimantShortage, PendingRequest, admission_probability},
    node::RoutedNode,
    outgoing_call::OutgoingCall,
};

/// Interval at which held requests are checked for release.
const RELEASE_INTERVAL: Duration = Duration::from_millis(25);

/// Memory that a held request takes beside its body, headers and target.
const HELD_OVERHEAD_BYTES: usize = 1_024;

/// Sends a held request the result.
type HoldSender = oneshot::Sender<HoldResult>;

/// The requests held by this node.
pub(super) type HeldRequests = EntryQueue<HoldSender>;

/// Result of holding a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HoldResult {
    /// The request is admitted.
    Admitted,
    /// There is no capacity, and none is expected in time.
    NoRoom {
        /// Time after which there should be room to hold the request, if known.
        room_expected_in: Option<Duration>,
    },
    /// The node is shutting down.
    Stopping,
    /// Another configuration came into force.
    ConfigurationChanged,
}

impl HoldResult {
    /// Name in counters and log lines.
    fn name(self) -> &'static str {
        match self {
            Self::Admitted => "let_in",
            Self::NoRoom { .. } => "no_room",
            Self::Stopping => "stopping",
            Self::ConfigurationChanged => "reloaded",
        }
    }
}

/// Removes a held request when its caller disconnects, that is, when its task is dropped.
struct HeldGuard<'a> {
    node: &'a RoutedNode,
    key: HoldKey,
    /// Whether the request has its result.
    has_ended: bool,
}

impl Drop for HeldGuard<'_> {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        // There is nothing to remove if the request was released at the same moment.
        self.node.held_requests.borrow_mut().remove(&self.key);
        self.node.metrics.count("held", "caller_left");
    }
}

/// The flow of a request.
pub(super) fn flow_key(call: &OutgoingCall) -> FlowKey {
    let route = &call.route.settings.name;
    let workspace = call.workspace.as_ref();
    FlowKey {
        route: route.clone(),
        service: call.service.clone(),
        priority: call.request_priority.get(),
        claimant: workspace.map_or_else(|| route.clone(), |workspace| workspace.name.clone()),
    }
}

/// Admits or refuses a request, after holding it if its admission is worth waiting for.
pub(super) async fn hold(
    node: &RoutedNode,
    pending: &PendingRequest<'_>,
    flow: &FlowKey,
    claimant_shortage: &ClaimantShortage,
) -> HoldResult {
    let request = HoldRequest {
        flow,
        admission_probability: claimant_shortage.admission_probability,
        soft_deadline: pending.soft_deadline(),
        held_bytes: held_bytes(pending.call),
    };
    let (sender, released) = oneshot::channel();
    let held_since = node.now();
    let offer = {
        let mut random = node.random.borrow_mut();
        let mut held = node.held_requests.borrow_mut();
        held.offer(held_since, &request, sender, &mut *random)
    };
    let key = match offer {
        HoldDecision::Admitted => return HoldResult::Admitted,
        HoldDecision::Refused { room_expected_in } => {
            return HoldResult::NoRoom { room_expected_in };
        }
        HoldDecision::Held(key) => key,
    };
    node.request_held.notify_one();
    let mut guard = HeldGuard {
        node,
        key,
        has_ended: false,
    };
    // The releasing task drops a sender only when the node exits.
    let end = released.await.unwrap_or(HoldResult::Stopping);
    guard.has_ended = true;
    record_end(node, pending, &claimant_shortage.shortage, held_since, end);
    end
}

fn held_bytes(call: &OutgoingCall) -> usize {
    let fields_bytes = call.payload.fields.as_bytes().len();
    HELD_OVERHEAD_BYTES + call.payload.body.len() + fields_bytes + call.target.len()
}

fn record_end(
    node: &RoutedNode,
    pending: &PendingRequest<'_>,
    shortage: &Shortage,
    held_since: Duration,
    end: HoldResult,
) {
    let now = node.now();
    node.metrics.count("held", end.name());
    if !node.metrics.take_log_permit(now) {
        return;
    }
    let call = pending.call;
    let workspace = call.workspace.as_ref();
    log::info!(
        event = "request_held",
        request = call.attempt_id.as_str(),
        route = call.route.settings.name.as_str(),
        workspace = workspace.map_or("", |workspace| workspace.name.as_str()),
        rank = call.request_priority.get(),
        short_service = shortage.service.as_str(),
        level = shortage.level,
        held_ms = now.saturating_sub(held_since).as_millis() as u64,
        left_ms = pending.soft_deadline().saturating_sub(now).as_millis() as u64,
        outcome = end.name();
        "released a held request"
    );
}

/// Releases held requests as capacity becomes available, and all of them when the node shuts down
/// or another configuration comes into force.
pub(crate) async fn release_held(node: Rc<RoutedNode>) {
    let mut version = node.route_version();
    loop {
        if node.held_requests.borrow().held_count() == 0 {
            node.request_held.notified().await;
            // Changes while no request was held concern none.
            version = node.route_version();
        }
        tokio::time::sleep(RELEASE_INTERVAL).await;
        let in_force = node.route_version();
        if node.is_stopping() {
            release_all(&node, HoldResult::Stopping);
        } else if std::mem::replace(&mut version, in_force) != in_force {
            release_all(&node, HoldResult::ConfigurationChanged);
        } else {
            release(&node);
        }
    }
}

fn release_all(node: &RoutedNode, end: HoldResult) {
    let senders = node.held_requests.borrow_mut().withdraw_all();
    for sender in senders {
        // The receiver is gone if the caller has just disconnected.
        let _ = sender.send(end);
    }
}

fn release(node: &RoutedNode) {
    let released = node
        .held_requests
        .borrow_mut()
        .release(node.now(), |flow| admission_probability(node, flow));
    for ReleasedRequest {
        ticket: sender,
        reason,
    } in released
    {
        let end = match reason {
            ReleaseReason::RoomAvailable | ReleaseReason::WaitExhausted => HoldResult::Admitted,
            ReleaseReason::NoRoom { room_expected_in } => HoldResult::NoRoom { room_expected_in },
        };
        if reason == ReleaseReason::WaitExhausted {
            node.metrics.count("held", "due");
        }
        let _ = sender.send(end);
    }
}
