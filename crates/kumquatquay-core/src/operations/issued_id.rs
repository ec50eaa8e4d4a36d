//! The text form of operation ids that nodes issue.

use kumquatquay_wire::{MeshKey, OperationRef, WireError};
use serde::{Deserialize, Serialize};

use super::digest::CallerDigest;

/// Contents of an issued operation id; its text form is authenticated with the mesh key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct IssuedId {
    /// The operation and its home.
    pub(crate) operation: OperationRef,
    /// Digest of the caller that requested the id; other callers can't use it.
    pub(crate) caller: CallerDigest,
}

impl IssuedId {
    const PURPOSE: &'static str = "issued operation id";

    /// Maximum length of an id in bytes; longer ones are rejected undecoded.
    pub(crate) const LIMIT_BYTES: usize = 160;

    pub(crate) fn to_text(&self, key: &MeshKey) -> String {
        key.seal_text(Self::PURPOSE, self)
    }

    pub(crate) fn from_text(text: &str, key: &MeshKey) -> Result<Self, WireError> {
        if text.len() > Self::LIMIT_BYTES {
            return Err(WireError::TooLong);
        }
        key.open_text(Self::PURPOSE, text)
    }
}
