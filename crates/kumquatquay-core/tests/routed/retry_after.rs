//! When refused callers come back.

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

fn drawn(refused: RetryAfter) -> Vec<Duration> {
    let mut random = StdRng::seed_from_u64(1);
    (0..1_000).map(|_| refused.sample(&mut random)).collect()
}

#[test]
fn in_a_shortage_that_has_just_begun_callers_return_in_time_to_be_served() {
    let drawn = drawn(REFUSED);
    assert!(
        drawn
            .iter()
            .all(|wait| *wait >= at_ms(700) && *wait < at_ms(1_400))
    );
}

#[test]
fn in_a_long_shortage_they_return_as_late_as_they_wait() {
    let short_for = Duration::from_secs(20);
    let drawn = drawn(RetryAfter {
        shortage_duration: short_for,
        ..REFUSED
    });
    assert!(drawn.iter().all(|wait| *wait == Duration::from_secs(2)));
}

/// It isn't known how long such a caller waits: told to come back late, it may be gone by then.
#[test]
fn who_said_nothing_of_its_time_is_asked_back_soon() {
    let short_for = Duration::from_secs(20);
    let drawn = drawn(RetryAfter {
        time_left: None,
        shortage_duration: short_for,
        ..REFUSED
    });
    assert!(drawn.iter().all(|wait| *wait < at_ms(1_400)));
}

/// A surge leaves no room for half of the callers for eight seconds. Each comes back once. Those
/// who are asked back by how long it has lasted are refused a second time less often.
#[test]
fn fewer_are_refused_again_in_a_surge_that_lasts() {
    let surge = Duration::from_secs(8);
    let mut random = StdRng::seed_from_u64(1);
    let mut refused_again = [0, 0];
    for _ in 0..20_000 {
        let short_for = surge.mul_f64(random.random());
        for (way, known) in [Duration::ZERO, short_for].into_iter().enumerate() {
            let refused = RetryAfter {
                shortage_duration: known,
                ..REFUSED
            };
            let returns = short_for + refused.sample(&mut random);
            refused_again[way] += u32::from(returns < surge);
        }
    }
    assert!(refused_again[1] < refused_again[0], "{refused_again:?}");
}

/// Told the same moment, they would all come back to the first room that there is.
#[test]
fn who_is_asked_back_when_there_is_room_is_spread_from_then_on() {
    let room_in = Some(at_ms(900));
    let drawn = drawn(RetryAfter {
        room_expected_in: room_in,
        ..REFUSED
    });
    assert!(drawn.iter().all(|wait| *wait >= at_ms(900)));
    let late = drawn.iter().filter(|wait| **wait >= at_ms(1_400)).count();
    assert!((300..700).contains(&late), "{late}");
}
