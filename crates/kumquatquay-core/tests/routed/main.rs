//! Tests of the decisions for calls on configured routes, without a network.

mod backend_liveness;
mod backend_lives;
mod call_free_routes;
mod call_graph;
mod call_mesh;
mod call_tracer;
mod carried_attempts;
mod connection_table;
mod entry_admission;
mod entry_queue;
mod era_tracker;
mod failing_server;
mod fair_shares;
mod fleet_freshness;
mod freshness_proof;
mod gate_retries;
mod held_answers;
mod host_gate;
mod kept_shutdowns;
mod level_controller;
mod link_health;
mod load_balancer;
mod log_read;
mod machine_slowdown;
mod mechanisms;
mod memory_budget;
mod mixed_deadlines;
mod rate_limited_service;
mod register_bootstrap;
mod repeated_runs;
mod request_pipeline;
mod retry_after;
mod retry_budget;
mod route_callers;
mod route_run_times;
mod route_table;
mod run_failures;
mod server_rate_limit;
mod shutdown_orders;
mod shutdown_schedule;
mod sibling_services;
mod store_poller;
mod store_readers;
mod store_restores;
mod unknown_keys;
mod weighted_split;
mod work_based_load;
mod workspaces;

use std::time::Duration;

/// Time since a node's start.
fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
