//! What the tasks of one node share.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use kumquatquay_core::routed::{
    BackendLiveness, BackendLives, CallEdge, CallGraph, CallTracer, EntryAdmission, FairShares,
    FreshnessProof, GateRetries, HeldAnswers, HostGate, LevelController, LoadBalancer,
    MachineSlowdown, Mechanism, Mechanisms, PollerFleet, QueueOrder, RetryBudget, RouteCallers,
    RouteTable, RunFailures, StorePoller, StoreReaders, UnknownKeys,
};
use kumquatquay_wire::routed::{
    BODY_LIMIT_BYTES, FollowState, GateReport, RouteConfiguration, RouteNews, RouteVersion,
    ServiceDemand,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::sync::{Notify, oneshot, watch};

use super::{
    backend_pool::BackendPool,
    call_workers::CallWorkers,
    held_requests::HeldRequests,
    interface::Dialect,
    link::Links,
    node_metrics::NodeMetrics,
    quotas::Quotas,
    retry_budgets::{GATE_RETRY_RATIO, RetryBudgets},
    route_demand_log::RouteDemandLog,
    settings::RoutedSettings,
    store_restore::StoreRestore,
};
use crate::{
    clock::{SystemClock, unsuspended},
    engine::Engine,
    tasks::Tasks,
};

/// Pause between questions for a configuration; a document takes a few
/// milliseconds.
const CONFIGURATION_ASK_PAUSE: Duration = Duration::from_millis(100);

/// Time after a node's start in which its word on routes counts less than that of
/// nodes that have seen more.
const SETTLING_TIME: Duration = Duration::from_secs(4);

/// How long news of a route that was worked out is told again.
const NEWS_LIFETIME: Duration = Duration::from_millis(100);

/// Bytes of a head that the HTTP library takes, at least.
const HEAD_LEAST_BYTES: usize = 8 * 1024;

/// Tells a waiting call that it may run.
pub(crate) type RunPermit = oneshot::Sender<()>;

/// What the tasks of one node share; all of them run on one thread.
///
/// No borrow is held across a point at which a task waits.
#[derive(Debug)]
pub(crate) struct RoutedNode {
    pub(crate) settings: RoutedSettings,
    pub(crate) dialect: Dialect,
    pub(crate) engine: Arc<Engine>,
    pub(crate) tasks: Tasks,
    clock: SystemClock,
    pub(crate) random: RefCell<StdRng>,
    /// Where this node begins to split calls by weight, from 0 to 1.
    split_phase: f64,
    pub(crate) routes: RefCell<Option<Arc<RouteTable>>>,
    /// The configuration in force as it was read, for nodes that ask.
    pub(crate) configuration: RefCell<Option<RouteConfiguration>>,
    /// When the store is asked for configurations.
    pub(crate) store_poller: RefCell<StorePoller>,
    /// Told that the store is to be asked out of turn.
    pub(crate) store_poller_wake: Notify,
    /// What is kept of the store's returns from a copy.
    pub(super) store_restore: StoreRestore,
    /// Until when the configuration in force was the newest.
    pub(super) proof: RefCell<FreshnessProof>,
    /// By how much the clock that counts suspended time was ahead when it was read last.
    pub(super) suspended_offset: Cell<Duration>,
    /// Told of each new proof.
    pub(crate) proof_updated: Notify,
    /// When another node may next be asked for a configuration.
    next_configuration_ask: Cell<Duration>,
    pub(crate) load_balancer: RefCell<LoadBalancer>,
    pub(super) retry_budgets: RefCell<RetryBudgets>,
    /// Calls that the gate of this host hands over once more.
    pub(crate) gate_retries: RefCell<GateRetries>,
    pub(crate) links: RefCell<Links>,
    /// What runs the calls of other nodes.
    pub(super) call_workers: CallWorkers,
    pub(crate) gate: RefCell<HostGate<RunPermit>>,
    /// Told of the first call that waits for the rate limit of the backend server.
    pub(crate) limit_wait_started: Notify,
    pub(crate) lives: RefCell<BackendLives>,
    /// Whether the backend server of this host gives answers.
    pub(crate) backend_liveness: RefCell<BackendLiveness>,
    /// How fast its machine works at this moment.
    pub(crate) machine_slowdown: RefCell<MachineSlowdown>,
    /// Failures of the backend server of this host.
    pub(crate) run_failures: RefCell<RunFailures>,
    /// Sets the level of the gate of this host.
    pub(crate) level_controller: RefCell<LevelController>,
    /// From where routes to the backend server of this host are called.
    pub(crate) route_callers: RefCell<RouteCallers>,
    /// Which calls the backend server of this host makes.
    pub(crate) call_graph: RefCell<CallGraph>,
    /// The same, run by run.
    pub(crate) call_tracer: RefCell<CallTracer>,
    /// What is known of the pressure on services and of where routes lead.
    pub(crate) entry_admission: RefCell<EntryAdmission>,
    /// Requests that are held at the entry.
    pub(super) held_requests: RefCell<HeldRequests>,
    /// Who asked for how much of the room that is short.
    pub(super) fair_shares: RefCell<FairShares>,
    /// Told of the first that is held.
    pub(super) request_held: Notify,
    /// News of routes that were worked out just now.
    route_news_cache: RefCell<HashMap<String, (Duration, RouteNews)>>,
    pub(crate) backend: BackendPool,
    pub(crate) metrics: NodeMetrics,
    pub(crate) route_demand_log: RouteDemandLog,
    /// Quotas of workspaces: what this node owns and keeps.
    pub(crate) quotas: RefCell<Quotas>,
    /// The most nodes that any other one has told that it knew at the same time; 0 before that.
    pub(crate) reported_nodes_count: Cell<usize>,
    /// Keys that no workspace holds and that were shown here, or were taken away.
    pub(crate) unknown_keys: RefCell<UnknownKeys>,
    /// Requests that wait until it is known whether their keys are.
    pub(crate) key_waits_count: Cell<usize>,
    /// Second of the node's life in which the last line on a refused report was written.
    pub(crate) refused_report_second: Cell<Option<u64>>,
    /// Requests at the entry whose answers are not written yet.
    pub(crate) in_flight_count: Cell<usize>,
    /// Answers at the entry that are not written yet.
    pub(crate) held_answers: Cell<HeldAnswers>,
    /// Nodes that are known, this one included; at least one.
    pub(crate) nodes_count: Cell<usize>,
    /// Nodes that the register seems to have, by the page that was read; 0 before that.
    pub(crate) register_estimate_count: Cell<usize>,
    /// Which nodes read the store for all.
    pub(crate) readers: Cell<StoreReaders>,
    /// Where those of the own data centre take calls.
    pub(crate) near_readers: RefCell<Vec<SocketAddr>>,
    /// How far a stop has come.
    pub(crate) stop: watch::Sender<StopPhase>,
}

/// How far a stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopPhase {
    /// No stop was asked for.
    Serving,
    /// Callers are told to go elsewhere; what they send is still served.
    Leaving,
    /// Idle connections are closed.
    Closing,
    /// Nothing is under way any more, and nothing is taken.
    Ending,
}

/// The gate of this host, as the mechanisms that are on make it.
fn gate_by(mechanisms: Mechanisms) -> HostGate<RunPermit> {
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
    pub(crate) fn new(settings: RoutedSettings, dialect: Dialect, engine: Arc<Engine>) -> Rc<Self> {
        let mut random = StdRng::from_os_rng();
        let budget = settings.retry_budget;
        // Its part of the extra repeats is left out: there are few gates to a service,
        // and how many isn't known for sure.
        let at_gate = RetryBudget::new(budget.window, budget.ratio * GATE_RETRY_RATIO, 0.0);
        let gate = gate_by(settings.mechanisms);
        let census = RouteCallers::at(settings.service.clone());
        let follower = StorePoller::new(Duration::ZERO, random.random());
        let follower = match settings.bounds.revoke {
            Some(bound) => follower.with_proof_bound(bound),
            None => follower,
        };
        let held_answers = HeldAnswers::new(settings.limits.memory_bytes);
        // A longer one would end the link that is to carry it.
        let answer_limit_bytes = held_answers.answer_limit_bytes().min(BODY_LIMIT_BYTES);
        Rc::new(Self {
            store_poller: RefCell::new(follower),
            store_poller_wake: Notify::new(),
            store_restore: StoreRestore::default(),
            proof: RefCell::default(),
            suspended_offset: Cell::default(),
            proof_updated: Notify::new(),
            backend: BackendPool::new(settings.backend, answer_limit_bytes),
            split_phase: random.random(),
            load_balancer: RefCell::new(LoadBalancer::new(settings.mechanisms)),
            settings,
            dialect,
            engine,
            tasks: Tasks::default(),
            clock: SystemClock::new(),
            random: RefCell::new(random),
            routes: RefCell::default(),
            configuration: RefCell::default(),
            next_configuration_ask: Cell::default(),
            retry_budgets: RefCell::default(),
            gate_retries: RefCell::new(GateRetries::new(at_gate)),
            links: RefCell::default(),
            call_workers: CallWorkers::default(),
            gate: RefCell::new(gate),
            limit_wait_started: Notify::new(),
            lives: RefCell::default(),
            backend_liveness: RefCell::default(),
            machine_slowdown: RefCell::default(),
            run_failures: RefCell::default(),
            route_news_cache: RefCell::default(),
            level_controller: RefCell::default(),
            route_callers: RefCell::new(census),
            call_graph: RefCell::default(),
            call_tracer: RefCell::default(),
            entry_admission: RefCell::default(),
            held_requests: RefCell::default(),
            fair_shares: RefCell::default(),
            request_held: Notify::new(),
            metrics: NodeMetrics::new(),
            route_demand_log: RouteDemandLog::default(),
            quotas: RefCell::new(Quotas::new(unsuspended())),
            reported_nodes_count: Cell::new(0),
            unknown_keys: RefCell::default(),
            key_waits_count: Cell::new(0),
            refused_report_second: Cell::new(None),
            in_flight_count: Cell::new(0),
            held_answers: Cell::new(held_answers),
            nodes_count: Cell::new(1),
            register_estimate_count: Cell::new(0),
            readers: Cell::default(),
            near_readers: RefCell::default(),
            stop: watch::Sender::new(StopPhase::Serving),
        })
    }

    /// Time since the node's start.
    pub(crate) fn now(&self) -> Duration {
        self.clock.monotonic()
    }

    /// Whether the configuration may be asked for from another node now.
    ///
    /// Each answer tells the version of who gave it, so without a pause one that is
    /// behind would ask hundreds of times before the first document has come.
    pub(crate) fn begin_configuration_ask(&self) -> bool {
        let now = self.now();
        let is_due = now >= self.next_configuration_ask.get();
        if is_due {
            self.next_configuration_ask
                .set(now + CONFIGURATION_ASK_PAUSE);
        }
        is_due
    }

    /// The routes in force.
    pub(crate) fn routes(&self) -> Option<Arc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// Version of the configuration in force; 0 without one.
    pub(crate) fn route_version(&self) -> RouteVersion {
        let routes = self.routes.borrow();
        routes.as_ref().map_or(0, |routes| routes.version())
    }

    /// How far this node follows the configuration, as others are told who haven't asked.
    pub(crate) fn follow_state(&self) -> FollowState {
        let follower = self.store_poller.borrow();
        FollowState {
            version: self.route_version(),
            store_era: follower.era(),
            store_answers_count: follower.answers_count(),
            proof_age_ms: None,
            nodes_count: self.nodes_count.get() as u32,
        }
    }

    /// The fleet as far as this node knows it.
    pub(crate) fn poller_fleet(&self) -> PollerFleet {
        let estimate_count = self.register_estimate_count.get();
        PollerFleet {
            nodes_count: self.nodes_count.get().max(estimate_count),
            readers: self.readers.get(),
        }
    }

    /// Puts a configuration in force, unless it is older than the one that is.
    ///
    /// Configurations come from the store and from other nodes, in any order; one
    /// that is taken late must not bring back routes that were removed.
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
            let taken_away = old.workspaces().keys_not_in(table.workspaces());
            let mut unknown_keys = self.unknown_keys.borrow_mut();
            taken_away.for_each(|key| unknown_keys.insert(self.now(), key));
        }
        let mut quotas = self.quotas.borrow_mut();
        quotas.retain(|workspace| table.workspaces().quota(workspace).is_some());
        drop(quotas);
        self.routes.replace(Some(Arc::new(table)));
        self.configuration.replace(Some(configuration));
        self.update_proof(|proof| proof.on_applied(version));
        self.metrics.count("configuration", from);
        log::info!(event = "configuration_in_force", version = version, from = from;
            "a newer configuration is in force");
    }

    /// Bytes of a head that the HTTP library takes from callers.
    pub(crate) fn head_limit_bytes(&self) -> usize {
        let routes = self.routes();
        let limit_bytes = routes.map_or(0, |routes| routes.limits().head_limit_bytes);
        limit_bytes.max(HEAD_LEAST_BYTES)
    }

    /// Whether the node stops.
    pub(crate) fn stop_phase(&self) -> StopPhase {
        *self.stop.borrow()
    }

    /// How busy the backend server of this host is.
    pub(crate) fn gate_report(&self) -> GateReport {
        let level = self.level_controller.borrow().level();
        let failed_ratio = self.run_failures.borrow().ratio();
        let slowdown_ratio = self.machine_slowdown.borrow().ratio(self.now());
        GateReport {
            failed_permille: (failed_ratio * 1_000.0) as u16,
            pace_permille: (slowdown_ratio.unwrap_or_default() * 1_000.0) as u16,
            ..self.gate.borrow().report(self.now(), level)
        }
    }

    /// Whether a mechanism decides here.
    pub(crate) fn is_on(&self, mechanism: Mechanism) -> bool {
        self.settings.mechanisms.is_on(mechanism)
    }

    /// What this node has learnt of a route to the backend server of this host.
    ///
    /// It is worked out anew a few times a second: it takes a fit over all routes of
    /// the service, and each answer may tell it.
    pub(crate) fn route_news(&self, route: &str) -> RouteNews {
        let now = self.now();
        if let Some((told, news)) = self.route_news_cache.borrow().get(route)
            && now < *told + NEWS_LIFETIME
        {
            return news.clone();
        }
        let news = self.fresh_news(now, route);
        let mut known = self.route_news_cache.borrow_mut();
        known.retain(|_, (told, _)| now < *told + NEWS_LIFETIME);
        known.insert(String::from(route), (now, news.clone()));
        news
    }

    fn fresh_news(&self, now: Duration, route: &str) -> RouteNews {
        let services_count = self.load_balancer.borrow().services_count();
        let levels = self.entry_admission.borrow();
        let own = self.own_demand(route);
        let mut leads_to = BTreeMap::from([(own.service.clone(), own)]);
        let (rows, is_traced) = self.call_rows(now, route);
        for row in rows {
            // Before it was known that people use a route, its calls were counted.
            if levels.is_from_outside(now, &row.callee) != Some(false) {
                continue;
            }
            for demand in levels.all_demands(now, &row.callee) {
                let demand = demand.scaled(row.calls_per_run as f32);
                let known = leads_to.entry(demand.service.clone()).or_default();
                *known = demand.and(known);
            }
        }
        let is_young = now < SETTLING_TIME;
        RouteNews {
            is_settled: is_traced || (!is_young && self.call_graph.borrow().is_settled()),
            is_from_outside: self.route_callers.borrow().is_from_outside(
                now,
                route,
                services_count,
            ),
            leads_to: leads_to.into_values().collect(),
        }
    }

    /// What one run of a route asks of the backend server of this host.
    fn own_demand(&self, route: &str) -> ServiceDemand {
        let gate = self.gate.borrow();
        let work = gate.run_times().route_mean(route).unwrap_or_default();
        ServiceDemand {
            service: self.settings.service.clone(),
            calls: 1.0,
            work_us: u32::try_from(work.as_micros()).unwrap_or(u32::MAX),
        }
    }

    /// What one run of a route calls, and whether all of it was seen run by run.
    fn call_rows(&self, now: Duration, route: &str) -> (Vec<CallEdge>, bool) {
        let fitted = self.call_graph.borrow().edges(route);
        if !self.is_on(Mechanism::TracedCalls) {
            return (fitted, false);
        }
        let tracer = self.call_tracer.borrow();
        let Some(mut rows) = tracer.edges(now, route) else {
            return (fitted, false);
        };
        // Routes whose deadlines tell nothing are left to the fit. While it has not seen enough,
        // what is known run by run is not all: taken for all, it says of a route that it leads
        // nowhere.
        rows.extend(
            fitted
                .into_iter()
                .filter(|row| !tracer.is_traceable(&row.callee)),
        );
        let is_all = self
            .call_graph
            .borrow()
            .callees()
            .all(|callee| tracer.is_traceable(callee));
        (rows, is_all)
    }

    /// Address at which other nodes reach this one's links.
    pub(crate) fn links_address(&self) -> SocketAddr {
        self.settings.listen.links
    }
}
