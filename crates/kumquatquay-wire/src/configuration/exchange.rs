//! Messages with which nodes fetch the configuration from each other.

use serde::{Deserialize, Serialize};

use crate::{
    AcceptedChange, ConfigurationSnapshot, ConfigurationVersion, LogOffset, RecordDigest, WireError,
};

/// Requests what another node knows beyond an offset of the configuration stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationRequest {
    /// Offset of the last record that the requesting node has applied.
    pub through: Option<LogOffset>,
    /// Whether only the version in force is requested.
    pub wants_version_only: bool,
}

/// Answers a [`ConfigurationRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationAnswer {
    /// The answering node knows nothing beyond the requested offset, or couldn't read the
    /// request.
    Nothing,
    /// The version in force, if only that was requested.
    Version(Option<ConfigurationVersion>),
    /// The changes that were accepted after the requested offset.
    Changes {
        /// Repeats the requested offset.
        after: LogOffset,
        /// Offset of the last record that the answering node has applied.
        through: LogOffset,
        /// Digest of that record.
        digest: RecordDigest,
        /// The changes, ordered by version.
        changes: Vec<AcceptedChange>,
    },
    /// The entire configuration, if the node no longer keeps all of these changes.
    Snapshot(ConfigurationSnapshot),
}

macro_rules! codec {
    ($type:ty) => {
        impl $type {
            /// Encodes the value; the transport between the hosts authenticates it.
            pub fn to_bytes(&self) -> Vec<u8> {
                postcard::to_stdvec(self).expect("a wire type always encodes into memory")
            }

            /// Decodes the value.
            ///
            /// # Errors
            ///
            /// [`WireError::Malformed`] if it isn't a value of this type.
            pub fn from_bytes(bytes: &[u8]) -> Result<Self, WireError> {
                match postcard::take_from_bytes(bytes) {
                    Ok((value, [])) => Ok(value),
                    _ => Err(WireError::Malformed),
                }
            }
        }
    };
}

codec!(ConfigurationRequest);
codec!(ConfigurationAnswer);
