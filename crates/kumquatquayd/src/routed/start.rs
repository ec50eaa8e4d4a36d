//! Runs a node with configured routes, from start to shutdown.

use std::{rc::Rc, sync::Arc};

use eyre::WrapErr;
use http::{Request, Response};
use hyper::body::Incoming;
use kumquatquay_core::{Node, NodeSettings};
use kumquatquay_wire::MeshKey;
use rand::Rng;
use tokio::net::{TcpListener, TcpStream, UdpSocket};

use super::{
    backend_death::check_after_broken_runs,
    caller_slots::{CallerSlot, evict_overdue_callers},
    gate_slot::{admit_within_rate_limit, update_level_periodically},
    held_requests::release_held,
    http_io::{
        BufferedBody, accept_connections, bind_caller_listener, bind_listener, serve_connection,
    },
    initial_health_check::check_backend_at_start,
    interface::{Dialect, PlatformStore},
    link::watch_links,
    link_server::serve_link,
    members::{
        follow_members, join_through_register, reintroduce_to_gone_members, run_effects, run_ticks,
    },
    node::RoutedNode,
    operator::serve_operator,
    pipelining::serve_caller,
    quarantine_keeping::keep_quarantine,
    quotas::run_quota_loans,
    reported_shutdowns::recall_from_store,
    reports::{serve_metrics, serve_readiness, serve_report},
    settings::RoutedSettings,
    shutdown::shut_down,
    store_polling::{fetch_configuration_from_peers, poll_store},
};
use crate::{clock::incarnation, control, engine::Engine};

/// Runs a node until `stop` completes and the work in progress has ended.
///
/// It must be called inside a `tokio` `LocalSet`, on whose thread it runs.
///
/// # Errors
///
/// Fails if an address can't be bound.
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
    let node = RoutedNode::new(settings, dialect, store.clone(), Arc::clone(&engine));
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
    tasks.spawn_local(poll_store(Rc::clone(&node), store.clone()));
    tasks.spawn_local(keep_quarantine(Rc::clone(&node), store.clone()));
    tasks.spawn_local(join_through_register(Rc::clone(&node), store));
    tasks.spawn_local(reintroduce_to_gone_members(Rc::clone(&node)));
    tasks.spawn_local(watch_links(Rc::clone(&node)));
    tasks.spawn_local(run_quota_loans(Rc::clone(&node)));
    tasks.spawn_local(update_level_periodically(Rc::clone(&node)));
    tasks.spawn_local(admit_within_rate_limit(Rc::clone(&node)));
    tasks.spawn_local(release_held(Rc::clone(&node)));
    tasks.spawn_local(evict_overdue_callers(Rc::clone(&node)));
    tasks.spawn_local(check_after_broken_runs(Rc::clone(&node)));
    tasks.spawn_local(check_backend_at_start(Rc::clone(&node)));
    tasks.spawn_local(recall_from_store(Rc::clone(&node)));
    tasks.spawn_local(fetch_configuration_from_peers(Rc::clone(&node)));
    log_start(&node);
    stop.await;
    shut_down(&node).await;
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
        "the node is running"
    );
}

async fn open_listeners(node: &Rc<RoutedNode>) -> eyre::Result<()> {
    let addresses = node.settings.listen;
    let links = bind_listener("links", addresses.links).await?;
    let entry = bind_caller_listener(addresses.entry)?;
    let ready = bind_listener("readiness", addresses.ready).await?;
    let reports = bind_listener("reports", addresses.reports).await?;
    node.tasks.spawn_local(accept_connections(
        Rc::clone(node),
        links,
        async |node, stream| {
            let tasks = node.tasks.clone();
            tasks.spawn_local(serve_link(node, stream));
        },
    ));
    node.tasks.spawn_local(accept_connections(
        Rc::clone(node),
        entry,
        async |node, stream| {
            let Some(slot) = CallerSlot::take(&node).await else {
                return;
            };
            let tasks = node.tasks.clone();
            tasks.spawn_local(serve_caller(node, stream, slot));
        },
    ));
    serve_at(node, ready, serve_readiness);
    serve_at(node, reports, serve_report);
    if let Some(metrics) = addresses.metrics {
        serve_at(
            node,
            bind_listener("metrics", metrics).await?,
            serve_metrics,
        );
    }
    if let Some(operator) = addresses.operator {
        serve_operators_at(node, bind_listener("operators", operator).await?);
    }
    Ok(())
}

/// Serves the requests that arrive at a listener.
fn serve_at<F>(
    node: &Rc<RoutedNode>,
    listener: TcpListener,
    serve: impl Fn(Rc<RoutedNode>, Request<Incoming>) -> F + Copy + 'static,
) where
    F: Future<Output = Response<BufferedBody>> + 'static,
{
    let accepting = accept_connections(Rc::clone(node), listener, async move |node, stream| {
        let tasks = node.tasks.clone();
        tasks.spawn_local(serve_connection(node, stream, serve));
    });
    node.tasks.spawn_local(accepting);
}

/// Serves operators who are on this host. Others are turned away, since a release needs no token.
fn serve_operators_at(node: &Rc<RoutedNode>, listener: TcpListener) {
    node.tasks.spawn_local(accept_connections(
        Rc::clone(node),
        listener,
        async |node, stream| {
            if !is_from_this_host(&stream) {
                node.metrics.count("operator", "not_from_this_host");
                return;
            }
            let tasks = node.tasks.clone();
            tasks.spawn_local(serve_connection(node, stream, serve_operator));
        },
    ));
}

fn is_from_this_host(stream: &TcpStream) -> bool {
    let addresses = stream.peer_addr().ok().zip(stream.local_addr().ok());
    addresses.is_some_and(|(peer, own)| peer.ip().is_loopback() || peer.ip() == own.ip())
}
