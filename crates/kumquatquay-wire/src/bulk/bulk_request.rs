//! Questions for bulk state.

use serde::{Deserialize, Serialize};

use super::{decode, encode};
use crate::{DataCentreDigest, WireError};

/// Asks another node for bulk state.
///
/// The host that carries it adds the authentication.
///
/// # Examples
///
/// ```
/// use kumquatquay_wire::BulkRequest;
///
/// let question = BulkRequest::Members { known: Vec::new() };
/// assert_eq!(BulkRequest::from_bytes(&question.to_bytes()), Ok(question));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BulkRequest {
    /// The members of each data centre whose digest differs.
    Members {
        /// What the asker knows; a data centre that it has not heard of is missing.
        known: Vec<DataCentreDigest>,
    },
    /// The configuration in force.
    Configuration {
        /// Encoded by the configuration's own codec.
        payload: Vec<u8>,
    },
}

impl BulkRequest {
    /// The longest question that is sent or read, in bytes.
    pub const LIMIT_BYTES: usize = 64 * 1024;

    /// Encodes the question.
    pub fn to_bytes(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a question.
    ///
    /// # Errors
    ///
    /// [`WireError`] if it is too long or malformed, or has bytes left over.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, WireError> {
        decode(bytes, Self::LIMIT_BYTES)
    }
}
