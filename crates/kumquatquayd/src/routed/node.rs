//! What the tasks of one node share.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use kumquatquay_core::{
    Clock,
    routed::{BackendLives, HostGate, RetryWindow, RouteTable, TargetTable},
};
use kumquatquay_wire::{
    ServiceName,
    routed::{RouteConfiguration, RouteVersion},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::sync::{oneshot, watch};

use super::{
    backend_pool::BackendPool, decisions::Decisions, interface::Dialect, link::Links,
    settings::RoutedSettings,
};
use crate::{clock::SystemClock, engine::Engine};

/// Pause between questions for a configuration; a document takes a few
/// milliseconds.
const CONFIGURATION_ASK_PAUSE: Duration = Duration::from_millis(100);

/// Tells a waiting call that it may run.
pub(crate) type RunTicket = oneshot::Sender<()>;

/// What the tasks of one node share; all of them run on one thread.
///
/// No borrow is held across a point at which a task waits.
#[derive(Debug)]
pub(crate) struct RoutedNode {
    pub(crate) settings: RoutedSettings,
    pub(crate) dialect: Dialect,
    pub(crate) engine: Arc<Engine>,
    clock: SystemClock,
    pub(crate) random: RefCell<StdRng>,
    /// Where this node begins to split calls by weight, from 0 to 1.
    phase: f64,
    pub(crate) routes: RefCell<Option<Arc<RouteTable>>>,
    /// The configuration in force as it was read, for nodes that ask.
    pub(crate) configuration: RefCell<Option<RouteConfiguration>>,
    /// When another node may next be asked for a configuration.
    next_ask: Cell<Duration>,
    pub(crate) targets: RefCell<TargetTable>,
    pub(crate) retries: RefCell<HashMap<ServiceName, RetryWindow>>,
    pub(crate) links: RefCell<Links>,
    pub(crate) gate: RefCell<HostGate<RunTicket>>,
    pub(crate) lives: RefCell<BackendLives>,
    pub(crate) backend: BackendPool,
    pub(crate) decisions: Decisions,
    /// Requests at the entry that have no answer yet.
    pub(crate) in_flight_count: Cell<usize>,
    /// Nodes that are known, this one included; at least one.
    pub(crate) nodes_count: Cell<usize>,
    /// Whether the node stops: 0 no, 1 callers are asked to go, 2 connections close.
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
}

impl RoutedNode {
    pub(crate) fn new(settings: RoutedSettings, dialect: Dialect, engine: Arc<Engine>) -> Rc<Self> {
        let mut random = StdRng::from_os_rng();
        Rc::new(Self {
            backend: BackendPool::new(settings.backend),
            phase: random.random(),
            settings,
            dialect,
            engine,
            clock: SystemClock::new(),
            random: RefCell::new(random),
            routes: RefCell::default(),
            configuration: RefCell::default(),
            next_ask: Cell::default(),
            targets: RefCell::default(),
            retries: RefCell::default(),
            links: RefCell::default(),
            gate: RefCell::default(),
            lives: RefCell::default(),
            decisions: Decisions::new(),
            in_flight_count: Cell::new(0),
            nodes_count: Cell::new(1),
            stop: watch::Sender::new(StopPhase::Serving),
        })
    }

    /// Time since the node's start.
    pub(crate) fn now(&self) -> Duration {
        self.clock.now().monotonic
    }

    /// Whether the configuration may be asked for from another node now.
    ///
    /// Each answer tells the version of who gave it, so without a pause one that is
    /// behind would ask hundreds of times before the first document has come.
    pub(crate) fn may_ask_configuration(&self) -> bool {
        let now = self.now();
        let is_due = now >= self.next_ask.get();
        if is_due {
            self.next_ask.set(now + CONFIGURATION_ASK_PAUSE);
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

    /// Puts a configuration in force, unless it is older than the one that is.
    ///
    /// Configurations come from the store and from other nodes, in any order; one
    /// that is taken late must not bring back routes that were removed.
    pub(crate) fn apply(&self, configuration: RouteConfiguration, from: &'static str) {
        let version = configuration.version;
        if version <= self.route_version() {
            return;
        }
        let table = RouteTable::new(configuration.clone(), self.phase);
        self.routes.replace(Some(Arc::new(table)));
        self.configuration.replace(Some(configuration));
        self.decisions.count("configuration", from);
        log::info!(event = "configuration_in_force", version = version, from = from;
            "a newer configuration is in force");
    }

    /// Whether the node stops.
    pub(crate) fn stop_phase(&self) -> StopPhase {
        *self.stop.borrow()
    }

    /// Counts a request of a service, for its retry budget.
    pub(crate) fn count_request(&self, service: &str) {
        self.with_window(service, RetryWindow::on_request);
    }

    /// Takes a repeat out of the retry budget of a service, if there is room.
    pub(crate) fn take_repeat(&self, service: &str) -> bool {
        self.with_window(service, RetryWindow::take_repeat)
    }

    fn with_window<T>(
        &self,
        service: &str,
        act: impl FnOnce(&mut RetryWindow, Duration) -> T,
    ) -> T {
        let now = self.now();
        let budget = self.settings.retry_budget;
        let extra_count = budget.extra_count / self.nodes_count.get() as f64;
        let mut retries = self.retries.borrow_mut();
        if !retries.contains_key(service) {
            let window = RetryWindow::new(budget.window, budget.ratio, extra_count);
            retries.insert(ServiceName::from(service), window);
        }
        let window = retries.get_mut(service).expect("it was put in just now");
        window.set_extra_count(extra_count);
        act(window, now)
    }

    /// Address at which other nodes reach this one's links.
    pub(crate) fn links_address(&self) -> SocketAddr {
        self.settings.listen.links
    }
}
