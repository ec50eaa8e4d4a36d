//! Polls the platform's store for route configurations.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use kumquatquay_core::routed::PollStep;
use kumquatquay_wire::MemberState;
use rand::seq::{IndexedRandom, IteratorRandom};
use tokio::task::JoinSet;

use super::{
    interface::{ConfigurationRead, PlatformStore, StoreError},
    link::{ask_configuration, send_ping},
    node::RoutedNode,
};

/// Interval at which a node without a configuration asks another node for one.
const PEER_ASK_INTERVAL: Duration = Duration::from_millis(150);

/// Completed read of the store.
struct CompletedRead {
    /// Start of the read, as time since the start of the node.
    started: Duration,
    /// Start of the read by the clock that includes suspended time.
    started_boot_time: Duration,
    result: Result<ConfigurationRead, StoreError>,
}

/// Polls the store and puts each new configuration in force.
pub(crate) async fn poll_store(node: Rc<RoutedNode>, store: PlatformStore) {
    let mut reads = JoinSet::new();
    loop {
        let step = next_step(&node);
        let until = match step {
            PollStep::Read { hold } => {
                if is_proof_due(&node) {
                    ask_reader(&node);
                }
                reads.spawn_local(read_store(Rc::clone(&node), store.clone(), hold));
                continue;
            }
            PollStep::AskReader => {
                ask_reader(&node);
                continue;
            }
            PollStep::Wait { until } => until,
        };
        let pause = tokio::time::sleep(until.saturating_sub(node.now()));
        tokio::select! {
            Some(completed) = reads.join_next() => {
                // A read doesn't panic, and reads are only aborted all together.
                let Ok(completed) = completed else { continue };
                if on_read_completed(&node, &store, completed) {
                    // The store has just answered, so the other reads can at most add an
                    // outdated failure.
                    reads = JoinSet::new();
                }
            }
            () = pause => {}
            () = node.store_poller_wake.notified() => {}
        }
    }
}

fn next_step(node: &RoutedNode) -> PollStep {
    let now = node.now();
    let mut poller = node.store_poller.borrow_mut();
    let was_unavailable = poller.is_store_unavailable();
    let time_since_answer = poller.time_since_answer(now);
    let step = poller.step(now, node.poller_fleet());
    if was_unavailable && !poller.is_store_unavailable() {
        log::info!(event = "store_regained", unheard_ms = time_since_answer.as_millis() as u64,
            in_force = node.route_version(); "other nodes report answers of the store again");
    }
    if poller.is_store_unavailable() && !was_unavailable {
        log_store_lost(
            node,
            time_since_answer,
            "a read is overdue; further reads are started",
        );
    }
    step
}

fn is_proof_due(node: &RoutedNode) -> bool {
    node.store_poller.borrow().is_proof_due(node.now())
}

/// Pings a node that polls the store for others; the answer carries its proof. If the proof of
/// this node is about to expire, it pings all readers in its data centre and one random node,
/// since the store may refuse the readers.
fn ask_reader(node: &Rc<RoutedNode>) {
    let own = node.links_address();
    let mut others = node.local_readers.borrow().clone();
    others.retain(|peer| *peer != own);
    if !is_proof_due(node) {
        let reader = others.choose(&mut *node.random.borrow_mut()).copied();
        others = Vec::from_iter(reader);
    } else if let Some(peer) = random_peer(node) {
        others.push(peer);
    }
    for other in others {
        send_ping(node, other);
    }
}

/// Link address of a random node that isn't gone.
fn random_peer(node: &RoutedNode) -> Option<SocketAddr> {
    let own = node.links_address();
    node.engine.look_at_members(|members| {
        let peers = members
            .filter(|member| member.state != MemberState::Gone && member.peer != own)
            .map(|member| member.peer);
        peers.choose(&mut *node.random.borrow_mut())
    })
}

fn log_store_lost(node: &RoutedNode, time_since_answer: Duration, why: &str) {
    log::warn!(event = "store_lost", unheard_ms = time_since_answer.as_millis() as u64,
        in_force = node.route_version(); "no contact with the store: {why}");
}

async fn read_store(node: Rc<RoutedNode>, store: PlatformStore, hold: Duration) -> CompletedRead {
    node.read_settled_era(&store).await;
    let started = node.now();
    let started_boot_time = node.boot_time();
    let result = (store.read_routes)(hold).await;
    node.on_store_eras((store.eras)());
    CompletedRead {
        started,
        started_boot_time,
        result,
    }
}

/// Handles a completed read; returns whether the store answered it with present data.
fn on_read_completed(
    node: &Rc<RoutedNode>,
    store: &PlatformStore,
    completed: CompletedRead,
) -> bool {
    let now = node.now();
    let mut poller = node.store_poller.borrow_mut();
    let was_unavailable = poller.is_store_unavailable();
    let time_since_answer = poller.time_since_answer(now);
    let took_ms = now.saturating_sub(completed.started).as_millis() as u64;
    match completed.result {
        Ok(read) if read.is_outdated => {
            poller.on_failure(now);
            drop(poller);
            node.on_outdated_answer();
            apply_read(node, read);
            false
        }
        Ok(read) => {
            poller.on_answer(now, read.has_configurations());
            drop(poller);
            if was_unavailable {
                log::info!(event = "store_regained",
                    unheard_ms = time_since_answer.as_millis() as u64, took_ms = took_ms,
                    in_force = node.route_version(); "the store answers again");
            }
            let proves = read.is_complete && read.malformed.is_empty();
            let era = read.era;
            let stored_version = read.stored_version;
            apply_read(node, read);
            node.update_proof(|proof| {
                proof.on_store_version(era, stored_version);
                if proves {
                    proof.on_store_read(completed.started_boot_time, era);
                }
            });
            node.log_store_behind();
            let started = completed.started_boot_time;
            if proves && node.proof.borrow().is_era_settled(started) {
                node.keep_settled_era(store, era);
            }
            true
        }
        Err(error) => {
            poller.on_failure(now);
            drop(poller);
            if !was_unavailable {
                log_store_lost(node, time_since_answer, &error.to_string());
            }
            log::debug!(event = "store_read_failed", took_ms = took_ms; "{error}");
            node.metrics.count("store_failed", "routes");
            false
        }
    }
}

/// Asks other nodes for their configuration while this one has none. The store may be
/// unavailable when a node starts, and without routes the node serves nothing.
pub(crate) async fn fetch_configuration_from_peers(node: Rc<RoutedNode>) {
    while node.route_version() == 0 {
        tokio::time::sleep(PEER_ASK_INTERVAL).await;
        let peer = random_peer(&node);
        if let Some(peer) = peer.filter(|_| node.route_version() == 0) {
            ask_configuration(&node, peer);
        }
    }
}

fn apply_read(node: &Rc<RoutedNode>, read: ConfigurationRead) {
    if let Some(newest) = read.newest {
        node.apply_configuration(*newest, "store");
    }
    for findings in read.malformed {
        let findings = findings.join("; ");
        node.metrics.count("configuration", "malformed");
        log::error!(event = "configuration_refused", in_force = node.route_version();
            "a malformed configuration is ignored: {findings}");
    }
}
