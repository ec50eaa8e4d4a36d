//! Overload control: request ledgers, retry allowances, admission levels and load balancing.

mod class_set;
mod controller;
mod endpoint;
mod generational_cache;
mod ledger;
mod ledger_table;
mod level_controller;
mod load_balancing;
mod observed_level;
mod overload_table;
mod retry_after;
mod retry_allowance;
mod retry_budget;
mod route;
mod service_table;

pub(crate) use controller::{
    highest_level, known_levels, levels_to_gossip, observe_gate_level, observe_levels,
    on_level_rumour, on_tick, own_level, refusing_service,
};
pub(crate) use endpoint::Endpoint;
pub(crate) use generational_cache::GenerationalCache;
pub(crate) use ledger::Ledger;
pub(crate) use ledger_table::LedgerTable;
pub(crate) use level_controller::{GateCapacity, LevelController};
pub(crate) use load_balancing::{
    EndpointResult, PickCriteria, PickedEndpoint, endpoint_at, on_ended, on_sent, pick,
};
pub(crate) use overload_table::OverloadTable;
pub(crate) use retry_after::retry_after;
pub(crate) use route::{Route, RouteKey, route_key};
pub(crate) use service_table::ServiceId;
