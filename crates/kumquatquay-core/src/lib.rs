//! Sans-I/O core of a kumquatquay node, without threads and clocks.
//!
//! A [`Node`] handles [`Input`]s, each with the [`Moment`] at which it happened, and returns
//! [`Output`]s for its host to carry out. The same settings, seed, inputs and moments give the
//! same outputs, so tests, benchmarks and the daemon all host it in the same way.
//!
//! The [`Blackboard`] holds the state of the node, in one table for each concern. Controllers are
//! plain functions that read and write it:
//!
//! - `call`: calls that leave through this node, from arrival to answer
//! - `gate`: work for the backend server of this host
//! - `overload`: ledgers, retry allowances, admission levels and load balancing
//! - `operations`: non-idempotent operations, which run at most once
//! - `quarantine`: requests that crash backend servers
//! - `membership`: members of the mesh, in this data centre and the others
//! - `configuration`: intents in force, plans and their confirmation
//! - `explain`: why requests were refused
//! - [`routed`]: calls on configured routes, for a separate kind of node

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
    CallInput, CallOrigin, Input, IssueOperation, LogInput, LogRecord, OperatorInput, RunInput,
    StoredAnswer, WorkInput, WorkResult,
};
pub use node::Node;
pub use node_settings::NodeSettings;
pub use operations::{OperationDump, OperationPolicy};
pub use output::{
    CallEnding, Note, OperationIssued, OperatorOutput, Output, Refusal, RefusalReason, RunWork,
    Severity, StartAttempt,
};
pub use policy::Policy;
pub use quarantine::{
    CrashSync, KeepAction, KeepStep, KeptCrashes, KnownCrash, RequestIdentity, RunVerdict,
};
pub use state_dump::{DataCentreDump, MemberDump, MembershipDump, StateDump};
