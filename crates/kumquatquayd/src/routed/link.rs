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
    routed::{LinkAction, LinkHealth, Mechanism},
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
        on_configuration, on_follow_answer, on_follow_state, ping_frame, send_configuration,
    },
    link_answer::{LinkAnswer, MayHaveRun},
    link_frames::{FrameWriter, read_frames},
    node::RoutedNode,
    quotas::{on_loan, on_quota_answer},
};
/// Bodies above this go over a second link, so that short calls don't wait behind
/// them: at 200 Mbit/s this many bytes take 1.3 ms.
const SMALL_BODY_BYTES: usize = 32 * 1024;

/// How long a connection may take to be made: many round trips. A lost opening packet
/// is sent again after a second by the kernel; another connection is there sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// How often links are looked at.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Pause between attempts to reach a peer whose link was lost; one costs a few hundred
/// bytes.
const PROBE_PAUSE: Duration = Duration::from_millis(100);

/// Which of the two links to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum LinkKind {
    Small,
    Bulk,
}

/// The links that this node has made, by the peer's address.
#[derive(Debug, Default)]
pub(crate) struct Links {
    links: HashMap<(SocketAddr, LinkKind), Rc<Link>>,
    /// Peers whose link was lost and that are tried until they answer.
    probed: HashSet<SocketAddr>,
    last_number: CallNumber,
}

impl Links {
    /// Links that are open.
    pub(crate) fn len(&self) -> usize {
        self.links.len()
    }
}

/// One link that this node has made.
#[derive(Debug)]
pub(crate) struct Link {
    peer: SocketAddr,
    pub(crate) frames: FrameWriter,
    pending: RefCell<HashMap<CallNumber, Pending>>,
    health: RefCell<LinkHealth>,
    /// Whether new calls should go elsewhere.
    is_silent: watch::Sender<bool>,
    /// Told of each frame from the peer, and of the link's end.
    news: Notify,
    has_heard: Cell<bool>,
    end: Notify,
}

#[derive(Debug)]
struct Pending {
    answer: oneshot::Sender<LinkAnswer>,
    /// When it was sent, by the clock that counts suspended time.
    asked: Duration,
    /// Bytes of the link up to the end of the frame that lets the call run.
    end_bytes: u64,
    /// Whether it may run only once this node has committed to it.
    needs_commit: bool,
    may_have_run: MayHaveRun,
}

/// Sends a call to another node and waits for what comes of it.
///
/// A call that may run once at most is handed over there only after this node has
/// committed to it, which it does when there is room. Without that, a call that waited
/// at a gate, or in a connection that went silent, could not be told from one that has
/// run: its caller would be told nothing, and could not send it again. It costs a round
/// trip for these calls. So one whose link goes silent before has not run, and goes
/// elsewhere.
///
/// Dropped before the end, it tells the other node that nobody waits any more.
pub(crate) async fn send_call(
    node: &Rc<RoutedNode>,
    peer: SocketAddr,
    mut call: CallHead<'_>,
    payload: &Payload,
    may_have_run: &MayHaveRun,
) -> LinkAnswer {
    let link = link_to(node, peer, payload.body.len());
    if !link.frames.has_room() {
        return LinkAnswer::not_run(NotRunReason::Unsent);
    }
    call.number = next_number(node);
    let number = call.number;
    let needs_commit = call.needs_commit;
    if !needs_commit {
        may_have_run.set();
    }
    let (sender, mut receiver) = oneshot::channel();
    let now = node.now();
    let asked = node.boot_time_at_most(now);
    let end_bytes = link.frames.push_with(&FrameHead::Call(call), payload);
    let pending = Pending {
        answer: sender,
        asked,
        end_bytes,
        needs_commit,
        may_have_run: may_have_run.clone(),
    };
    link.pending.borrow_mut().insert(number, pending);
    link.health.borrow_mut().on_call_sent(now);
    let _canceller = Canceller {
        link: &link,
        number,
    };
    let answer = tokio::select! {
        answer = &mut receiver => answer,
        () = silence(&link) => {
            if needs_commit && !may_have_run.get() {
                return LinkAnswer::not_run(NotRunReason::Unsent);
            }
            receiver.await
        }
    };
    answer.unwrap_or_else(|_| LinkAnswer::unknown(UnknownReason::LinkLost))
}

/// Waits until a link has gone silent.
async fn silence(link: &Link) {
    let mut is_silent = link.is_silent.subscribe();
    // The link outlives the wait, and with it the sender.
    let _ = is_silent.wait_for(|is_silent| *is_silent).await;
}

/// Waits until the link over which a call goes has gone silent.
pub(crate) async fn link_silence(node: &Rc<RoutedNode>, peer: SocketAddr, body_bytes: usize) {
    let link = link_to(node, peer, body_bytes);
    silence(&link).await;
}

/// Tells the other node that the answer to a call isn't wanted any more, unless
/// it has come.
struct Canceller<'a> {
    link: &'a Link,
    number: CallNumber,
}

impl Drop for Canceller<'_> {
    fn drop(&mut self) {
        let number = self.number;
        let is_open = self.link.pending.borrow_mut().remove(&number).is_some();
        if is_open {
            self.link.frames.push(&FrameHead::Cancel { number });
        }
    }
}

fn next_number(node: &RoutedNode) -> CallNumber {
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
        news: Notify::new(),
        has_heard: Cell::new(false),
        end: Notify::new(),
    });
    node.links.borrow_mut().links.insert(key, Rc::clone(&link));
    let task = keep_link(Rc::clone(node), key, Rc::clone(&link));
    node.tasks.spawn_local(task);
    link
}

/// Makes a link, carries its frames, and settles its calls when it ends.
async fn keep_link(node: Rc<RoutedNode>, key: (SocketAddr, LinkKind), link: Rc<Link>) {
    let (peer, _) = key;
    let why = match run_link(&node, peer, &link).await {
        Ok(()) => String::from("the other side closed it"),
        Err(error) => error.to_string(),
    };
    link.frames.close();
    node.links.borrow_mut().links.remove(&key);
    let pending = std::mem::take(&mut *link.pending.borrow_mut());
    let lost_count = pending.len();
    link.news.notify_waiters();
    reach_again(&node, peer);
    node.metrics.count("link_ended", "lost");
    log::info!(event = "link_ended", peer:% = peer, calls = lost_count; "{why}");
    for pending in pending.into_values() {
        // A frame that was not written to its end was never understood, and one that
        // waits for this node to commit has not run.
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
        read = read_frames(read, take) => read,
        written = link.frames.run(write) => written,
        () = link.end.notified() => Err(io::Error::new(io::ErrorKind::TimedOut, "it went silent")),
    }
}

fn on_frame(node: &Rc<RoutedNode>, link: &Rc<Link>, frame: &Frame<'_>) -> Result<(), WireError> {
    match frame.head()? {
        FrameHead::Answer(answer) => on_answer(node, link, answer, frame.payload()?),
        FrameHead::Granted { number } => on_granted(link, number),
        FrameHead::Pong { followed, asked_ms } => {
            let asked = Duration::from_millis(asked_ms);
            on_follow_answer(node, &link.frames, followed, asked);
        }
        FrameHead::Ping { followed, .. } => on_follow_state(node, &link.frames, followed),
        FrameHead::Configuration => on_configuration(node, frame.body()),
        FrameHead::ConfigurationAsk => send_configuration(node, &link.frames),
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
        FrameHead::Call(_)
        | FrameHead::Cancel { .. }
        | FrameHead::Commit { .. }
        | FrameHead::LoanAsk { .. }
        | FrameHead::QuotaAsk { .. }
        | FrameHead::QuotaReturn { .. } => {
            log::warn!(event = "link_confused"; "a frame came from the wrong side of a link");
        }
    }
    on_activity(node, link);
    Ok(())
}

fn on_activity(node: &RoutedNode, link: &Link) {
    let is_waited_for = !link.pending.borrow().is_empty();
    link.health.borrow_mut().on_frame(node.now(), is_waited_for);
    // Each call on the link watches this; told of each frame, all of them would wake up for
    // each: that took as much processor time as everything else in an overload.
    let was_silent = link.is_silent.send_if_modified(std::mem::take);
    if was_silent {
        node.load_balancer.borrow_mut().mark_reachable(link.peer);
    }
    if !link.has_heard.replace(true) {
        link.news.notify_waiters();
    }
}

/// There is room for a call: commits to it, unless nobody waits for it any more.
fn on_granted(link: &Link, number: CallNumber) {
    if let Some(pending) = link.pending.borrow_mut().get_mut(&number) {
        pending.needs_commit = false;
        pending.may_have_run.set();
        pending.end_bytes = link.frames.push(&FrameHead::Commit { number });
    }
}

/// Tries to reach a peer whose link was lost, until it answers or isn't a target any more.
///
/// Tried with a call, a peer that is cut off would take that call with it each time.
fn reach_again(node: &Rc<RoutedNode>, peer: SocketAddr) {
    if !node.is_on(Mechanism::SilentLinks) || !node.links.borrow_mut().probed.insert(peer) {
        return;
    }
    let node = Rc::clone(node);
    let tasks = node.tasks.clone();
    tasks.spawn_local(async move {
        while node.load_balancer.borrow_mut().mark_unreachable(peer) && !answers(&node, peer).await
        {
            tokio::time::sleep(PROBE_PAUSE).await;
        }
        node.load_balancer.borrow_mut().mark_reachable(peer);
        node.links.borrow_mut().probed.remove(&peer);
    });
}

/// Whether a peer answers on a link of now.
async fn answers(node: &Rc<RoutedNode>, peer: SocketAddr) -> bool {
    let link = link_to(node, peer, 0);
    let news = link.news.notified();
    link.frames.push(&ping_frame(node));
    let _ = tokio::time::timeout(CONNECT_TIMEOUT, news).await;
    link.has_heard.get() && !*link.is_silent.borrow()
}

fn on_answer(node: &RoutedNode, link: &Link, answer: AnswerHead, payload: Payload) {
    let pending = link.pending.borrow_mut().remove(&answer.number);
    match &pending {
        Some(pending) => {
            on_follow_answer(node, &link.frames, answer.followed, pending.asked);
        }
        None => on_follow_state(node, &link.frames, answer.followed),
    }
    // Without one the call was given up; the answer has crossed the cancellation.
    if let Some(pending) = pending {
        let _ = pending.answer.send(LinkAnswer {
            outcome: answer.outcome,
            payload,
            is_leaving: answer.is_leaving,
            report: Some(answer.report),
            news: answer.news,
            pressures: answer.pressures,
        });
    }
}

/// Asks another node for a sign of life, which tells how far it follows the configuration.
pub(crate) fn send_ping(node: &Rc<RoutedNode>, peer: SocketAddr) {
    let link = link_to(node, peer, 0);
    link.frames.push(&ping_frame(node));
}

/// Sends a frame that isn't a call to another node.
pub(crate) fn send_frame(node: &Rc<RoutedNode>, peer: SocketAddr, head: &FrameHead<'_>) {
    let link = link_to(node, peer, 0);
    if link.frames.has_room() {
        link.frames.push(head);
    }
}

/// Asks another node for its configuration.
pub(crate) fn ask_configuration(node: &Rc<RoutedNode>, peer: SocketAddr) {
    let link = link_to(node, peer, 0);
    link.frames.push(&FrameHead::ConfigurationAsk);
}

/// Asks quiet peers for a sign of life and gives silent links up.
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
    let is_waited_for = !link.pending.borrow().is_empty();
    let mut health = link.health.borrow_mut();
    match health.check(node.now(), WATCH_INTERVAL, is_waited_for) {
        LinkAction::Keep => {}
        LinkAction::Ping => {
            link.frames.push(&ping_frame(node));
        }
        LinkAction::Avoid if !node.is_on(Mechanism::SilentLinks) => {}
        LinkAction::Avoid => {
            node.load_balancer.borrow_mut().mark_unreachable(link.peer);
            let is_news = |is_silent: &mut bool| !std::mem::replace(is_silent, true);
            if link.is_silent.send_if_modified(is_news) {
                node.metrics.count("link", "silent");
                log::info!(event = "link_silent", peer:% = link.peer;
                    "no sign of life: calls go elsewhere");
            }
        }
        LinkAction::Close => link.end.notify_one(),
    }
}
