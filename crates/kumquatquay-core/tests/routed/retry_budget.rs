//! What may be sent once more.

use std::time::Duration;

use kumquatquay_core::routed::RetryBudget;
use quickcheck::quickcheck;

use crate::at_ms;

const WINDOW: Duration = Duration::from_secs(10);

/// Makes a repeat, if there is room for it.
fn take(window: &mut RetryBudget, now: Duration) -> bool {
    let has_room = window.has_room(now, 1.0);
    if has_room {
        window.on_retries(now, 1.0);
    }
    has_room
}

#[test]
fn repeats_are_a_share_of_requests_and_an_extra() {
    let mut window = RetryBudget::new(WINDOW, 0.2, 3.0);
    for request in 0..50 {
        window.on_requests(at_ms(request), 1.0);
    }
    let taken = (0..100).filter(|_| take(&mut window, at_ms(60))).count();
    assert_eq!(taken, 13);
}

#[test]
fn the_budget_comes_back_when_the_window_has_passed() {
    let mut window = RetryBudget::new(WINDOW, 0.2, 2.0);
    assert!(take(&mut window, at_ms(0)));
    assert!(take(&mut window, at_ms(0)));
    assert!(!take(&mut window, at_ms(9_900)));
    assert!(take(&mut window, at_ms(11_100)));
}

quickcheck! {
    /// Wherever a window of ten seconds is laid, the repeats in it stay within the
    /// extra; a limit that was counted from fixed moments would allow twice that.
    fn no_window_holds_more(steps_ms: Vec<u16>) -> bool {
        let mut window = RetryBudget::new(WINDOW, 0.0, 5.0);
        let mut now = Duration::ZERO;
        let mut repeats: Vec<Duration> = Vec::new();
        for step_ms in steps_ms {
            now += Duration::from_millis(u64::from(step_ms) % 4_000);
            if take(&mut window, now) {
                repeats.push(now);
            }
        }
        repeats.iter().all(|begin| {
            let within = repeats.iter().filter(|at| *at >= begin && **at < *begin + WINDOW);
            within.count() <= 5
        })
    }
}
