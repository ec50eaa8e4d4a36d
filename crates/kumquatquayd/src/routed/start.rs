//! Runs a node on configured routes, from its start to its stop.

use std::{rc::Rc, sync::Arc, time::Duration};

use eyre::WrapErr;
use kumquatquay_core::{Input, Node, NodeSettings, routed::Mechanism};
use kumquatquay_wire::MeshKey;
use rand::Rng;
use tokio::net::{TcpListener, UdpSocket};

use super::{
    held_requests::release_held,
    http_io::{accept_connections, bind_listener, serve_connection},
    initial_health_check::check_backend_at_start,
    interface::{Dialect, PlatformStore},
    link::watch_links,
    link_server::serve_link,
    local_run::{admit_within_rate_limit, update_level_periodically},
    members::{
        follow_members, join_through_register, reintroduce_to_gone_members, run_effects, run_ticks,
    },
    node::{RoutedNode, StopPhase},
    pipelining::serve_caller,
    quotas::run_quota_loans,
    reports::{serve_metrics, serve_readiness, serve_report},
    routes_watch::{fetch_configuration_from_peers, follow_routes},
    settings::RoutedSettings,
};
use crate::{clock::incarnation, control, engine::Engine};

/// What is left of the grace when the node closes down, whatever is under way.
const GRACE_MARGIN: Duration = Duration::from_millis(600);

/// How long a node that is asked to stop keeps its connections open. Callers are
/// told by its readiness, which is asked for once a second, and by each answer.
const LEAVING_TIME: Duration = Duration::from_millis(2_800);

/// Part of [`LEAVING_TIME`] in which a node that stops goes on taking calls of other nodes
/// for its backend server, which nobody else can reach. The news that it takes no more
/// has half a second to spread then, and what it took has more than half of the grace to
/// end. With five of sixteen nodes stopping in turn, each service of three backend servers
/// lacked one of them for 1.6 s longer.
const LATE_LEAVING_RATIO: f64 = 0.55;

/// How often a node that stops looks whether anything is under way.
const STOP_LOOK: Duration = Duration::from_millis(50);

/// Runs a node until `stop` is done and what was under way has ended.
///
/// It runs on the thread of its caller, inside a `tokio` `LocalSet`.
///
/// # Errors
///
/// An address that can't be bound.
pub async fn run(
    settings: RoutedSettings,
    dialect: Dialect,
    store: PlatformStore,
    stop: impl Future<Output = ()>,
) -> eyre::Result<()> {
    let key = MeshKey::from_secret("");
    let control = settings.listen.control;
    let control_tcp = bind_listener("control", control).await?;
    let control_udp = UdpSocket::bind(control).await;
    let control_udp = control_udp.wrap_err_with(|| format!("can't bind {control} for control"))?;
    let (engine, effects) = Engine::new(Node::new(node_settings(&settings, &key)));
    let node = RoutedNode::new(settings, dialect, Arc::clone(&engine));
    open_listeners(&node).await?;
    let control_udp = Arc::new(control_udp);
    let tasks = node.tasks.clone();
    tasks.spawn(control::receive(
        Arc::clone(&engine),
        Arc::clone(&control_udp),
        key.clone(),
    ));
    tasks.spawn(control::serve_bulk(
        Arc::clone(&engine),
        tasks.clone(),
        control_tcp,
        key.clone(),
    ));
    tasks.spawn(run_ticks(Arc::clone(&engine)));
    tasks.spawn(run_effects(engine, effects, control_udp, key));
    tasks.spawn_local(follow_members(Rc::clone(&node)));
    tasks.spawn_local(follow_routes(Rc::clone(&node), store.clone()));
    tasks.spawn_local(join_through_register(Rc::clone(&node), store));
    tasks.spawn_local(reintroduce_to_gone_members(Rc::clone(&node)));
    tasks.spawn_local(watch_links(Rc::clone(&node)));
    tasks.spawn_local(run_quota_loans(Rc::clone(&node)));
    tasks.spawn_local(update_level_periodically(Rc::clone(&node)));
    tasks.spawn_local(admit_within_rate_limit(Rc::clone(&node)));
    tasks.spawn_local(release_held(Rc::clone(&node)));
    tasks.spawn_local(check_backend_at_start(Rc::clone(&node)));
    tasks.spawn_local(fetch_configuration_from_peers(Rc::clone(&node)));
    log_start(&node);
    stop.await;
    leave(&node).await;
    tasks.end();
    Ok(())
}

fn node_settings(settings: &RoutedSettings, key: &MeshKey) -> NodeSettings {
    let listen = settings.listen;
    NodeSettings::new(
        settings.data_centre.clone(),
        listen.control,
        listen.links,
        key.clone(),
    )
    .incarnation(incarnation())
    .seeds(settings.seeds.clone())
    .without_log()
    .random_seed(rand::rng().random())
}

fn log_start(node: &RoutedNode) {
    let settings = &node.settings;
    log::info!(
        event = "started",
        host = settings.host.as_str(),
        data_centre = settings.data_centre.as_str(),
        service = settings.service.as_str(),
        entry:% = settings.listen.entry,
        links:% = settings.listen.links,
        control:% = settings.listen.control;
        "the node serves"
    );
}

async fn open_listeners(node: &Rc<RoutedNode>) -> eyre::Result<()> {
    let addresses = node.settings.listen;
    let links = bind_listener("links", addresses.links).await?;
    let entry = bind_listener("callers", addresses.entry).await?;
    let ready = bind_listener("readiness", addresses.ready).await?;
    let reports = bind_listener("reports", addresses.reports).await?;
    node.tasks.spawn_local(accept_connections(
        Rc::clone(node),
        links,
        |node, stream| {
            let tasks = node.tasks.clone();
            tasks.spawn_local(serve_link(node, stream));
        },
    ));
    node.tasks.spawn_local(accept_connections(
        Rc::clone(node),
        entry,
        |node, stream| {
            let tasks = node.tasks.clone();
            tasks.spawn_local(serve_caller(node, stream));
        },
    ));
    node.tasks.spawn_local(accept_connections(
        Rc::clone(node),
        ready,
        |node, stream| {
            let tasks = node.tasks.clone();
            tasks.spawn_local(serve_connection(node, stream, serve_readiness));
        },
    ));
    node.tasks.spawn_local(accept_connections(
        Rc::clone(node),
        reports,
        |node, stream| {
            let tasks = node.tasks.clone();
            tasks.spawn_local(serve_connection(node, stream, serve_report));
        },
    ));
    if let Some(metrics) = addresses.metrics {
        serve_metrics_at(node, bind_listener("metrics", metrics).await?);
    }
    Ok(())
}

fn serve_metrics_at(node: &Rc<RoutedNode>, listener: TcpListener) {
    node.tasks.spawn_local(accept_connections(
        Rc::clone(node),
        listener,
        |node, stream| {
            let tasks = node.tasks.clone();
            tasks.spawn_local(serve_connection(node, stream, serve_metrics));
        },
    ));
}

/// Leaves: callers are sent elsewhere, then connections close, then the node ends
/// once nothing is under way, at the latest when the grace is over.
async fn leave(node: &Rc<RoutedNode>) {
    let grace = node.settings.bounds.grace.saturating_sub(GRACE_MARGIN);
    let began = node.now();
    let until = began + grace;
    log::info!(event = "stopping", grace_ms = grace.as_millis() as u64,
        in_flight = node.in_flight_count.get() as u64;
        "the node was asked to stop");
    node.stop.send_replace(StopPhase::Leaving);
    let leaving = LEAVING_TIME.min(grace);
    let serving = if node.is_on(Mechanism::DelayedShutdown) {
        leaving.mul_f64(LATE_LEAVING_RATIO)
    } else {
        Duration::ZERO
    };
    tokio::time::sleep(serving).await;
    let grace = grace.saturating_sub(serving);
    node.engine.handle(Input::Stopping { grace });
    // A node that is paused meanwhile takes no request for longer than that: what it took then
    // would be cut off at the end of the grace.
    let rest = (began + leaving).saturating_sub(node.now());
    tokio::time::sleep(rest).await;
    node.stop.send_replace(StopPhase::Closing);
    finish(node, until).await;
    log::info!(event = "stopped", cut = node.in_flight_count.get() as u64; "the node has left");
}

/// Waits until nothing is under way and the bytes of the last answer are written.
///
/// In that last moment nothing is taken, calls of backend servers included: what was taken
/// then would be cut off when the process ends, with its run under way elsewhere.
async fn finish(node: &RoutedNode, until: Duration) {
    loop {
        while is_busy(node) && node.now() < until {
            tokio::time::sleep(STOP_LOOK).await;
        }
        node.stop.send_replace(StopPhase::Ending);
        tokio::time::sleep(STOP_LOOK).await;
        if !is_busy(node) || node.now() >= until {
            return;
        }
    }
}

fn is_busy(node: &RoutedNode) -> bool {
    let report = node.gate_report();
    node.in_flight_count.get() > 0 || report.running_count + report.waiting_count > 0
}
