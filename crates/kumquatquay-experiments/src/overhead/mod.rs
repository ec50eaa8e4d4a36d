//! The time that two nodes add to a call.

mod overhead_run;
mod processor_time;

pub use overhead_run::{OverheadReport, OverheadSettings, run_overhead};
