//! Fingerprint that identifies a request across resends.

use std::sync::LazyLock;

use kumquatquay_wire::{BodyDigest, Fingerprint};

use crate::CallArrived;

/// Key derivation context: separates these hashes from those for other purposes.
const DERIVATION_CONTEXT: &str = "kumquatquay 2026-12-02 request fingerprint v1";

/// Key of the hash, derived once: deriving it takes as long as hashing a call.
static DERIVED_KEY: LazyLock<[u8; 32]> =
    LazyLock::new(|| blake3::derive_key(DERIVATION_CONTEXT, &[]));

/// What identifies a request across resends, which bring a new trace id.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// What the request is addressed to: the host in its URL on routes, otherwise a service.
    ///
    /// A route may be split over services, and moved to another one; the host stays the same.
    pub destination: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path, without the query.
    pub path: &'a str,
    /// Query, without the question mark; empty if there is none.
    pub query: &'a str,
    /// Caller to whom the request belongs; empty if it is unknown.
    pub caller: &'a str,
    /// Digest of the whole body; `None` if the host has not read it whole, or if it is empty.
    pub body_digest: Option<&'a BodyDigest>,
    /// Key of the operation.
    ///
    /// It is hashed only without a digest; otherwise a caller that resends a crashing body under a
    /// new key would not be recognised.
    pub idempotency_key: Option<&'a str>,
}

impl RequestIdentity<'_> {
    /// Hash of the identity, the same for each resend.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut hasher = blake3::Hasher::new_keyed(&DERIVED_KEY);
        let texts = [
            self.destination,
            self.method,
            self.path,
            self.query,
            self.caller,
        ];
        for text in texts {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        match (self.body_digest, self.idempotency_key) {
            (Some(digest), _) => hasher.update(digest),
            (None, Some(key)) => hasher.update(key.as_bytes()),
            (None, None) => &mut hasher,
        };
        let hash = hasher.finalize();
        let bytes = hash.as_bytes()[..8].try_into();
        Fingerprint::from_le_bytes(bytes.expect("a BLAKE3 hash has 32 bytes"))
    }
}

/// Fingerprint of a call that has arrived.
pub(crate) fn fingerprint_of(arrived: &CallArrived, caller: &str) -> Fingerprint {
    let identity = RequestIdentity {
        destination: &arrived.service,
        method: &arrived.method,
        path: &arrived.path,
        query: arrived.query.as_deref().unwrap_or_default(),
        caller,
        body_digest: arrived.body_digest.as_ref(),
        idempotency_key: arrived.idempotency_key.as_deref(),
    };
    identity.fingerprint()
}
