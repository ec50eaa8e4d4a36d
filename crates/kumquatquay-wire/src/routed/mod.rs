//! Messages between nodes about calls on configured routes.
//!
//! Two nodes are connected by a few links: TCP connections that multiplex the frames of many
//! calls. A frame starts with the length of the frame, of its head and of its header fields,
//! each as four bytes, little endian. The head follows, encoded with `postcard`, then the
//! unencoded fields and body:
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
    AnswerHead, BODY_LIMIT_BYTES, CallHead, CallNumber, Frame, FrameHead, FrameMemory, FrameReader,
    KnownLimit, LinkOutcome, NotRunReason, OwnedFrame, Payload, RepeatCause, UnknownReason,
    encode_frame, encode_frame_start,
};
pub use gate_report::{GateReport, RateReport};
pub use quota::{HALVES_COUNT, QuotaVerdict, SLICES_COUNT, SliceSets};
pub use route_estimate::{RouteEstimate, ServiceDemand, ServicePressure};
pub use workspace::{KeyDigest, Quota, WorkspaceName, WorkspaceSettings};
