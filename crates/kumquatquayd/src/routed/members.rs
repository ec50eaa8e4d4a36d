//! Runs the membership of the core: its timers, effects, register and announcements.

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use kumquatquay_core::{
    Announcement, BackendInput, Input,
    routed::{
        LifeReport, LifeState, RegisterBootstrap, RegisterPageSummary, RegisterPosition,
        RegisterStep, StoreReaders, register_position,
    },
};
use kumquatquay_wire::{MemberState, MeshKey};
use rand::{Rng, seq::IndexedRandom};
use tokio::{net::UdpSocket, sync::mpsc::UnboundedReceiver};

use super::{
    interface::{PlatformStore, RegisterPage, StoreError},
    node::RoutedNode,
    reported_shutdowns::recall_for_restarted,
};
use crate::{
    control,
    engine::{Effect, Engine},
    reach::Reach,
    tasks::Tasks,
};

/// Interval at which the node checks for changed members.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// How often, and to how many at a time, the node introduces itself to members that are gone.
/// At 300 bytes each this is less than 1 KB/s.
const REINTRODUCTION_INTERVAL: Duration = Duration::from_secs(1);
const REINTRODUCTION_COUNT: usize = 3;

/// Announces the state of the backend server of this host to the membership, and its life to the
/// failure ratio and the rate limit of the gate.
pub(crate) fn announce_backend(node: &RoutedNode) {
    let lives = node.lives.borrow();
    let Some(current) = lives.current() else {
        return;
    };
    let state = member_state(current);
    node.run_failures.borrow_mut().on_life(&current.life);
    let mut gate = node.gate.borrow_mut();
    gate.rate_limit_mut().on_life(&current.life);
    drop(gate);
    log::info!(event = "backend", life:% = current.life, state:% = state,
        slots = current.slots_count, sequence = current.sequence;
        "the backend server of this host has reported its state");
    let announcement = Announcement {
        service: current.service.clone(),
        life: Some(current.life.clone()),
        address: node.settings.backend,
        slots_count: current.slots_count as u32,
        connections_count: 0,
        state,
    };
    node.engine.handle(BackendInput::Announced(announcement));
}

/// State in the membership of a host whose backend server has reported this.
fn member_state(report: &LifeReport) -> MemberState {
    match report.state {
        LifeState::Serving if report.warm_up_left.is_zero() => MemberState::Serving,
        LifeState::Serving => MemberState::Warming,
        LifeState::Draining | LifeState::Gone => MemberState::Draining,
    }
}

/// Updates the load balancer when the members change.
pub(crate) async fn follow_members(node: Rc<RoutedNode>) {
    let mut seen = None;
    loop {
        let current = (node.engine.members_changed(), own_state_at_stop(&node));
        if seen != Some(current) {
            seen = Some(current);
            refresh_members(&node);
        }
        node.backend.close_expired();
        log_outlier_changes(&node);
        tokio::time::sleep(REFRESH_INTERVAL).await;
    }
}

/// Logs outliers that were ejected or readmitted, with the rates that this was judged by.
fn log_outlier_changes(node: &RoutedNode) {
    let changes = node.load_balancer.borrow_mut().take_outlier_changes();
    for change in changes {
        log::warn!(event = "backend_out_of_line", service = change.service.as_str(),
            node:% = change.control, left_alone = change.is_ejected,
            failed = change.failed_ratio, middle = change.median_ratio;
            "a backend server was ejected as an outlier, or readmitted");
    }
}

/// State of the backend server of this host for the calls of this host, once this node stops; `None` before.
///
/// Other nodes are told that this one takes no calls any more. But it still reaches that server, and may be the only
/// node that does.
fn own_state_at_stop(node: &RoutedNode) -> Option<MemberState> {
    let lives = node.lives.borrow();
    let current = lives.current().filter(|_| node.is_stopping())?;
    Some(member_state(current))
}

fn refresh_members(node: &Rc<RoutedNode>) {
    let mut members = node.engine.members();
    let is_present = |state| state != MemberState::Gone;
    let present_count = members
        .iter()
        .filter(|member| is_present(member.state))
        .count();
    // The largest count keeps this node's part of shared budgets small.
    node.nodes_count
        .set(present_count.max(node.nodes_count.get()));
    let settings = &node.settings;
    let gates = members.iter().filter(|member| {
        is_present(member.state)
            && member.data_centre == settings.data_centre
            && member.service.as_ref() == Some(&settings.service)
    });
    let data_centres = members.iter().map(|member| &member.data_centre);
    let data_centres: BTreeSet<_> = data_centres.collect();
    node.set_budget_parts(gates.count(), data_centres.len());
    let own = settings.listen.control;
    let readers = StoreReaders::select(own, &settings.data_centre, members.iter());
    if node.store_readers.replace(readers) != readers {
        log::info!(event = "store_readers", reads = readers.is_reader,
            readers = readers.count as u64;
            "this node polls the store for others, or relies on those that do");
    }
    let local_readers = StoreReaders::in_data_centre(&settings.data_centre, members.iter());
    let local_readers = local_readers.into_iter().map(|reader| reader.peer);
    node.local_readers.replace(local_readers.collect());
    if let Some(state) = own_state_at_stop(node) {
        let mut members = members.iter_mut();
        if let Some(member) = members.find(|member| member.control == own) {
            member.state = state;
        }
    }
    recall_for_restarted(node, &members);
    let mut load_balancer = node.load_balancer.borrow_mut();
    load_balancer.rebuild(&node.settings.data_centre, members.iter());
}

/// Introduces this node to members that are gone, a few at a time.
///
/// A host that is restarted while the store is unavailable knows no other node, and no node
/// probes the address of one that left in an orderly way. It would stay alone until the store
/// returns; an introduction connects it with its peers within seconds.
pub(crate) async fn reintroduce_to_gone_members(node: Rc<RoutedNode>) {
    loop {
        tokio::time::sleep(REINTRODUCTION_INTERVAL).await;
        let gone: Vec<SocketAddr> = node.engine.look_at_members(|members| {
            let gone = members.filter(|member| member.state == MemberState::Gone);
            gone.map(|member| member.control).collect()
        });
        let chosen = gone
            .choose_multiple(&mut *node.random.borrow_mut(), REINTRODUCTION_COUNT)
            .copied();
        let chosen: Vec<SocketAddr> = chosen.collect();
        if !chosen.is_empty() {
            node.engine.handle(Input::Seeds(chosen));
        }
    }
}

/// Writes this node into the register and introduces it to nodes found there.
pub(crate) async fn join_through_register(node: Rc<RoutedNode>, store: PlatformStore) {
    let own = node.settings.listen.control;
    node.engine
        .handle(Input::Seeds(node.settings.seeds.clone()));
    let random_seed = node.random.borrow_mut().random();
    let mut bootstrap = RegisterBootstrap::new(node.now(), own, random_seed);
    loop {
        match bootstrap.step(node.now(), peers_count(&node)) {
            RegisterStep::Enter => {
                let entered = (store.register_node)(own, register_position(own)).await;
                check_store_restore(&node, &store, &mut bootstrap);
                match entered {
                    Ok(()) => on_registered(&node, &mut bootstrap),
                    Err(error) => on_register_error(&node, &mut bootstrap, &error),
                }
            }
            RegisterStep::ReadPage { from: place } => {
                let page = (store.register_page)(place).await;
                check_store_restore(&node, &store, &mut bootstrap);
                match page {
                    Ok(page) => {
                        let summary = introduce(&node, place, page);
                        bootstrap.on_page(node.now(), summary);
                    }
                    Err(error) => on_register_error(&node, &mut bootstrap, &error),
                }
            }
            RegisterStep::Wait { until } => {
                let pause = tokio::time::sleep(until.saturating_sub(node.now()));
                tokio::select! {
                    () = pause => {}
                    () = node.store_restore.wait() => {
                        check_store_restore(&node, &store, &mut bootstrap);
                    }
                }
            }
            RegisterStep::Done => {
                node.store_restore.wait().await;
                check_store_restore(&node, &store, &mut bootstrap);
            }
        }
    }
}

/// Checks whether the store was restored from a backup, which may lack this node's entry.
fn check_store_restore(
    node: &RoutedNode,
    store: &PlatformStore,
    bootstrap: &mut RegisterBootstrap,
) {
    node.on_store_eras((store.eras)());
    if node.store_restore.take() {
        bootstrap.on_store_restored(node.now(), node.poller_fleet().nodes_count);
    }
}

fn on_registered(node: &RoutedNode, bootstrap: &mut RegisterBootstrap) {
    bootstrap.on_entered(node.now());
    node.metrics.count("register", "entered");
    log::info!(event = "register_entered"; "this node is in the register");
}

fn on_register_error(node: &RoutedNode, bootstrap: &mut RegisterBootstrap, error: &StoreError) {
    log::warn!(event = "register_unreached"; "{error}");
    bootstrap.on_failure(node.now());
}

/// Number of other members that aren't gone.
fn peers_count(node: &RoutedNode) -> usize {
    let present_count = node.engine.look_at_members(|members| {
        let present = members.filter(|member| member.state != MemberState::Gone);
        present.count()
    });
    present_count.saturating_sub(1)
}

/// Introduces this node to the other nodes on a page of the register.
fn introduce(
    node: &RoutedNode,
    place: RegisterPosition,
    page: RegisterPage,
) -> RegisterPageSummary {
    let own = node.settings.listen.control;
    let others = page.nodes.into_iter().filter(|control| *control != own);
    let others: Vec<SocketAddr> = others.collect();
    let summary = RegisterPageSummary {
        from: place,
        last_position: page.last_position,
        others_count: others.len(),
        is_last: page.is_last,
    };
    let estimate_count = summary.estimate_count();
    let known_count = node.register_estimate_count.get();
    node.register_estimate_count
        .set(known_count.max(estimate_count));
    log::info!(event = "register_read", nodes = others.len(), estimate = estimate_count;
        "read a page of the register");
    node.engine.handle(Input::Seeds(others));
    summary
}

/// Drives the timers of the core.
pub(crate) async fn run_ticks(engine: Arc<Engine>) {
    loop {
        let wait = engine.tick();
        tokio::time::sleep(wait).await;
    }
}

/// Executes the effects that the core requests. Effects of the core's logs are ignored, since
/// this platform keeps none.
pub(crate) async fn run_effects(
    engine: Arc<Engine>,
    mut effects: UnboundedReceiver<Effect>,
    socket: Arc<UdpSocket>,
    key: MeshKey,
) {
    let tasks = Tasks::default();
    while let Some(effect) = effects.recv().await {
        match effect {
            Effect::Send { to, datagram } => {
                // Datagrams may be lost anyway, so a failure to send one is ignored.
                let _ = socket.try_send_to(&datagram.to_bytes(&key), to);
            }
            Effect::BulkAsk { to, question } => {
                let ask = control::Ask {
                    key: key.clone(),
                    reach: Reach::default(),
                    to,
                };
                tasks.spawn(ask.run(Arc::clone(&engine), question));
            }
            Effect::Append { .. } | Effect::Read { .. } => {}
        }
    }
}
