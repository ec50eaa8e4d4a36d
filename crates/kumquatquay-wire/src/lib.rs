//! Types that kumquatquay's processes exchange, and their codecs.
//!
//! All types are plain data. The derive macros of `serde` generate the encoders and decoders,
//! so no separate code generator is needed; the encoding between nodes is `postcard`. The
//! frames are described in `docs/PROTOCOL.md`.

#![forbid(unsafe_code)]

mod answer_context;
mod backend_life;
mod bulk;
mod caller_proof;
mod configuration;
mod control;
mod error;
mod ids;
mod importance;
mod key;
mod operation_ref;
mod operator;
mod outcome;
mod request_context;
pub mod routed;
mod size;

pub use answer_context::{AnswerContext, LoadReport};
pub use backend_life::BackendLife;
pub use bulk::{BulkAnswer, BulkRequest, DataCentreDigest, DataCentreMembers};
pub use caller_proof::CallerProof;
pub use configuration::{
    AcceptedChange, CallerLimit, ChangeId, ConfigurationAnswer, ConfigurationChange,
    ConfigurationRecord, ConfigurationRequest, ConfigurationSnapshot, IdempotencyRule, Intent,
    IntentChange, IntentEntry, Priority, RecordDigest, RoutePattern, SealedPlan, change_id_text,
};
pub use control::{
    ControlBody, Crash, CrashReport, CrashSuspect, Datagram, Evidence, MemberRecord, MemberState,
    MemberStatus, QuarantineRecord, Rumour, ServiceLevel,
};
pub use error::WireError;
pub use ids::{
    BodyDigest, CallerName, ConfigurationVersion, CrashId, DataCentreName, Fingerprint,
    Incarnation, InstanceId, LedgerToken, LogOffset, RequestId, Sequence, ServiceName, StreamName,
    TableDigest, TraceId,
};
pub use importance::{Class, Cohort, Importance};
pub use key::MeshKey;
pub use operation_ref::OperationRef;
pub use operator::{
    CallerLoad, ConfigurationStatus, Conflict, DataCentrePlan, Explanation, Finding, IntentEdit,
    Laggard, OperatorCommand, OperatorReply, Plan, RefusalRecord, ServicePlan,
};
pub use outcome::Outcome;
pub use request_context::RequestContext;
