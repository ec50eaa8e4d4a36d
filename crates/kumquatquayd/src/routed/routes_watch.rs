//! Follows the configuration of routes in the platform's store.

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

/// Pause between the nodes that are asked for a configuration.
const PEER_PAUSE: Duration = Duration::from_millis(150);

/// A read of the store that has ended.
struct EndedRead {
    /// Time since the node's start at which it began.
    began: Duration,
    /// The same by the clock that counts suspended time.
    asked: Duration,
    news: Result<ConfigurationRead, StoreError>,
}

/// Puts each new configuration of the store in force.
pub(crate) async fn follow_routes(node: Rc<RoutedNode>, store: PlatformStore) {
    let mut reads = JoinSet::new();
    loop {
        let step = next_step(&node);
        let until = match step {
            PollStep::Read { hold } => {
                if is_proof_due(&node) {
                    ask_reader(&node);
                }
                reads.spawn_local(read(Rc::clone(&node), store.clone(), hold));
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
            Some(ended) = reads.join_next() => {
                // A read doesn't panic, and none is aborted but with the whole set.
                let Ok(ended) = ended else { continue };
                if on_read_ended(&node, ended) {
                    // What the others brought in the same moment, a failure at most, says
                    // nothing of a store that has just answered.
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
    let mut follower = node.store_poller.borrow_mut();
    let was_ailing = follower.is_store_unavailable();
    let unheard = follower.time_since_answer(now);
    let step = follower.step(now, node.poller_fleet());
    if was_ailing && !follower.is_store_unavailable() {
        log::info!(event = "store_regained", unheard_ms = unheard.as_millis() as u64,
            in_force = node.route_version(); "other nodes tell of its answers again");
    }
    if follower.is_store_unavailable() && !was_ailing {
        log_lost(
            node,
            unheard,
            "a read is overdue; others are begun beside it",
        );
    }
    step
}

fn is_proof_due(node: &RoutedNode) -> bool {
    node.store_poller.borrow().is_proof_due(node.now())
}

/// Asks a node that reads the store for all how far it is; its answer on the link tells. A node
/// whose proof grows old asks all that are near, and any other one: readers may be turned away.
fn ask_reader(node: &Rc<RoutedNode>) {
    let own = node.links_address();
    let mut others = node.near_readers.borrow().clone();
    others.retain(|peer| *peer != own);
    if !is_proof_due(node) {
        let reader = others.choose(&mut *node.random.borrow_mut()).copied();
        others = Vec::from_iter(reader);
    } else if let Some(peer) = any_peer(node) {
        others.push(peer);
    }
    for other in others {
        send_ping(node, other);
    }
}

/// Address for links of any node that is there.
fn any_peer(node: &RoutedNode) -> Option<SocketAddr> {
    let own = node.links_address();
    node.engine.look_at_members(|members| {
        let peers = members
            .filter(|member| member.state != MemberState::Gone && member.peer != own)
            .map(|member| member.peer);
        peers.choose(&mut *node.random.borrow_mut())
    })
}

fn log_lost(node: &RoutedNode, unheard: Duration, why: &str) {
    log::warn!(event = "store_lost", unheard_ms = unheard.as_millis() as u64,
        in_force = node.route_version(); "the configuration can't be followed: {why}");
}

async fn read(node: Rc<RoutedNode>, store: PlatformStore, hold: Duration) -> EndedRead {
    let began = node.now();
    let asked = node.boot_time();
    let news = (store.read_routes)(hold).await;
    node.on_store_eras((store.eras)());
    EndedRead { began, asked, news }
}

/// Takes in what came of a read; whether the store answered it.
fn on_read_ended(node: &Rc<RoutedNode>, ended: EndedRead) -> bool {
    let now = node.now();
    let mut follower = node.store_poller.borrow_mut();
    let was_ailing = follower.is_store_unavailable();
    let unheard = follower.time_since_answer(now);
    let took_ms = now.saturating_sub(ended.began).as_millis() as u64;
    match ended.news {
        Ok(news) if news.is_outdated => {
            follower.on_failure(now);
            drop(follower);
            node.on_outdated_answer();
            take_news(node, news);
            false
        }
        Ok(news) => {
            follower.on_answer(now, news.has_configurations());
            drop(follower);
            if was_ailing {
                log::info!(event = "store_regained", unheard_ms = unheard.as_millis() as u64,
                    took_ms = took_ms, in_force = node.route_version();
                    "the store answers again");
            }
            let proves = news.is_complete && news.malformed.is_empty();
            let era = news.era;
            let stored_version = news.stored_version;
            take_news(node, news);
            node.update_proof(|proof| {
                proof.on_store_version(era, stored_version);
                if proves {
                    proof.on_store_read(ended.asked, era);
                }
            });
            node.log_store_behind();
            true
        }
        Err(error) => {
            follower.on_failure(now);
            drop(follower);
            if !was_ailing {
                log_lost(node, unheard, &error.to_string());
            }
            log::debug!(event = "store_read_failed", took_ms = took_ms; "{error}");
            node.metrics.count("store_failed", "routes");
            false
        }
    }
}

/// Asks other nodes for their configuration while this one has none: the store may be
/// away, or cut off, when a node starts, and without routes it serves nothing.
pub(crate) async fn fetch_configuration_from_peers(node: Rc<RoutedNode>) {
    while node.route_version() == 0 {
        tokio::time::sleep(PEER_PAUSE).await;
        let peer = any_peer(&node);
        if let Some(peer) = peer.filter(|_| node.route_version() == 0) {
            ask_configuration(&node, peer);
        }
    }
}

fn take_news(node: &Rc<RoutedNode>, news: ConfigurationRead) {
    if let Some(newest) = news.newest {
        node.apply_configuration(*newest, "store");
    }
    for findings in news.malformed {
        let findings = findings.join("; ");
        node.metrics.count("configuration", "malformed");
        log::error!(event = "configuration_refused", in_force = node.route_version();
            "a configuration that can't be read is left out: {findings}");
    }
}
