//! Ledgers, retry allowance, levels and routing.

mod class_set;
mod controller;
mod generational_cache;
mod ledger;
mod ledger_table;
mod level_controller;
mod observed_level;
mod overload_table;
mod retry_after;
mod retry_allowance;
mod retry_budget;
mod route;
mod routing;
mod service_table;
mod target;

pub(crate) use controller::{
    highest_level, known_levels, levels_to_gossip, observe_gate_level, observe_levels,
    on_level_rumour, on_tick, own_level, refusing_service,
};
pub(crate) use generational_cache::GenerationalCache;
pub(crate) use ledger::Ledger;
pub(crate) use ledger_table::LedgerTable;
pub(crate) use level_controller::{GateCapacity, LevelController};
pub(crate) use overload_table::OverloadTable;
pub(crate) use retry_after::retry_after;
pub(crate) use route::{Route, RouteKey, route_key};
pub(crate) use routing::{Choice, TargetResult, Wanted, choice_of, choose, on_ended, on_sent};
pub(crate) use service_table::ServiceId;
pub(crate) use target::Target;
