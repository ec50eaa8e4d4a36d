//! Backend servers.

mod announcer;
mod backend_server;
mod call;
mod egress_client;
mod handler;
mod reports;
mod running_backend_server;
mod service_time;
mod statistics;
mod work;

pub use backend_server::BackendServer;
pub use call::Call;
pub use reports::{HealthReport, LoadReportMode};
pub use running_backend_server::RunningBackendServer;
pub use service_time::ServiceTime;
pub use statistics::BackendStatistics;
