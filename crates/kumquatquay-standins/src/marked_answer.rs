//! The body of a backend server's answer.

use serde::{Deserialize, Serialize};

/// What a backend server answers, as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MarkedAnswer {
    /// Marker of the call that this answers.
    pub marker: String,
    /// Service that ran it.
    pub service: String,
    /// Filler, so that a body that is cut short is seen.
    #[serde(default)]
    pub filler: String,
}

impl MarkedAnswer {
    /// Whether a body is the whole answer to the call with a marker.
    pub fn is_own(body: &[u8], marker: &str) -> bool {
        serde_json::from_slice::<Self>(body).is_ok_and(|answer| answer.marker == marker)
    }
}
