//! Rumours, which nodes spread by gossip.

use derive_more::From;
use serde::{Deserialize, Serialize};

use crate::{
    ConfigurationVersion, CrashReport, MemberRecord, MemberStatus, QuarantineRecord, ServiceLevel,
    size::encoded_bytes,
};

/// An update that is spread by gossip; duplicates and reordering are harmless.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, From)]
pub enum Rumour {
    /// The record of a member changed.
    Member(MemberRecord),
    /// A member doesn't answer.
    Status(MemberStatus),
    /// The admission level of a service.
    Level(ServiceLevel),
    /// A request is suspected of crashing backend servers or quarantined, or was released.
    Quarantine(QuarantineRecord),
    /// Version of the configuration in force at the sender.
    #[from(skip)]
    Configuration(ConfigurationVersion),
    /// A backend server crashed.
    Crash(CrashReport),
}

impl Rumour {
    /// Size of the rumour in a datagram, in bytes.
    pub fn size_bytes(&self) -> usize {
        encoded_bytes(self)
    }
}
