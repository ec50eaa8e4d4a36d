//! The budget of retries in a sliding window.

use std::time::Duration;

use kumquatquay_core::routed::RetryBudget;
use quickcheck::quickcheck;

use crate::at_ms;

const WINDOW: Duration = Duration::from_secs(10);

/// Makes a retry if the budget has room for it.
fn try_retry(budget: &mut RetryBudget, now: Duration) -> bool {
    let has_room = budget.has_room(now, 1.0);
    if has_room {
        budget.on_retries(now, 1.0);
    }
    has_room
}

#[test]
fn retries_are_limited_to_a_share_of_requests_and_an_extra() {
    let mut budget = RetryBudget::new(WINDOW, 0.2, 3.0);
    for request in 0..50 {
        budget.on_requests(at_ms(request), 1.0);
    }
    let retries_count = (0..100)
        .filter(|_| try_retry(&mut budget, at_ms(60)))
        .count();
    assert_eq!(retries_count, 13);
}

#[test]
fn retries_no_longer_count_when_their_window_has_passed() {
    let mut budget = RetryBudget::new(WINDOW, 0.2, 2.0);
    assert!(try_retry(&mut budget, at_ms(0)));
    assert!(try_retry(&mut budget, at_ms(0)));
    assert!(!try_retry(&mut budget, at_ms(9_900)));
    assert!(try_retry(&mut budget, at_ms(11_100)));
}

quickcheck! {
    /// In any window of ten seconds, the retries stay within the extra. With counts that are reset
    /// at fixed times, there could be twice as many.
    fn no_window_exceeds_the_budget(steps_ms: Vec<u16>) -> bool {
        let mut budget = RetryBudget::new(WINDOW, 0.0, 5.0);
        let mut now = Duration::ZERO;
        let mut retries: Vec<Duration> = Vec::new();
        for step_ms in steps_ms {
            now += Duration::from_millis(u64::from(step_ms) % 4_000);
            if try_retry(&mut budget, now) {
                retries.push(now);
            }
        }
        retries.iter().all(|begin| {
            let in_window = retries.iter().filter(|at| *at >= begin && **at < *begin + WINDOW);
            in_window.count() <= 5
        })
    }
}
