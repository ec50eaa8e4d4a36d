//! Tests of the decisions for calls on configured routes, without a network.

mod backend_liveness;
mod backend_lives;
mod call_graph;
mod call_mesh;
mod call_tracer;
mod caller_census;
mod entry_admission;
mod entry_queue;
mod failing_server;
mod fair_shares;
mod gate_retries;
mod held_answers;
mod host_gate;
mod level_controller;
mod link_health;
mod load_balancer;
mod log_read;
mod machine_slowdown;
mod mechanisms;
mod mixed_deadlines;
mod newest_proof;
mod proof_fleet;
mod rate_limited_service;
mod register_course;
mod request_row;
mod retry_budget;
mod return_time;
mod route_run_times;
mod route_table;
mod run_failures;
mod server_rate_limit;
mod store_eras;
mod store_follower;
mod store_readers;
mod store_returns;
mod unknown_keys;
mod weighted_split;
mod work_based_load;
mod workspaces;

use std::time::Duration;

/// Time since a node's start.
fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
