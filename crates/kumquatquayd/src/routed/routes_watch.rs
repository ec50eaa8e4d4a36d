//! Follows the configuration of routes in the platform's store.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use kumquatquay_wire::MemberState;
use rand::seq::IndexedRandom;

use super::{
    interface::{PlatformStore, RouteNews, StoreError},
    link::ask_configuration,
    node::RoutedNode,
};

/// Pause after a call that failed, at first.
const RETRY: Duration = Duration::from_millis(200);

/// Longest pause; a store that is away is asked this often.
const RETRY_LONGEST: Duration = Duration::from_millis(1_200);

/// Pause between the nodes that are asked for a configuration.
const PEER_PAUSE: Duration = Duration::from_millis(150);

/// Puts each new configuration in force.
pub(crate) async fn follow_routes(node: Rc<RoutedNode>, store: PlatformStore) {
    let mut pause = RETRY;
    let mut is_reached = true;
    loop {
        match (store.next_routes)().await {
            Ok(news) => {
                if !is_reached {
                    log::info!(event = "store_regained"; "the store answers again");
                }
                is_reached = true;
                pause = RETRY;
                take_news(&node, news);
            }
            Err(error) => {
                if is_reached {
                    log_lost(&error);
                }
                is_reached = false;
                node.decisions.count("store_failed", "routes");
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(RETRY_LONGEST);
            }
        }
    }
}

/// Asks other nodes for their configuration while this one has none: the store may be
/// away, or cut off, when a node starts, and without routes it serves nothing.
pub(crate) async fn ask_for_configuration(node: Rc<RoutedNode>) {
    while node.route_version() == 0 {
        tokio::time::sleep(PEER_PAUSE).await;
        let own = node.links_address();
        let members = node.engine.members().into_iter();
        let peers: Vec<SocketAddr> = members
            .filter(|member| member.state != MemberState::Gone && member.peer != own)
            .map(|member| member.peer)
            .collect();
        let peer = peers.choose(&mut *node.random.borrow_mut()).copied();
        if let Some(peer) = peer.filter(|_| node.route_version() == 0) {
            ask_configuration(&node, peer);
        }
    }
}

fn log_lost(error: &StoreError) {
    log::warn!(event = "store_lost"; "the configuration can't be followed: {error}");
}

fn take_news(node: &RoutedNode, news: RouteNews) {
    match news {
        RouteNews::Configuration(configuration) => node.apply(*configuration, "store"),
        RouteNews::Unchanged => {}
        RouteNews::Malformed { findings } => {
            let findings = findings.join("; ");
            node.decisions.count("configuration", "malformed");
            log::error!(event = "configuration_refused", in_force = node.route_version();
                "a configuration that can't be read is left out: {findings}");
        }
    }
}
