//! Fingerprint that identifies a request across resends.

use std::sync::LazyLock;

use kumquatquay_wire::Fingerprint;

use crate::CallArrived;

/// Key derivation context: separates these hashes from those for other purposes.
const DERIVATION_CONTEXT: &str = "kumquatquay 2026-12-02 request fingerprint v1";

/// Key of the hash, derived once: deriving it takes as long as hashing a call.
static DERIVED_KEY: LazyLock<[u8; 32]> =
    LazyLock::new(|| blake3::derive_key(DERIVATION_CONTEXT, &[]));

/// Fingerprint of a request, the same for a resend with a new trace id.
///
/// It covers the service, the method, the path, the query, the caller and the digest of the
/// body. The `Idempotency-Key` is hashed only if the host has not read the whole body; otherwise
/// a caller that resends a crashing body under a new key would not be recognised.
pub(crate) fn fingerprint_of(arrived: &CallArrived, caller: &str) -> Fingerprint {
    let mut hasher = blake3::Hasher::new_keyed(&DERIVED_KEY);
    let query = arrived.query.as_deref().unwrap_or_default();
    let texts = [
        &arrived.service,
        &arrived.method,
        &arrived.path,
        query,
        caller,
    ];
    for text in texts {
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    }
    match (&arrived.body_digest, &arrived.idempotency_key) {
        (Some(digest), _) => hasher.update(digest),
        (None, Some(key)) => hasher.update(key.as_bytes()),
        (None, None) => &mut hasher,
    };
    let hash = hasher.finalize();
    let bytes = hash.as_bytes()[..8].try_into();
    Fingerprint::from_le_bytes(bytes.expect("a BLAKE3 hash has 32 bytes"))
}
