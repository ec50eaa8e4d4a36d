//! From samples to measures.

mod arm_report;
mod counts;
mod recovery;
mod series;
mod summary;

pub use arm_report::ArmReport;
pub use counts::DeploymentCounts;
pub use recovery::recovery_s;
pub use series::{SeriesPoint, series};
pub use summary::{Observed, summarize};
