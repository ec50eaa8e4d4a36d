//! Records of the configuration stream.

use serde::{Deserialize, Serialize};

use crate::{ConfigurationChange, ConfigurationSnapshot, MeshKey, WireError};

/// First eight bytes of the BLAKE3 hash of a record.
pub type RecordDigest = u64;

/// A record of the configuration stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationRecord {
    /// A change; it is accepted if its base versions are current.
    Change(ConfigurationChange),
    /// The state at an earlier offset, for readers that start after the log has deleted the
    /// changes.
    Snapshot(ConfigurationSnapshot),
}

impl ConfigurationRecord {
    /// Name of the configuration stream.
    pub const STREAM: &'static str = "configuration";

    /// Maximum size of a record, in bytes.
    pub const LIMIT_BYTES: usize = 1024 * 1024;

    const PURPOSE: &'static str = "configuration record";

    /// Encodes and authenticates the record.
    pub fn to_bytes(&self, key: &MeshKey) -> Vec<u8> {
        key.seal(Self::PURPOSE, self)
    }

    /// Checks and decodes a record.
    ///
    /// # Errors
    ///
    /// [`WireError`] if it is too long, truncated, forged or malformed.
    pub fn from_bytes(bytes: &[u8], key: &MeshKey) -> Result<Self, WireError> {
        if bytes.len() > Self::LIMIT_BYTES {
            return Err(WireError::TooLong);
        }
        key.open(Self::PURPOSE, bytes)
    }

    /// Computes the digest of an encoded record.
    pub fn digest(bytes: &[u8]) -> RecordDigest {
        let hash = blake3::hash(bytes);
        let first = hash.as_bytes()[..8].try_into();
        RecordDigest::from_le_bytes(first.expect("a BLAKE3 hash has 32 bytes"))
    }
}
