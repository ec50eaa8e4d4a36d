//! A node that forwards calls on configured routes.
//!
//! Callers and the backend server of this host send calls to the entry listener. A call on a
//! route is forwarded over a link to a node whose host runs a backend server of the route's
//! service; that node passes it to its backend server when there is room. Nodes find each other
//! by the same membership as nodes with intents.
//!
//! A platform implements two interfaces: [`Dialect`], the format of requests and reports, and
//! [`PlatformStore`], the access to durable data.

mod admission;
mod arrivals;
mod attempt;
mod backend_death;
mod backend_pool;
mod backend_run;
mod body_buffer;
mod body_reader;
mod bounded_read;
mod buffer_pool;
mod call_fingerprint;
mod call_workers;
mod caller_connection;
mod caller_identity;
mod caller_slots;
mod configuration_exchange;
mod count_guard;
mod crash_guard;
mod doubtful_lives;
mod entry;
mod forwarding;
mod freshness;
mod gate_slot;
mod health_check;
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
mod node_memory;
mod node_metrics;
mod operator;
mod outgoing_call;
mod pipelining;
mod quarantine_keeping;
mod quotas;
mod received_body;
mod repeat_admission;
mod reported_shutdowns;
mod reports;
mod request_frame;
mod request_log;
mod route_demand_log;
mod server_notices;
mod settings;
mod shutdown;
mod start;
mod started_request;
mod store_polling;
mod store_restore;

pub use bounded_read::{BoundedStream, ReadMeter};
pub use interface::{
    AnswerMetadata, BackendReport, ConfigurationRead, CrashesRead, Dialect, ForwardedMetadata,
    ObservedEras, PlatformStore, RegisterPage, RequestMetadata, StoreError, StoreFuture,
    StoredCrash,
};
pub use settings::{
    ListenAddresses, ResourceLimits, RetryBudgetSettings, RoutedSettings, TimeBounds,
};
pub use start::run;
