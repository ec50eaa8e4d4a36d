//! Which runs made which calls, by the deadlines that they share.

use kumquatquay_core::routed::{CallEdge, CallTracer};

use crate::at_ms;

/// A run that makes some calls, one after the other, and ends; its deadline is 1 s away.
fn run(tracer: &mut CallTracer, at: u64, route: &str, calls: &[&str], is_well: bool) {
    let number = tracer.run_started(route, 0, at_ms(at + 1_000));
    for callee in calls {
        tracer.call_started(callee, at_ms(at + 1_000));
    }
    tracer.run_ended(at_ms(at + 50), number, is_well);
}

fn calls_count(rows: &[CallEdge], callee: &str) -> f64 {
    let row = rows.iter().find(|row| row.callee == callee);
    row.map_or(0.0, |row| row.calls_per_run)
}

/// Searches make two calls each, uploads run beside them and make none. Seen as sums over
/// all runs, uploads are credited with some of the calls, and refused for a service that they
/// never reach.
#[test]
fn runs_beside_each_other_are_told_apart() {
    let mut tracer = CallTracer::default();
    for round in 0..30 {
        let at = round * 20;
        let upload = tracer.run_started("upload", 0, at_ms(at + 1_007));
        run(&mut tracer, at, "search", &["lookup", "lookup"], true);
        tracer.run_ended(at_ms(at + 60), upload, true);
    }
    let rows = tracer.edges(at_ms(700), "search").unwrap();
    assert!((calls_count(&rows, "lookup") - 2.0).abs() < 0.1, "{rows:?}");
    assert_eq!(tracer.edges(at_ms(700), "upload"), Some(Vec::new()));
}

/// The deepest service turns most calls away. A run that loses its first call ends without
/// its others. Counted like whole ones, searches would be taken to make one call in place of
/// five, and five times too many of them be let in.
#[test]
fn runs_that_fail_say_nothing_of_what_whole_ones_make() {
    let mut tracer = CallTracer::default();
    for round in 0..40 {
        run(&mut tracer, round * 10, "manifest", &["index"; 5], true);
    }
    for round in 40..400 {
        run(&mut tracer, round * 10, "manifest", &["index"], false);
    }
    let rows = tracer.edges(at_ms(4_100), "manifest").unwrap();
    assert!((calls_count(&rows, "index") - 5.0).abs() < 0.1, "{rows:?}");
}

/// Some calls have a shorter time than their run has left. They lie at no deadline, and the
/// others stand for them.
#[test]
fn calls_that_are_due_sooner_are_made_up_for() {
    let mut tracer = CallTracer::default();
    for round in 0..60 {
        let at = round * 10;
        let number = tracer.run_started("manifest", 0, at_ms(at + 1_000));
        for call in 0..5 {
            let due = if call < 2 { 700 } else { 1_000 };
            tracer.call_started("index", at_ms(at + due + 5));
            tracer.call_started("index", at_ms(at + due));
        }
        tracer.run_ended(at_ms(at + 3), number, true);
    }
    assert!(!tracer.is_traceable("index"));
    for round in 0..200 {
        let at = 2_000 + round * 10;
        let number = tracer.run_started("manifest", 0, at_ms(at + 1_000));
        for call in 0..5 {
            let due = if call < 1 { 705 } else { 1_000 };
            tracer.call_started("index", at_ms(at + due));
        }
        tracer.run_ended(at_ms(at + 3), number, true);
    }
    let rows = tracer.edges(at_ms(4_100), "manifest").unwrap();
    assert!((calls_count(&rows, "index") - 5.0).abs() < 0.4, "{rows:?}");
}

/// Backend servers that give their calls deadlines of their own: nothing is known, and
/// nothing is said.
#[test]
fn deadlines_that_tell_nothing_are_not_believed() {
    let mut tracer = CallTracer::default();
    for round in 0..60 {
        let at = round * 10;
        let number = tracer.run_started("search", 0, at_ms(at + 1_000));
        tracer.call_started("lookup", at_ms(at + 305));
        tracer.run_ended(at_ms(at + 3), number, true);
    }
    assert!(!tracer.is_traceable("lookup"));
    assert_eq!(tracer.edges(at_ms(700), "search"), Some(Vec::new()));
}

/// A route of which no run has ended well for half a minute may have changed its ways.
#[test]
fn what_was_seen_long_ago_is_not_known() {
    let mut tracer = CallTracer::default();
    for round in 0..40 {
        run(&mut tracer, round * 10, "search", &["lookup"], true);
    }
    assert!(tracer.edges(at_ms(1_000), "search").is_some());
    assert_eq!(tracer.edges(at_ms(40_000), "search"), None);
}
