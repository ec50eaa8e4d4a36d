//! Which failed runs are made again.

use kumquatquay_core::routed::FailedRuns;

/// One lookup in 250 fails by itself. Each is worth another run.
#[test]
fn a_run_that_fails_now_and_then_is_made_again() {
    let mut runs = FailedRuns::default();
    assert!(runs.is_rare("lookup"));
    for call in 0..5_000 {
        runs.on_answer("lookup", call % 250 == 0);
        assert!(runs.is_rare("lookup"));
    }
}

/// A service behind turns away half of its calls, and most runs that need four of them
/// fail. Made again they would fail again and take the budget with them; a route beside
/// them goes on as before.
#[test]
fn runs_that_fail_for_one_cause_are_not_made_again() {
    let mut runs = FailedRuns::default();
    for call in 0..20 {
        runs.on_answer("lookup", call % 10 != 0);
        runs.on_answer("hire", false);
    }
    assert!(!runs.is_rare("lookup"));
    assert!(runs.is_rare("hire"));
    for _ in 0..200 {
        runs.on_answer("lookup", false);
    }
    assert!(runs.is_rare("lookup"));
}
