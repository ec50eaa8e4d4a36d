//! When a backend server counts as silent.

use std::time::Duration;

use kumquatquay_core::routed::BackendLiveness;

use crate::at_ms;

const RUN_TIME: Duration = Duration::from_millis(40);

/// The host of a backend server loses power, so nothing closes its connections. Ten calls hang
/// until their deadlines, and further ones would hang as well if the silence weren't noticed.
#[test]
fn a_server_without_any_answers_is_silent() {
    let mut liveness = BackendLiveness::default();
    for call in 0..10 {
        liveness.call_started(at_ms(call * 5));
    }
    assert!(!liveness.is_silent(at_ms(500), RUN_TIME));
    assert!(liveness.is_silent(at_ms(700), RUN_TIME));
}

/// A backend server has become five times slower, but still answers one call after the other.
#[test]
fn a_slow_server_is_not_silent() {
    let mut liveness = BackendLiveness::default();
    for call in 0..20 {
        liveness.call_started(at_ms(call * 10));
    }
    for answer in 1..20 {
        let now = at_ms(200 * answer);
        assert!(!liveness.is_silent(now, RUN_TIME));
        liveness.call_ended(now, true);
    }
}

/// Guards against a server taken for dead while it sends answers that take long to write, or have no end.
#[test]
fn parts_of_answers_are_signs_of_life() {
    let mut liveness = BackendLiveness::default();
    for _ in 0..4 {
        liveness.call_started(at_ms(0));
    }
    liveness.on_activity(at_ms(5_000));
    // It is told late of a part that came before.
    liveness.on_activity(at_ms(4_000));
    assert!(!liveness.is_silent(at_ms(5_500), RUN_TIME));
    assert!(liveness.is_silent(at_ms(5_700), RUN_TIME));
}

/// A single long call doesn't show whether the backend server answers.
#[test]
fn a_single_long_call_is_no_silence() {
    let mut liveness = BackendLiveness::default();
    liveness.call_started(at_ms(0));
    assert!(!liveness.is_silent(at_ms(5_000), RUN_TIME));
}

/// The end of a call that the node itself gives up doesn't show that the backend server answers.
#[test]
fn a_cancelled_call_is_no_sign_of_life() {
    let mut liveness = BackendLiveness::default();
    for _ in 0..4 {
        liveness.call_started(at_ms(0));
    }
    liveness.call_ended(at_ms(690), false);
    assert!(liveness.is_silent(at_ms(700), RUN_TIME));
}

/// After an idle hour, silence counts from the start of the first call, not from the last answer.
#[test]
fn an_idle_server_is_not_silent() {
    let mut liveness = BackendLiveness::default();
    liveness.call_started(at_ms(3_600_000));
    liveness.call_started(at_ms(3_600_001));
    assert!(!liveness.is_silent(at_ms(3_600_100), RUN_TIME));
}
