//! Decisions on calls along configured routes.
//!
//! A [`RouteConfiguration`](kumquatquay_wire::routed::RouteConfiguration) maps calls to services by
//! host and path, with a timeout, a priority and a number of attempts each. This module does the
//! routing, load balancing, queueing, admission control and retries. It does no input or output
//! and reads no clock: the daemon transports the bytes and passes in the time.

mod backend_liveness;
mod backend_lives;
mod call_free_routes;
mod call_graph;
mod call_tracer;
mod carried_attempts;
mod connection_table;
mod entry_admission;
mod entry_queue;
mod era_tracker;
mod fair_shares;
mod freshness_proof;
mod gate_retries;
mod held_answers;
mod host_gate;
mod kept_shutdowns;
mod latency_estimate;
mod level_controller;
mod link_health;
mod load_balancer;
mod log_read;
mod machine_slowdown;
mod mechanisms;
mod memory_budget;
mod offered_load;
mod outlier_detector;
mod pooled_estimates;
mod register_bootstrap;
mod repeated_runs;
mod reported_lives;
mod request_pipeline;
mod retry_after;
mod retry_budget;
mod route_callers;
mod route_run_times;
mod route_table;
mod run_failures;
mod server_rate_limit;
mod service_levels;
mod shutdown_schedule;
mod sibling_services;
mod store_poller;
mod store_readers;
mod unknown_keys;
mod weighted_split;
mod workspaces;

pub use backend_liveness::BackendLiveness;
pub use backend_lives::{BackendLives, LifeReport, LifeState, NoticeScope, ReportError};
pub use call_free_routes::{CallFreeRoutes, RunStart};
pub use call_graph::{CallEdge, CallGraph};
pub use call_tracer::{CallTracer, RunId};
pub use carried_attempts::CarriedAttempts;
pub use connection_table::{ConnectionId, ConnectionStage, ConnectionTable, ConnectionTimes};
pub use entry_admission::{EntryAdmission, EntryRequest, ServiceWork, Shortage};
pub use entry_queue::{
    EntryQueue, FlowKey, HoldDecision, HoldKey, HoldRequest, ReleaseReason, ReleasedRequest,
};
pub use era_tracker::{EraChange, EraTracker};
pub use fair_shares::{FairShares, ShareGroup};
pub use freshness_proof::{FreshnessProof, PeerProof};
pub use gate_retries::{GateRetries, RejectedCall};
pub use held_answers::HeldAnswers;
pub use host_gate::{Admission, BackendLoad, GateCall, GateQueueKey, HostGate, QueueOrder};
pub use kept_shutdowns::{KeptShutdowns, kept_first, select_keepers};
pub use level_controller::{GateState, LevelController};
pub use link_health::{LinkAction, LinkHealth};
pub use load_balancer::{Endpoint, EndpointResult, LoadBalancer, PickedEndpoint};
pub use log_read::{LogAnswer, LogPage, LogPosition, LogRead, LogStep};
pub use machine_slowdown::MachineSlowdown;
pub use mechanisms::{Mechanism, Mechanisms, UnknownMechanism};
pub use memory_budget::{BodyId, BodyKind, Growth, MemoryBudget};
pub use outlier_detector::OutlierChange;
pub use register_bootstrap::{
    RegisterBootstrap, RegisterPageSummary, RegisterPosition, RegisterStep, register_position,
};
pub use repeated_runs::RepeatedRuns;
pub use request_pipeline::{PipelineLimits, PipelinedRequest, RequestPipeline};
pub use retry_after::RetryAfter;
pub use retry_budget::RetryBudget;
pub use route_callers::RouteCallers;
pub use route_run_times::{RouteRunTime, RouteRunTimes};
pub use route_table::{RouteEntry, RouteTable};
pub use run_failures::RunFailures;
pub use server_rate_limit::{AdvertisedRateLimit, RateLimitChange, ServerRateLimit};
pub use shutdown_schedule::ShutdownSchedule;
pub use sibling_services::sibling_services;
pub use store_poller::{PollStep, PollerFleet, StorePoller};
pub use store_readers::StoreReaders;
pub use unknown_keys::UnknownKeys;
pub use weighted_split::WeightedSplit;
pub use workspaces::{CallerIdentity, PresentedKey, Workspaces, request_priority};
