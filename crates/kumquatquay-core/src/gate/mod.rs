//! The gate: admits, queues and limits the work that the backend server of this host runs.

mod admission;
mod answer;
mod caller_limits;
mod concurrency_limit;
mod controller;
mod gate_queue;
mod gate_table;
mod work;

pub(crate) use admission::refuse_all_at_end;
use caller_limits::CallerLimits;
use concurrency_limit::ConcurrencyLimit;
pub(crate) use controller::{on_backend, on_input, on_tick};
use gate_queue::GateQueue;
pub(crate) use gate_table::GateTable;
use work::{RunningWork, Work};
