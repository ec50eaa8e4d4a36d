//! Identity of one process run of a backend server.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::InstanceId;

/// One life of a backend server: a run of its process, from start to end.
///
/// A backend server may restart under the same id. The new process keeps no state of the
/// previous life, so what is known about that one (that it is leaving, how fast it is) doesn't
/// apply to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{instance}{}", born_unix_ms.map(|born| format!("@{born}")).unwrap_or_default())]
pub struct BackendLife {
    /// Id that the backend server reports.
    pub instance: InstanceId,
    /// Start time by the clock of the backend server, in milliseconds since the Unix epoch;
    /// `None` if it isn't reported.
    pub born_unix_ms: Option<u64>,
}

impl BackendLife {
    /// Creates a life without a start time; such lives are distinguished by their ids alone.
    pub fn without_start(instance: impl Into<InstanceId>) -> Self {
        Self {
            instance: instance.into(),
            born_unix_ms: None,
        }
    }

    /// Whether this may be the same life as `other`: the ids are equal, and so are the start
    /// times if both are known.
    pub fn may_equal(&self, other: &Self) -> bool {
        let has_starts = self.born_unix_ms.is_some() && other.born_unix_ms.is_some();
        self.instance == other.instance && (!has_starts || self.born_unix_ms == other.born_unix_ms)
    }
}
