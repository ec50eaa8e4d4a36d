//! Snapshots of the configuration at an offset of its stream.

use serde::{Deserialize, Serialize};

use crate::{
    AcceptedChange, ChangeId, ConfigurationVersion, Intent, LogOffset, RecordDigest, ServiceName,
};

/// The state of the configuration up to and including one offset of the stream.
///
/// Snapshots are appended to the stream repeatedly, because the log deletes old records, and
/// are exchanged between nodes. A reader that adopts a snapshot continues after
/// [`ConfigurationSnapshot::through`]. A snapshot never overrides records after that offset,
/// so it is harmless if a node appends one late, after a pause.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationSnapshot {
    /// Offset of the last record that it includes.
    pub through: LogOffset,
    /// Digest of that record, to detect a different stream.
    pub digest: RecordDigest,
    /// Version in force: the offset of the last accepted change.
    pub version: Option<ConfigurationVersion>,
    /// Entries of the services that have or had an intent, ordered by service name; beyond a
    /// limit, the oldest entries without an intent are evicted.
    pub entries: Vec<IntentEntry>,
    /// The most recent accepted changes, oldest first.
    pub history: Vec<AcceptedChange>,
    /// Offset after which the history is complete; `None` if it contains all changes that were
    /// ever accepted.
    pub history_after: Option<LogOffset>,
}

/// The intent of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntentEntry {
    /// The service.
    pub service: ServiceName,
    /// Version of the intent: the offset of the change that set or removed it.
    pub version: ConfigurationVersion,
    /// Id of that change.
    pub change: ChangeId,
    /// Operator who confirmed that change.
    pub operator: String,
    /// Time at which that change was confirmed, in milliseconds since the Unix epoch.
    pub confirmed_unix_ms: u64,
    /// The intent; `None` if it was removed. The entry is kept, so that a change that was
    /// planned before the first intent of the service is still rejected after the removal.
    pub intent: Option<Intent>,
}
