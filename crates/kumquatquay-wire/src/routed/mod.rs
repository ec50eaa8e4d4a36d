//! What nodes tell each other about calls on configured routes.
//!
//! Two nodes keep few links between them, TCP connections that carry frames of
//! many calls at once. A frame is its length, the length of its head, that of its header
//! fields, all as four bytes, little endian, then the head by `postcard`, then the fields
//! and the body as they are:
//!
//! ```text
//! length: u32 | head length: u32 | fields length: u32 | head | fields | body
//! ```

mod configuration;
mod fields;
mod frame;
mod gate_report;
mod quota;
mod route_estimate;
mod workspace;

pub use configuration::{
    CallerLimits, Destination, HostRoutes, Priority, Repeat, RouteConfiguration, RouteSettings,
    RouteVersion, ServiceSettings, StoreEra, SyncState,
};
pub use fields::{Field, Fields};
pub use frame::{
    AnswerHead, BODY_LIMIT_BYTES, CallHead, CallNumber, Frame, FrameHead, FrameReader, KnownLimit,
    LinkOutcome, NotRunReason, OwnedFrame, Payload, UnknownReason, encode_frame,
};
pub use gate_report::{GateReport, RateReport};
pub use quota::{HALVES_COUNT, QuotaVerdict, SLICES_COUNT, SliceSets};
pub use route_estimate::{RouteEstimate, ServiceDemand, ServicePressure};
pub use workspace::{KeyDigest, Quota, WorkspaceName, WorkspaceSettings};
