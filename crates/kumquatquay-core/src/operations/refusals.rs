//! Refusals of operations.
//!
//! The outcome in a refusal is that of the operation, not that of one attempt: on `not-run` a
//! caller may repeat the same request under a new key, so that outcome is given only where it is
//! certain that the operation has not run. A retry under the same key or id is always safe, and
//! the details say so.

use std::time::Duration;

use kumquatquay_wire::Outcome;

use super::idempotency_key::KeyError;
use crate::{CallEnding, Refusal, RefusalReason};

/// When a caller may retry a request whose operation is not decided yet.
const RETRY_AFTER: Duration = Duration::from_secs(1);

fn refuse(
    reason: RefusalReason,
    outcome: Outcome,
    retry_after: Option<Duration>,
    detail: impl Into<String>,
) -> CallEnding {
    CallEnding::Refuse(Refusal {
        reason,
        outcome,
        retry_after,
        detail: detail.into(),
    })
}

fn undecided(retry_after: Option<Duration>, detail: &str) -> CallEnding {
    let reason = RefusalReason::OperationUndecided;
    refuse(reason, Outcome::Unknown, retry_after, detail)
}

/// The key can't be used.
///
/// The outcome is unknown for a key that is valid at another time: it may have been used then.
pub(crate) fn invalid_key(error: KeyError) -> CallEnding {
    let outcome = match error {
        KeyError::NotUuidV7 => Outcome::NotRun,
        KeyError::TooOld | KeyError::InFuture => Outcome::Unknown,
    };
    let detail = format!("{error}; POST /operations issues an operation id");
    refuse(RefusalReason::OperationInvalid, outcome, None, detail)
}

/// The id was not issued by this mesh; nothing can ever run under it.
pub(crate) fn invalid_id() -> CallEnding {
    let detail = "no node issued this operation id; POST /operations issues one";
    refuse(
        RefusalReason::OperationInvalid,
        Outcome::NotRun,
        None,
        detail,
    )
}

pub(crate) fn expired_id() -> CallEnding {
    let detail = "the operation id has expired and its home has forgotten it";
    refuse(
        RefusalReason::OperationInvalid,
        Outcome::Unknown,
        None,
        detail,
    )
}

pub(crate) fn other_caller() -> CallEnding {
    let detail = "the operation belongs to another caller";
    refuse(
        RefusalReason::OperationConflict,
        Outcome::Unknown,
        None,
        detail,
    )
}

pub(crate) fn other_body() -> CallEnding {
    let detail = "the operation was filed with another route or body";
    refuse(
        RefusalReason::OperationConflict,
        Outcome::Unknown,
        None,
        detail,
    )
}

pub(crate) fn home_gone() -> CallEnding {
    undecided(
        None,
        "the node that decides this operation is gone; it may have run and will not run again",
    )
}

pub(crate) fn home_unreachable() -> CallEnding {
    undecided(
        Some(RETRY_AFTER),
        "the node that decides this operation can't be reached; ask again under the same key or id",
    )
}

pub(crate) fn outcome_unknown() -> CallEnding {
    undecided(
        None,
        "the operation was handed over and its answer was lost; it will not run again",
    )
}

/// An attempt that may have run ended without an answer.
pub(crate) fn answer_lost(reason: RefusalReason) -> CallEnding {
    let detail = "the request was handed over and its answer was lost; it is not sent again";
    refuse(reason, Outcome::Unknown, None, detail)
}

pub(crate) fn deadline_exceeded() -> CallEnding {
    let detail = "the operation was not decided in the time allowed; ask again under the same key";
    let reason = RefusalReason::Deadline;
    refuse(reason, Outcome::Unknown, Some(RETRY_AFTER), detail)
}

pub(crate) fn claim_abandoned() -> CallEnding {
    undecided(
        Some(RETRY_AFTER),
        "the claim was given up; ask again under the same key",
    )
}

pub(crate) fn busy() -> CallEnding {
    undecided(
        Some(RETRY_AFTER),
        "the operation is under way; ask again under the same key or id",
    )
}

pub(crate) fn log_down() -> CallEnding {
    undecided(
        Some(RETRY_AFTER),
        "the log does not answer, so the key can't be claimed; ask again under the same key, or \
         file new work under an id from POST /operations, which needs no log",
    )
}

pub(crate) fn log_incomplete() -> CallEnding {
    undecided(
        None,
        "the log lost records, so an earlier claim of the key can't be ruled out",
    )
}

pub(crate) fn no_answer_kept() -> CallEnding {
    refuse(
        RefusalReason::OperationUndecided,
        Outcome::Ran,
        None,
        "the operation ran; its answer was too long or too old to be kept",
    )
}

/// The home has no room for the operation; nothing has run under its id.
pub(crate) fn memory_full() -> CallEnding {
    let detail = "this node has no room for another operation";
    let reason = RefusalReason::OperationUndecided;
    refuse(reason, Outcome::NotRun, Some(RETRY_AFTER), detail)
}
