//! A node that carries calls on configured routes.
//!
//! Callers and the backend server of this host send calls to the entry listener.
//! A call on a route goes to the node beside a backend server of the route's
//! service, over a link that the two nodes keep, and that node hands it to its
//! backend server when there is room. Who the members are is found out by the same
//! membership as in a node with intents.
//!
//! The platform on which the nodes run fills two interfaces: [`Dialect`], how
//! requests and reports are written, and [`PlatformStore`], where what lasts is
//! kept.

mod admission;
mod backend_pool;
mod buffer_pool;
mod call_workers;
mod caller_connection;
mod caller_identity;
mod configuration_exchange;
mod count_guard;
mod entry;
mod forwarding;
mod held_requests;
mod http_io;
mod initial_health_check;
mod interface;
mod link;
mod link_answer;
mod link_frames;
mod link_server;
mod local_run;
mod members;
mod metrics_text;
mod node;
mod node_metrics;
mod pipelining;
mod proofs;
mod quotas;
mod reports;
mod request_frame;
mod request_log;
mod retry_budgets;
mod route_demand_log;
mod routes_watch;
mod server_notices;
mod settings;
mod start;
mod started_request;
mod store_restore;

pub use interface::{
    AnswerMetadata, BackendReport, ConfigurationRead, Dialect, ForwardedMetadata, ObservedEras,
    PlatformStore, RegisterPage, RequestMetadata, StoreError, StoreFuture,
};
pub use settings::{
    ListenAddresses, ResourceLimits, RetryBudgetSettings, RoutedSettings, TimeBounds,
};
pub use start::run;
