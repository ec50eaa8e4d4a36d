//! The members of one data centre.

use serde::{Deserialize, Serialize};

use crate::{DataCentreName, MemberRecord, TableDigest, size::encoded_bytes};

/// Digest of the members of one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreDigest {
    /// The data centre.
    pub data_centre: DataCentreName,
    /// Digest of its members.
    pub digest: TableDigest,
}

/// All members of one data centre that a node knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreMembers {
    /// The data centre.
    pub data_centre: DataCentreName,
    /// Whether the answering node is in that data centre and knows all of its members, so that a
    /// missing member is gone.
    pub is_complete: bool,
    /// Records of the members, including remembered ones that are gone.
    pub records: Vec<MemberRecord>,
}

impl DataCentreMembers {
    /// Encoded size in bytes.
    pub fn size_bytes(&self) -> usize {
        encoded_bytes(self)
    }
}
