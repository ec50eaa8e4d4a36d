//! Results as JSON, tables and plots.

mod experiment_report;
mod measures_table;
mod merge;
mod plot;
mod table;

pub use experiment_report::ExperimentReport;
pub use measures_table::{measures_table, to_markdown};
pub use merge::{Merged, merge};
pub use plot::{Curve, write_plot};
pub use table::Table;
