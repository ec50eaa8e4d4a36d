//! Keeps what was learnt of routes where it outlives this node.

use std::{collections::HashMap, rc::Rc, time::Duration};

use kumquatquay_core::routed::Mechanism;
use kumquatquay_wire::{MemberState, routed::RouteNews};

use super::{
    interface::{LearntRoute, PlatformStore},
    node::RoutedNode,
};

/// How often it is looked whether something else was learnt. What routes lead to changes
/// when programs do, and a write reaches nodes only when they start.
const INTERVAL: Duration = Duration::from_secs(5);

/// Pauses before the reads at the start; one is enough unless the store is away.
const READ_PAUSES: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(300),
    Duration::from_millis(1_000),
    Duration::from_millis(3_000),
];

/// Difference in the calls of a run, over the calls, below which nothing is written: the
/// estimates of one fit differ by a tenth from those of the next.
const CHANGE_RATIO: f32 = 0.3;

/// Reads what was learnt before this node started, and writes what its service's nodes
/// learn.
///
/// When all nodes are killed at once, everything that they have learnt is gone while the
/// load goes on. For two seconds all requests are let in to services that have room for a
/// part of them, and nearly all fail. With what the store keeps, entries refuse by the
/// level of each service on the way from the first request on.
pub(crate) async fn keep_learnt(node: Rc<RoutedNode>, store: PlatformStore) {
    if !node.is_on(Mechanism::Learnt) {
        return;
    }
    let mut written = read(&node, &store).await;
    loop {
        tokio::time::sleep(INTERVAL).await;
        if !is_writer(&node) {
            continue;
        }
        for learnt in changed(&node, &written) {
            match (store.keep_learnt)(learnt.clone()).await {
                Ok(()) => {
                    node.decisions.count("learnt", "written");
                    written.insert(learnt.route, learnt.news);
                }
                Err(error) => {
                    log::info!(event = "learnt_not_kept", route = learnt.route.as_str(); "{error}");
                }
            }
        }
    }
}

/// Takes in what the store keeps; that of routes to this host's service, by route.
async fn read(node: &RoutedNode, store: &PlatformStore) -> HashMap<String, RouteNews> {
    for pause in READ_PAUSES {
        tokio::time::sleep(pause).await;
        match (store.learnt)().await {
            Ok(all) => {
                log::info!(event = "learnt_read", routes = all.len() as u64;
                    "what routes lead to was read");
                return take(node, all);
            }
            Err(error) => log::info!(event = "learnt_not_read"; "{error}"),
        }
    }
    HashMap::new()
}

fn take(node: &RoutedNode, all: Vec<LearntRoute>) -> HashMap<String, RouteNews> {
    let now = node.now();
    let mut own = HashMap::new();
    let mut levels = node.levels.borrow_mut();
    for learnt in all {
        levels.on_route(now, &learnt.route, &learnt.service, learnt.news.clone());
        if learnt.service == node.settings.service {
            own.insert(learnt.route, learnt.news);
        }
    }
    own
}

/// Whether this node writes for its service: the first of its nodes by address. Two that
/// don't know of each other write the same, which does no harm.
fn is_writer(node: &RoutedNode) -> bool {
    let members = node.engine.members().into_iter();
    let serving = members.filter(|member| {
        member.state == MemberState::Serving
            && member.service.as_ref() == Some(&node.settings.service)
    });
    let first = serving.map(|member| member.control).min();
    first == Some(node.settings.listen.control)
}

fn changed(node: &RoutedNode, written: &HashMap<String, RouteNews>) -> Vec<LearntRoute> {
    let routes = node.graph.borrow().routes();
    let learnt = routes.into_iter().map(|route| LearntRoute {
        service: node.settings.service.clone(),
        news: node.route_news(&route),
        route,
    });
    let settled = learnt.filter(|learnt| learnt.news.is_settled);
    let changed = settled.filter(|learnt| {
        let before = written.get(&learnt.route);
        before.is_none_or(|before| differs(before, &learnt.news))
    });
    changed.collect()
}

fn differs(before: &RouteNews, now: &RouteNews) -> bool {
    if before.is_from_outside != now.is_from_outside || before.leads_to.len() != now.leads_to.len()
    {
        return true;
    }
    before
        .leads_to
        .iter()
        .zip(&now.leads_to)
        .any(|((service, calls), (other, others))| {
            service != other || (calls - others).abs() > CHANGE_RATIO * calls
        })
}
