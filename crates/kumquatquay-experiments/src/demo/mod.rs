//! The demonstration: two deployments, with and without control.

mod demo_run;
mod demo_table;

pub use demo_run::{DemoArm, DemoResult, run_demo};
pub use demo_table::demo_table;
