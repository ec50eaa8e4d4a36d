//! Tests of the time after which refused callers should retry.

use std::time::Duration;

use kumquatquay_core::routed::RetryAfter;
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::at_ms;

const REFUSED: RetryAfter = RetryAfter {
    target_latency: Duration::from_secs(2),
    time_left: Some(Duration::from_secs(6)),
    shortage_duration: Duration::ZERO,
    room_expected_in: None,
};

fn sample_waits(refused: RetryAfter) -> Vec<Duration> {
    let mut random = StdRng::seed_from_u64(1);
    (0..1_000).map(|_| refused.sample(&mut random)).collect()
}

#[test]
fn at_the_start_of_a_shortage_callers_retry_within_the_target_latency() {
    let waits = sample_waits(REFUSED);
    assert!(
        waits
            .iter()
            .all(|wait| *wait >= at_ms(700) && *wait < at_ms(1_400))
    );
}

#[test]
fn in_a_long_shortage_callers_retry_as_late_as_their_time_left_allows() {
    let long_shortage = Duration::from_secs(20);
    let waits = sample_waits(RetryAfter {
        shortage_duration: long_shortage,
        ..REFUSED
    });
    assert!(waits.iter().all(|wait| *wait == Duration::from_secs(2)));
}

/// It isn't known how long such a caller goes on waiting. If it is told to retry late, it may have
/// given up by then.
#[test]
fn a_caller_without_a_known_time_left_retries_soon() {
    let long_shortage = Duration::from_secs(20);
    let waits = sample_waits(RetryAfter {
        time_left: None,
        shortage_duration: long_shortage,
        ..REFUSED
    });
    assert!(waits.iter().all(|wait| *wait < at_ms(1_400)));
}

/// A surge leaves no room for half of the callers for eight seconds, and each retries once. If the
/// wait grows with the time for which the shortage has lasted, fewer of them are refused again.
#[test]
fn fewer_are_refused_again_if_the_wait_grows_with_the_shortage() {
    let surge = Duration::from_secs(8);
    let mut random = StdRng::seed_from_u64(1);
    let mut refused_again = [0, 0];
    for _ in 0..20_000 {
        let shortage_duration = surge.mul_f64(random.random());
        for (variant, known) in [Duration::ZERO, shortage_duration].into_iter().enumerate() {
            let refused = RetryAfter {
                shortage_duration: known,
                ..REFUSED
            };
            let retries_at = shortage_duration + refused.sample(&mut random);
            refused_again[variant] += u32::from(retries_at < surge);
        }
    }
    assert!(refused_again[1] < refused_again[0], "{refused_again:?}");
}

/// If all callers were told the same moment, they would all retry as soon as there is any room.
#[test]
fn retries_are_spread_from_the_moment_at_which_room_is_expected() {
    let room_expected_in = Some(at_ms(900));
    let waits = sample_waits(RetryAfter {
        room_expected_in,
        ..REFUSED
    });
    assert!(waits.iter().all(|wait| *wait >= at_ms(900)));
    let late = waits.iter().filter(|wait| **wait >= at_ms(1_400)).count();
    assert!((300..700).contains(&late), "{late}");
}
