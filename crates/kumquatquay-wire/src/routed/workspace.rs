//! Workspaces, their keys and their quotas.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::Priority;

/// Name of a workspace, given by operators.
pub type WorkspaceName = String;

/// BLAKE3 context that separates key digests from all other uses of the hash.
const KEY_CONTEXT: &str = "kumquatquay workspace key digest v1";

/// Digest of a key of a workspace.
///
/// Keys are digested when they are read from a request or a configuration, and are stored
/// nowhere: no message between nodes, log line, dump or panic message can contain one. Keys are
/// random, so a key can't be recovered from its digest. `Debug` doesn't print the digest either.
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
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, key))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest")
    }
}

/// Settings of a workspace, as confirmed by operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceSettings {
    /// Name used by operators and backend servers.
    pub name: WorkspaceName,
    /// Digests of its keys; each key belongs to one workspace.
    pub keys: Vec<KeyDigest>,
    /// Priority of its requests; takes precedence over the priority of their routes.
    pub priority: Option<Priority>,
    /// Quota for all its requests together; `None` if it is unlimited.
    pub quota: Option<Quota>,
}

/// Rate limit for all requests of a workspace together, over all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Requests per second, on average.
    pub rate_per_s: f64,
    /// Size of a burst after a pause, in requests.
    pub burst_count: f64,
}
