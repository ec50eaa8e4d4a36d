//! Text format of the node's metrics.

use std::fmt::Write;

use super::{node::RoutedNode, quotas::nodes_count};

/// Latency quantiles to export.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

/// Formats the counters, latencies and gauges of a node, one per line.
pub(crate) fn metrics_text(node: &RoutedNode) -> String {
    let mut text = String::new();
    for ((what, why), count) in node.metrics.counts() {
        let _ = writeln!(text, "kumquatquay_{what}_total{{why=\"{why}\"}} {count}");
    }
    for quantile in QUANTILES {
        let latency_ms = node.metrics.latency_quantile(quantile).as_secs_f64() * 1_000.0;
        let _ = writeln!(
            text,
            "kumquatquay_served_latency_ms{{quantile=\"{quantile}\"}} {latency_ms:.1}"
        );
    }
    let report = node.gate_report();
    let server_limit = node.gate.borrow().rate_limit().per_s();
    let waiting_work = node.gate.borrow().state().waiting_work;
    let time_since_answer = node.store_poller.borrow().time_since_answer(node.now());
    let store_era = node.store_poller.borrow().era().unwrap_or_default();
    let is_store_behind = node.proof.borrow().is_store_behind();
    let proof_age = node.proof_age().unwrap_or_default();
    let quota_nodes_count = nodes_count(node).unwrap_or_default();
    let (suspects_count, quarantined_count) = node.engine.quarantine_counts();
    let gauges = [
        ("in_flight", node.in_flight_count.get() as u64),
        ("held_answer_bytes", node.held_answers.get().bytes() as u64),
        ("body_bytes", node.memory.held_bytes() as u64),
        ("body_bytes_most", node.memory.most_held_bytes() as u64),
        ("caller_connections", node.caller_slots.count() as u64),
        (
            "caller_connections_bytes",
            node.memory.connections_bytes() as u64,
        ),
        (
            "held_requests",
            node.held_requests.borrow().held_count() as u64,
        ),
        (
            "held_request_bytes",
            node.held_requests.borrow().held_bytes() as u64,
        ),
        ("gate_running", u64::from(report.running_count)),
        ("gate_waiting", u64::from(report.waiting_count)),
        ("gate_waiting_work_ms", waiting_work.as_millis() as u64),
        ("gate_limit", u64::from(report.limit_count)),
        ("gate_work_us", u64::from(report.work_us)),
        ("gate_level_permille", u64::from(report.level_permille)),
        ("gate_pace_permille", u64::from(report.slowdown_permille)),
        ("route_version", node.route_version()),
        ("store_era", store_era),
        ("store_behind", u64::from(is_store_behind)),
        ("store_unheard_ms", time_since_answer.as_millis() as u64),
        ("proof_age_ms", proof_age.as_millis() as u64),
        ("quota_nodes", quota_nodes_count as u64),
        ("suspected_requests", suspects_count as u64),
        ("quarantined_requests", quarantined_count as u64),
        ("links", node.links.borrow().len() as u64),
    ];
    for (name, value) in gauges {
        let _ = writeln!(text, "kumquatquay_{name} {value}");
    }
    if let Some(per_s) = server_limit {
        let _ = writeln!(text, "kumquatquay_server_limit_per_s {per_s}");
    }
    for route_run_time in node.gate.borrow().run_times().routes() {
        let (route, work_us) = (route_run_time.route, route_run_time.run_time.as_micros());
        let _ = writeln!(
            text,
            "kumquatquay_gate_route_work_us{{route={route:?}}} {work_us}"
        );
    }
    text
}
