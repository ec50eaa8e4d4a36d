//! The side of a link that takes calls for the backend server of this host.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use kumquatquay_wire::{
    WireError,
    routed::{
        AnswerHead, CallNumber, FollowState, Frame, FrameHead, HeldFrame, NotRunReason, RouteNews,
        ServicePressure,
    },
};
use tokio::{net::TcpStream, sync::oneshot};

use super::{
    call_workers::run_on_worker,
    configuration_exchange::{on_configuration, on_follow_state, send_configuration},
    link_answer::LinkAnswer,
    link_frames::{FrameWriter, read_frames},
    local_run::run_locally,
    node::RoutedNode,
    quotas::{lend, return_local_token, take_local_token},
};

/// A link that another node has made to this one.
#[derive(Debug, Default)]
struct ServedLink {
    frames: FrameWriter,
    /// Calls that have no answer yet.
    open: RefCell<HashMap<CallNumber, OpenCall>>,
    /// What was told of each route last.
    news_told: RefCell<HashMap<String, ToldNews>>,
    /// When pressures were told last.
    pressures_told: Cell<Duration>,
    /// When it was told last how far this node follows the configuration, with its proof.
    proof_told: Cell<Duration>,
}

/// What was told of a route.
#[derive(Debug)]
struct ToldNews {
    at: Duration,
    /// When it was looked whether there is more to tell.
    looked: Duration,
    /// Services that the route was said to lead to.
    services_count: usize,
    is_from_outside: bool,
}

/// A call that has no answer yet; dropping it cancels the call.
#[derive(Debug)]
struct OpenCall {
    _cancel: oneshot::Sender<()>,
    /// Tells it that its sender has committed to it.
    commit: Option<oneshot::Sender<()>>,
}

/// How long room is kept for a call until its sender commits to it: a round trip, and
/// the pauses of two hosts whose share of a processor is a quota.
const COMMIT_PATIENCE: Duration = Duration::from_millis(300);

/// How often news of a route is told on a link; it changes slowly.
const NEWS_INTERVAL: Duration = Duration::from_millis(500);

/// How often it is looked whether a route is found to lead to a service that wasn't told. In the
/// first surge this goes up several services, and until it has arrived all requests are let in.
const NEWS_LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// How often pressures are told on a link; the controls that act on them look back
/// over a tenth of a second.
const PRESSURES_INTERVAL: Duration = Duration::from_millis(40);

/// How often a proof is told on a link; a proof is good for seconds.
const PROOF_INTERVAL: Duration = Duration::from_millis(100);

impl ServedLink {
    /// News of a route, unless it was told just now.
    fn news(&self, node: &RoutedNode, route: &str) -> Option<RouteNews> {
        let now = node.now();
        let mut told = self.news_told.borrow_mut();
        let last = told.get_mut(route);
        if let Some(last) = last {
            if now < last.looked + NEWS_LOOK_INTERVAL {
                return None;
            }
            last.looked = now;
        }
        let news = node.route_news(route);
        let is_told = told.get(route).is_some_and(|last| {
            now < last.at + NEWS_INTERVAL
                && last.services_count == news.leads_to.len()
                && last.is_from_outside == news.is_from_outside
        });
        if is_told {
            return None;
        }
        let now_told = ToldNews {
            at: now,
            looked: now,
            services_count: news.leads_to.len(),
            is_from_outside: news.is_from_outside,
        };
        told.insert(String::from(route), now_told);
        Some(news)
    }

    /// How far this node follows the configuration, with its proof unless that was told just now.
    fn followed(&self, node: &RoutedNode) -> FollowState {
        let now = node.now();
        if now < self.proof_told.get() + PROOF_INTERVAL {
            return node.follow_state();
        }
        self.proof_told.set(now);
        node.follow_state_with_proof()
    }

    /// Pressures on the services that a route leads to, unless told just now.
    fn pressures(&self, node: &RoutedNode, route: &str) -> Vec<ServicePressure> {
        let now = node.now();
        if now < self.pressures_told.get() + PRESSURES_INTERVAL {
            return Vec::new();
        }
        self.pressures_told.set(now);
        let leads_to = node.route_news(route).leads_to;
        node.entry_admission.borrow().pressures(now, &leads_to)
    }
}

/// Serves a link until it ends.
pub(crate) async fn serve_link(node: Rc<RoutedNode>, stream: TcpStream) {
    let link = Rc::new(ServedLink::default());
    let (read, write) = stream.into_split();
    let take = |frame: Frame<'_>| on_frame(&node, &link, &frame);
    let ended = tokio::select! {
        read = read_frames(read, take) => read,
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
            on_follow_state(node, &link.frames, call.followed);
            if link.frames.has_room_for_answers() {
                on_call(node, link, call.number, frame.held()?);
            } else {
                // Answers wait in memory for a peer that doesn't read.
                node.metrics.count("link", "unread_answers");
                let refusal = LinkAnswer::not_run(NotRunReason::Full);
                tell_answer(node, link, call.number, call.route, &refusal);
            }
        }
        FrameHead::Cancel { number } => {
            link.open.borrow_mut().remove(&number);
        }
        FrameHead::Commit { number } => {
            let mut open = link.open.borrow_mut();
            let commit = open.get_mut(&number).and_then(|open| open.commit.take());
            if let Some(commit) = commit {
                // Room that was kept too long is gone; the answer says so.
                let _ = commit.send(());
            }
        }
        FrameHead::Ping { followed, asked_ms } => {
            on_follow_state(node, &link.frames, followed);
            let followed = node.follow_state_with_proof();
            link.frames.push(&FrameHead::Pong { followed, asked_ms });
        }
        FrameHead::ConfigurationAsk => send_configuration(node, &link.frames),
        FrameHead::Configuration => on_configuration(node, frame.body()),
        FrameHead::LoanAsk {
            keeper,
            wanted,
            asked_ms,
        } => {
            let loan = lend(node, keeper, wanted, asked_ms);
            link.frames.push(&loan);
        }
        FrameHead::QuotaAsk { number, workspace } => {
            let verdict = take_local_token(node, &workspace);
            link.frames
                .push(&FrameHead::QuotaAnswer { number, verdict });
        }
        FrameHead::QuotaReturn { workspace } => return_local_token(node, &workspace),
        FrameHead::Pong { .. }
        | FrameHead::Answer(_)
        | FrameHead::Granted { .. }
        | FrameHead::Loan { .. }
        | FrameHead::QuotaAnswer { .. } => {}
    }
    Ok(())
}

fn on_call(node: &Rc<RoutedNode>, link: &Rc<ServedLink>, number: CallNumber, frame: HeldFrame) {
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

/// A call of another node that is to be run.
#[derive(Debug)]
pub(super) struct ServedCall {
    link: Rc<ServedLink>,
    number: CallNumber,
    frame: HeldFrame,
    cancelled: oneshot::Receiver<()>,
    committed: oneshot::Receiver<()>,
}

impl ServedCall {
    /// Runs it and tells its sender what came of it.
    pub(super) async fn run(self, node: &Rc<RoutedNode>) {
        let Self {
            link,
            number,
            frame,
            cancelled,
            committed,
        } = self;
        // It was read as a call when it came.
        let Ok(FrameHead::Call(call)) = frame.head() else {
            return;
        };
        let needs_commit = call.needs_commit;
        let confirmed = async {
            !needs_commit || {
                link.frames.push(&FrameHead::Granted { number });
                let committed = tokio::time::timeout(COMMIT_PATIENCE, committed);
                matches!(committed.await, Ok(Ok(())))
            }
        };
        let cancelled = async {
            // The sender is only ever dropped, which says that the call is cancelled.
            let _ = cancelled.await;
        };
        let answer = run_locally(node, &call, &frame.payload, confirmed, cancelled).await;
        let is_wanted = link.open.borrow_mut().remove(&number).is_some();
        if is_wanted {
            tell_answer(node, &link, number, call.route, &answer);
        }
    }
}

fn tell_answer(
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
        followed: link.followed(node),
        news: link.news(node, route),
        pressures: link.pressures(node, route),
    });
    link.frames.push_with(&head, &answer.payload);
}
