//! Refusals with which calls end.

use std::time::Duration;

use kumquatquay_wire::Outcome;

use crate::{Refusal, RefusalReason};

/// `Retry-After` of refusals for which no better value is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

pub(super) fn no_backend_server() -> Refusal {
    not_run(
        RefusalReason::NoBackendServer,
        "this node knows no backend server of the service or can't reach any",
    )
}

pub(super) fn node_full() -> Refusal {
    not_run(
        RefusalReason::Overloaded,
        "this node has reached its limit of concurrent calls",
    )
}

pub(super) fn retries_exhausted() -> Refusal {
    not_run(
        RefusalReason::RetriesSpent,
        "the request has too few retries left to make this call again",
    )
}

pub(super) fn deadline_passed() -> Refusal {
    Refusal {
        retry_after: None,
        ..not_run(
            RefusalReason::Deadline,
            "the deadline passed before the call was sent",
        )
    }
}

pub(super) fn overloaded(service: &str, retry_after: Duration) -> Refusal {
    Refusal {
        reason: RefusalReason::Overloaded,
        outcome: Outcome::NotRun,
        retry_after: Some(retry_after),
        detail: format!("{service} is overloaded and admits only more important requests"),
    }
}

pub(super) fn abandoned(outcome: Outcome) -> Refusal {
    without_retry_after(
        RefusalReason::Abandoned,
        outcome,
        "the request for which this call was made was cancelled",
    )
}

pub(super) fn broken(outcome: Outcome) -> Refusal {
    without_retry_after(
        RefusalReason::Broken,
        outcome,
        "the connection broke before the answer was received",
    )
}

pub(super) fn timed_out(outcome: Outcome) -> Refusal {
    without_retry_after(
        RefusalReason::Deadline,
        outcome,
        "the deadline passed before the answer was received",
    )
}

fn without_retry_after(reason: RefusalReason, outcome: Outcome, detail: &str) -> Refusal {
    Refusal {
        reason,
        outcome,
        retry_after: None,
        detail: String::from(detail),
    }
}

fn not_run(reason: RefusalReason, detail: &str) -> Refusal {
    Refusal {
        reason,
        outcome: Outcome::NotRun,
        retry_after: Some(DEFAULT_RETRY_AFTER),
        detail: String::from(detail),
    }
}
