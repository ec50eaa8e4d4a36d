//! Decisions for calls on configured routes, without a network.

mod backend_lives;
mod backend_pulse;
mod call_graph;
mod call_haste;
mod call_mesh;
mod call_tracer;
mod caller_census;
mod entry_levels;
mod entry_queue;
mod failing_server;
mod fair_shares;
mod gate_repeats;
mod held_answers;
mod host_gate;
mod level_setter;
mod limited_service;
mod link_health;
mod log_read;
mod machine_pace;
mod mechanisms;
mod newest_proof;
mod proof_fleet;
mod register_course;
mod request_row;
mod retry_window;
mod return_time;
mod route_table;
mod route_works;
mod run_failures;
mod server_limit;
mod split;
mod store_eras;
mod store_follower;
mod store_readers;
mod store_returns;
mod target_table;
mod unknown_keys;
mod work_load;
mod workspaces;

use std::time::Duration;

/// Time since a node's start.
fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
