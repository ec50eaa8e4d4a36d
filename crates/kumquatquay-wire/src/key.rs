//! The key shared by all nodes of a mesh, and its use for authentication.

use std::fmt;

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use serde::{Serialize, de::DeserializeOwned};
use subtle::ConstantTimeEq;

use crate::WireError;

/// Key shared by the nodes of one mesh.
///
/// Every use states a purpose, and a value that is sealed for one purpose is rejected for any
/// other.
///
/// # Examples
///
/// ```
/// use kumquatquay_wire::MeshKey;
///
/// let key = MeshKey::from_secret("correct horse battery staple");
/// let sealed = key.seal("greeting", &7_u32);
/// assert_eq!(key.open::<u32>("greeting", &sealed), Ok(7));
/// assert!(key.open::<u32>("farewell", &sealed).is_err());
/// ```
#[derive(Clone)]
pub struct MeshKey([u8; 32]);

const CODE_BYTES: usize = MeshKey::CODE_BYTES;

/// Maximum size of a text that [`MeshKey::open_text`] accepts, in bytes.
const TEXT_LIMIT_BYTES: usize = 8 * 1024;

/// BLAKE3 context that separates this derivation from any other use of the same secret.
const DERIVATION_CONTEXT: &str = "kumquatquay 2026-12-02 mesh key v1";

impl MeshKey {
    /// Size of the authentication code in front of a sealed value, in bytes.
    pub const CODE_BYTES: usize = 16;

    /// Derives the key from the shared secret of the operators.
    pub fn from_secret(secret: &str) -> Self {
        Self(blake3::derive_key(DERIVATION_CONTEXT, secret.as_bytes()))
    }

    /// Encodes a value and prepends its authentication code.
    pub fn seal<T: Serialize>(&self, purpose: &str, value: &T) -> Vec<u8> {
        let body = postcard::to_stdvec(value).expect("a wire type always encodes into memory");
        let mut sealed = Vec::with_capacity(CODE_BYTES + body.len());
        sealed.extend_from_slice(&self.code(purpose, &body));
        sealed.extend_from_slice(&body);
        sealed
    }

    /// Checks the authentication code and decodes the value.
    ///
    /// # Errors
    ///
    /// [`WireError`] if the bytes are too short, forged or of a different type.
    pub fn open<T: DeserializeOwned>(&self, purpose: &str, sealed: &[u8]) -> Result<T, WireError> {
        let Some((code, body)) = sealed.split_at_checked(CODE_BYTES) else {
            return Err(WireError::Truncated);
        };
        if !bool::from(self.code(purpose, body).ct_eq(code)) {
            return Err(WireError::Forged);
        }
        match postcard::take_from_bytes(body) {
            Ok((value, [])) => Ok(value),
            _ => Err(WireError::Malformed),
        }
    }

    /// Same as [`MeshKey::seal`], as text for a header value.
    pub fn seal_text<T: Serialize>(&self, purpose: &str, value: &T) -> String {
        URL_SAFE_NO_PAD.encode(self.seal(purpose, value))
    }

    /// Same as [`MeshKey::open`], for text from [`MeshKey::seal_text`].
    ///
    /// # Errors
    ///
    /// [`WireError`] as for [`MeshKey::open`], or if the text is too long.
    pub fn open_text<T: DeserializeOwned>(
        &self,
        purpose: &str,
        text: &str,
    ) -> Result<T, WireError> {
        if text.len() > TEXT_LIMIT_BYTES {
            return Err(WireError::TooLong);
        }
        let sealed = URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|_| WireError::NotText)?;
        self.open(purpose, &sealed)
    }

    /// Computes a keyed hash, for cohorts and other choices that outsiders must not influence.
    pub fn keyed_hash(&self, purpose: &str, bytes: &[u8]) -> u64 {
        let code = self.code(purpose, bytes);
        u64::from_le_bytes(code[..8].try_into().expect("the code has 16 bytes"))
    }

    /// Computes the authentication code of some bytes, as text for a header value.
    pub(crate) fn code_text(&self, purpose: &str, bytes: &[u8]) -> String {
        URL_SAFE_NO_PAD.encode(self.code(purpose, bytes))
    }

    fn code(&self, purpose: &str, body: &[u8]) -> [u8; CODE_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&(purpose.len() as u64).to_le_bytes());
        hasher.update(purpose.as_bytes());
        hasher.update(body);
        let hash = hasher.finalize();
        hash.as_bytes()[..CODE_BYTES]
            .try_into()
            .expect("a BLAKE3 hash has 32 bytes")
    }
}

/// Keeps the key out of logs and dumps.
impl fmt::Debug for MeshKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("MeshKey(..)")
    }
}
