//! Control messages between nodes.

mod crash_report;
mod datagram;
mod member_record;
mod member_status;
mod quarantine_record;
mod rumour;
mod service_level;

pub use crash_report::{CrashReport, CrashSuspect};
pub use datagram::{ControlBody, Datagram};
pub use member_record::{MemberRecord, MemberState};
pub use member_status::MemberStatus;
pub use quarantine_record::{Crash, Evidence, QuarantineRecord};
pub use rumour::Rumour;
pub use service_level::ServiceLevel;
