//! Reports of single crashes of backend servers.

use serde::{Deserialize, Serialize};

use super::{Crash, QuarantineRecord};
use crate::{CrashId, Fingerprint, ServiceName};

/// A request that was in flight when a backend server crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashSuspect {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// See [`Crash::score_milli`].
    pub score_milli: u16,
    /// See [`QuarantineRecord::ran_at`].
    pub ran_at: Vec<ServiceName>,
}

/// A crash of a backend server, with all requests that may have caused it.
///
/// It is a few bytes a suspect. A [`QuarantineRecord`] for each of them takes several times as many, and with
/// dozens in flight they don't reach all nodes of a service at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Id of the crash.
    pub id: CrashId,
    /// Service of the backend server.
    pub service: ServiceName,
    /// Requests that were in flight, the one that started last first.
    pub suspects: Vec<CrashSuspect>,
    /// Time until it no longer counts, as of when it was sent, in milliseconds.
    pub remaining_ms: u32,
}

impl CrashReport {
    /// Maximum number of suspects of one crash.
    pub const SUSPECTS_LIMIT_COUNT: usize = 256;

    /// What the crash adds to the records of its suspects.
    pub fn records(&self) -> impl Iterator<Item = QuarantineRecord> {
        let suspects = self.suspects.iter().take(Self::SUSPECTS_LIMIT_COUNT);
        suspects.map(|suspect| QuarantineRecord {
            fingerprint: suspect.fingerprint,
            crashes: vec![Crash {
                id: self.id,
                service: self.service.clone(),
                score_milli: suspect.score_milli,
                is_cleared: false,
            }],
            ran_at: suspect.ran_at.clone(),
            remaining_ms: self.remaining_ms,
        })
    }
}
