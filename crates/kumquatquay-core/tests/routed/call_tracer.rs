//! Tests of the attribution of calls to runs by the deadlines that they share.

use kumquatquay_core::routed::{CallEdge, CallTracer};

use crate::at_ms;

/// Lets a run of 50 ms make calls. Its deadline, and that of its calls, is one second after `at`.
fn run(tracer: &mut CallTracer, at: u64, route: &str, calls: &[&str], is_successful: bool) {
    let id = tracer.run_started(route, 0, at_ms(at + 1_000));
    for callee in calls {
        tracer.call_started(callee, at_ms(at + 1_000));
    }
    tracer.run_ended(at_ms(at + 50), id, is_successful);
}

fn calls_per_run(edges: &[CallEdge], callee: &str) -> f64 {
    let edge = edges.iter().find(|edge| edge.callee == callee);
    edge.map_or(0.0, |edge| edge.calls_per_run)
}

/// Searches make two calls each; uploads run concurrently and make none. If only the sums over all
/// runs were known, some of the calls would be attributed to uploads, and uploads would be refused
/// because of a service that they never call.
#[test]
fn concurrent_runs_are_distinguished() {
    let mut tracer = CallTracer::default();
    for round in 0..30 {
        let at = round * 20;
        let upload = tracer.run_started("upload", 0, at_ms(at + 1_007));
        run(&mut tracer, at, "search", &["lookup", "lookup"], true);
        tracer.run_ended(at_ms(at + 60), upload, true);
    }
    let edges = tracer.edges(at_ms(700), "search").unwrap();
    assert!(
        (calls_per_run(&edges, "lookup") - 2.0).abs() < 0.1,
        "{edges:?}"
    );
    assert_eq!(tracer.edges(at_ms(700), "upload"), Some(Vec::new()));
}

/// The called service rejects most calls, and a run ends with its first failed call. If failed runs
/// were counted, the estimate would fall from five calls a run to one, and five times too many
/// requests would be admitted.
#[test]
fn failed_runs_are_not_counted() {
    let mut tracer = CallTracer::default();
    for round in 0..40 {
        run(&mut tracer, round * 10, "manifest", &["index"; 5], true);
    }
    for round in 40..400 {
        run(&mut tracer, round * 10, "manifest", &["index"], false);
    }
    let edges = tracer.edges(at_ms(4_100), "manifest").unwrap();
    assert!(
        (calls_per_run(&edges, "index") - 5.0).abs() < 0.1,
        "{edges:?}"
    );
}

/// Some calls have an earlier deadline than their run and match no deadline. The counts of the
/// others are scaled up for them.
#[test]
fn calls_with_an_earlier_deadline_are_compensated_for() {
    let mut tracer = CallTracer::default();
    for round in 0..60 {
        let at = round * 10;
        let id = tracer.run_started("manifest", 0, at_ms(at + 1_000));
        for call in 0..5 {
            let deadline_ms = if call < 2 { 700 } else { 1_000 };
            tracer.call_started("index", at_ms(at + deadline_ms + 5));
            tracer.call_started("index", at_ms(at + deadline_ms));
        }
        tracer.run_ended(at_ms(at + 3), id, true);
    }
    assert!(!tracer.is_traceable("index"));
    for round in 0..200 {
        let at = 2_000 + round * 10;
        let id = tracer.run_started("manifest", 0, at_ms(at + 1_000));
        for call in 0..5 {
            let deadline_ms = if call < 1 { 705 } else { 1_000 };
            tracer.call_started("index", at_ms(at + deadline_ms));
        }
        tracer.run_ended(at_ms(at + 3), id, true);
    }
    let edges = tracer.edges(at_ms(4_100), "manifest").unwrap();
    assert!(
        (calls_per_run(&edges, "index") - 5.0).abs() < 0.4,
        "{edges:?}"
    );
}

/// The backend server sets deadlines of its own for its calls, so they don't identify the runs, and
/// no edge is reported.
#[test]
fn unrelated_deadlines_are_not_traced() {
    let mut tracer = CallTracer::default();
    for round in 0..60 {
        let at = round * 10;
        let id = tracer.run_started("search", 0, at_ms(at + 1_000));
        tracer.call_started("lookup", at_ms(at + 305));
        tracer.run_ended(at_ms(at + 3), id, true);
    }
    assert!(!tracer.is_traceable("lookup"));
    assert_eq!(tracer.edges(at_ms(700), "search"), Some(Vec::new()));
}

/// A route without a successful run for half a minute may make other calls by now.
#[test]
fn old_edges_expire() {
    let mut tracer = CallTracer::default();
    for round in 0..40 {
        run(&mut tracer, round * 10, "search", &["lookup"], true);
    }
    assert!(tracer.edges(at_ms(1_000), "search").is_some());
    assert_eq!(tracer.edges(at_ms(40_000), "search"), None);
}

/// Runs call a route that outside callers use as well. Passed over as a request of theirs, a call would not
/// show that runs make calls.
#[test]
fn calls_on_routes_of_outside_callers_are_found_by_their_deadline() {
    let mut tracer = CallTracer::default();
    for round in 0..40 {
        let at = round * 50;
        let id = tracer.run_started("middle", 0, at_ms(at + 1_000));
        assert!(!tracer.request_started("leaf", at_ms(at + 3_000)));
        assert!(tracer.request_started("leaf", at_ms(at + 1_000)));
        tracer.run_ended(at_ms(at + 10), id, true);
    }
    let edges = tracer.edges(at_ms(2_000), "middle").unwrap();
    assert!(
        (calls_per_run(&edges, "leaf") - 1.0).abs() < 0.1,
        "{edges:?}"
    );
}
