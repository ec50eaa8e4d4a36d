//! Tests of which life of the backend server of a host is current.

use std::time::Duration;

use kumquatquay_core::routed::{BackendLives, LifeReport, LifeState, ReportError};
use kumquatquay_wire::BackendLife;

use crate::at_ms;

const DRAIN: Duration = Duration::from_secs(2);

fn report(instance: &str, sequence: u64, state: LifeState) -> LifeReport {
    LifeReport {
        life: BackendLife::without_start(instance),
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

/// A report of the old life is delayed by a network partition and arrives after the first report of
/// the new life. If it were applied, every call would be addressed to the old life, and the backend
/// server would reject them all.
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
    assert!(lives.may_run(
        at_ms(5_200),
        Some(&BackendLife::without_start("new")),
        DRAIN
    ));
    assert!(!lives.may_run(
        at_ms(5_200),
        Some(&BackendLife::without_start("old")),
        DRAIN
    ));
}

/// A restarted node receives a report of the new life first, then a delayed one of the old life. It
/// can't tell which life is the newer one until the backend server rejects a call and states its
/// own id.
#[test]
fn an_answer_of_the_backend_server_determines_the_current_life() {
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

/// Guards against a backend server that isn't followed any more, after one of its reports had an odd number.
#[test]
fn a_report_with_an_odd_number_is_not_the_last_one_that_counts() {
    let mut lives = BackendLives::default();
    for sequence in [1, u64::MAX, 2] {
        let applied = lives.on_report(
            at_ms(sequence % 10),
            report("a", sequence, LifeState::Serving),
        );
        assert!(applied.is_ok());
    }
    assert!(lives.on_dead());
    let applied = lives.on_report(at_ms(20), report("a", 3, LifeState::Serving));
    assert_eq!(applied, Ok(true));
    // Reports that are late are still told by their numbers.
    let mut late = report("a", 2, LifeState::Serving);
    late.slots_count = 7;
    assert_eq!(lives.on_report(at_ms(30), late), Ok(false));
}

#[test]
fn a_leaving_life_accepts_calls_during_the_drain_only() {
    let mut lives = BackendLives::default();
    lives
        .on_report(at_ms(0), report("a", 1, LifeState::Serving))
        .unwrap();
    lives
        .on_report(at_ms(1_000), report("a", 2, LifeState::Draining))
        .unwrap();
    assert!(lives.may_run(at_ms(2_900), Some(&BackendLife::without_start("a")), DRAIN));
    // A further report must not restart the drain.
    lives
        .on_report(at_ms(2_950), report("a", 3, LifeState::Draining))
        .unwrap();
    assert!(!lives.may_run(at_ms(3_000), Some(&BackendLife::without_start("a")), DRAIN));
}

/// A backend server reports that it leaves. A report from before that arrives late and says that it
/// serves; a later one says so too.
#[test]
fn a_leaving_life_does_not_serve_again() {
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
    assert!(!lives.may_run(at_ms(3_100), Some(&BackendLife::without_start("a")), DRAIN));
}

#[test]
fn the_drain_starts_with_the_first_report_of_leaving() {
    let mut lives = BackendLives::default();
    lives
        .on_report(at_ms(0), report("a", 1, LifeState::Serving))
        .unwrap();
    assert!(lives.on_leave(at_ms(1_000), &BackendLife::without_start("a")));
    assert_eq!(lives.current().unwrap().state, LifeState::Gone);
    assert!(lives.may_run(at_ms(1_500), Some(&BackendLife::without_start("a")), DRAIN));
    assert!(!lives.may_run(at_ms(3_000), Some(&BackendLife::without_start("a")), DRAIN));
}

#[test]
fn a_dead_life_is_current_again_with_its_next_report() {
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

fn life_born_at(instance: &str, born_unix_ms: u64) -> BackendLife {
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

/// A backend server reports that it leaves, ends, and restarts with the same id. Its sequence
/// numbers start from one again. Without the start of the life, its reports would look old, and the
/// leaving of the previous life would apply to it for ever, so that no call would reach it.
#[test]
fn a_restart_with_the_same_id_is_a_new_life() {
    let (first, second) = (life_born_at("a", 1_000), life_born_at("a", 9_000));
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

/// The last report of the previous life, and its report that it leaves, are delayed and arrive
/// after the first report of the next life. They have the same id and a higher sequence number, but
/// say nothing about the current life.
#[test]
fn late_reports_of_the_previous_life_change_nothing() {
    let (first, second) = (life_born_at("a", 1_000), life_born_at("a", 9_000));
    let mut lives = BackendLives::default();
    lives
        .on_report(at_ms(0), report_of(&second, 1, LifeState::Serving))
        .unwrap();
    let late_report = report_of(&first, 80, LifeState::Draining);
    assert_eq!(lives.on_report(at_ms(100), late_report), Ok(false));
    lives.on_leave(at_ms(200), &first);
    assert_eq!(lives.current().unwrap().state, LifeState::Serving);
    assert!(lives.may_run(at_ms(9_000), Some(&second), DRAIN));
}

/// A late report of an ended life with another id must not make that life current, not even after
/// the backend server was found dead.
#[test]
fn the_life_that_started_last_is_current_in_any_order() {
    let (first, second) = (life_born_at("a", 1_000), life_born_at("b", 9_000));
    let mut lives = BackendLives::default();
    lives
        .on_report(at_ms(0), report_of(&second, 1, LifeState::Serving))
        .unwrap();
    lives.on_dead();
    let late_report = report_of(&first, 80, LifeState::Serving);
    assert_eq!(lives.on_report(at_ms(100), late_report), Ok(false));
    assert!(lives.current().is_none());
    let next = report_of(&second, 2, LifeState::Serving);
    assert_eq!(lives.on_report(at_ms(200), next), Ok(true));
    assert_eq!(current(&lives), Some("b"));
}

/// Another process writes a report for this host that lacks the start of its life. If it counted
/// as a new life, it would replace the current one.
#[test]
fn a_report_without_a_start_is_rejected_after_those_with_one() {
    let first = life_born_at("a", 1_000);
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

/// A restarted node learns first that a life leaves, and then receives a report that this life sent
/// before. If that report were applied, calls would be sent to a backend server whose leaving has
/// been acknowledged.
#[test]
fn leaving_applies_to_a_report_that_arrives_later() {
    let first = life_born_at("a", 1_000);
    let mut lives = BackendLives::default();
    assert!(!lives.on_leave(at_ms(0), &first));
    lives
        .on_report(at_ms(500), report_of(&first, 9, LifeState::Serving))
        .unwrap();
    assert_eq!(lives.current().unwrap().state, LifeState::Draining);
    assert!(lives.may_run(at_ms(1_900), Some(&first), DRAIN));
    assert!(!lives.may_run(at_ms(2_000), Some(&first), DRAIN));
}

/// Most backend servers don't state the start of their life when they report that they leave. Such
/// a report applies to the last life with that id.
#[test]
fn leaving_without_a_start_applies_to_the_last_life() {
    let second = life_born_at("a", 9_000);
    let mut lives = BackendLives::default();
    for life in [&life_born_at("a", 1_000), &second] {
        lives
            .on_report(at_ms(0), report_of(life, 1, LifeState::Serving))
            .unwrap();
    }
    assert!(lives.on_leave(at_ms(1_000), &BackendLife::without_start("a")));
    assert_eq!(lives.current().unwrap().state, LifeState::Gone);
    assert!(!lives.may_run(at_ms(3_000), Some(&second), DRAIN));
}

/// The backend server states in an answer that it leaves, but still reports that it serves. The
/// answer takes precedence: after the drain, no call is forwarded to it.
#[test]
fn leaving_stated_in_an_answer_overrides_later_reports() {
    let mut lives = BackendLives::default();
    let life = BackendLife::without_start("a");
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

/// A server that doesn't answer for a while is taken for dead. An answer that was under way says that it
/// leaves, and its next report that it serves: believed, it would bring calls back until it exits.
#[test]
fn leaving_stated_in_an_answer_outlasts_a_presumed_death() {
    let life = life_born_at("a", 1_000);
    let mut lives = BackendLives::default();
    lives
        .on_report(at_ms(0), report_of(&life, 1, LifeState::Serving))
        .unwrap();
    lives.on_dead();
    lives.on_leave_in_answer(at_ms(100), "a");
    lives
        .on_report(at_ms(200), report_of(&life, 2, LifeState::Serving))
        .unwrap();
    assert!(lives.needs_health_check(&life));
    assert!(!lives.on_unhealthy(&life));
    assert!(!lives.may_run(at_ms(2_100), Some(&life), DRAIN));
    // A check that passes shows that another process has started since.
    assert!(lives.on_healthy(&life));
    assert!(lives.may_run(at_ms(2_200), Some(&life), DRAIN));
}

/// Callers and the node learn the start of a life by different ways. Compared whole, the life of a call would
/// be another one than that of the node until both know its start, and the call would be refused.
#[test]
fn a_call_runs_whoever_knows_the_start_of_its_life() {
    let (id, life) = (BackendLife::without_start("a"), life_born_at("a", 1_000));
    let mut lives = BackendLives::default();
    lives
        .on_report(at_ms(0), report_of(&id, 0, LifeState::Serving))
        .unwrap();
    for call_life in [&id, &life] {
        assert!(lives.may_run(at_ms(10), Some(call_life), DRAIN));
    }
    lives
        .on_report(at_ms(20), report_of(&life, 1, LifeState::Serving))
        .unwrap();
    for call_life in [&id, &life] {
        assert!(lives.may_run(at_ms(30), Some(call_life), DRAIN));
    }
    let other = life_born_at("a", 2_000);
    assert!(!lives.may_run(at_ms(30), Some(&other), DRAIN));
}

/// Names cases by the ids of three starts: the clock is set back before the second one, and not made up for by the third.
macro_rules! starts_after_a_step_back {
    ($($name:ident: $ids:expr;)*) => {
        $(
            /// Guards against a server that gets no calls, since its clock was set back before it started.
            #[test]
            fn $name() {
                let [first, second, third] = $ids;
                let mut lives = BackendLives::default();
                let starts = [(first, 100_000), (second, 40_000), (third, 60_000)];
                for (number, (id, born_unix_ms)) in (0_u64..).zip(starts) {
                    let life = life_born_at(id, born_unix_ms);
                    let reported_at = at_ms(1_000 * number);
                    lives
                        .on_report(reported_at, report_of(&life, 1, LifeState::Serving))
                        .unwrap();
                    if lives.needs_health_check(&life) {
                        lives.on_healthy(&life);
                    }
                    assert!(lives.may_run(reported_at, Some(&life), DRAIN), "{life}");
                    lives.on_dead();
                }
            }
        )*
    };
}

starts_after_a_step_back! {
    starts_under_one_id_after_a_step_back_are_called: ["a", "a", "a"];
    starts_under_other_ids_after_a_step_back_are_called: ["a", "b", "c"];
    a_start_under_its_earlier_id_after_a_step_back_is_called: ["a", "b", "a"];
}
