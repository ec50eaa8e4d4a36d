//! Which life of a backend server counts.

use std::time::Duration;

use kumquatquay_core::routed::{BackendLives, LifeReport, LifeState, ReportError};
use kumquatquay_wire::BackendLife;

use crate::at_ms;

const DRAIN: Duration = Duration::from_secs(2);

fn report(instance: &str, sequence: u64, state: LifeState) -> LifeReport {
    LifeReport {
        life: BackendLife::untold(instance),
        service: String::from("archive"),
        slots_count: 100,
        state,
        sequence,
        warm_up_left: Duration::ZERO,
    }
}

fn current(lives: &BackendLives) -> Option<&str> {
    lives
        .current()
        .map(|current| current.life.instance.as_str())
}

/// A report of the old life was held up by a cut and arrives after the new life's
/// first. Believed, it would have every call marked for the old life, and the
/// backend server would decline them all.
#[test]
fn a_late_report_of_an_old_life_changes_nothing() {
    let mut lives = BackendLives::default();
    assert_eq!(
        lives.on_report(at_ms(0), report("old", 7, LifeState::Serving)),
        Ok(true)
    );
    assert_eq!(
        lives.on_report(at_ms(5_000), report("new", 1, LifeState::Serving)),
        Ok(true)
    );
    assert_eq!(
        lives.on_report(at_ms(5_100), report("old", 8, LifeState::Serving)),
        Ok(false)
    );
    assert_eq!(current(&lives), Some("new"));
    assert!(lives.may_run(at_ms(5_200), Some(&BackendLife::untold("new")), DRAIN));
    assert!(!lives.may_run(at_ms(5_200), Some(&BackendLife::untold("old")), DRAIN));
}

/// A node that was started again hears the new life first and then a report of the
/// old one that was held up. It can't tell them apart, until the backend server
/// declines a call and names itself.
#[test]
fn the_backend_servers_own_answer_settles_it() {
    let mut lives = BackendLives::default();
    lives
        .on_report(at_ms(0), report("new", 3, LifeState::Serving))
        .unwrap();
    lives
        .on_report(at_ms(100), report("old", 9, LifeState::Serving))
        .unwrap();
    assert_eq!(current(&lives), Some("old"));
    assert!(lives.on_answer_from("new"));
    assert_eq!(current(&lives), Some("new"));
    assert_eq!(
        lives.on_report(at_ms(200), report("old", 10, LifeState::Serving)),
        Ok(false)
    );
    assert_eq!(current(&lives), Some("new"));
}

#[test]
fn a_leaving_life_takes_calls_for_the_drain_only() {
    let mut lives = BackendLives::default();
    lives
        .on_report(at_ms(0), report("a", 1, LifeState::Serving))
        .unwrap();
    lives
        .on_report(at_ms(1_000), report("a", 2, LifeState::Draining))
        .unwrap();
    assert!(lives.may_run(at_ms(2_900), Some(&BackendLife::untold("a")), DRAIN));
    // A further report must not begin the time anew.
    lives
        .on_report(at_ms(2_950), report("a", 3, LifeState::Draining))
        .unwrap();
    assert!(!lives.may_run(at_ms(3_000), Some(&BackendLife::untold("a")), DRAIN));
}

/// A backend server says that it leaves; its last report from before that arrives
/// late and says that it serves.
#[test]
fn what_leaves_does_not_come_back() {
    let mut lives = BackendLives::default();
    lives
        .on_report(at_ms(0), report("a", 1, LifeState::Serving))
        .unwrap();
    lives
        .on_report(at_ms(1_000), report("a", 3, LifeState::Draining))
        .unwrap();
    assert_eq!(
        lives.on_report(at_ms(1_100), report("a", 2, LifeState::Serving)),
        Ok(false)
    );
    lives
        .on_report(at_ms(1_200), report("a", 4, LifeState::Serving))
        .unwrap();
    assert!(!lives.may_run(at_ms(3_100), Some(&BackendLife::untold("a")), DRAIN));
}

#[test]
fn leaving_without_a_word_before_counts_from_then() {
    let mut lives = BackendLives::default();
    lives
        .on_report(at_ms(0), report("a", 1, LifeState::Serving))
        .unwrap();
    assert!(lives.on_leave(at_ms(1_000), &BackendLife::untold("a")));
    assert_eq!(lives.current().unwrap().state, LifeState::Gone);
    assert!(lives.may_run(at_ms(1_500), Some(&BackendLife::untold("a")), DRAIN));
    assert!(!lives.may_run(at_ms(3_000), Some(&BackendLife::untold("a")), DRAIN));
}

#[test]
fn what_is_dead_comes_back_with_its_next_report() {
    let mut lives = BackendLives::default();
    lives
        .on_report(at_ms(0), report("a", 1, LifeState::Serving))
        .unwrap();
    assert!(lives.on_dead());
    assert!(!lives.may_run(at_ms(10), None, DRAIN));
    assert_eq!(
        lives.on_report(at_ms(1_500), report("a", 2, LifeState::Serving)),
        Ok(true)
    );
    assert!(lives.may_run(at_ms(1_600), None, DRAIN));
}

fn born(instance: &str, born_unix_ms: u64) -> BackendLife {
    BackendLife {
        instance: String::from(instance),
        born_unix_ms: Some(born_unix_ms),
    }
}

fn report_of(life: &BackendLife, sequence: u64, state: LifeState) -> LifeReport {
    LifeReport {
        life: life.clone(),
        ..report("", sequence, state)
    }
}

/// A backend server says that it leaves, ends, and starts again under its id. Its
/// counts start anew, so its reports look late, and the leaving of the life before
/// would hold for ever: no caller would reach it again.
#[test]
fn a_restart_under_the_same_id_knows_nothing_of_before() {
    let (first, second) = (born("a", 1_000), born("a", 9_000));
    let mut lives = BackendLives::default();
    lives
        .on_report(at_ms(0), report_of(&first, 70, LifeState::Serving))
        .unwrap();
    lives
        .on_report(at_ms(1_000), report_of(&first, 71, LifeState::Draining))
        .unwrap();
    let changed = lives.on_report(at_ms(8_000), report_of(&second, 1, LifeState::Serving));
    assert_eq!(changed, Ok(true));
    assert_eq!(lives.current().unwrap().state, LifeState::Serving);
    assert!(lives.may_run(at_ms(9_000), Some(&second), DRAIN));
    assert!(!lives.may_run(at_ms(9_000), Some(&first), DRAIN));
}

/// The last report of the life before was held up and arrives after the first one of
/// the next, with the same id and a higher count; its leaving as well. Neither says
/// anything of the life that is there.
#[test]
fn late_words_of_the_life_before_change_nothing() {
    let (first, second) = (born("a", 1_000), born("a", 9_000));
    let mut lives = BackendLives::default();
    lives
        .on_report(at_ms(0), report_of(&second, 1, LifeState::Serving))
        .unwrap();
    let late = report_of(&first, 80, LifeState::Draining);
    assert_eq!(lives.on_report(at_ms(100), late), Ok(false));
    lives.on_leave(at_ms(200), &first);
    assert_eq!(lives.current().unwrap().state, LifeState::Serving);
    assert!(lives.may_run(at_ms(9_000), Some(&second), DRAIN));
}

/// The same between lives of different ids, also when the backend server was found
/// dead in between: the late report would bring back a life that has ended.
#[test]
fn the_life_that_started_last_counts_in_any_order() {
    let (first, second) = (born("a", 1_000), born("b", 9_000));
    let mut lives = BackendLives::default();
    lives
        .on_report(at_ms(0), report_of(&second, 1, LifeState::Serving))
        .unwrap();
    lives.on_dead();
    let late = report_of(&first, 80, LifeState::Serving);
    assert_eq!(lives.on_report(at_ms(100), late), Ok(false));
    assert!(lives.current().is_none());
    let next = report_of(&second, 2, LifeState::Serving);
    assert_eq!(lives.on_report(at_ms(200), next), Ok(true));
    assert_eq!(current(&lives), Some("b"));
}

/// Another writer's entry for this host lacks the start of its life. Taken for a new
/// life it would displace the one that is there.
#[test]
fn a_report_without_its_start_among_those_with_one_is_refused() {
    let first = born("a", 1_000);
    let mut lives = BackendLives::default();
    lives
        .on_report(at_ms(0), report_of(&first, 1, LifeState::Serving))
        .unwrap();
    let other = report("x", 1, LifeState::Serving);
    assert_eq!(
        lives.on_report(at_ms(100), other),
        Err(ReportError::MissingStart)
    );
    assert_eq!(current(&lives), Some("a"));
}

/// The node was started again: it hears first that a life leaves, and then a report
/// that this life sent before. Believed, calls would go to a backend server that has
/// its leaving acknowledged.
#[test]
fn a_leaving_holds_for_a_report_that_arrives_after_it() {
    let first = born("a", 1_000);
    let mut lives = BackendLives::default();
    assert!(!lives.on_leave(at_ms(0), &first));
    lives
        .on_report(at_ms(500), report_of(&first, 9, LifeState::Serving))
        .unwrap();
    assert_eq!(lives.current().unwrap().state, LifeState::Draining);
    assert!(lives.may_run(at_ms(1_900), Some(&first), DRAIN));
    assert!(!lives.may_run(at_ms(2_000), Some(&first), DRAIN));
}

/// Most leavings don't tell the start of their life; it is the last one with the id.
#[test]
fn a_leaving_without_a_start_is_of_the_last_life() {
    let second = born("a", 9_000);
    let mut lives = BackendLives::default();
    for life in [&born("a", 1_000), &second] {
        lives
            .on_report(at_ms(0), report_of(life, 1, LifeState::Serving))
            .unwrap();
    }
    assert!(lives.on_leave(at_ms(1_000), &BackendLife::untold("a")));
    assert_eq!(lives.current().unwrap().state, LifeState::Gone);
    assert!(!lives.may_run(at_ms(3_000), Some(&second), DRAIN));
}

/// The backend server says in an answer that it leaves and goes on to report that it is ready. The
/// answer holds: after the drain nothing is handed over.
#[test]
fn a_leaving_told_in_an_answer_outlasts_later_reports() {
    let mut lives = BackendLives::default();
    let life = BackendLife::untold("a");
    lives
        .on_report(at_ms(0), report("a", 1, LifeState::Serving))
        .unwrap();
    assert!(!lives.is_leaving(&life));
    lives.on_leave(at_ms(100), &life);
    lives
        .on_report(at_ms(200), report("a", 2, LifeState::Serving))
        .unwrap();
    assert!(lives.is_leaving(&life));
    assert!(lives.may_run(at_ms(2_000), Some(&life), DRAIN));
    assert!(!lives.may_run(at_ms(2_100), Some(&life), DRAIN));
}
