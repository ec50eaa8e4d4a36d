//! Outgoing calls of this node: admission, attempts, retries and answers.

mod arrival;
mod attempt;
mod call_table;
mod controller;
mod ending;
mod refusals;

pub(crate) use attempt::resume;
pub(crate) use call_table::{Call, CallTable};
pub(crate) use controller::{on_input, on_tick};
pub(crate) use ending::{cancel_for_work, finish_all};
