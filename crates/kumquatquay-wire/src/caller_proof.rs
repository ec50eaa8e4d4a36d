//! Authentication of callers.

use subtle::ConstantTimeEq;

use crate::MeshKey;

/// The proof of a caller's name, sent in the header `kumquatquay-caller: NAME.PROOF`.
///
/// Operators issue it with `kumquatquay caller-token NAME`. It doesn't expire; changing the mesh
/// secret invalidates all proofs.
///
/// # Examples
///
/// ```
/// use kumquatquay_wire::{CallerProof, MeshKey};
///
/// let key = MeshKey::from_secret("correct horse battery staple");
/// let proof = CallerProof::of(&key, "inspector");
/// assert!(CallerProof::check(&key, "inspector", &proof));
/// assert!(!CallerProof::check(&key, "foreman", &proof));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct CallerProof;

impl CallerProof {
    const PURPOSE: &'static str = "caller";

    /// Computes the proof for a name, as text for a header value.
    pub fn of(key: &MeshKey, name: &str) -> String {
        key.code_text(Self::PURPOSE, name.as_bytes())
    }

    /// Whether the proof is valid for the name.
    pub fn check(key: &MeshKey, name: &str, proof: &str) -> bool {
        let expected = Self::of(key, name);
        bool::from(expected.as_bytes().ct_eq(proof.as_bytes()))
    }

    /// Splits `NAME.PROOF` at its last dot, since a proof contains no dot.
    pub fn split(header: &str) -> Option<(&str, &str)> {
        header.rsplit_once('.')
    }
}
