//! How nodes fetch the configuration from each other.

use serde::{Deserialize, Serialize};

use crate::{
    AcceptedChange, ConfigurationSnapshot, ConfigurationVersion, LogOffset, RecordDigest, WireError,
};

/// Asks another node for what it knows beyond a place of the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationRequest {
    /// The last record that the asking node has taken in.
    pub through: Option<LogOffset>,
    /// Whether only the version in force is asked for.
    pub wants_version_only: bool,
}

/// What the other node knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationAnswer {
    /// Nothing beyond that place.
    Nothing,
    /// The version in force, where only that was asked for.
    Version(Option<ConfigurationVersion>),
    /// The changes that won behind it.
    Changes {
        /// Repeats the question's place.
        after: LogOffset,
        /// The last record that the answering node has taken in.
        through: LogOffset,
        /// Digest of that record.
        digest: RecordDigest,
        /// In the order of their versions.
        changes: Vec<AcceptedChange>,
    },
    /// Everything, where the changes alone are not kept any more.
    Snapshot(ConfigurationSnapshot),
}

macro_rules! codec {
    ($type:ty) => {
        impl $type {
            /// Encodes the value; the host authenticates the exchange.
            pub fn to_bytes(&self) -> Vec<u8> {
                postcard::to_stdvec(self).expect("a wire type always encodes into memory")
            }

            /// Decodes the value.
            ///
            /// # Errors
            ///
            /// [`WireError::Malformed`] if it is of another type.
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
