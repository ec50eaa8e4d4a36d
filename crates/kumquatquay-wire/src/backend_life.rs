//! Names one life of a backend server.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::InstanceId;

/// One life of a backend server, from its start to its end.
///
/// A backend server may start again under the id that it had. It knows nothing of the
/// life before, so what was said of that life (that it leaves, how fast it is) doesn't
/// hold for this one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{instance}{}", born_unix_ms.map(|born| format!("@{born}")).unwrap_or_default())]
pub struct BackendLife {
    /// Id that the backend server gives itself.
    pub instance: InstanceId,
    /// Its start, in Unix milliseconds by its own clock, where it tells it.
    pub born_unix_ms: Option<u64>,
}

impl BackendLife {
    /// A life whose start isn't told: another one has another id.
    pub fn without_start(instance: impl Into<InstanceId>) -> Self {
        Self {
            instance: instance.into(),
            born_unix_ms: None,
        }
    }

    /// Whether this may be the same life as another one: their ids are the same, and so are their
    /// starts where both are told.
    pub fn may_equal(&self, other: &Self) -> bool {
        let is_told = self.born_unix_ms.is_some() && other.born_unix_ms.is_some();
        self.instance == other.instance && (!is_told || self.born_unix_ms == other.born_unix_ms)
    }
}
