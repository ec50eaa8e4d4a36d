//! Settings of a backend server.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{Call, HealthReport, LoadReportMode, RunningBackendServer, ServiceTime};
use crate::EffectLedger;

/// Settings of a stand-in for a backend server.
///
/// # Examples
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> eyre::Result<()> {
/// use std::time::Duration;
///
/// use kumquatquay_standins::{BackendServer, Call, ServiceTime};
///
/// let server = BackendServer::new("pitwatch")
///     .slots_count(25)
///     .service_time(ServiceTime::Fixed(Duration::from_millis(10)))
///     .call(Call::read("archive"))
///     .start()
///     .await?;
/// assert!(server.address().ip().is_loopback());
/// server.stop();
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
#[must_use]
pub struct BackendServer {
    pub(crate) service: String,
    pub(crate) egress: Option<SocketAddr>,
    pub(crate) slots_count: u32,
    pub(crate) connections_count: u32,
    pub(crate) queue_count: u32,
    pub(crate) service_time: ServiceTime,
    pub(crate) cold_start: Duration,
    pub(crate) cold_factor: f64,
    pub(crate) calls: Vec<Call>,
    pub(crate) announce_interval: Duration,
    pub(crate) restart_pause: Duration,
    pub(crate) health: HealthReport,
    pub(crate) load: LoadReportMode,
    pub(crate) refuses_after_run: bool,
    pub(crate) passes_on_refusals: bool,
    pub(crate) swaps_answers: bool,
    pub(crate) ledger: Arc<EffectLedger>,
    pub(crate) random_seed: u64,
}

/// # Place
impl BackendServer {
    /// A backend server of a service: 8 slots, 10 ms a request.
    pub fn new(service: impl Into<String>) -> Self {
        Self {
            service: service.into(),
            egress: None,
            slots_count: 8,
            connections_count: 256,
            queue_count: 16,
            service_time: ServiceTime::Fixed(Duration::from_millis(10)),
            cold_start: Duration::ZERO,
            cold_factor: 1.0,
            calls: Vec::new(),
            announce_interval: Duration::from_millis(500),
            restart_pause: Duration::from_millis(500),
            health: HealthReport::Honest,
            load: LoadReportMode::Honest,
            refuses_after_run: false,
            passes_on_refusals: false,
            swaps_answers: false,
            ledger: Arc::default(),
            random_seed: 0,
        }
    }

    /// Egress listener of the node on its host: where it announces itself and
    /// sends its calls.
    pub fn egress(mut self, egress: SocketAddr) -> Self {
        self.egress = Some(egress);
        self
    }

    /// Time between two announcements.
    pub fn announce_interval(mut self, interval: Duration) -> Self {
        self.announce_interval = interval;
        self
    }

    /// Where runs and broken promises are noted.
    pub fn ledger(mut self, ledger: Arc<EffectLedger>) -> Self {
        self.ledger = ledger;
        self
    }

    /// Seed of its random choices.
    pub fn random_seed(mut self, seed: u64) -> Self {
        self.random_seed = seed;
        self
    }
}

/// # Capacity
impl BackendServer {
    /// Requests that it runs at the same time.
    pub fn slots_count(mut self, slots_count: u32) -> Self {
        self.slots_count = slots_count.max(1);
        self
    }

    /// Connections that it says it accepts.
    pub fn connections_count(mut self, connections_count: u32) -> Self {
        self.connections_count = connections_count;
        self
    }

    /// Requests that may wait for a slot; beyond, it sheds.
    pub fn queue_count(mut self, queue_count: u32) -> Self {
        self.queue_count = queue_count;
        self
    }

    /// Time that it works on a request itself.
    pub fn service_time(mut self, service_time: ServiceTime) -> Self {
        self.service_time = service_time;
        self
    }

    /// For this long after a start its service time is multiplied by `factor`.
    pub fn cold_start(mut self, duration: Duration, factor: f64) -> Self {
        self.cold_start = duration;
        self.cold_factor = factor;
        self
    }

    /// Adds a call that it makes, through its node, half-way in each request.
    pub fn call(mut self, call: Call) -> Self {
        self.calls.push(call);
        self
    }
}

/// # Faults
impl BackendServer {
    /// What `GET /health` says.
    pub fn health(mut self, health: HealthReport) -> Self {
        self.health = health;
        self
    }

    /// What `GET /load` says.
    pub fn load(mut self, load: LoadReportMode) -> Self {
        self.load = load;
        self
    }

    /// Answers 503 after it ran a request, without the statement of not run.
    pub fn refuses_after_run(mut self, refuses_after_run: bool) -> Self {
        self.refuses_after_run = refuses_after_run;
        self
    }

    /// Copies the status and the system's headers of a failed call into its
    /// own answer.
    pub fn passes_on_refusals(mut self, passes_on_refusals: bool) -> Self {
        self.passes_on_refusals = passes_on_refusals;
        self
    }

    /// Answers each request with the marker of the one before it.
    pub fn swaps_answers(mut self, swaps_answers: bool) -> Self {
        self.swaps_answers = swaps_answers;
        self
    }

    /// Time from a crash until it listens again.
    pub fn restart_pause(mut self, pause: Duration) -> Self {
        self.restart_pause = pause;
        self
    }
}

/// # Life
impl BackendServer {
    /// Listens on a free port on loopback and begins to announce itself.
    ///
    /// # Errors
    ///
    /// If no port is free.
    pub async fn start(self) -> eyre::Result<RunningBackendServer> {
        RunningBackendServer::start(self).await
    }
}
