//! Workspaces, their keys and their quotas.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::Priority;

/// Name of a workspace, as operators call it.
pub type WorkspaceName = String;

/// Separates digests of keys from all other uses of the hash.
const KEY_CONTEXT: &str = "kumquatquay workspace key digest v1";

/// Digest of a workspace's key.
///
/// Keys are digested where they are read, from a request or from a configuration, and are kept
/// nowhere: neither a message between nodes nor a log line, a dump or a panic can hold one. Keys
/// are drawn at random by those who issue them, so a digest doesn't lead back to its key. It
/// isn't printed either.
///
/// # Examples
///
/// ```
/// use kumquatquay_wire::routed::KeyDigest;
///
/// assert_eq!(KeyDigest::of(b"one"), KeyDigest::of(b"one"));
/// assert_ne!(KeyDigest::of(b"one"), KeyDigest::of(b"two"));
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Digests a key.
    pub fn of(key: &[u8]) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, key))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest")
    }
}

/// A workspace, as operators confirmed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceSettings {
    /// As operators and backend servers know it.
    pub name: WorkspaceName,
    /// Its keys; each is held by one workspace.
    pub keys: Vec<KeyDigest>,
    /// Rank of its requests; goes before that of their routes.
    pub priority: Option<Priority>,
    /// What all its requests together may use; `None` without a limit.
    pub quota: Option<Quota>,
}

/// What all requests of a workspace together may use, over all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Requests a second, in the long run.
    pub rate_per_s: f64,
    /// Requests at once after a pause.
    pub burst_count: f64,
}
