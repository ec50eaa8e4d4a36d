//! The calls that repeated runs may make.

use std::time::Duration;

use kumquatquay_core::routed::RepeatedRuns;
use quickcheck::quickcheck;

use crate::at_ms;

fn ms(ms: u16) -> Duration {
    Duration::from_millis(u64::from(ms))
}

quickcheck! {
    /// Calls that lag, or that have a timeout of their own, would pass for first arrivals if they were
    /// told by a deadline that they share with their run.
    fn calls_are_found_at_any_lag_and_timeout(
        run_time: u8, lag: u16, called_after: u16, received_after: u16, own_timeout: Option<u16>
    ) -> bool {
        let limit = RepeatedRuns::limit(ms(u16::from(run_time)));
        let mut runs = RepeatedRuns::new();
        let start = at_ms(7_000);
        runs.on_start(start, limit);
        let called_after = ms(called_after % limit.as_millis() as u16);
        let left = limit - called_after;
        let stated = own_timeout.map_or(left, |timeout| left.min(ms(timeout)));
        let delay = ms(lag % 2_000) + ms(received_after % 2_000);
        runs.may_have_made(start + called_after + delay, Some(stated))
    }
}

/// Requests of callers state more time than a repeated run is given, and must not need tokens beside it.
#[test]
fn requests_with_more_time_are_no_calls_of_repeated_runs() {
    let mut runs = RepeatedRuns::new();
    let limit = RepeatedRuns::limit(ms(22));
    assert_eq!(limit, ms(110));
    assert!(!runs.may_have_made(at_ms(10), Some(ms(50))));
    runs.on_start(at_ms(20), limit);
    assert!(runs.may_have_made(at_ms(30), Some(ms(50))));
    assert!(!runs.may_have_made(at_ms(30), Some(ms(600))));
}

/// Whoever states no time may wait for any; that is no proof that no repeated run does.
#[test]
fn a_request_without_a_time_is_in_doubt() {
    let mut runs = RepeatedRuns::new();
    assert!(!runs.may_have_made(at_ms(10), None));
    runs.on_start(at_ms(20), ms(100));
    assert!(runs.may_have_made(at_ms(30), None));
}

/// A longer run that was repeated before a shorter one may still make calls.
#[test]
fn the_longest_limit_counts() {
    let mut runs = RepeatedRuns::new();
    runs.on_start(at_ms(0), ms(300));
    runs.on_start(at_ms(4_900), ms(60));
    assert!(runs.may_have_made(at_ms(5_100), Some(ms(250))));
}

/// Long after the last repeated run, requests with little time are those of callers again.
#[test]
fn calls_are_expected_for_a_while() {
    let mut runs = RepeatedRuns::new();
    runs.on_start(at_ms(1_000), ms(100));
    assert!(runs.may_have_made(at_ms(5_999), Some(ms(50))));
    assert!(!runs.may_have_made(at_ms(12_000), Some(ms(50))));
    assert!(!runs.may_have_made(at_ms(90_000), Some(ms(50))));
    runs.on_start(at_ms(90_000), ms(100));
    assert!(runs.may_have_made(at_ms(90_001), Some(ms(50))));
}

/// A node that was suspended for long receives the calls that were made meanwhile when it goes on.
#[test]
fn a_suspended_node_expects_calls_when_it_goes_on() {
    let mut runs = RepeatedRuns::new();
    runs.on_start(at_ms(1_000), ms(100));
    assert!(runs.may_have_made(at_ms(61_000), Some(ms(50))));
    assert!(runs.may_have_made(at_ms(65_999), Some(ms(50))));
    assert!(!runs.may_have_made(at_ms(66_000), Some(ms(50))));
}

/// A node that was killed leaves repeated runs behind, whose calls come to its next life.
#[test]
fn a_new_life_expects_calls_of_the_last_one() {
    let mut runs = RepeatedRuns::new().after_earlier_life();
    assert!(runs.may_have_made(at_ms(0), Some(ms(400))));
    assert!(!runs.may_have_made(at_ms(0), Some(ms(600))));
    assert!(runs.may_have_made(at_ms(4_999), Some(ms(400))));
    assert!(!runs.may_have_made(at_ms(5_000), Some(ms(400))));
}

/// A run that may need most of its caller's time would be cut by any limit that tells its calls.
#[test]
fn long_runs_are_not_repeated() {
    assert!(!RepeatedRuns::is_too_long(ms(120)));
    assert!(RepeatedRuns::is_too_long(ms(190)));
}

/// A limit of a few milliseconds is over before the run has started, and one without a bound would be
/// that of most requests of callers.
#[test]
fn limits_are_bounded() {
    assert_eq!(RepeatedRuns::limit(ms(1)), ms(50));
    assert_eq!(RepeatedRuns::limit(ms(60)), ms(300));
    assert_eq!(RepeatedRuns::limit(ms(190)), ms(400));
}
