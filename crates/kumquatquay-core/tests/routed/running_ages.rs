//! How old the calls are that a backend server runs.

use std::time::Duration;

use kumquatquay_core::routed::RunningAges;

use crate::at_ms;

/// Ten calls of 100 ms run at any time, begun 10 ms apart. Their mean age stays below the
/// time that one takes. Then none ends any more: after 300 ms it says so, though no slow
/// call has ended yet.
#[test]
fn a_backend_server_that_turns_slow_shows_before_its_calls_end() {
    let mut ages = RunningAges::default();
    for call in 0..100 {
        ages.began(at_ms(call * 10));
        if call >= 10 {
            ages.ended(at_ms((call - 10) * 10));
            assert!(ages.mean(at_ms(call * 10)) <= Duration::from_millis(60));
        }
    }
    assert!(ages.mean(at_ms(990 + 300)) >= Duration::from_millis(300));
}

#[test]
fn few_calls_say_nothing() {
    let mut ages = RunningAges::default();
    for call in 0..3 {
        ages.began(at_ms(call));
    }
    assert_eq!(ages.mean(at_ms(10_000)), Duration::ZERO);
}

#[test]
fn what_has_ended_leaves_nothing_behind() {
    let mut ages = RunningAges::default();
    for call in 0..1_000 {
        ages.began(at_ms(call));
        ages.ended(at_ms(call));
    }
    for _ in 0..4 {
        ages.began(at_ms(5_000));
    }
    assert_eq!(ages.mean(at_ms(5_100)), Duration::from_millis(100));
}
