//! Plans in a form that any node can confirm.

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};

use crate::{ConfigurationChange, MeshKey, WireError};

/// A planned change as text, authenticated with the mesh key.
///
/// The node that made the plan may be gone when the plan is confirmed, so the text contains the
/// complete change. The authentication code prevents alterations.
#[derive(Clone, Copy, Debug)]
pub struct SealedPlan;

impl SealedPlan {
    /// Maximum size of the text, in bytes.
    pub const LIMIT_BYTES: usize = 1024 * 1024;

    const PURPOSE: &'static str = "configuration plan";

    /// Encodes a planned change as text.
    pub fn to_text(change: &ConfigurationChange, key: &MeshKey) -> String {
        URL_SAFE_NO_PAD.encode(key.seal(Self::PURPOSE, change))
    }

    /// Authenticates and decodes the text of a plan.
    ///
    /// # Errors
    ///
    /// [`WireError`] if the text is too long, not that of a plan, or altered.
    pub fn from_text(text: &str, key: &MeshKey) -> Result<ConfigurationChange, WireError> {
        if text.len() > Self::LIMIT_BYTES {
            return Err(WireError::TooLong);
        }
        let sealed = URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|_| WireError::NotText)?;
        key.open(Self::PURPOSE, &sealed)
    }
}
