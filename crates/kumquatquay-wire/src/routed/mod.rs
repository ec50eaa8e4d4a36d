//! What nodes tell each other about calls on configured routes.
//!
//! Two nodes keep few links between them, TCP connections that carry frames of
//! many calls at once. A frame is its length, the length of its head, both as four
//! bytes, little endian, then the head by `postcard`, then the body as it is:
//!
//! ```text
//! length: u32 | head length: u32 | head | body
//! ```

mod configuration;
mod frame;
mod gate_report;
mod quota;
mod route_news;
mod workspace;

pub use configuration::{
    CallerLimits, Destination, FollowState, HostRoutes, Priority, Repeat, RouteConfiguration,
    RouteSettings, RouteVersion, ServiceSettings, StoreEra,
};
pub use frame::{
    AnswerHead, CallHead, CallNumber, FrameHead, FrameReader, HeaderField, LinkOutcome,
    NotRunReason, UnknownReason, encode_frame,
};
pub use gate_report::GateReport;
pub use quota::{HALVES_COUNT, QuotaVerdict, SLICES_COUNT, SliceSets};
pub use route_news::{RouteNews, ServiceDemand, ServicePressure};
pub use workspace::{KeyDigest, Quota, WorkspaceName, WorkspaceSettings};
