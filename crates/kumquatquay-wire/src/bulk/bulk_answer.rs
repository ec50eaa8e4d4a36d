//! Answers with bulk state.

use serde::{Deserialize, Serialize};

use super::{decode, encode};
use crate::{DataCentreMembers, WireError};

/// Answers a [`BulkRequest`](crate::BulkRequest).
///
/// The host that carries it adds the authentication.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BulkAnswer {
    /// The data centres whose digest differed.
    Members {
        /// One entry each; as many as fit, the rest is asked for again.
        data_centres: Vec<DataCentreMembers>,
    },
    /// The configuration in force.
    Configuration {
        /// Encoded by the configuration's own codec.
        payload: Vec<u8>,
    },
}

impl BulkAnswer {
    /// The longest answer that is sent or read, in bytes.
    pub const LIMIT_BYTES: usize = 4 * 1024 * 1024;

    /// Encodes the answer.
    pub fn to_bytes(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes an answer.
    ///
    /// # Errors
    ///
    /// [`WireError`] if it is too long or malformed, or has bytes left over.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, WireError> {
        decode(bytes, Self::LIMIT_BYTES)
    }
}
