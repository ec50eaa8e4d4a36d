//! How fast a change of the configuration is in force everywhere.

mod spread_run;

pub use spread_run::{SpreadReport, run_spread};
