//! Keyed digests to compare keys, callers and requests.

use kumquatquay_wire::MeshKey;

use super::operation_call::OperationCall;

/// Keyed digest of a caller and its `Idempotency-Key`.
pub(crate) type KeyDigest = [u8; 16];

/// Keyed digest of the name of a caller.
pub(crate) type CallerDigest = u64;

/// Keyed digest of a route and a body.
pub(crate) type RequestDigest = [u8; 16];

/// Returns the digest of the name of a caller.
pub(crate) fn caller_digest(key: &MeshKey, caller: &str) -> CallerDigest {
    key.keyed_hash("operation caller", caller.as_bytes())
}

/// Returns the digest of a caller and its key.
///
/// The length of the caller's name is part of it, so that the same key of two callers, or another
/// division of the same bytes, gives different digests.
pub(crate) fn key_digest(key: &MeshKey, caller: &str, idempotency_key: &str) -> KeyDigest {
    let mut bytes = (caller.len() as u64).to_le_bytes().to_vec();
    bytes.extend_from_slice(caller.as_bytes());
    bytes.extend_from_slice(idempotency_key.as_bytes());
    digest(key, ["operation key 1", "operation key 2"], &bytes)
}

/// Returns the digest of a call's route and, if it is known, its body.
pub(crate) fn request_digest(key: &MeshKey, call: &OperationCall) -> RequestDigest {
    let mut bytes = (call.route.len() as u64).to_le_bytes().to_vec();
    bytes.extend_from_slice(call.route.as_bytes());
    bytes.extend_from_slice(call.body_digest.as_ref().map_or(&[], |body| &body[..]));
    digest(key, ["operation request 1", "operation request 2"], &bytes)
}

fn digest(key: &MeshKey, purposes: [&str; 2], bytes: &[u8]) -> [u8; 16] {
    let [low, high] = purposes.map(|purpose| key.keyed_hash(purpose, bytes));
    (u128::from(low) | u128::from(high) << 64).to_le_bytes()
}
