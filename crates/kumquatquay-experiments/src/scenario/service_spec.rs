//! A service of an experiment.

use std::time::Duration;

use kumquatquay_standins::{Call, HealthReport, LoadReportMode, ServiceTime};

/// A service: its hosts, their backend servers and the calls that these make.
#[derive(Clone, Debug)]
#[must_use]
pub struct ServiceSpec {
    /// Its name.
    pub name: String,
    /// Hosts at the start.
    pub hosts_count: usize,
    /// Slots of each backend server.
    pub slots_count: u32,
    /// Requests that wait at each backend server before it sheds.
    pub queue_count: u32,
    /// Time that a backend server works on a request itself.
    pub service_time: ServiceTime,
    /// Calls to other services.
    pub calls: Vec<Call>,
    /// How long a new backend server is cold, and how much slower it is then.
    pub cold_start: Option<(Duration, f64)>,
    /// What its load endpoints say, by host; the last goes for the rest.
    pub load_reports: Vec<LoadReportMode>,
    /// What its health endpoints say, by host; the last goes for the rest.
    pub health_reports: Vec<HealthReport>,
    /// Time from a crash of a backend server until it listens again.
    pub restart_pause: Duration,
}

/// Requests that wait at a backend server, for each slot: it accepts about
/// seven connections a slot, as the services of both deployments do.
const WAITING_PER_SLOT: u32 = 6;

impl ServiceSpec {
    /// Two hosts with 8 slots of 10 ms each.
    pub fn new(name: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            hosts_count: 2,
            slots_count: 8,
            queue_count: 8 * WAITING_PER_SLOT,
            service_time: ServiceTime::Exponential(Duration::from_millis(10)),
            calls: Vec::new(),
            cold_start: None,
            load_reports: Vec::new(),
            health_reports: Vec::new(),
            restart_pause: Duration::from_secs(1),
        }
    }

    /// Hosts at the start.
    pub fn hosts_count(mut self, hosts_count: usize) -> Self {
        self.hosts_count = hosts_count;
        self
    }

    /// Slots of each backend server; its queue is in proportion.
    pub fn slots_count(mut self, slots_count: u32) -> Self {
        self.slots_count = slots_count;
        self.queue_count = slots_count * WAITING_PER_SLOT;
        self
    }

    /// Mean of the exponential service time, in milliseconds.
    pub fn service_time_ms(mut self, mean_ms: u64) -> Self {
        self.service_time = ServiceTime::Exponential(Duration::from_millis(mean_ms));
        self
    }

    /// Adds a call.
    pub fn call(mut self, call: Call) -> Self {
        self.calls.push(call);
        self
    }

    /// For this long a new backend server is slower by a factor.
    pub fn cold_start(mut self, duration: Duration, factor: f64) -> Self {
        self.cold_start = Some((duration, factor));
        self
    }

    /// What its load endpoints say, by host.
    pub fn load_reports(mut self, reports: Vec<LoadReportMode>) -> Self {
        self.load_reports = reports;
        self
    }

    /// What its health endpoints say, by host.
    pub fn health_reports(mut self, reports: Vec<HealthReport>) -> Self {
        self.health_reports = reports;
        self
    }

    /// Connections that each backend server accepts.
    pub fn connections_count(&self) -> u32 {
        self.slots_count + self.queue_count
    }

    /// Requests a second that all its hosts together can run.
    pub fn capacity_per_s(&self) -> f64 {
        let slots = self.hosts_count as f64 * f64::from(self.slots_count);
        slots / self.service_time.mean().as_secs_f64()
    }
}
