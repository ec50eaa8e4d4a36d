//! Who the members are: hosts the membership of the core.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use kumquatquay_core::{
    Announcement, BackendInput, Input,
    routed::{
        LifeState, RegisterBootstrap, RegisterPageSummary, RegisterPosition, RegisterStep,
        StoreReaders, register_position,
    },
};
use kumquatquay_wire::{MemberState, MeshKey};
use rand::{Rng, seq::IndexedRandom};
use tokio::{net::UdpSocket, sync::mpsc::UnboundedReceiver};

use super::{
    interface::{PlatformStore, RegisterPage, StoreError},
    local_run::withdraw_waiting,
    node::RoutedNode,
};
use crate::{
    control,
    engine::{Effect, Engine},
    reach::Reach,
    tasks::Tasks,
};

/// How often the node looks whether the members have changed.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// How often members that are gone are looked for, and how many at a time: with
/// 300 bytes each this is under 1 KB/s.
const RETURNED_INTERVAL: Duration = Duration::from_secs(1);
const RETURNED_COUNT: usize = 3;

/// Tells the membership what the backend server of this host is.
pub(crate) fn announce_backend(node: &RoutedNode) {
    let lives = node.lives.borrow();
    let Some(current) = lives.current() else {
        return;
    };
    let state = match current.state {
        LifeState::Serving if current.warm_up_left.is_zero() => MemberState::Serving,
        LifeState::Serving => MemberState::Warming,
        LifeState::Draining | LifeState::Gone => MemberState::Draining,
    };
    node.run_failures.borrow_mut().on_life(&current.life);
    let mut gate = node.gate.borrow_mut();
    gate.rate_limit_mut().on_life(&current.life);
    drop(gate);
    log::info!(event = "backend", life:% = current.life, state:% = state,
        slots = current.slots_count, sequence = current.sequence;
        "the backend server of this host told how it is");
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

/// Tells the membership that the backend server of this host is dead, until it
/// reports again.
pub(crate) fn announce_backend_death(node: &RoutedNode, why: &str) {
    if node.lives.borrow_mut().on_dead() {
        log::warn!(event = "backend_dead"; "the backend server is taken to be dead: {why}");
        node.engine.handle(BackendInput::Died);
        withdraw_waiting(node);
    }
}

/// Keeps the table of targets like the members.
pub(crate) async fn follow_members(node: Rc<RoutedNode>) {
    let mut seen = None;
    loop {
        let changed = node.engine.members_changed();
        if seen != Some(changed) {
            seen = Some(changed);
            refresh(&node);
        }
        node.backend.close_expired();
        log_line_changes(&node);
        tokio::time::sleep(REFRESH_INTERVAL).await;
    }
}

/// Tells which backend servers fail more than their peers, with what that was judged by.
fn log_line_changes(node: &RoutedNode) {
    let changes = node.load_balancer.borrow_mut().take_outlier_changes();
    for change in changes {
        log::warn!(event = "backend_out_of_line", service = change.service.as_str(),
            node:% = change.control, left_alone = change.is_ejected,
            failed = change.failed_ratio, middle = change.median_ratio;
            "a backend server fails far more runs than its peers, or no longer");
    }
}

fn refresh(node: &RoutedNode) {
    let members = node.engine.members();
    let is_there = |state| state != MemberState::Gone;
    let there_count = members
        .iter()
        .filter(|member| is_there(member.state))
        .count();
    // The larger count makes this node's part of shared budgets the smaller one.
    node.nodes_count
        .set(there_count.max(node.nodes_count.get()));
    let settings = &node.settings;
    let own = settings.listen.control;
    let readers = StoreReaders::select(own, &settings.data_centre, members.iter());
    if node.readers.replace(readers) != readers {
        log::info!(event = "store_readers", reads = readers.is_reader,
            readers = readers.count as u64;
            "this node reads the store for others, or is told by them");
    }
    let near = StoreReaders::in_data_centre(&settings.data_centre, members.iter());
    let near = near.into_iter().map(|reader| reader.peer);
    node.near_readers.replace(near.collect());
    let mut targets = node.load_balancer.borrow_mut();
    targets.rebuild(&node.settings.data_centre, members.iter());
}

/// Introduces this node to members that are gone, a few at a time.
///
/// A host that is started again while the store is away knows nobody, and nobody
/// probes the address of one that left in good order. It would be alone until the
/// store returns; an introduction brings it its peers within seconds.
pub(crate) async fn reintroduce_to_gone_members(node: Rc<RoutedNode>) {
    loop {
        tokio::time::sleep(RETURNED_INTERVAL).await;
        let gone: Vec<SocketAddr> = node.engine.look_at_members(|members| {
            let gone = members.filter(|member| member.state == MemberState::Gone);
            gone.map(|member| member.control).collect()
        });
        let some = gone
            .choose_multiple(&mut *node.random.borrow_mut(), RETURNED_COUNT)
            .copied();
        let some: Vec<SocketAddr> = some.collect();
        if !some.is_empty() {
            node.engine.handle(Input::Seeds(some));
        }
    }
}

/// Enters this node in the register and introduces it to some that are found there.
pub(crate) async fn join_through_register(node: Rc<RoutedNode>, store: PlatformStore) {
    let own = node.settings.listen.control;
    node.engine
        .handle(Input::Seeds(node.settings.seeds.clone()));
    let random_seed = node.random.borrow_mut().random();
    let mut course = RegisterBootstrap::new(node.now(), own, random_seed);
    loop {
        match course.step(node.now(), peers_count(&node)) {
            RegisterStep::Enter => {
                let entered = (store.register_node)(own, register_position(own)).await;
                look_for_return(&node, &store, &mut course);
                match entered {
                    Ok(()) => on_entered(&node, &mut course),
                    Err(error) => on_unreached(&node, &mut course, &error),
                }
            }
            RegisterStep::ReadPage { from: place } => {
                let page = (store.register_page)(place).await;
                look_for_return(&node, &store, &mut course);
                match page {
                    Ok(page) => {
                        let look = introduce(&node, place, page);
                        course.on_page(node.now(), look);
                    }
                    Err(error) => on_unreached(&node, &mut course, &error),
                }
            }
            RegisterStep::Wait { until } => {
                let pause = tokio::time::sleep(until.saturating_sub(node.now()));
                tokio::select! {
                    () = pause => {}
                    () = node.store_restore.wait() => look_for_return(&node, &store, &mut course),
                }
            }
            RegisterStep::Done => {
                node.store_restore.wait().await;
                look_for_return(&node, &store, &mut course);
            }
        }
    }
}

/// Looks whether the store came back from a copy, which may lack this node's entry.
fn look_for_return(node: &RoutedNode, store: &PlatformStore, course: &mut RegisterBootstrap) {
    node.on_store_eras((store.eras)());
    if node.store_restore.take() {
        course.on_store_restored(node.now(), node.poller_fleet().nodes_count);
    }
}

fn on_entered(node: &RoutedNode, course: &mut RegisterBootstrap) {
    course.on_entered(node.now());
    node.metrics.count("register", "entered");
    log::info!(event = "register_entered"; "this node stands in the register");
}

fn on_unreached(node: &RoutedNode, course: &mut RegisterBootstrap, error: &StoreError) {
    log::warn!(event = "register_unreached"; "{error}");
    course.on_failure(node.now());
}

/// Other members that are there.
fn peers_count(node: &RoutedNode) -> usize {
    let there_count = node.engine.look_at_members(|members| {
        let there = members.filter(|member| member.state != MemberState::Gone);
        there.count()
    });
    there_count.saturating_sub(1)
}

/// Introduces this node to those on a page of the register.
fn introduce(
    node: &RoutedNode,
    place: RegisterPosition,
    page: RegisterPage,
) -> RegisterPageSummary {
    let own = node.settings.listen.control;
    let others = page.nodes.into_iter().filter(|control| *control != own);
    let others: Vec<SocketAddr> = others.collect();
    let look = RegisterPageSummary {
        from: place,
        last_position: page.last_position,
        others_count: others.len(),
        is_last: page.is_last,
    };
    let estimate_count = look.estimate_count();
    let known_count = node.register_estimate_count.get();
    node.register_estimate_count
        .set(known_count.max(estimate_count));
    log::info!(event = "register_read", nodes = others.len(), estimate = estimate_count;
        "other nodes found");
    node.engine.handle(Input::Seeds(others));
    look
}

/// Ticks the core.
pub(crate) async fn run_ticks(engine: Arc<Engine>) {
    loop {
        let wait = engine.tick();
        tokio::time::sleep(wait).await;
    }
}

/// Carries out what the core asks of its host; the logs of the core's other
/// concerns aren't kept on this platform.
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
                // A datagram that can't be sent is lost, as any datagram may be.
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
