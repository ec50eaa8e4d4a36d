//! `Idempotency-Key`s of callers and the time window in which they can be claimed.

use std::time::Duration;

use derive_more::Display;
use uuid::Uuid;

use crate::Moment;

/// How long after the time that it contains a key may be claimed.
///
/// A claim stays in the log for at least [`MIN_LOG_RETENTION`]. A key that
/// could be claimed for longer would find the earlier claim expired and its
/// operation would run a second time.
pub(crate) const CLAIM_WINDOW: Duration = Duration::from_secs(10 * 60);

/// Maximum difference between the clocks of callers and of the log.
pub(crate) const CLOCK_SKEW_LIMIT: Duration = Duration::from_secs(2 * 60);

/// Minimum time for which the platform's log must keep records.
pub(crate) const MIN_LOG_RETENTION: Duration = Duration::from_secs(60 * 60);

const _: () = assert!(
    MIN_LOG_RETENTION.as_secs() > CLAIM_WINDOW.as_secs() + 2 * CLOCK_SKEW_LIMIT.as_secs(),
    "a claim has to outlive the window in which its key can be claimed"
);

/// Why a key can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub(crate) enum KeyError {
    /// It contains no time.
    #[display("the Idempotency-Key is not a UUID of version 7")]
    NotUuidV7,
    /// Its earlier claim may have expired in the log.
    #[display("the Idempotency-Key is older than 10 minutes")]
    TooOld,
    /// It could be claimed for longer than the log keeps records.
    #[display("the time of the Idempotency-Key is in the future")]
    InFuture,
}

/// Returns the time that a key contains, in milliseconds since the Unix epoch.
pub(crate) fn key_unix_ms(text: &str) -> Result<u64, KeyError> {
    let uuid = Uuid::try_parse(text).map_err(|_| KeyError::NotUuidV7)?;
    if uuid.get_version_num() != 7 {
        return Err(KeyError::NotUuidV7);
    }
    let (seconds, nanoseconds) = uuid.get_timestamp().ok_or(KeyError::NotUuidV7)?.to_unix();
    Ok(seconds * 1_000 + u64::from(nanoseconds) / 1_000_000)
}

/// Checks whether a key with time `key_unix_ms` may be claimed at time `at_unix_ms`.
pub(crate) fn check_window(key_unix_ms: u64, at_unix_ms: u64) -> Result<(), KeyError> {
    if at_unix_ms > key_unix_ms.saturating_add(CLAIM_WINDOW.as_millis() as u64) {
        return Err(KeyError::TooOld);
    }
    if at_unix_ms < earliest_claim_unix_ms(key_unix_ms) {
        return Err(KeyError::InFuture);
    }
    Ok(())
}

/// Returns the time before which no valid claim of a key can have been appended.
pub(crate) fn earliest_claim_unix_ms(key_unix_ms: u64) -> u64 {
    key_unix_ms.saturating_sub(CLOCK_SKEW_LIMIT.as_millis() as u64)
}

/// Checks a key by the wall clock of this node, before a claim is appended, and returns its time.
pub(crate) fn check(text: &str, now: Moment) -> Result<u64, KeyError> {
    let key = key_unix_ms(text)?;
    check_window(key, now.unix_ms()).map(|()| key)
}
