//! Which failures are a backend server's own.

use std::time::Duration;

use kumquatquay_core::routed::RunFailures;
use kumquatquay_wire::BackendLife;

use crate::at_ms;

/// How long a run takes that loses a call.
const RUN_TIME: Duration = Duration::from_millis(50);

/// A backend server fails each run at once. Callers should hear of it before each of them
/// has lost calls to it: within ten runs.
#[test]
fn a_server_that_fails_each_run_is_told_soon() {
    let mut failures = RunFailures::default();
    for _ in 0..100 {
        failures.ended_well();
    }
    for run in 0..10 {
        failures.failed(at_ms(run), at_ms(run));
    }
    assert!(failures.ratio() > 0.25, "{}", failures.ratio());
}

/// The service behind loses one call of eight, and each run that lost one fails. The
/// server that ran it is sound, and must not be left out for that.
#[test]
fn runs_that_lost_a_call_are_not_its_own_failures() {
    let mut failures = RunFailures::default();
    for run in 0..200 {
        let now = at_ms(run * 10) + RUN_TIME;
        if run % 2 == 0 {
            failures.call_lost(now);
            failures.failed(now - RUN_TIME, now);
        } else {
            failures.ended_well();
        }
    }
    assert!(failures.ratio() < 0.01, "{}", failures.ratio());
}

/// A call was lost long ago, and its run has been answered in spite of it. What fails later is
/// the server's own.
#[test]
fn a_lost_call_excuses_nothing_later() {
    let mut failures = RunFailures::default();
    failures.call_lost(at_ms(0));
    failures.failed(at_ms(0), at_ms(5_000));
    assert!(failures.ratio() > 0.0);
}

/// Callers call a server that fails each run at once, from its own host and one after the other.
/// The host doesn't know yet that callers use their route, and takes each failed call for one that
/// a run has lost. Failures must not excuse each other.
#[test]
fn a_call_lost_before_a_run_began_does_not_excuse_it() {
    let mut failures = RunFailures::default();
    for run in 0..10 {
        let began = at_ms(run * 10);
        let ended = began + Duration::from_millis(1);
        failures.failed(began, ended);
        failures.call_lost(ended + Duration::from_millis(1));
    }
    assert!(failures.ratio() > 0.25, "{}", failures.ratio());
}

/// The server was replaced; the new one begins with nothing held against it.
#[test]
fn another_life_begins_with_none() {
    let mut failures = RunFailures::default();
    failures.on_life(&BackendLife::untold("old"));
    for run in 0..50 {
        failures.failed(at_ms(run), at_ms(run));
    }
    failures.on_life(&BackendLife::untold("old"));
    assert!(failures.ratio() > 0.9);
    failures.on_life(&BackendLife::untold("new"));
    assert_eq!(failures.ratio(), 0.0);
}

/// Callers that have learnt that a server fails leave it alone, and its share of failures stays
/// where it was then. Calls of others that may run once must already be sent elsewhere at that
/// share: each of them would lose one.
#[test]
fn a_server_that_is_left_alone_takes_no_calls_that_may_run_once() {
    let mut failures = RunFailures::default();
    let mut run = 0;
    // Callers leave those alone that fail a fifth more than the middle one.
    while failures.ratio() < 0.2 {
        failures.failed(at_ms(run), at_ms(run));
        run += 1;
    }
    assert!(failures.is_failing(), "{} after {run}", failures.ratio());
}
