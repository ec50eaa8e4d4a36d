//! Shutdown notices of backend servers: which process they concern, and who has to know of them
//! before they are acknowledged.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use kumquatquay_core::routed::{KeptShutdowns, NoticeScope, kept_first, select_keepers};
use kumquatquay_wire::{BackendLife, Incarnation, MemberRecord, MemberState, routed::FrameHead};
use tokio::{
    sync::{mpsc, oneshot},
    task::JoinSet,
};

use super::{
    doubtful_lives::ask_after_notice,
    health_check::{check_health, is_healthy},
    link::send_frame,
    node::RoutedNode,
    reports::on_backend_changed,
};

/// How long an acknowledgement waits until others keep the notice. Backend servers give up after a
/// second.
const KEEP_TIMEOUT: Duration = Duration::from_millis(300);

/// How long the verdict of another node may take; it may check the health of its backend server.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(600);

/// Attempts to tell a node or the store, and the pause between them.
const ATTEMPTS_COUNT: usize = 10;
const ATTEMPT_PAUSE: Duration = Duration::from_millis(500);

/// How long it is looked for the host of a notice, and the pause between two looks. A node that starts while
/// the store is away is introduced by others within seconds.
const PLACING_TIMEOUT: Duration = Duration::from_secs(30);
const PLACING_PAUSE: Duration = Duration::from_millis(100);

/// Notices that this node has sent, and those that it keeps for other hosts.
#[derive(Debug, Default)]
pub(super) struct ShutdownNotices {
    next_number: u64,
    waiting: HashMap<u64, oneshot::Sender<bool>>,
    kept: KeptShutdowns,
    /// Lives of this host that leave, as the store keeps them for later processes of this node.
    own: Vec<BackendLife>,
}

impl ShutdownNotices {
    /// Passes on the verdict of another node on a notice.
    pub(super) fn on_verdict(&mut self, number: u64, is_accepted: bool) {
        if let Some(waiting) = self.waiting.remove(&number) {
            // The sender may have given up.
            let _ = waiting.send(is_accepted);
        }
    }

    fn await_verdict(&mut self) -> (u64, oneshot::Receiver<bool>) {
        let number = self.next_number;
        self.next_number += 1;
        let (verdict, receiver) = oneshot::channel();
        self.waiting.insert(number, verdict);
        (number, receiver)
    }
}

/// Notice between nodes, as in [`FrameHead::ShutdownNotice`].
#[derive(Clone, Debug)]
pub(super) struct ShutdownNotice {
    pub(super) host: SocketAddr,
    pub(super) life: BackendLife,
    pub(super) is_recalled: bool,
}

/// Handles the report that a life leaves, and nothing else. Returns whether it may be acknowledged:
/// it binds this node, or has reached the node that it binds.
pub(crate) async fn on_reported_shutdown(node: &Rc<RoutedNode>, life: &BackendLife) -> bool {
    let scope = node.lives.borrow().notice_scope(life);
    if scope == NoticeScope::Unknown {
        if let Some(is_accepted) = forward(node, life).await {
            return is_accepted;
        }
        match is_own(node, life).await {
            Some(true) => {}
            Some(false) => {
                log_notice(node, life, "of_no_known_host");
                return false;
            }
            None => place_in_background(node, life),
        }
    }
    on_own_shutdown(node, life).await;
    node.backend_liveness.borrow_mut().on_activity(node.now());
    true
}

/// Sends a notice to the other host whose backend server has the id of its life. Returns whether that
/// accepted it; `None` if no such host is known.
async fn forward(node: &Rc<RoutedNode>, life: &BackendLife) -> Option<bool> {
    let (host, peer) = host_of(node, life)?;
    log_notice(node, life, "forwarded");
    let notice = ShutdownNotice {
        host,
        life: life.clone(),
        is_recalled: false,
    };
    Some(send_notice(node, peer, &notice).await)
}

/// Finds out whose backend server a notice is about that was acknowledged before that was known, and sends
/// it on if it is another host's: a node that has just started knows neither its own nor the others.
/// This node is bound by its acknowledgement meanwhile.
fn place_in_background(node: &Rc<RoutedNode>, life: &BackendLife) {
    let now = node.now();
    node.load_balancer.borrow_mut().on_leaving(now, life);
    let (node, life) = (Rc::clone(node), life.clone());
    node.tasks.clone().spawn_local(async move {
        // It is given up quietly: no host has that backend server.
        let _ = tokio::time::timeout(PLACING_TIMEOUT, place(&node, &life)).await;
    });
}

async fn place(node: &Rc<RoutedNode>, life: &BackendLife) {
    let mut is_foreign = false;
    while forward(node, life).await != Some(true) {
        if !is_foreign {
            match is_own(node, life).await {
                Some(true) => return,
                verdict => is_foreign = verdict.is_some(),
            }
        }
        tokio::time::sleep(PLACING_PAUSE).await;
    }
}

/// Handles the report that a life of the backend server of this host leaves, until others keep it.
pub(crate) async fn on_own_shutdown(node: &Rc<RoutedNode>, life: &BackendLife) {
    if node.lives.borrow().knows_leave(life) {
        return;
    }
    let is_own_process = concerns_process(node, life).await;
    if apply(node, life, is_own_process) {
        on_backend_changed(node);
    }
    ask_if_other_start(node, life);
    keep(node, life).await;
}

/// Asks the backend server whether it leaves, after a notice of another start of its id that may be late.
pub(super) fn ask_if_other_start(node: &Rc<RoutedNode>, life: &BackendLife) {
    if node.lives.borrow().is_other_start(life) {
        ask_after_notice(node);
    }
}

/// Applies a notice. Returns whether the current life may have changed.
fn apply(node: &RoutedNode, life: &BackendLife, is_own_process: bool) -> bool {
    let now = node.now();
    let mut lives = node.lives.borrow_mut();
    let has_applied = is_own_process && lives.on_unclear_leave(now, life);
    lives.on_leave(now, life) || has_applied
}

/// Whether the notice of a life, which may be about the process that runs although it names an
/// earlier start, has to be applied to it: unless the backend server says that it isn't leaving.
async fn concerns_process(node: &RoutedNode, life: &BackendLife) -> bool {
    let scope = node.lives.borrow().notice_scope(life);
    let is_unclear = scope == NoticeScope::Unclear;
    let concerns = is_unclear && !is_healthy(node, &life.instance).await;
    let what = match (scope, concerns) {
        (NoticeScope::Current, _) => "applied",
        (NoticeScope::Unclear, true) => "applied_to_other_start",
        (NoticeScope::Unclear, false) => "of_ended_process",
        (NoticeScope::Known | NoticeScope::Unknown, _) => "recorded",
    };
    log_notice(node, life, what);
    concerns
}

/// Logs a shutdown notice: the life that it names, the one to which this node sends calls, and what
/// was done.
fn log_notice(node: &RoutedNode, life: &BackendLife, what: &'static str) {
    node.metrics.count("server_leaving", what);
    let lives = node.lives.borrow();
    let current = lives.current().map(|current| current.life.to_string());
    log::info!(event = "server_leaving", life:% = life, from = "report", what = what,
        current = current.unwrap_or_else(|| String::from("none")),
        node_age_ms = node.now().as_millis() as u64;
        "a backend server reported its shutdown");
}

/// Another host whose backend server has the id of a life: its control and its link address.
fn host_of(node: &RoutedNode, life: &BackendLife) -> Option<(SocketAddr, SocketAddr)> {
    let own = node.settings.listen.control;
    node.engine.look_at_members(|members| {
        let mut hosts = members.filter_map(|member| {
            let known = member.life.as_ref();
            let has_id = known.is_some_and(|known| known.instance == life.instance);
            let is_other = member.control != own && member.state != MemberState::Gone;
            (has_id && is_other).then_some((member.control, member.peer))
        });
        hosts.next()
    })
}

/// Whether a life of which neither this host nor any other one has heard is that of the backend
/// server of this host; `None` if that isn't known. It tells its id in the answer to a health check.
async fn is_own(node: &RoutedNode, life: &BackendLife) -> Option<bool> {
    let answer = check_health(node).await;
    match answer.and_then(|answer| answer.instance) {
        Some(instance) => Some(instance == life.instance),
        None => node.lives.borrow().current().map(|_| false),
    }
}

/// Handles a notice that another node has sent. Returns whether this node acts on it, or keeps it.
pub(super) async fn accept_notice(node: &Rc<RoutedNode>, notice: ShutdownNotice) -> bool {
    let ShutdownNotice {
        host,
        life,
        is_recalled,
    } = notice;
    if host != node.settings.listen.control {
        let incarnation = incarnation_of(node, host);
        let mut notices = node.shutdown_notices.borrow_mut();
        notices.kept.keep(node.now(), host, life, incarnation);
        return true;
    }
    if is_recalled {
        on_recalled(node, &life, "peer");
        ask_after_notice(node);
        return true;
    }
    let is_unknown = node.lives.borrow().notice_scope(&life) == NoticeScope::Unknown;
    if is_unknown && is_own(node, &life).await == Some(false) {
        return false;
    }
    on_own_shutdown(node, &life).await;
    true
}

fn incarnation_of(node: &RoutedNode, host: SocketAddr) -> Incarnation {
    node.engine.look_at_members(|members| {
        let mut incarnations = members
            .filter(|member| member.control == host)
            .map(|member| member.incarnation);
        incarnations.next().unwrap_or_default()
    })
}

/// An earlier process of this node acknowledged that a life leaves.
fn on_recalled(node: &RoutedNode, life: &BackendLife, from: &'static str) {
    node.metrics.count("server_leaving", "recalled");
    log::info!(event = "server_leaving", life:% = life, from = from, what = "recalled",
        node_age_ms = node.now().as_millis() as u64;
        "an earlier process of this node acknowledged the shutdown of a backend server");
    let mut notices = node.shutdown_notices.borrow_mut();
    if !notices.own.contains(life) {
        kept_first(&mut notices.own, life.clone());
    }
    drop(notices);
    if node.lives.borrow_mut().on_recalled_leave(life) {
        on_backend_changed(node);
    }
}

// Keeping

/// [`keep`], of a notice that needs no acknowledgement.
pub(super) fn keep_in_background(node: &Rc<RoutedNode>, life: BackendLife) {
    let node = Rc::clone(node);
    let tasks = node.tasks.clone();
    tasks.spawn_local(async move { keep(&node, &life).await });
}

/// Has other nodes and the store keep the notice of a life of this host for later processes of this
/// node. Waits until all of them do, for a short time; it goes on in the background.
async fn keep(node: &Rc<RoutedNode>, life: &BackendLife) {
    kept_first(&mut node.shutdown_notices.borrow_mut().own, life.clone());
    let (kept, mut all_kept) = mpsc::channel::<()>(1);
    let (telling, notice) = (Rc::clone(node), own_notice(node, life));
    let kept_by_nodes = kept.clone();
    node.tasks.clone().spawn_local(async move {
        tell_keepers(&telling, &notice).await;
        drop(kept_by_nodes);
    });
    let writing = Rc::clone(node);
    node.tasks.clone().spawn_local(async move {
        write_to_store(&writing).await;
        drop(kept);
    });
    // Nothing is sent: the channel ends with the last of the tasks.
    let _ = tokio::time::timeout(KEEP_TIMEOUT, all_kept.recv()).await;
}

fn own_notice(node: &RoutedNode, life: &BackendLife) -> ShutdownNotice {
    ShutdownNotice {
        host: node.settings.listen.control,
        life: life.clone(),
        is_recalled: false,
    }
}

/// Has a few other nodes keep a notice. A node that has just started knows no others yet, so they
/// are selected anew for each attempt.
async fn tell_keepers(node: &Rc<RoutedNode>, notice: &ShutdownNotice) {
    let mut kept_by = BTreeSet::new();
    retry(async || {
        let keepers = keepers(node);
        let mut sends = JoinSet::new();
        for peer in keepers.iter().filter(|peer| !kept_by.contains(*peer)) {
            let (node, notice, peer) = (Rc::clone(node), notice.clone(), *peer);
            sends.spawn_local(async move {
                let is_kept = send_notice(&node, peer, &notice).await;
                is_kept.then_some(peer)
            });
        }
        kept_by.extend(sends.join_all().await.into_iter().flatten());
        !keepers.is_empty() && keepers.iter().all(|peer| kept_by.contains(peer))
    })
    .await;
}

/// Link addresses of the nodes that keep the notices of this host.
fn keepers(node: &RoutedNode) -> Vec<SocketAddr> {
    let own = node.settings.listen.control;
    let data_centre = &node.settings.data_centre;
    let select = |members: &mut dyn Iterator<Item = &MemberRecord>| {
        select_keepers(own, data_centre, members)
    };
    node.engine.look_at_members(select)
}

async fn write_to_store(node: &RoutedNode) {
    retry(async || {
        let own = node.settings.listen.control;
        let lives = node.shutdown_notices.borrow().own.clone();
        let written = (node.store.write_shutdowns)(own, lives).await;
        if let Err(error) = &written {
            log::warn!(event = "shutdown_unkept"; "{error}");
        }
        written.is_ok()
    })
    .await;
}

/// Repeats an attempt until it succeeds, a few times.
async fn retry(mut attempt: impl AsyncFnMut() -> bool) {
    for _ in 0..ATTEMPTS_COUNT {
        if attempt().await {
            return;
        }
        tokio::time::sleep(ATTEMPT_PAUSE).await;
    }
}

/// Sends a notice to another node once. Returns whether it was accepted in time.
async fn send_notice(node: &Rc<RoutedNode>, peer: SocketAddr, notice: &ShutdownNotice) -> bool {
    let (number, verdict) = node.shutdown_notices.borrow_mut().await_verdict();
    let frame = FrameHead::ShutdownNotice {
        number,
        host: notice.host,
        life: notice.life.clone(),
        is_recalled: notice.is_recalled,
    };
    send_frame(node, peer, &frame);
    let verdict = tokio::time::timeout(VERDICT_TIMEOUT, verdict).await;
    let mut notices = node.shutdown_notices.borrow_mut();
    notices.waiting.remove(&number);
    matches!(verdict, Ok(Ok(true)))
}

// Recalling

/// Tells nodes that have restarted which notices this node keeps for their hosts.
pub(crate) fn recall_for_restarted(node: &Rc<RoutedNode>, members: &[MemberRecord]) {
    let mut notices = node.shutdown_notices.borrow_mut();
    if notices.kept.is_empty() {
        return;
    }
    let present = members
        .iter()
        .filter(|member| member.state != MemberState::Gone);
    for member in present {
        let kept = &mut notices.kept;
        for life in kept.take_due(node.now(), member.control, member.incarnation) {
            let notice = ShutdownNotice {
                host: member.control,
                life,
                is_recalled: true,
            };
            let (node, peer) = (Rc::clone(node), member.peer);
            node.tasks.clone().spawn_local(async move {
                retry(async || send_notice(&node, peer, &notice).await).await;
            });
        }
    }
}

/// Reads from the store, as the node starts, which lives of this host have left.
///
/// All nodes may have restarted at once, and then no other node keeps it.
pub(crate) async fn recall_from_store(node: Rc<RoutedNode>) {
    if node.settings.is_first_start {
        return;
    }
    retry(async || {
        let read = (node.store.read_shutdowns)(node.settings.listen.control).await;
        match &read {
            Ok(lives) => lives
                .iter()
                .rev()
                .for_each(|life| on_recalled(&node, life, "store")),
            Err(error) => log::warn!(event = "shutdown_unread"; "{error}"),
        }
        read.is_ok()
    })
    .await;
    ask_after_notice(&node);
}
