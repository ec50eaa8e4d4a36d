//! Which life of a backend server counts.

use std::time::Duration;

use kumquatquay_core::routed::{BackendLives, LifeReport, LifeState};

use crate::at_ms;

const DRAIN: Duration = Duration::from_secs(2);

fn report(instance: &str, sequence: u64, state: LifeState) -> LifeReport {
    LifeReport {
        instance: String::from(instance),
        service: String::from("archive"),
        slots_count: 100,
        state,
        sequence,
        cold: Duration::ZERO,
    }
}

fn current(lives: &BackendLives) -> Option<&str> {
    lives.current().map(|current| current.instance.as_str())
}

/// A report of the old life was held up by a cut and arrives after the new life's
/// first. Believed, it would have every call marked for the old life, and the
/// backend server would decline them all.
#[test]
fn a_late_report_of_an_old_life_changes_nothing() {
    let mut lives = BackendLives::default();
    assert!(lives.on_report(at_ms(0), report("old", 7, LifeState::Serving)));
    assert!(lives.on_report(at_ms(5_000), report("new", 1, LifeState::Serving)));
    assert!(!lives.on_report(at_ms(5_100), report("old", 8, LifeState::Serving)));
    assert_eq!(current(&lives), Some("new"));
    assert!(lives.may_run(at_ms(5_200), Some("new"), DRAIN));
    assert!(!lives.may_run(at_ms(5_200), Some("old"), DRAIN));
}

/// A node that was started again hears the new life first and then a report of the
/// old one that was held up. It can't tell them apart, until the backend server
/// declines a call and names itself.
#[test]
fn the_backend_servers_own_answer_settles_it() {
    let mut lives = BackendLives::default();
    lives.on_report(at_ms(0), report("new", 3, LifeState::Serving));
    lives.on_report(at_ms(100), report("old", 9, LifeState::Serving));
    assert_eq!(current(&lives), Some("old"));
    assert!(lives.on_answered_as("new"));
    assert_eq!(current(&lives), Some("new"));
    assert!(!lives.on_report(at_ms(200), report("old", 10, LifeState::Serving)));
    assert_eq!(current(&lives), Some("new"));
}

#[test]
fn a_leaving_life_takes_calls_for_the_drain_only() {
    let mut lives = BackendLives::default();
    lives.on_report(at_ms(0), report("a", 1, LifeState::Serving));
    lives.on_report(at_ms(1_000), report("a", 2, LifeState::Draining));
    assert!(lives.may_run(at_ms(2_900), Some("a"), DRAIN));
    // A further report must not begin the time anew.
    lives.on_report(at_ms(2_950), report("a", 3, LifeState::Draining));
    assert!(!lives.may_run(at_ms(3_000), Some("a"), DRAIN));
}

/// A backend server says that it leaves; its last report from before that arrives
/// late and says that it serves.
#[test]
fn what_leaves_does_not_come_back() {
    let mut lives = BackendLives::default();
    lives.on_report(at_ms(0), report("a", 1, LifeState::Serving));
    lives.on_report(at_ms(1_000), report("a", 3, LifeState::Draining));
    assert!(!lives.on_report(at_ms(1_100), report("a", 2, LifeState::Serving)));
    lives.on_report(at_ms(1_200), report("a", 4, LifeState::Serving));
    assert!(!lives.may_run(at_ms(3_100), Some("a"), DRAIN));
}

#[test]
fn leaving_without_a_word_before_counts_from_then() {
    let mut lives = BackendLives::default();
    lives.on_report(at_ms(0), report("a", 1, LifeState::Serving));
    assert!(lives.on_leave(at_ms(1_000), "a"));
    assert_eq!(lives.current().unwrap().state, LifeState::Gone);
    assert!(lives.may_run(at_ms(1_500), Some("a"), DRAIN));
    assert!(!lives.may_run(at_ms(3_000), Some("a"), DRAIN));
}

#[test]
fn what_is_dead_comes_back_with_its_next_report() {
    let mut lives = BackendLives::default();
    lives.on_report(at_ms(0), report("a", 1, LifeState::Serving));
    assert!(lives.on_found_dead());
    assert!(!lives.may_run(at_ms(10), None, DRAIN));
    assert!(lives.on_report(at_ms(1_500), report("a", 2, LifeState::Serving)));
    assert!(lives.may_run(at_ms(1_600), None, DRAIN));
}
