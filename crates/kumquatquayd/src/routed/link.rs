//! The side of a link that sends calls.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use kumquatquay_core::{
    quota::Loan,
    routed::{BodyKind, LinkAction, LinkHealth, Mechanism, PickedEndpoint},
};
use kumquatquay_wire::{
    WireError,
    routed::{
        AnswerHead, CallHead, CallNumber, Frame, FrameHead, NotRunReason, Payload, UnknownReason,
    },
};
use tokio::{
    net::TcpStream,
    sync::{Notify, oneshot, watch},
};

use super::{
    configuration_exchange::{
        on_configuration, on_sync_answer, on_sync_state, ping_frame, send_configuration,
    },
    gate_slot::MIN_RUN_TIME_RATIO,
    link_answer::{LinkAnswer, MayHaveRun},
    link_frames::{FrameWriter, read_frames},
    node::RoutedNode,
    outgoing_call::OutgoingCall,
    quotas::{on_loan, on_quota_answer},
};

/// Largest body that goes over the link for small bodies. Larger ones use a second link, so
/// that short calls don't wait behind them: at 200 Mbit/s this many bytes take 1.3 ms.
const SMALL_BODY_BYTES: usize = 32 * 1024;

/// Timeout of a connection attempt: many round trips. The kernel sends a lost SYN packet again
/// only after a second; a new connection is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval of the health checks of links.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Pause between probes of a peer whose link was lost; a probe costs a few hundred bytes.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Which of the two links to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum LinkKind {
    Small,
    Bulk,
}

/// Links opened by this node, by the peer's address.
#[derive(Debug, Default)]
pub(crate) struct Links {
    links: HashMap<(SocketAddr, LinkKind), Rc<Link>>,
    /// Peers whose link was lost and that are being probed until they answer.
    probed_peers: HashSet<SocketAddr>,
    last_number: CallNumber,
}

impl Links {
    /// Number of open links.
    pub(crate) fn len(&self) -> usize {
        self.links.len()
    }
}

/// Link opened by this node.
#[derive(Debug)]
pub(crate) struct Link {
    peer: SocketAddr,
    pub(crate) frames: FrameWriter,
    pending: RefCell<HashMap<CallNumber, PendingCall>>,
    health: RefCell<LinkHealth>,
    /// Whether the peer has gone silent, so that new calls should use other nodes.
    is_silent: watch::Sender<bool>,
    /// Notified of the first frame from the peer, and of the end of the link.
    activity: Notify,
    has_received: Cell<bool>,
    end: Notify,
}

#[derive(Debug)]
struct PendingCall {
    answer: oneshot::Sender<LinkAnswer>,
    /// When the call was sent, by the clock that includes suspended time.
    sent_at: Duration,
    /// Position in the byte stream of the link where the frame ends that lets the call run.
    end_bytes: u64,
    /// Whether the peer may run the call only after this node has committed to it.
    needs_commit: bool,
    /// Least time that its run takes.
    min_run_time: Duration,
    may_have_run: MayHaveRun,
}

/// Sends a call to another node and waits for the outcome.
///
/// A call that may run at most once is passed to the backend server there only after this node
/// has committed to it, which it does when the other node has granted room. Without the commit,
/// a call that waits at a gate, or in a connection that went silent, can't be told from one
/// that has run: its caller would learn nothing and couldn't retry. The commit costs these
/// calls a round trip. A call whose link goes silent before the commit has not run, and is sent
/// to another node.
///
/// Dropping the future cancels the call at the other node.
pub(crate) async fn send_call(
    node: &Rc<RoutedNode>,
    call: &OutgoingCall,
    endpoint: &PickedEndpoint,
    mut head: CallHead<'_>,
) -> LinkAnswer {
    let OutgoingCall {
        payload,
        may_have_run,
        ..
    } = call;
    let link = link_to(node, endpoint.peer, payload.body.len());
    if !link.frames.has_room() {
        return LinkAnswer::not_run(NotRunReason::Unsent);
    }
    head.number = next_call_number(node);
    let number = head.number;
    let needs_commit = head.needs_commit;
    if !needs_commit {
        may_have_run.set();
    }
    let (sender, mut receiver) = oneshot::channel();
    let now = node.now();
    let sent_at = node.boot_time_at_most(now);
    let end_bytes = link.frames.push_with(&FrameHead::Call(head), payload);
    let pending = PendingCall {
        answer: sender,
        sent_at,
        end_bytes,
        needs_commit,
        min_run_time: endpoint.mean_run_time.mul_f64(MIN_RUN_TIME_RATIO),
        may_have_run: may_have_run.clone(),
    };
    link.pending.borrow_mut().insert(number, pending);
    link.health.borrow_mut().on_call_sent(now);
    let _cancel_on_drop = CancelOnDrop {
        link: &link,
        number,
    };
    let answer = tokio::select! {
        answer = &mut receiver => answer,
        () = wait_until_silent(&link) => {
            if needs_commit && !may_have_run.get() {
                return LinkAnswer::not_run(NotRunReason::Unsent);
            }
            receiver.await
        }
    };
    answer.unwrap_or_else(|_| LinkAnswer::unknown(UnknownReason::LinkLost))
}

/// Waits until a link is silent.
async fn wait_until_silent(link: &Link) {
    let mut is_silent = link.is_silent.subscribe();
    // The link outlives the wait, and so does the sender of the watch channel.
    let _ = is_silent.wait_for(|is_silent| *is_silent).await;
}

/// Waits until the link to a peer that is used for bodies of this size is silent.
pub(crate) async fn link_silence(node: &Rc<RoutedNode>, peer: SocketAddr, body_bytes: usize) {
    let link = link_to(node, peer, body_bytes);
    wait_until_silent(&link).await;
}

/// Cancels a call at the other node on drop, unless its answer has arrived.
struct CancelOnDrop<'a> {
    link: &'a Link,
    number: CallNumber,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        let number = self.number;
        let is_open = self.link.pending.borrow_mut().remove(&number).is_some();
        if is_open {
            self.link.frames.push(&FrameHead::Cancel { number });
        }
    }
}

fn next_call_number(node: &RoutedNode) -> CallNumber {
    let mut links = node.links.borrow_mut();
    links.last_number += 1;
    links.last_number
}

fn link_to(node: &Rc<RoutedNode>, peer: SocketAddr, body_bytes: usize) -> Rc<Link> {
    let kind = if body_bytes <= SMALL_BODY_BYTES {
        LinkKind::Small
    } else {
        LinkKind::Bulk
    };
    let key = (peer, kind);
    if let Some(link) = node.links.borrow().links.get(&key) {
        return Rc::clone(link);
    }
    let link = Rc::new(Link {
        peer,
        frames: FrameWriter::default(),
        pending: RefCell::default(),
        health: RefCell::new(LinkHealth::new(node.now())),
        is_silent: watch::Sender::new(false),
        activity: Notify::new(),
        has_received: Cell::new(false),
        end: Notify::new(),
    });
    node.links.borrow_mut().links.insert(key, Rc::clone(&link));
    let task = run_link_to_end(Rc::clone(node), key, Rc::clone(&link));
    node.tasks.spawn_local(task);
    link
}

/// Runs a link to its end, then settles its pending calls.
async fn run_link_to_end(node: Rc<RoutedNode>, key: (SocketAddr, LinkKind), link: Rc<Link>) {
    let (peer, _) = key;
    let why = match run_link(&node, peer, &link).await {
        Ok(()) => String::from("closed by the peer"),
        Err(error) => error.to_string(),
    };
    link.frames.close();
    node.links.borrow_mut().links.remove(&key);
    let pending = std::mem::take(&mut *link.pending.borrow_mut());
    let lost_count = pending.len();
    link.activity.notify_waiters();
    probe_lost_peer(&node, peer);
    node.metrics.count("link_ended", "lost");
    log::info!(event = "link_ended", peer:% = peer, calls = lost_count; "{why}");
    for pending in pending.into_values() {
        // A frame that wasn't written completely can't have been read, and a call that still
        // needs the commit of this node has not run.
        let is_sent = link.frames.has_written_to(pending.end_bytes);
        let answer = if is_sent && !pending.needs_commit {
            LinkAnswer::unknown(UnknownReason::LinkLost)
        } else {
            LinkAnswer::not_run(NotRunReason::Unsent)
        };
        let _ = pending.answer.send(answer);
    }
}

async fn run_link(node: &Rc<RoutedNode>, peer: SocketAddr, link: &Rc<Link>) -> io::Result<()> {
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(peer));
    let stream = connect.await.map_err(|_| io::ErrorKind::TimedOut)??;
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    let take = |frame: Frame<'_>| on_frame(node, link, &frame);
    tokio::select! {
        read = read_frames(read, BodyKind::Answer, &node.memory, take) => read,
        written = link.frames.run(write) => written,
        () = link.end.notified() => Err(io::Error::new(io::ErrorKind::TimedOut, "peer is silent")),
    }
}

fn on_frame(node: &Rc<RoutedNode>, link: &Rc<Link>, frame: &Frame<'_>) -> Result<(), WireError> {
    match frame.head()? {
        FrameHead::Answer(answer) if frame.is_body_dropped() => {
            on_unread_answer(node, link, answer.number);
        }
        FrameHead::Answer(answer) => on_answer(node, link, answer, frame.payload()?),
        FrameHead::Granted { number } => on_granted(node, link, number),
        FrameHead::Pong {
            sync_state,
            asked_ms,
        } => {
            let asked = Duration::from_millis(asked_ms);
            on_sync_answer(node, &link.frames, sync_state, asked);
        }
        FrameHead::Ping { sync_state, .. } => on_sync_state(node, &link.frames, sync_state),
        FrameHead::Configuration => on_configuration(node, frame.body()),
        FrameHead::ConfigurationRequest => send_configuration(node, &link.frames),
        FrameHead::Loan {
            lender,
            granted,
            asked_ms,
            nodes_count,
        } => {
            let loan = Loan {
                granted,
                asked: Duration::from_millis(asked_ms),
                nodes_count: nodes_count as usize,
            };
            on_loan(node, lender, loan);
        }
        FrameHead::QuotaAnswer { number, verdict } => on_quota_answer(node, number, verdict),
        FrameHead::ShutdownVerdict {
            number,
            is_accepted,
        } => node
            .shutdown_notices
            .borrow_mut()
            .on_verdict(number, is_accepted),
        FrameHead::Call(_)
        | FrameHead::ShutdownNotice { .. }
        | FrameHead::Cancel { .. }
        | FrameHead::Commit { .. }
        | FrameHead::LoanRequest { .. }
        | FrameHead::QuotaRequest { .. }
        | FrameHead::QuotaReturn { .. } => {
            log::warn!(event = "link_confused"; "a frame arrived at the wrong end of a link");
        }
    }
    on_activity(node, link);
    Ok(())
}

fn on_activity(node: &RoutedNode, link: &Link) {
    let has_pending_calls = !link.pending.borrow().is_empty();
    link.health
        .borrow_mut()
        .on_frame(node.now(), has_pending_calls);
    // Each call on the link watches this value. Without the check, every frame would wake all
    // of them, which cost as much processor time as all other work in an overload.
    let was_silent = link.is_silent.send_if_modified(std::mem::take);
    if was_silent {
        node.load_balancer.borrow_mut().mark_reachable(link.peer);
    }
    if !link.has_received.replace(true) {
        link.activity.notify_waiters();
    }
}

/// Handles granted room for a call: commits to the call, unless it was cancelled, or its run would not end
/// before this node does.
fn on_granted(node: &RoutedNode, link: &Link, number: CallNumber) {
    let mut open = link.pending.borrow_mut();
    let Some(pending) = open.get_mut(&number) else {
        return;
    };
    let ends_at = node.now() + pending.min_run_time;
    let is_too_late = node.answers_due().is_some_and(|due| ends_at > due);
    if !is_too_late {
        pending.needs_commit = false;
        pending.may_have_run.set();
        pending.end_bytes = link.frames.push(&FrameHead::Commit { number });
        return;
    }
    if let Some(pending) = open.remove(&number) {
        link.frames.push(&FrameHead::Cancel { number });
        let _ = pending.answer.send(LinkAnswer::not_run(NotRunReason::Late));
    }
}

/// Probes a peer whose link was lost, until it answers or is no longer an endpoint.
///
/// Without probes, each attempt to reach a peer that is cut off would cost a call.
fn probe_lost_peer(node: &Rc<RoutedNode>, peer: SocketAddr) {
    if !node.is_on(Mechanism::SilentLinks) || !node.links.borrow_mut().probed_peers.insert(peer) {
        return;
    }
    let node = Rc::clone(node);
    let tasks = node.tasks.clone();
    tasks.spawn_local(async move {
        while node.load_balancer.borrow_mut().mark_unreachable(peer) && !responds(&node, peer).await
        {
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
        node.load_balancer.borrow_mut().mark_reachable(peer);
        node.links.borrow_mut().probed_peers.remove(&peer);
    });
}

/// Whether a peer answers a ping on its present link.
async fn responds(node: &Rc<RoutedNode>, peer: SocketAddr) -> bool {
    let link = link_to(node, peer, 0);
    let activity = link.activity.notified();
    link.frames.push(&ping_frame(node));
    let _ = tokio::time::timeout(CONNECT_TIMEOUT, activity).await;
    link.has_received.get() && !*link.is_silent.borrow()
}

fn on_answer(node: &RoutedNode, link: &Link, answer: AnswerHead, payload: Payload) {
    let pending = link.pending.borrow_mut().remove(&answer.number);
    match &pending {
        Some(pending) => {
            on_sync_answer(node, &link.frames, answer.sync_state, pending.sent_at);
        }
        None => on_sync_state(node, &link.frames, answer.sync_state),
    }
    // Without a pending call: the call was cancelled while its answer was on its way.
    if let Some(pending) = pending {
        let _ = pending.answer.send(LinkAnswer {
            outcome: answer.outcome,
            payload,
            is_leaving: answer.is_leaving,
            report: Some(answer.report),
            route_estimate: answer.route_estimate,
            pressures: answer.pressures,
        });
    }
}

/// Ends a call for whose answer there was no memory. It has run, and what it gave is lost.
fn on_unread_answer(node: &RoutedNode, link: &Link, number: CallNumber) {
    node.metrics.count("link", "no_memory_for_answer");
    if let Some(pending) = link.pending.borrow_mut().remove(&number) {
        let _ = pending
            .answer
            .send(LinkAnswer::unknown(UnknownReason::Garbled));
    }
}

/// Pings another node; the answer tells how far it follows the configuration.
pub(crate) fn send_ping(node: &Rc<RoutedNode>, peer: SocketAddr) {
    let link = link_to(node, peer, 0);
    link.frames.push(&ping_frame(node));
}

/// Sends a frame that isn't a call to another node; it is dropped if the link has no room.
pub(crate) fn send_frame(node: &Rc<RoutedNode>, peer: SocketAddr, head: &FrameHead<'_>) {
    let link = link_to(node, peer, 0);
    if link.frames.has_room() {
        link.frames.push(head);
    }
}

/// Requests the configuration of another node.
pub(crate) fn ask_configuration(node: &Rc<RoutedNode>, peer: SocketAddr) {
    let link = link_to(node, peer, 0);
    link.frames.push(&FrameHead::ConfigurationRequest);
}

/// Pings quiet peers and closes links that stay silent.
pub(crate) async fn watch_links(node: Rc<RoutedNode>) {
    loop {
        tokio::time::sleep(WATCH_INTERVAL).await;
        let links: Vec<Rc<Link>> = node.links.borrow().links.values().cloned().collect();
        for link in links {
            watch_link(&node, &link);
        }
    }
}

fn watch_link(node: &RoutedNode, link: &Link) {
    let has_pending_calls = !link.pending.borrow().is_empty();
    let mut health = link.health.borrow_mut();
    match health.check(node.now(), WATCH_INTERVAL, has_pending_calls) {
        LinkAction::Keep => {}
        LinkAction::Ping => {
            link.frames.push(&ping_frame(node));
        }
        LinkAction::Avoid if !node.is_on(Mechanism::SilentLinks) => {}
        LinkAction::Avoid => {
            node.load_balancer.borrow_mut().mark_unreachable(link.peer);
            let becomes_silent = |is_silent: &mut bool| !std::mem::replace(is_silent, true);
            if link.is_silent.send_if_modified(becomes_silent) {
                node.metrics.count("link", "silent");
                log::info!(event = "link_silent", peer:% = link.peer;
                    "no frame from the peer; new calls use other nodes");
            }
        }
        LinkAction::Close => link.end.notify_one(),
    }
}
