//! What a deployment counted while the load ran.

use kumquatquay_standins::{BackendStatistics, PromiseReport};

/// What nodes, backend servers and the log counted in one arm.
#[derive(Clone, Debug, Default)]
pub struct DeploymentCounts {
    /// One for each backend server, those that left included.
    pub servers: Vec<BackendStatistics>,
    /// Broken promises.
    pub promises: PromiseReport,
    /// Records appended to the log while the load ran.
    pub log_appends_count: u64,
    /// Bytes of control messages that nodes sent, and the nodes.
    pub control_bytes_count: Option<u64>,
    /// Nodes at the end.
    pub nodes_count: usize,
    /// Host deaths: seconds since the start of the load.
    pub deaths_s: Vec<f64>,
}
