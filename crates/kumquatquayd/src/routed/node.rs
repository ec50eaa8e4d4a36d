//! Shared state of the tasks of one node.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use kumquatquay_core::{
    Input, KeptCrashes,
    routed::{
        BackendLiveness, BackendLives, CallEdge, CallFreeRoutes, CallGraph, CallTracer,
        EntryAdmission, FairShares, FreshnessProof, GateRetries, HeldAnswers, HostGate,
        LevelController, LoadBalancer, MachineSlowdown, Mechanism, Mechanisms, PollerFleet,
        QueueOrder, RepeatedRuns, RetryBudget, RouteCallers, RouteTable, RunFailures, StorePoller,
        StoreReaders, UnknownKeys, sibling_services,
    },
};
use kumquatquay_wire::{
    BackendLife,
    routed::{
        BODY_LIMIT_BYTES, GateReport, Priority, RouteConfiguration, RouteEstimate, RouteVersion,
        ServiceDemand, SyncState,
    },
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::sync::{Notify, oneshot, watch};

use super::{
    arrivals::RepeatLog,
    backend_pool::BackendPool,
    call_workers::CallWorkers,
    caller_slots::CallerSlots,
    held_requests::HeldRequests,
    interface::{Dialect, PlatformStore},
    link::Links,
    node_memory::NodeMemory,
    node_metrics::NodeMetrics,
    quotas::Quotas,
    reported_shutdowns::ShutdownNotices,
    route_demand_log::RouteDemandLog,
    settings::RoutedSettings,
    store_restore::StoreRestore,
};
use crate::{
    clock::{SystemClock, unsuspended},
    engine::Engine,
    tasks::Tasks,
};

/// Shortest time between two requests to other nodes for their configuration; sending a
/// configuration takes a few milliseconds.
const CONFIGURATION_ASK_PAUSE: Duration = Duration::from_millis(100);

/// Time after the start in which what this node has learnt about routes isn't settled yet, and
/// counts less than what nodes with more data report.
const SETTLING_TIME: Duration = Duration::from_secs(4);

/// How long the computed [`RouteEstimate`] of a route is reused.
const ROUTE_ESTIMATE_CACHE_TIME: Duration = Duration::from_millis(100);

/// Least limit for the size of a request head.
const MIN_HEAD_LIMIT_BYTES: usize = 8 * 1024;

/// Part of the retry budget that is used. The rest is for repeats that can't be recognised: calls that
/// runs go on to make after their node was killed.
const BUDGET_USE_RATIO: f64 = 0.9;

/// Lets a waiting call run.
pub(crate) type RunPermit = oneshot::Sender<()>;

/// Shared state of the tasks of one node; all of them run on one thread.
///
/// No `RefCell` borrow is held across an `.await`.
#[derive(Debug)]
pub(crate) struct RoutedNode {
    pub(crate) settings: RoutedSettings,
    pub(crate) dialect: Dialect,
    pub(crate) engine: Arc<Engine>,
    pub(crate) tasks: Tasks,
    clock: SystemClock,
    pub(crate) random: RefCell<StdRng>,
    /// Starting offset of this node's weighted splits, from 0 to 1.
    split_phase: f64,
    pub(crate) routes: RefCell<Option<Arc<RouteTable>>>,
    /// The configuration in force, in the form in which other nodes request it.
    pub(crate) configuration: RefCell<Option<RouteConfiguration>>,
    /// Decides when the store is polled for configurations.
    pub(crate) store_poller: RefCell<StorePoller>,
    /// Notified when the store is to be polled ahead of schedule.
    pub(crate) store_poller_wake: Notify,
    /// State about restores of the store from a backup.
    pub(super) store_restore: StoreRestore,
    /// Until when the configuration in force is known to have been the newest.
    pub(super) proof: RefCell<FreshnessProof>,
    /// By how much the clock that includes suspended time was ahead when it was last read.
    pub(super) suspended_offset: Cell<Duration>,
    /// Notified of each new proof of freshness.
    pub(crate) proof_updated: Notify,
    /// Earliest time at which another node may be asked for its configuration.
    next_configuration_ask: Cell<Duration>,
    pub(crate) load_balancer: RefCell<LoadBalancer>,
    /// Repeats at the gate of this host.
    pub(crate) gate_retries: RefCell<GateRetries>,
    pub(crate) links: RefCell<Links>,
    /// Tasks that run the calls of other nodes.
    pub(super) call_workers: CallWorkers,
    pub(crate) gate: RefCell<HostGate<RunPermit>>,
    /// Notified when a call waits for the rate limit of the backend server.
    pub(crate) limit_wait_started: Notify,
    pub(crate) lives: RefCell<BackendLives>,
    /// Life of that server which last reported, unless it is known to have died.
    pub(super) last_life: RefCell<Option<BackendLife>>,
    /// When that server last answered a call, as time since the start of the node.
    pub(super) last_answer_at: Cell<Duration>,
    /// Notified when a run's connection to it broke.
    pub(super) run_broken: Notify,
    /// Notified when that server has died under some requests.
    pub(super) crash_recorded: Notify,
    /// Crashes that the store keeps.
    pub(super) kept_crashes: RefCell<KeptCrashes>,
    /// Whether those that it kept when this node started are known, or it took too long to tell.
    pub(super) has_read_crashes: watch::Sender<bool>,
    /// Whether the backend server of this host answers at all.
    pub(crate) backend_liveness: RefCell<BackendLiveness>,
    /// Slowdown of the machine that the backend server of this host reports.
    pub(crate) machine_slowdown: RefCell<MachineSlowdown>,
    /// Share of failed runs at the backend server of this host.
    pub(crate) run_failures: RefCell<RunFailures>,
    /// Controls the admission level of the gate of this host.
    pub(crate) level_controller: RefCell<LevelController>,
    /// Services whose hosts call the routes of this host's backend server.
    pub(crate) route_callers: RefCell<RouteCallers>,
    /// Routes whose runs at the backend server of this host make no calls.
    pub(crate) call_free_routes: RefCell<CallFreeRoutes>,
    /// Recognises the calls of repeated runs of that server.
    pub(crate) repeated_runs: RefCell<RepeatedRuns>,
    /// Calls made by the backend server of this host, estimated by a fit.
    pub(crate) call_graph: RefCell<CallGraph>,
    /// Calls made by the backend server of this host, attributed to single runs.
    pub(crate) call_tracer: RefCell<CallTracer>,
    /// Pressure on services, and the demand of routes on them, as reported by other nodes.
    pub(crate) entry_admission: RefCell<EntryAdmission>,
    /// Requests held at the entry.
    pub(super) held_requests: RefCell<HeldRequests>,
    /// Demand of each claimant for services that are short of capacity.
    pub(super) fair_shares: RefCell<FairShares>,
    /// Notified when a request is held.
    pub(super) request_held: Notify,
    /// Recently computed estimates of routes, with the time of computation.
    route_estimate_cache: RefCell<HashMap<String, (Duration, RouteEstimate)>>,
    pub(crate) backend: BackendPool,
    /// Lives about which the backend server is being asked, the one that was reported last at the end.
    pub(super) doubtful_lives: RefCell<Vec<BackendLife>>,
    /// Notices of shutdowns that were sent to other nodes, and those kept for other hosts.
    pub(super) shutdown_notices: RefCell<ShutdownNotices>,
    /// The platform's store.
    pub(super) store: PlatformStore,
    pub(crate) metrics: NodeMetrics,
    pub(crate) route_demand_log: RouteDemandLog,
    pub(super) repeat_log: RepeatLog,
    /// Quotas of workspaces: what this node owns and what it has borrowed.
    pub(crate) quotas: RefCell<Quotas>,
    /// Largest count of nodes that any other node has reported; 0 before the first report.
    pub(crate) reported_nodes_count: Cell<usize>,
    /// Keys that were presented here but belong to no workspace, or that were revoked.
    pub(crate) unknown_keys: RefCell<UnknownKeys>,
    /// Requests that wait until it is known whether their keys are valid.
    pub(crate) key_waits_count: Cell<usize>,
    /// Second of the node's uptime in which a refused report was last logged.
    pub(crate) refused_report_second: Cell<Option<u64>>,
    /// Requests at the entry whose answers haven't been written yet.
    pub(crate) in_flight_count: Cell<usize>,
    /// Open connections of callers.
    pub(super) caller_slots: CallerSlots,
    /// Memory of the bodies of requests and answers, and of callers' connections.
    pub(crate) memory: NodeMemory,
    /// Answers at the entry that haven't been written yet.
    pub(crate) held_answers: Cell<HeldAnswers>,
    /// Largest count of nodes in the membership so far, including this one; at least 1.
    pub(crate) nodes_count: Cell<usize>,
    /// Largest count of hosts in this data centre with a backend server of this host's service, this
    /// one included.
    gates_count: Cell<usize>,
    /// Largest count of data centres that the settings name or that have nodes; at least 1.
    data_centres_count: Cell<usize>,
    /// Largest estimate of the number of nodes in the register, by the pages that were read; 0
    /// before the first page.
    pub(crate) register_estimate_count: Cell<usize>,
    /// Whether this node polls the store for others, and how many nodes do.
    pub(crate) store_readers: Cell<StoreReaders>,
    /// Link addresses of the store readers in this data centre.
    pub(crate) local_readers: RefCell<Vec<SocketAddr>>,
    /// Progress of the shutdown.
    pub(crate) stop: watch::Sender<StopPhase>,
    /// When all requests get their final answers, on the clock that includes suspended time; `None` before a
    /// shutdown is requested.
    pub(super) answers_due_at: Cell<Option<Duration>>,
}

/// Progress of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopPhase {
    /// No shutdown was requested.
    Serving,
    /// Callers are asked to use other nodes; their requests are still served.
    Leaving,
    /// Idle connections are closed.
    Closing,
    /// No work is in progress, and no new requests are accepted.
    Ending,
    /// The grace period is used up: each request gets its final answer at once.
    Expired,
}

/// Creates the gate of this host as the enabled mechanisms require.
fn build_gate(mechanisms: Mechanisms) -> HostGate<RunPermit> {
    let order = if mechanisms.is_on(Mechanism::LateLast) {
        QueueOrder::LateLast
    } else {
        QueueOrder::EarliestDeadline
    };
    let gate = HostGate::default().order(order);
    if mechanisms.is_on(Mechanism::WorkBasedLoad) {
        gate
    } else {
        gate.without_route_run_times()
    }
}

impl RoutedNode {
    pub(crate) fn new(
        settings: RoutedSettings,
        dialect: Dialect,
        store: PlatformStore,
        engine: Arc<Engine>,
    ) -> Rc<Self> {
        let mut random = StdRng::from_os_rng();
        let budget = settings.retry_budget;
        // Without a part of the extra until the gates of the service are known.
        let gate_budget = RetryBudget::new(budget.window, budget.ratio * BUDGET_USE_RATIO, 0.0);
        let gate_budget = if settings.is_first_start {
            gate_budget.starting_full()
        } else {
            gate_budget
        };
        let repeated_runs = if settings.is_first_start {
            RepeatedRuns::new()
        } else {
            RepeatedRuns::new().after_earlier_life()
        };
        let gate = build_gate(settings.mechanisms);
        let route_callers = RouteCallers::at(settings.service.clone());
        let store_poller = StorePoller::new(Duration::ZERO, random.random());
        let store_poller = match settings.bounds.revoke {
            Some(bound) => store_poller.with_proof_bound(bound),
            None => store_poller,
        };
        let data_centres_count = settings.data_centres_count.get();
        let held_answers = HeldAnswers::new(settings.limits.memory_bytes);
        // A longer answer would break the link that carries it.
        let answer_limit_bytes = held_answers.answer_limit_bytes().min(BODY_LIMIT_BYTES);
        let clock = SystemClock::new();
        let memory = NodeMemory::new(settings.limits.memory_bytes, clock);
        let caller_slots = CallerSlots::new(settings.limits.descriptors_count);
        Rc::new(Self {
            store_poller: RefCell::new(store_poller),
            store_poller_wake: Notify::new(),
            store_restore: StoreRestore::default(),
            proof: RefCell::default(),
            suspended_offset: Cell::default(),
            proof_updated: Notify::new(),
            backend: BackendPool::new(settings.backend, answer_limit_bytes, memory.clone()),
            split_phase: random.random(),
            load_balancer: RefCell::new(LoadBalancer::new(settings.mechanisms)),
            settings,
            dialect,
            engine,
            tasks: Tasks::default(),
            clock,
            random: RefCell::new(random),
            routes: RefCell::default(),
            configuration: RefCell::default(),
            next_configuration_ask: Cell::default(),
            gate_retries: RefCell::new(GateRetries::new(gate_budget)),
            links: RefCell::default(),
            call_workers: CallWorkers::default(),
            gate: RefCell::new(gate),
            limit_wait_started: Notify::new(),
            lives: RefCell::default(),
            last_life: RefCell::default(),
            last_answer_at: Cell::default(),
            run_broken: Notify::new(),
            crash_recorded: Notify::new(),
            kept_crashes: RefCell::default(),
            has_read_crashes: watch::Sender::new(false),
            backend_liveness: RefCell::default(),
            machine_slowdown: RefCell::default(),
            run_failures: RefCell::default(),
            route_estimate_cache: RefCell::default(),
            level_controller: RefCell::default(),
            route_callers: RefCell::new(route_callers),
            call_free_routes: RefCell::default(),
            repeated_runs: RefCell::new(repeated_runs),
            call_graph: RefCell::default(),
            call_tracer: RefCell::default(),
            entry_admission: RefCell::default(),
            held_requests: RefCell::default(),
            fair_shares: RefCell::default(),
            request_held: Notify::new(),
            doubtful_lives: RefCell::default(),
            shutdown_notices: RefCell::default(),
            store,
            metrics: NodeMetrics::new(),
            route_demand_log: RouteDemandLog::default(),
            repeat_log: RepeatLog::default(),
            quotas: RefCell::new(Quotas::new(unsuspended())),
            reported_nodes_count: Cell::new(0),
            unknown_keys: RefCell::default(),
            key_waits_count: Cell::new(0),
            refused_report_second: Cell::new(None),
            in_flight_count: Cell::new(0),
            caller_slots,
            memory,
            held_answers: Cell::new(held_answers),
            nodes_count: Cell::new(1),
            gates_count: Cell::new(1),
            data_centres_count: Cell::new(data_centres_count),
            register_estimate_count: Cell::new(0),
            store_readers: Cell::default(),
            local_readers: RefCell::default(),
            stop: watch::Sender::new(StopPhase::Serving),
            answers_due_at: Cell::new(None),
        })
    }

    /// Time since the start of the node.
    pub(crate) fn now(&self) -> Duration {
        self.clock.monotonic()
    }

    /// Whether another node may be asked for its configuration now; if so, the pause begins.
    ///
    /// Each answer carries the version of its sender. Without the pause, a node that is behind
    /// would send hundreds of requests before the first configuration arrives.
    pub(crate) fn begin_configuration_ask(&self) -> bool {
        let now = self.now();
        let is_due = now >= self.next_configuration_ask.get();
        if is_due {
            self.next_configuration_ask
                .set(now + CONFIGURATION_ASK_PAUSE);
        }
        is_due
    }

    /// Routes in force; `None` before the first configuration.
    pub(crate) fn routes(&self) -> Option<Arc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// Version of the configuration in force; 0 if there is none.
    pub(crate) fn route_version(&self) -> RouteVersion {
        let routes = self.routes.borrow();
        routes.as_ref().map_or(0, |routes| routes.version())
    }

    /// How far this node follows the configuration, without the age of its proof; this form is
    /// for nodes that didn't ask.
    pub(crate) fn sync_state(&self) -> SyncState {
        let store_poller = self.store_poller.borrow();
        SyncState {
            version: self.route_version(),
            store_era: store_poller.era(),
            store_answers_count: store_poller.answers_count(),
            proof_age_ms: None,
            nodes_count: self.nodes_count.get() as u32,
        }
    }

    /// Size of the fleet and of its set of store readers, as this node knows them.
    pub(crate) fn poller_fleet(&self) -> PollerFleet {
        let estimate_count = self.register_estimate_count.get();
        PollerFleet {
            nodes_count: self.nodes_count.get().max(estimate_count),
            readers: self.store_readers.get(),
        }
    }

    /// Puts a configuration in force if it is newer than the present one.
    ///
    /// Configurations arrive from the store and from other nodes in any order; a late one must
    /// not bring back routes that were removed.
    pub(crate) fn apply_configuration(
        &self,
        configuration: RouteConfiguration,
        from: &'static str,
    ) {
        let version = configuration.version;
        if version <= self.route_version() {
            return;
        }
        let table = RouteTable::new(configuration.clone(), self.split_phase);
        if let Some(old) = self.routes() {
            let removed_keys = old.workspaces().keys_not_in(table.workspaces());
            let mut unknown_keys = self.unknown_keys.borrow_mut();
            removed_keys.for_each(|key| unknown_keys.insert(self.now(), key));
        }
        let mut quotas = self.quotas.borrow_mut();
        quotas.retain(|workspace| table.workspaces().quota(workspace).is_some());
        drop(quotas);
        self.routes.replace(Some(Arc::new(table)));
        let before = self.configuration.borrow();
        let siblings = sibling_services(&self.settings.service, before.as_ref(), &configuration);
        drop(before);
        self.engine.handle(Input::SiblingServices(siblings));
        self.configuration.replace(Some(configuration));
        self.update_proof(|proof| proof.on_applied(version));
        self.metrics.count("configuration", from);
        log::info!(event = "configuration_in_force", version = version, from = from;
            "a newer configuration is in force");
    }

    /// Number of priorities of routes that are more important than this one.
    pub(crate) fn priority_rank(&self, priority: Priority) -> usize {
        let routes = self.routes.borrow();
        let rank = routes.as_ref().map(|routes| routes.priority_rank(priority));
        rank.unwrap_or_default()
    }

    /// Limit for the size of a request head from a caller.
    pub(crate) fn head_limit_bytes(&self) -> usize {
        let routes = self.routes();
        let limit_bytes = routes.map_or(0, |routes| routes.limits().head_limit_bytes);
        limit_bytes.max(MIN_HEAD_LIMIT_BYTES)
    }

    /// Progress of the shutdown of this node.
    pub(crate) fn stop_phase(&self) -> StopPhase {
        *self.stop.borrow()
    }

    /// Sets the part of this gate in the extra of the retry budget, by the largest number of gates
    /// of its service that this node has known in its data centre, and of data centres.
    ///
    /// It is split by data centres first, whose number the settings tell: a data centre that is cut
    /// off sees its own gates alone, and may not take the part of the others.
    pub(crate) fn set_budget_parts(&self, gates_count: usize, data_centres_count: usize) {
        let gates_count = gates_count.max(self.gates_count.get());
        self.gates_count.set(gates_count);
        let data_centres_count = data_centres_count.max(self.data_centres_count.get());
        self.data_centres_count.set(data_centres_count);
        let extra_count = self.settings.retry_budget.extra_count * BUDGET_USE_RATIO;
        let parts_count = gates_count * data_centres_count;
        let mut retries = self.gate_retries.borrow_mut();
        let budget = retries.budget_mut();
        budget.set_extra_count(extra_count / parts_count as f64);
    }

    /// Report on the load of the gate and of the backend server of this host.
    pub(crate) fn gate_report(&self) -> GateReport {
        let level = self.level_controller.borrow().level();
        let failed_ratio = self.run_failures.borrow().ratio();
        let slowdown_ratio = self.machine_slowdown.borrow().ratio(self.now());
        GateReport {
            failed_permille: (failed_ratio * 1_000.0) as u16,
            slowdown_permille: (slowdown_ratio.unwrap_or_default() * 1_000.0) as u16,
            ..self.gate.borrow().report(self.now(), level)
        }
    }

    /// Whether a mechanism is switched on.
    pub(crate) fn is_on(&self, mechanism: Mechanism) -> bool {
        self.settings.mechanisms.is_on(mechanism)
    }

    /// What this node has learnt about a route to the backend server of this host.
    ///
    /// The result is cached, since it takes a fit over all routes of the service, and any
    /// answer may carry it.
    pub(crate) fn route_estimate(&self, route: &str) -> RouteEstimate {
        let now = self.now();
        if let Some((computed, estimate)) = self.route_estimate_cache.borrow().get(route)
            && now < *computed + ROUTE_ESTIMATE_CACHE_TIME
        {
            return estimate.clone();
        }
        let estimate = self.compute_route_estimate(now, route);
        let mut known = self.route_estimate_cache.borrow_mut();
        known.retain(|_, (computed, _)| now < *computed + ROUTE_ESTIMATE_CACHE_TIME);
        known.insert(String::from(route), (now, estimate.clone()));
        estimate
    }

    fn compute_route_estimate(&self, now: Duration, route: &str) -> RouteEstimate {
        let services_count = self.load_balancer.borrow().services_count();
        let levels = self.entry_admission.borrow();
        let own = self.own_demand(route);
        let mut demands = BTreeMap::from([(own.service.clone(), own)]);
        let (edges, is_traced) = self.call_edges(now, route);
        for edge in edges {
            // Calls on routes that outside callers use were counted before that was known.
            if levels.is_from_outside(now, &edge.callee) != Some(false) {
                continue;
            }
            for demand in levels.all_demands(now, &edge.callee) {
                let demand = demand.scaled(edge.calls_per_run as f32);
                let known = demands.entry(demand.service.clone()).or_default();
                *known = demand.combine(known);
            }
        }
        let is_starting = now < SETTLING_TIME;
        RouteEstimate {
            is_settled: is_traced || (!is_starting && self.call_graph.borrow().is_settled()),
            is_from_outside: self.route_callers.borrow().is_from_outside(
                now,
                route,
                services_count,
            ),
            demands: demands.into_values().collect(),
        }
    }

    /// Whether runs of a route at the backend server of this host make calls, or may, since none was
    /// seen that didn't.
    pub(super) fn may_make_calls(&self, route: &str) -> bool {
        let now = self.now();
        if !self.call_free_routes.borrow().contains(now, route) {
            return true;
        }
        // Some runs of the route make none. Whether others do is an estimate, which leaves out calls on
        // routes that outside callers use too.
        let edges = self.call_tracer.borrow().edges(now, route);
        if edges.is_some_and(|edges| !edges.is_empty()) {
            return true;
        }
        let estimate = self.route_estimate(route);
        let own = &self.settings.service;
        let mut demands = estimate.demands.iter();
        demands.any(|demand| demand.service != *own || demand.calls > 1.0)
    }

    /// Demand of one run of a route on the backend server of this host.
    fn own_demand(&self, route: &str) -> ServiceDemand {
        let gate = self.gate.borrow();
        let work = gate.run_times().route_mean(route).unwrap_or_default();
        ServiceDemand {
            service: self.settings.service.clone(),
            calls: 1.0,
            work_us: u32::try_from(work.as_micros()).unwrap_or(u32::MAX),
        }
    }

    /// Calls made by one run of a route, and whether all of them were attributed to single
    /// runs.
    fn call_edges(&self, now: Duration, route: &str) -> (Vec<CallEdge>, bool) {
        let fitted = self.call_graph.borrow().edges(route);
        if !self.is_on(Mechanism::TracedCalls) {
            return (fitted, false);
        }
        let tracer = self.call_tracer.borrow();
        let Some(mut edges) = tracer.edges(now, route) else {
            return (fitted, false);
        };
        // Callees whose deadlines don't identify the calling run are left to the fit. While the
        // fit has too little data the result is incomplete: taken as complete, it would say
        // that the route calls nothing.
        edges.extend(
            fitted
                .into_iter()
                .filter(|edge| !tracer.is_traceable(&edge.callee)),
        );
        let is_fully_traced = self
            .call_graph
            .borrow()
            .callees()
            .all(|callee| tracer.is_traceable(callee));
        (edges, is_fully_traced)
    }

    /// Address for links from other nodes.
    pub(crate) fn links_address(&self) -> SocketAddr {
        self.settings.listen.links
    }
}
