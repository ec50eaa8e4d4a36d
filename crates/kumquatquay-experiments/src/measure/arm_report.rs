//! Measures of one arm.

use std::collections::BTreeMap;

use serde::Serialize;

use super::SeriesPoint;
use crate::load::LatencyReport;

/// Measures of one arm of an experiment, as it stands in the JSON.
///
/// Ratios by class are of the trigger phase; a class is a caller. Requests
/// that are meant to crash backend servers are left out of goodput.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ArmReport {
    /// Requests a second that the service with the least capacity can run
    /// while the trigger lasts.
    pub capacity_per_s: f64,
    /// Requests completed a second in the normal phase.
    pub normal_goodput_per_s: f64,
    /// Requests offered a second in the trigger phase.
    pub trigger_offered_per_s: f64,
    /// Requests completed a second in the trigger phase.
    pub trigger_goodput_per_s: f64,
    /// The same in the second half of the trigger phase, once limits have
    /// settled.
    pub trigger_second_half_goodput_per_s: f64,
    /// Goodput in the trigger phase over that of the normal phase.
    pub goodput_ratio: f64,
    /// Goodput in the trigger phase over the capacity of the bottleneck.
    pub capacity_ratio: f64,
    /// Share of the requests after the trigger that completed.
    pub after_good_ratio: f64,
    /// Share of each class that completed.
    pub goodput_by_class: BTreeMap<String, f64>,
    /// Share of each class that was refused as not run.
    pub refused_by_class: BTreeMap<String, f64>,
    /// Requests that did not complete, by reason or ending, over all phases.
    pub failures_count_by_reason: BTreeMap<String, u64>,
    /// Most arrivals at backend servers of one request as sent at the entry.
    pub attempts_per_request_max: u32,
    /// The same on average.
    pub attempts_per_request_mean: f64,
    /// Arrivals of a request if nothing fails, for the longest chain.
    pub clean_attempts_per_request_count: u32,
    /// Sends of one request by its caller, on average.
    pub sends_per_request_mean: f64,
    /// Share of the backend time of the trigger phase's requests that went
    /// into sends that did not complete.
    pub wasted_work_ratio: f64,
    /// Time until goodput was back to normal; null if it was not.
    pub recovery_s: Option<f64>,
    /// Requests that the gates of the bottleneck let run in the trigger phase,
    /// all its hosts together, on average.
    pub gate_limit_mean_count: f64,
    /// Requests that run behind them.
    pub gate_running_mean_count: f64,
    /// Requests that wait at them.
    pub gate_queued_mean_count: f64,
    /// Latencies of completed requests in the normal phase.
    pub normal_latency: LatencyReport,
    /// Latencies of completed requests in the trigger phase.
    pub trigger_latency: LatencyReport,
    /// Effects that ran more than once.
    pub ran_twice: usize,
    /// Answers that belonged to another call.
    pub foreign_answers: usize,
    /// Calls that ran though their caller was told that they did not.
    pub not_run_but_ran: usize,
    /// Requests whose connection or answer broke off.
    pub flights_cut: u64,
    /// Time from a drain to the last arrival at the backend server.
    pub work_after_leave_s: Option<f64>,
    /// Requests that were meant to crash backend servers.
    pub crashing_requests_count: usize,
    /// Times that a backend server crashed.
    pub backend_servers_crashed: u64,
    /// Requests that backend servers refused themselves.
    pub backend_shed_count: u64,
    /// Requests that backend servers ran past their deadline.
    pub backend_expired_count: u64,
    /// Requests that backend servers dropped because they were cancelled.
    pub backend_cancelled_count: u64,
    /// Records appended to the log a second.
    pub log_appends_per_s: f64,
    /// Time from a host's death to the last request that failed by it.
    pub detection_s: Option<f64>,
    /// Control messages that a node sent.
    pub control_bytes_per_s_per_node: Option<f64>,
    /// Goodput over time.
    pub series: Vec<SeriesPoint>,
}

impl ArmReport {
    /// Whether no promise was broken.
    pub fn is_kept(&self) -> bool {
        self.ran_twice + self.foreign_answers + self.not_run_but_ran == 0
    }
}
