//! When a backend server is taken to be silent.

use std::time::Duration;

use kumquatquay_core::routed::BackendLiveness;

use crate::at_ms;

const WORK: Duration = Duration::from_millis(40);

/// The host of a backend server loses its power. Nothing closes its connections; ten
/// calls hang on them until their deadlines, and more would follow.
#[test]
fn hanging_calls_without_any_answer_are_silence() {
    let mut pulse = BackendLiveness::default();
    for call in 0..10 {
        pulse.call_started(at_ms(call * 5));
    }
    assert!(!pulse.is_silent(at_ms(500), WORK));
    assert!(pulse.is_silent(at_ms(700), WORK));
}

/// It became five times slower; its answers still come one after the other.
#[test]
fn a_slow_one_is_not_silent() {
    let mut pulse = BackendLiveness::default();
    for call in 0..20 {
        pulse.call_started(at_ms(call * 10));
    }
    for answer in 1..20 {
        let now = at_ms(200 * answer);
        assert!(!pulse.is_silent(now, WORK));
        pulse.call_ended(now, true);
    }
}

/// One long call alone says nothing of the backend server.
#[test]
fn one_call_may_take_long() {
    let mut pulse = BackendLiveness::default();
    pulse.call_started(at_ms(0));
    assert!(!pulse.is_silent(at_ms(5_000), WORK));
}

#[test]
fn calls_that_are_given_up_are_no_sign() {
    let mut pulse = BackendLiveness::default();
    for _ in 0..4 {
        pulse.call_started(at_ms(0));
    }
    pulse.call_ended(at_ms(690), false);
    assert!(pulse.is_silent(at_ms(700), WORK));
}

/// After a quiet hour the first calls are not measured against the last answer.
#[test]
fn an_idle_one_is_not_silent() {
    let mut pulse = BackendLiveness::default();
    pulse.call_started(at_ms(3_600_000));
    pulse.call_started(at_ms(3_600_001));
    assert!(!pulse.is_silent(at_ms(3_600_100), WORK));
}
