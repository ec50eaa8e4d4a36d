//! Requests for bulk state.

use serde::{Deserialize, Serialize};

use super::{decode, encode};
use crate::{DataCentreDigest, WireError};

/// Requests bulk state from another node.
///
/// It isn't authenticated by itself; the transport between the hosts does that.
///
/// # Examples
///
/// ```
/// use kumquatquay_wire::BulkRequest;
///
/// let request = BulkRequest::Members { known: Vec::new() };
/// assert_eq!(BulkRequest::from_bytes(&request.to_bytes()), Ok(request));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BulkRequest {
    /// The members of each data centre whose digest differs.
    Members {
        /// Digests known to the requesting node; unknown data centres are missing.
        known: Vec<DataCentreDigest>,
    },
    /// The configuration in force.
    Configuration {
        /// Encoded [`ConfigurationRequest`](crate::ConfigurationRequest).
        payload: Vec<u8>,
    },
    /// The crashes of backend servers that count.
    Crashes,
}

impl BulkRequest {
    /// Maximum size of a request that is sent or accepted, in bytes.
    pub const LIMIT_BYTES: usize = 64 * 1024;

    /// Encodes the request.
    pub fn to_bytes(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a request.
    ///
    /// # Errors
    ///
    /// [`WireError`] if it is too long or malformed, or has trailing bytes.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, WireError> {
        decode(bytes, Self::LIMIT_BYTES)
    }
}
