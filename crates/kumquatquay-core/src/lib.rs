//! The decisions of a kumquatquay node, free of I/O, threads and clocks.
//!
//! A [`Node`] is fed [`Input`]s with the [`Moment`] at which they happened and
//! answers each with [`Output`]s for its host to carry out. The same settings,
//! seed, inputs and moments give the same outputs, so a test, a bench or a
//! daemon can host it alike.
//!
//! Inside, the [`Blackboard`] holds what the node knows, in one table for each
//! concern, and controllers are plain functions that read and write it:
//!
//! - `call`: calls that leave through this node, from arrival to answer
//! - `gate`: work for the backend server of this host
//! - `overload`: ledgers, retry allowance, levels, routing
//! - `operations`: non-idempotent operations, at most once
//! - `quarantine`: requests that crash what runs them
//! - `membership`: who is there, in this data centre and the others
//! - `configuration`: intents in force, plans and their confirmation
//! - `explain`: why requests were refused
//! - [`routed`]: calls on configured routes; a node of its own kind

#![forbid(unsafe_code)]

mod allowance_split;
mod blackboard;
mod call;
mod clock;
mod configuration;
mod counters;
mod explain;
mod gate;
mod ids;
mod input;
mod membership;
mod node;
mod node_settings;
mod operations;
mod output;
mod overload;
mod policy;
mod quarantine;
pub mod quota;
pub mod routed;
mod state_dump;

pub use allowance_split::AllowanceSplit;
pub use blackboard::Blackboard;
pub use clock::{Clock, Moment};
pub use configuration::ConfigurationDump;
pub use counters::{Counter, Counters};
pub use ids::{AppendId, AttemptId, CallId, OperatorRequestId, ReadId, WorkId};
pub use input::{
    Announcement, AnswerHead, AttemptEnded, AttemptResult, BackendInput, BulkInput, CallArrived,
    CallInput, CallOrigin, Input, IssueOperation, LogInput, LogRecord, OperatorInput, StoredAnswer,
    WorkInput, WorkResult,
};
pub use node::Node;
pub use node_settings::NodeSettings;
pub use operations::{OperationDump, OperationPolicy};
pub use output::{
    CallEnding, Note, OperationIssued, OperatorOutput, Output, Refusal, RefusalReason, RunWork,
    Severity, StartAttempt,
};
pub use policy::Policy;
pub use state_dump::{DataCentreDump, MemberDump, MembershipDump, StateDump};
