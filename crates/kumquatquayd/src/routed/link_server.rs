//! The side of a link that receives calls for the backend server of this host.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use kumquatquay_core::routed::BodyKind;
use kumquatquay_wire::{
    WireError,
    routed::{
        AnswerHead, CallNumber, Frame, FrameHead, NotRunReason, OwnedFrame, RouteEstimate,
        ServicePressure, SyncState,
    },
};
use tokio::{net::TcpStream, sync::oneshot};

use super::{
    call_workers::run_on_worker,
    configuration_exchange::{on_configuration, on_sync_state, send_configuration},
    link_answer::LinkAnswer,
    link_frames::{FrameWriter, read_frames},
    local_run::run_locally,
    node::RoutedNode,
    quotas::{lend, return_local_token, take_local_token},
    reported_shutdowns::{ShutdownNotice, accept_notice},
};

/// Link opened by another node.
#[derive(Debug, Default)]
struct ServedLink {
    frames: FrameWriter,
    /// Calls without an answer.
    open: RefCell<HashMap<CallNumber, OpenCall>>,
    /// What was last sent about each route.
    sent_estimates: RefCell<HashMap<String, SentEstimate>>,
    /// When pressures were last sent.
    pressures_sent_at: Cell<Duration>,
    /// When the sync state was last sent with its proof.
    proof_sent_at: Cell<Duration>,
}

/// What was last sent about a route.
#[derive(Debug)]
struct SentEstimate {
    sent_at: Duration,
    /// When the route was last checked for changes.
    checked_at: Duration,
    /// Number of services in the demand of the route.
    services_count: usize,
    is_from_outside: bool,
}

/// Call without an answer; dropping it cancels the call.
#[derive(Debug)]
struct OpenCall {
    _cancel: oneshot::Sender<()>,
    /// Passes on the commit of the sender.
    commit: Option<oneshot::Sender<()>>,
}

/// How long room is kept for a call until its sender commits to it: a round trip, and pauses of
/// both hosts in case their CPU time is limited by a quota.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval at which the unchanged estimate of a route is sent on a link; it changes slowly.
const ESTIMATE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which a route is checked for new services that it leads to. At the start of an
/// overload the estimate travels up through several services, and until it arrives all requests
/// are admitted.
const ESTIMATE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which pressures are sent on a link; the controllers that use them look back over
/// 100 ms.
const PRESSURES_INTERVAL: Duration = Duration::from_millis(40);

/// Interval at which a proof of freshness is sent on a link; a proof is valid for seconds.
const PROOF_INTERVAL: Duration = Duration::from_millis(100);

impl ServedLink {
    /// Estimate of a route, unless it was sent recently and hasn't changed.
    fn route_estimate(&self, node: &RoutedNode, route: &str) -> Option<RouteEstimate> {
        let now = node.now();
        let mut sent = self.sent_estimates.borrow_mut();
        let last = sent.get_mut(route);
        if let Some(last) = last {
            if now < last.checked_at + ESTIMATE_CHECK_INTERVAL {
                return None;
            }
            last.checked_at = now;
        }
        let estimate = node.route_estimate(route);
        let is_already_sent = sent.get(route).is_some_and(|last| {
            now < last.sent_at + ESTIMATE_INTERVAL
                && last.services_count == estimate.demands.len()
                && last.is_from_outside == estimate.is_from_outside
        });
        if is_already_sent {
            return None;
        }
        let now_sent = SentEstimate {
            sent_at: now,
            checked_at: now,
            services_count: estimate.demands.len(),
            is_from_outside: estimate.is_from_outside,
        };
        sent.insert(String::from(route), now_sent);
        Some(estimate)
    }

    /// Sync state of this node, with its proof unless one was sent recently.
    fn sync_state(&self, node: &RoutedNode) -> SyncState {
        let now = node.now();
        if now < self.proof_sent_at.get() + PROOF_INTERVAL {
            return node.sync_state();
        }
        self.proof_sent_at.set(now);
        node.sync_state_with_proof()
    }

    /// Pressures on the services that a route leads to; empty if they were sent recently.
    fn pressures(&self, node: &RoutedNode, route: &str) -> Vec<ServicePressure> {
        let now = node.now();
        if now < self.pressures_sent_at.get() + PRESSURES_INTERVAL {
            return Vec::new();
        }
        self.pressures_sent_at.set(now);
        let demands = node.route_estimate(route).demands;
        node.entry_admission.borrow().pressures(now, &demands)
    }
}

/// Serves a link until it ends, then cancels its open calls.
pub(crate) async fn serve_link(node: Rc<RoutedNode>, stream: TcpStream) {
    let link = Rc::new(ServedLink::default());
    let (read, write) = stream.into_split();
    let take = |frame: Frame<'_>| on_frame(&node, &link, &frame);
    let ended = tokio::select! {
        read = read_frames(read, BodyKind::Request, &node.memory, take) => read,
        written = link.frames.run(write) => written,
    };
    if let Err(error) = ended {
        log::debug!(event = "served_link_ended"; "{error}");
    }
    link.open.borrow_mut().clear();
}

fn on_frame(
    node: &Rc<RoutedNode>,
    link: &Rc<ServedLink>,
    frame: &Frame<'_>,
) -> Result<(), WireError> {
    match frame.head()? {
        FrameHead::Call(call) => {
            on_sync_state(node, &link.frames, call.sync_state);
            if frame.is_body_dropped() {
                node.metrics.count("link", "no_memory_for_call");
                let refusal = LinkAnswer::not_run(NotRunReason::Full);
                send_answer(node, link, call.number, call.route, &refusal);
            } else if link.frames.has_room_for_answers() {
                on_call(node, link, call.number, frame.to_owned_frame()?);
            } else {
                // The peer doesn't read, so answers would pile up in memory.
                node.metrics.count("link", "unread_answers");
                let refusal = LinkAnswer::not_run(NotRunReason::Full);
                send_answer(node, link, call.number, call.route, &refusal);
            }
        }
        FrameHead::Cancel { number } => {
            link.open.borrow_mut().remove(&number);
        }
        FrameHead::Commit { number } => {
            let mut open = link.open.borrow_mut();
            let commit = open.get_mut(&number).and_then(|open| open.commit.take());
            if let Some(commit) = commit {
                // If the receiver is gone, the room was given up; the answer says so.
                let _ = commit.send(());
            }
        }
        FrameHead::Ping {
            sync_state,
            asked_ms,
        } => {
            on_sync_state(node, &link.frames, sync_state);
            let sync_state = node.sync_state_with_proof();
            link.frames.push(&FrameHead::Pong {
                sync_state,
                asked_ms,
            });
        }
        FrameHead::ConfigurationRequest => send_configuration(node, &link.frames),
        FrameHead::Configuration => on_configuration(node, frame.body()),
        FrameHead::LoanRequest {
            borrower,
            wanted,
            asked_ms,
        } => {
            let loan = lend(node, borrower, wanted, asked_ms);
            link.frames.push(&loan);
        }
        FrameHead::QuotaRequest { number, workspace } => {
            let verdict = take_local_token(node, &workspace);
            link.frames
                .push(&FrameHead::QuotaAnswer { number, verdict });
        }
        FrameHead::QuotaReturn { workspace } => return_local_token(node, &workspace),
        FrameHead::ShutdownNotice {
            number,
            host,
            life,
            is_recalled,
        } => {
            let notice = ShutdownNotice {
                host,
                life,
                is_recalled,
            };
            let (node, link) = (Rc::clone(node), Rc::clone(link));
            let tasks = node.tasks.clone();
            tasks.spawn_local(async move {
                let is_accepted = accept_notice(&node, notice).await;
                link.frames.push(&FrameHead::ShutdownVerdict {
                    number,
                    is_accepted,
                });
            });
        }
        FrameHead::Pong { .. }
        | FrameHead::ShutdownVerdict { .. }
        | FrameHead::Answer(_)
        | FrameHead::Granted { .. }
        | FrameHead::Loan { .. }
        | FrameHead::QuotaAnswer { .. } => {}
    }
    Ok(())
}

fn on_call(node: &Rc<RoutedNode>, link: &Rc<ServedLink>, number: CallNumber, frame: OwnedFrame) {
    let (cancel, cancelled) = oneshot::channel();
    let (commit, committed) = oneshot::channel();
    let open = OpenCall {
        _cancel: cancel,
        commit: Some(commit),
    };
    link.open.borrow_mut().insert(number, open);
    let call = ServedCall {
        link: Rc::clone(link),
        number,
        frame,
        cancelled,
        committed,
    };
    run_on_worker(node, call);
}

/// Call of another node that is about to run.
#[derive(Debug)]
pub(super) struct ServedCall {
    link: Rc<ServedLink>,
    number: CallNumber,
    frame: OwnedFrame,
    cancelled: oneshot::Receiver<()>,
    committed: oneshot::Receiver<()>,
}

impl ServedCall {
    /// Runs the call and sends its outcome to the other node, unless it was cancelled.
    pub(super) async fn run(self, node: &Rc<RoutedNode>) {
        let Self {
            link,
            number,
            frame,
            cancelled,
            committed,
        } = self;
        // The head was parsed when the frame arrived.
        let Ok(FrameHead::Call(call)) = frame.head() else {
            return;
        };
        let needs_commit = call.needs_commit;
        let confirmed = async {
            !needs_commit || {
                link.frames.push(&FrameHead::Granted { number });
                let committed = tokio::time::timeout(COMMIT_TIMEOUT, committed);
                matches!(committed.await, Ok(Ok(())))
            }
        };
        let cancelled = async {
            // Nothing is ever sent: dropping the sender cancels the call.
            let _ = cancelled.await;
        };
        let answer = run_locally(node, &call, &frame.payload, confirmed, cancelled).await;
        let is_wanted = link.open.borrow_mut().remove(&number).is_some();
        if is_wanted {
            send_answer(node, &link, number, call.route, &answer);
        }
    }
}

fn send_answer(
    node: &RoutedNode,
    link: &ServedLink,
    number: CallNumber,
    route: &str,
    answer: &LinkAnswer,
) {
    let head = FrameHead::Answer(AnswerHead {
        number,
        outcome: answer.outcome,
        is_leaving: answer.is_leaving,
        report: node.gate_report(),
        sync_state: link.sync_state(node),
        route_estimate: link.route_estimate(node, route),
        pressures: link.pressures(node, route),
    });
    link.frames.push_with(&head, &answer.payload);
}
