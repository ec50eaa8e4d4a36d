//! What may be sent once more.

use std::time::Duration;

use kumquatquay_core::routed::RetryWindow;
use quickcheck::quickcheck;

use crate::at_ms;

const WINDOW: Duration = Duration::from_secs(10);

#[test]
fn repeats_are_a_share_of_requests_and_an_extra() {
    let mut window = RetryWindow::new(WINDOW, 0.2, 3.0);
    for request in 0..50 {
        window.on_request(at_ms(request));
    }
    let taken = (0..100).filter(|_| window.take_repeat(at_ms(60))).count();
    assert_eq!(taken, 13);
}

#[test]
fn the_budget_comes_back_when_the_window_has_passed() {
    let mut window = RetryWindow::new(WINDOW, 0.2, 2.0);
    assert!(window.take_repeat(at_ms(0)));
    assert!(window.take_repeat(at_ms(0)));
    assert!(!window.take_repeat(at_ms(9_900)));
    assert!(window.take_repeat(at_ms(11_100)));
}

quickcheck! {
    /// Wherever a window of ten seconds is laid, the repeats in it stay within the
    /// extra; a limit that was counted from fixed moments would allow twice that.
    fn no_window_holds_more(steps_ms: Vec<u16>) -> bool {
        let mut window = RetryWindow::new(WINDOW, 0.0, 5.0);
        let mut now = Duration::ZERO;
        let mut repeats: Vec<Duration> = Vec::new();
        for step_ms in steps_ms {
            now += Duration::from_millis(u64::from(step_ms) % 4_000);
            if window.take_repeat(now) {
                repeats.push(now);
            }
        }
        repeats.iter().all(|begin| {
            let within = repeats.iter().filter(|at| *at >= begin && **at < *begin + WINDOW);
            within.count() <= 5
        })
    }
}
