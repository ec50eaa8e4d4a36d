//! Recent refusals, explained to operators.

mod controller;
mod refusal_table;

pub(crate) use controller::{RefusedCall, explain, record};
pub(crate) use refusal_table::RefusalTable;
