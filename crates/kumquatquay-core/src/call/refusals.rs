//! Refusals with which calls end.

use std::time::Duration;

use kumquatquay_wire::Outcome;

use crate::{Refusal, RefusalReason};

/// `Retry-After` of refusals for which no better value is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

pub(super) fn no_backend_server() -> Refusal {
    not_run(
        RefusalReason::NoBackendServer,
        "no backend server of the service is known or can be reached here",
    )
}

pub(super) fn node_full() -> Refusal {
    not_run(
        RefusalReason::Overloaded,
        "this node has as many calls under way as it can keep",
    )
}

pub(super) fn node_stops() -> Refusal {
    not_run(RefusalReason::Leaving, "this node is stopping")
}

/// For a call that is under way when the grace period of its node is over.
pub(super) fn grace_over(outcome: Outcome) -> Refusal {
    if outcome == Outcome::NotRun {
        return node_stops();
    }
    without_retry_after(
        RefusalReason::Broken,
        outcome,
        "this node stopped before there was an answer",
    )
}

pub(super) fn retries_exhausted() -> Refusal {
    not_run(
        RefusalReason::RetriesSpent,
        "the request has no retries left that this repeated call could use",
    )
}

pub(super) fn deadline_passed() -> Refusal {
    Refusal {
        retry_after: None,
        ..not_run(
            RefusalReason::Deadline,
            "the time allowed ran out before the call was sent",
        )
    }
}

pub(super) fn overloaded(service: &str, retry_after: Duration) -> Refusal {
    Refusal {
        reason: RefusalReason::Overloaded,
        outcome: Outcome::NotRun,
        retry_after: Some(retry_after),
        detail: format!("{service} is overloaded and serves more important requests first"),
    }
}

pub(super) fn abandoned(outcome: Outcome) -> Refusal {
    without_retry_after(
        RefusalReason::Abandoned,
        outcome,
        "the request that this call was made for was given up",
    )
}

pub(super) fn broken(outcome: Outcome) -> Refusal {
    without_retry_after(
        RefusalReason::Broken,
        outcome,
        "the connection broke and the answer was lost",
    )
}

pub(super) fn timed_out(outcome: Outcome) -> Refusal {
    without_retry_after(
        RefusalReason::Deadline,
        outcome,
        "the time allowed ran out before the answer",
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
