//! Keeps crashes of backend servers in the platform's store, and reads them.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, UNIX_EPOCH},
};

use kumquatquay_core::{CrashSync, Input, KeepAction, KeepStep};
use kumquatquay_wire::{CrashReport, MemberRecord, MemberState};
use rand::{
    Rng,
    seq::{IndexedRandom, IteratorRandom},
};

use super::{
    interface::{CrashesRead, PlatformStore, StoreError, StoredCrash},
    node::RoutedNode,
};

/// Interval at which the crashes that this node knows are compared with those that the store keeps.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// Probability that some node that reads the store changes what it keeps of another host's crash in one
/// interval.
const OTHER_WRITE_PROBABILITY: f64 = 0.2;

/// How long the store may hold a read until there is a crash.
const READ_HOLD: Duration = Duration::from_secs(25);

/// How long a node that starts takes to learn the crashes before its start before it runs calls. It covers a
/// slow store; while the store is away and all nodes are new, they serve without.
const START_TIME: Duration = Duration::from_millis(600);

/// How long it looks for another node that knows them before it reads the store, and how often it asks one. A
/// busy node takes a second to find others; those that start with it answer that they are new.
const PEERS_TIME: Duration = Duration::from_secs(3);
const ASK_INTERVAL: Duration = Duration::from_millis(30);

/// Pause before a read at the start is tried again.
const START_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Pause before the first read for others. It shows meanwhile which nodes read the store for others.
const START_PAUSE: Duration = Duration::from_millis(300);

/// The same when the deployment starts for the first time, and the store keeps no crashes yet.
const FIRST_START_PAUSE: Duration = Duration::from_secs(3);

/// Pause after a read, doubled with each one that fails, up to a limit.
const READ_PAUSE: Duration = Duration::from_millis(500);
const MAX_READ_PAUSE: Duration = Duration::from_secs(4);

/// Writes the crashes of this node, learns at the start those that were before and, if this node reads the
/// store for others, reads those that follow. What it reads reaches the others by gossip.
pub(crate) async fn keep_quarantine(node: Rc<RoutedNode>, store: PlatformStore) {
    tokio::join!(
        learn_at_start(&node, &store),
        read_on(&node, &store),
        write_on(&node, &store)
    );
}

/// Waits until this node knows the crashes that the store kept when it started.
///
/// All nodes may start at once, and nobody could tell this one of them. A request that has crashed backend
/// servers would crash one more at each.
pub(super) async fn wait_for_kept_crashes(node: &RoutedNode) {
    let mut has_read = node.has_read_crashes.subscribe();
    // The node holds the sender.
    let _ = has_read.wait_for(|has_read| *has_read).await;
}

async fn learn_at_start(node: &RoutedNode, store: &PlatformStore) {
    if node.settings.is_first_start {
        node.engine.handle(Input::CrashesRead);
    } else {
        let mut learning = std::pin::pin!(learn(node, store));
        let in_time = tokio::time::timeout(START_TIME, learning.as_mut());
        if in_time.await.is_err() {
            node.metrics.count("quarantine", "unread_at_start");
            log::warn!(event = "crashes_unread", waited_ms = START_TIME.as_millis() as u64;
                "nobody tells which requests crash backend servers; calls run without");
            node.has_read_crashes.send_replace(true);
            learning.await;
        }
    }
    node.has_read_crashes.send_replace(true);
}

/// Learns the crashes from a node that knows them or, where none is found or all are new, from the store.
async fn learn(node: &RoutedNode, store: &PlatformStore) {
    let _ = tokio::time::timeout(PEERS_TIME, ask_peers(node)).await;
    while node.engine.crash_sync() != CrashSync::Complete {
        let read = (store.list_crashes)().await;
        if on_read(node, read).is_err() {
            tokio::time::sleep(START_RETRY_PAUSE).await;
        }
    }
}

/// Asks other nodes until one has answered.
async fn ask_peers(node: &RoutedNode) {
    while node.engine.crash_sync() == CrashSync::Unanswered {
        if let Some(peer) = peer_to_ask(node) {
            node.engine.handle(Input::AskForCrashes(peer));
        }
        tokio::time::sleep(ASK_INTERVAL).await;
    }
}

/// Control address of another node: of a gate of the service of this host, since these are told of each
/// suspect, or else of any.
fn peer_to_ask(node: &RoutedNode) -> Option<SocketAddr> {
    let own = node.settings.listen.control;
    let service = Some(&node.settings.service);
    let random = &mut *node.random.borrow_mut();
    node.engine.look_at_members(|members| {
        let is_other =
            |member: &&MemberRecord| member.control != own && member.state != MemberState::Gone;
        let others: Vec<&MemberRecord> = members.filter(is_other).collect();
        let gates = others
            .iter()
            .filter(|member| member.service.as_ref() == service);
        let peer = gates.choose(random).or_else(|| others.choose(random));
        peer.map(|member| member.control)
    })
}

/// Reads the crashes that the store keeps. A data centre that is cut off from the others learns here of
/// theirs.
async fn read_on(node: &RoutedNode, store: &PlatformStore) {
    let start_pause = if node.settings.is_first_start {
        FIRST_START_PAUSE
    } else {
        START_PAUSE
    };
    tokio::time::sleep(start_pause).await;
    let mut hold = Duration::ZERO;
    let mut pause = READ_PAUSE;
    loop {
        if node.store_readers.get().is_reader {
            let read = (store.read_crashes)(hold).await;
            match on_read(node, read) {
                Ok(()) => {
                    hold = READ_HOLD;
                    pause = READ_PAUSE;
                }
                Err(_) => pause = MAX_READ_PAUSE.min(pause * 2),
            }
        }
        tokio::time::sleep(pause).await;
    }
}

fn on_read(node: &RoutedNode, read: Result<CrashesRead, StoreError>) -> Result<(), StoreError> {
    match read {
        Ok(read) => {
            apply(node, read);
            node.engine.handle(Input::CrashesRead);
            Ok(())
        }
        Err(error) => {
            node.metrics.count("store_failed", "quarantine");
            log::debug!(event = "quarantine_unread"; "{error}");
            Err(error)
        }
    }
}

fn apply(node: &RoutedNode, read: CrashesRead) {
    if read.malformed_count > 0 {
        log::warn!(event = "quarantine_malformed", count = read.malformed_count;
            "records in the store can't be read and are ignored");
    }
    let now_unix_ms = unix_ms(node);
    let mut kept = node.kept_crashes.borrow_mut();
    read.removed.into_iter().for_each(|id| kept.on_removed(id));
    for stored in read.crashes {
        let mut report = stored.report;
        let remaining_ms = stored.expires_unix_ms.saturating_sub(now_unix_ms);
        report.remaining_ms = u32::try_from(remaining_ms).unwrap_or(u32::MAX);
        kept.on_kept(node.now(), &report);
        node.engine.handle(Input::KeptCrash(report));
    }
}

async fn write_on(node: &RoutedNode, store: &PlatformStore) {
    let mut era = node.store_poller.borrow().era();
    loop {
        tokio::select! {
            () = tokio::time::sleep(WRITE_INTERVAL) => {}
            () = node.crash_recorded.notified() => {}
        }
        let now_era = node.store_poller.borrow().era();
        if std::mem::replace(&mut era, now_era) != now_era {
            node.kept_crashes.borrow_mut().on_store_restored();
        }
        write_due(node, store).await;
    }
}

async fn write_due(node: &RoutedNode, store: &PlatformStore) {
    while let Some(step) = next_step(node) {
        if !is_turn(node, &step) {
            return;
        }
        if let Err(error) = carry_out(node, store, step.action).await {
            node.metrics.count("store_failed", "quarantine");
            log::debug!(event = "quarantine_unkept"; "{error}");
            return;
        }
    }
}

fn next_step(node: &RoutedNode) -> Option<KeepStep> {
    let known = node.engine.known_crashes();
    let mut kept = node.kept_crashes.borrow_mut();
    kept.next_step(node.now(), &known)
}

/// Whether this node takes a step now: for other hosts one of those that read the store does, now and then.
fn is_turn(node: &RoutedNode, step: &KeepStep) -> bool {
    let readers = node.store_readers.get();
    let probability = OTHER_WRITE_PROBABILITY / readers.count.max(1) as f64;
    step.is_own || (readers.is_reader && node.random.borrow_mut().random_bool(probability))
}

async fn carry_out(
    node: &RoutedNode,
    store: &PlatformStore,
    action: KeepAction,
) -> Result<(), StoreError> {
    match action {
        KeepAction::Write(report) => {
            let stored = StoredCrash {
                expires_unix_ms: unix_ms(node) + u64::from(report.remaining_ms),
                report: report.clone(),
            };
            (store.write_crash)(stored).await?;
            node.metrics.count("quarantine", "kept");
            log_kept(&report);
            node.kept_crashes.borrow_mut().on_kept(node.now(), &report);
        }
        KeepAction::Remove(id) => {
            (store.remove_crash)(id).await?;
            node.kept_crashes.borrow_mut().on_removed(id);
        }
    }
    Ok(())
}

fn log_kept(report: &CrashReport) {
    log::info!(event = "crash_kept", service = report.service.as_str(),
        crash:% = format_args!("{:016x}", report.id), suspects = report.suspects.len();
        "the store keeps the crash of a backend server and its suspects");
}

/// Time of day, in milliseconds since 1970.
fn unix_ms(node: &RoutedNode) -> u64 {
    let since = node.engine.now().wall.duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
