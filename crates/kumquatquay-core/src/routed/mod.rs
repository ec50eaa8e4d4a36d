//! Decisions for calls on configured routes.
//!
//! A [`RouteConfiguration`](kumquatquay_wire::routed::RouteConfiguration) sends calls
//! by host and path to services, with a timeout, a priority and a number of attempts
//! each. This module decides where each call goes, who waits, who is refused and what
//! is sent once more. It needs no network: the daemon carries the bytes and tells the
//! time.

mod backend_lives;
mod backend_pulse;
mod call_graph;
mod call_tracer;
mod entry_levels;
mod entry_queue;
mod era_tracker;
mod fair_shares;
mod freshness_proof;
mod gate_repeats;
mod held_answers;
mod host_gate;
mod level_setter;
mod link_health;
mod log_read;
mod machine_pace;
mod mechanisms;
mod offered_load;
mod out_of_line;
mod pooled_news;
mod register_bootstrap;
mod reported_lives;
mod request_pipeline;
mod retry_after;
mod retry_window;
mod route_callers;
mod route_table;
mod route_works;
mod run_failures;
mod server_limit;
mod service_levels;
mod split;
mod store_poller;
mod store_readers;
mod target_table;
mod time_needed;
mod unknown_keys;
mod workspaces;

pub use backend_lives::{BackendLives, LifeReport, LifeState, ReportError};
pub use backend_pulse::BackendPulse;
pub use call_graph::{CallEdge, CallGraph};
pub use call_tracer::{CallTracer, RunId};
pub use entry_levels::{EntryLevels, EntryRequest, ServiceWork, Shortage};
pub use entry_queue::{
    EntryLine, EntryQueue, HoldKey, HoldOffer, HoldOutcome, HoldRequest, Released,
};
pub use era_tracker::{EraChange, EraTracker};
pub use fair_shares::{FairShares, ShareGroup};
pub use freshness_proof::{FreshnessProof, PeerProof};
pub use gate_repeats::{GateRepeats, TurnedAwayCall};
pub use held_answers::HeldAnswers;
pub use host_gate::{Admission, BackendLoad, GateCall, HostGate, QueueOrder, WaitKey};
pub use level_setter::{GateState, LevelSetter};
pub use link_health::{LinkAction, LinkHealth};
pub use log_read::{LogAnswer, LogPage, LogPosition, LogRead, LogStep};
pub use machine_pace::MachinePace;
pub use mechanisms::{Mechanism, Mechanisms, UnknownMechanism};
pub use out_of_line::LineChange;
pub use register_bootstrap::{
    RegisterBootstrap, RegisterPageSummary, RegisterPosition, RegisterStep, register_position,
};
pub use request_pipeline::{PipelineLimits, PipelinedRequest, RequestPipeline};
pub use retry_after::RetryAfter;
pub use retry_window::RetryWindow;
pub use route_callers::RouteCallers;
pub use route_table::{RouteEntry, RouteTable};
pub use route_works::{RouteRun, RouteWorks};
pub use run_failures::RunFailures;
pub use server_limit::{AdvertisedLimit, LimitChange, ServerLimit};
pub use split::Split;
pub use store_poller::{PollStep, PollerFleet, StorePoller};
pub use store_readers::StoreReaders;
pub use target_table::{Choice, Target, TargetEnded, TargetTable};
pub use unknown_keys::UnknownKeys;
pub use workspaces::{KeyClaim, KeyVerdict, Workspaces, whole_rank};
