//! Requests that are held at the entry until there is room for them.

use std::{rc::Rc, time::Duration};

use kumquatquay_core::routed::{
    EntryQueue, FlowKey, HoldDecision, HoldKey, HoldRequest, ReleaseReason, ReleasedRequest,
    Shortage,
};

use tokio::sync::oneshot;

use super::{
    admission::{ClaimantShortage, PendingRequest, admission_probability},
    forwarding::OutgoingCall,
    node::{RoutedNode, StopPhase},
};

/// How often it is looked whether held requests can be let in.
const RELEASE_INTERVAL: Duration = Duration::from_millis(25);

/// Memory that a held request takes beside its body and its fields.
const HELD_LEAST_BYTES: usize = 1_024;

/// Tells a held request why it is held no longer.
type HoldTicket = oneshot::Sender<HoldResult>;

/// Requests that this node holds.
pub(super) type HeldRequests = EntryQueue<HoldTicket>;

/// Why a request is held no longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HoldResult {
    /// It is let in.
    Admitted,
    /// There is no room, and none is expected in time.
    NoRoom {
        /// Time after which there should be room to hold it, if that is known.
        room_in: Option<Duration>,
    },
    /// The node stops.
    Stopping,
    /// Another configuration came into force.
    ConfigurationChanged,
}

impl HoldResult {
    /// What counters and log lines call it.
    fn name(self) -> &'static str {
        match self {
            Self::Admitted => "let_in",
            Self::NoRoom { .. } => "no_room",
            Self::Stopping => "stopping",
            Self::ConfigurationChanged => "reloaded",
        }
    }
}

/// A place among held requests, which is left when its caller leaves.
struct HeldGuard<'a> {
    node: &'a RoutedNode,
    key: HoldKey,
    /// Whether the request was told why it is held no longer.
    has_ended: bool,
}

impl Drop for HeldGuard<'_> {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        // It isn't there any more if it was let in as its caller left.
        self.node.held_requests.borrow_mut().remove(&self.key);
        self.node.metrics.count("held", "caller_left");
    }
}

/// The line in which a request waits.
pub(super) fn flow_key_of(call: &OutgoingCall) -> FlowKey {
    let route = &call.route.settings.name;
    let workspace = call.workspace.as_ref();
    FlowKey {
        route: route.clone(),
        service: call.service.clone(),
        priority: call.request_priority.get(),
        claimant: workspace.map_or_else(|| route.clone(), |workspace| workspace.name.clone()),
    }
}

/// Lets a request in, holds it until something comes of it, or refuses it.
pub(super) async fn hold(
    node: &RoutedNode,
    pending: &PendingRequest<'_>,
    line: &FlowKey,
    short: &ClaimantShortage,
) -> HoldResult {
    let request = HoldRequest {
        flow: line,
        admission_probability: short.admission_probability,
        soft_deadline: pending.due(),
        held_bytes: held_bytes(pending.call),
    };
    let (ticket, released) = oneshot::channel();
    let began = node.now();
    let offer = {
        let mut random = node.random.borrow_mut();
        let mut held = node.held_requests.borrow_mut();
        held.offer(began, &request, ticket, &mut *random)
    };
    let key = match offer {
        HoldDecision::Admitted => return HoldResult::Admitted,
        HoldDecision::Refused {
            retry_after: room_in,
        } => return HoldResult::NoRoom { room_in },
        HoldDecision::Held(key) => key,
    };
    node.request_held.notify_one();
    let mut place = HeldGuard {
        node,
        key,
        has_ended: false,
    };
    // The task that lets requests in ends with the node only.
    let end = released.await.unwrap_or(HoldResult::Stopping);
    place.has_ended = true;
    note_end(node, pending, &short.shortage, began, end);
    end
}

fn held_bytes(call: &OutgoingCall) -> usize {
    let fields_bytes = call.payload.fields.as_bytes().len();
    HELD_LEAST_BYTES + call.payload.body.len() + fields_bytes + call.target.len()
}

fn note_end(
    node: &RoutedNode,
    pending: &PendingRequest<'_>,
    shortage: &Shortage,
    began: Duration,
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
        request = call.attempt.as_str(),
        route = call.route.settings.name.as_str(),
        workspace = workspace.map_or("", |workspace| workspace.name.as_str()),
        rank = call.request_priority.get(),
        short_service = shortage.service.as_str(),
        level = shortage.level,
        held_ms = now.saturating_sub(began).as_millis() as u64,
        left_ms = pending.due().saturating_sub(now).as_millis() as u64,
        outcome = end.name();
        "a request is held no longer"
    );
}

/// Lets held requests in as room comes, and sends all back when the node stops or another
/// configuration comes into force.
pub(crate) async fn release_held(node: Rc<RoutedNode>) {
    let mut version = node.route_version();
    loop {
        if node.held_requests.borrow().held_count() == 0 {
            node.request_held.notified().await;
        }
        tokio::time::sleep(RELEASE_INTERVAL).await;
        let in_force = node.route_version();
        if node.stop_phase() > StopPhase::Serving {
            send_all_back(&node, HoldResult::Stopping);
        } else if std::mem::replace(&mut version, in_force) != in_force {
            send_all_back(&node, HoldResult::ConfigurationChanged);
        } else {
            release(&node);
        }
    }
}

fn send_all_back(node: &RoutedNode, end: HoldResult) {
    let tickets = node.held_requests.borrow_mut().withdraw_all();
    for ticket in tickets {
        // Nobody waits for it if the caller has left in this moment.
        let _ = ticket.send(end);
    }
}

fn release(node: &RoutedNode) {
    let released = node
        .held_requests
        .borrow_mut()
        .release(node.now(), |line| admission_probability(node, line));
    for ReleasedRequest {
        ticket,
        reason: outcome,
    } in released
    {
        let end = match outcome {
            ReleaseReason::RoomAvailable | ReleaseReason::WaitExhausted => HoldResult::Admitted,
            ReleaseReason::NoRoom {
                retry_after: room_in,
            } => HoldResult::NoRoom { room_in },
        };
        if outcome == ReleaseReason::WaitExhausted {
            node.metrics.count("held", "due");
        }
        let _ = ticket.send(end);
    }
}
