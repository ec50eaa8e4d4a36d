//! Answers to requests for bulk state.

use serde::{Deserialize, Serialize};

use super::{decode, encode};
use crate::{CrashReport, DataCentreMembers, WireError};

/// Answers a [`BulkRequest`](crate::BulkRequest).
///
/// It isn't authenticated by itself; the transport between the hosts does that.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BulkAnswer {
    /// The members of the data centres whose digest differs.
    Members {
        /// One entry per data centre, as many as fit; the others have to be requested again.
        data_centres: Vec<DataCentreMembers>,
    },
    /// The configuration in force.
    Configuration {
        /// Encoded [`ConfigurationAnswer`](crate::ConfigurationAnswer).
        payload: Vec<u8>,
    },
    /// The crashes of backend servers that count.
    Crashes {
        /// The crashes, with the suspects that aren't cleared.
        reports: Vec<CrashReport>,
        /// Whether the answering node knows those before its own start.
        is_complete: bool,
    },
}

impl BulkAnswer {
    /// Maximum size of an answer that is sent or accepted, in bytes.
    pub const LIMIT_BYTES: usize = 4 * 1024 * 1024;

    /// Encodes the answer.
    pub fn to_bytes(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes an answer.
    ///
    /// # Errors
    ///
    /// [`WireError`] if it is too long or malformed, or has trailing bytes.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, WireError> {
        decode(bytes, Self::LIMIT_BYTES)
    }
}
