//! Times of a shutdown, for grace periods of any length.

use std::time::Duration;

use kumquatquay_core::routed::ShutdownSchedule;
use quickcheck::quickcheck;

/// When the shutdown was requested, its grace period and its schedule.
fn schedule(requested_s: u16, grace_ms: u16) -> (Duration, Duration, ShutdownSchedule) {
    let requested_at = Duration::from_secs(u64::from(requested_s));
    let grace = Duration::from_millis(u64::from(grace_ms));
    (
        requested_at,
        grace,
        ShutdownSchedule::new(requested_at, grace),
    )
}

quickcheck! {
    /// Guards against a process that is killed before its last answers are written.
    fn the_last_answers_are_written_before_the_grace_is_over(requested_s: u16, grace_ms: u16) -> bool {
        let (requested_at, grace, schedule) = schedule(requested_s, grace_ms);
        schedule.answer_at + schedule.last_answers_time <= requested_at + grace
    }

    /// Guards against runs that are ended while there is time left for them: only the last sixth is taken.
    fn runs_have_five_sixths_of_the_grace(requested_s: u16, grace_ms: u16) -> bool {
        let (requested_at, grace, schedule) = schedule(requested_s, grace_ms);
        schedule.answer_at + Duration::from_nanos(2) >= requested_at + grace * 5 / 6
    }

    /// Guards against steps of a shutdown that change places in a short grace period.
    fn the_steps_are_in_order(requested_s: u16, grace_ms: u16, is_delayed: bool) -> bool {
        let (requested_at, _, mut schedule) = schedule(requested_s, grace_ms);
        if !is_delayed {
            schedule = schedule.without_delay(requested_at);
        }
        let steps = [
            requested_at,
            schedule.announce_at,
            schedule.close_at,
            schedule.answer_at,
        ];
        steps.is_sorted()
    }
}
