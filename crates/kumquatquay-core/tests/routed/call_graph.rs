//! Tests of the estimates of which routes a backend server calls.

use std::{ops::Range, time::Duration};

use kumquatquay_core::routed::CallGraph;
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::at_ms;

/// Runs of one route.
struct RouteLoad {
    route: &'static str,
    /// Runs that start in a second, on average.
    runs_per_s: f64,
    run_time_ms: u64,
    /// Calls of one run, at equal intervals.
    calls_count: u32,
}

enum Event {
    RunStarted(&'static str),
    CallStarted,
    CallFailed,
    RunEnded(&'static str),
}

/// Simulates runs for `seconds` and returns the estimates.
fn learn(loads: &[RouteLoad], seconds: u64, seed: u64) -> CallGraph {
    let mut graph = CallGraph::default();
    simulate(&mut graph, loads, 0..seconds, 0.0, seed);
    graph
}

/// Simulates runs that start within `seconds`. A share of the calls fails; a run ends with its
/// first failed call.
fn simulate(
    graph: &mut CallGraph,
    loads: &[RouteLoad],
    seconds: Range<u64>,
    failed_ratio: f64,
    seed: u64,
) {
    let mut events = events(loads, seconds, failed_ratio, seed);
    events.sort_by_key(|(at, _)| *at);
    for (at, event) in events {
        apply(graph, at, event);
    }
}

fn apply(graph: &mut CallGraph, at: Duration, event: Event) {
    match event {
        Event::RunStarted(route) => graph.run_started(at, route),
        Event::CallStarted => graph.call_started(at, "lookup"),
        Event::CallFailed => graph.call_failed(at, "lookup"),
        Event::RunEnded(route) => graph.run_ended(at, route),
    }
}

fn events(
    loads: &[RouteLoad],
    seconds: Range<u64>,
    failed_ratio: f64,
    seed: u64,
) -> Vec<(Duration, Event)> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut events = Vec::new();
    for load in loads {
        let mut at_s = seconds.start as f64;
        while at_s < seconds.end as f64 {
            let uniform: f64 = random.random_range(1e-9..1.0);
            at_s -= uniform.ln() / load.runs_per_s;
            let start = Duration::from_secs_f64(at_s);
            let run_time = at_ms(load.run_time_ms);
            let mut end = start + run_time;
            events.push((start, Event::RunStarted(load.route)));
            for call in 1..=load.calls_count {
                let at = start + run_time * call / (load.calls_count + 1);
                events.push((at, Event::CallStarted));
                if random.random_bool(failed_ratio) {
                    events.push((at, Event::CallFailed));
                    end = at;
                    break;
                }
            }
            events.push((end, Event::RunEnded(load.route)));
        }
    }
    events
}

fn calls_of(graph: &CallGraph, route: &str) -> f64 {
    let edges = graph.edges(route);
    edges.first().map_or(0.0, |edge| edge.calls_per_run)
}

fn permits_and_uploads() -> [RouteLoad; 2] {
    [
        RouteLoad {
            route: "permit",
            runs_per_s: 300.0,
            run_time_ms: 120,
            calls_count: 4,
        },
        RouteLoad {
            route: "upload",
            runs_per_s: 12.0,
            run_time_ms: 110,
            calls_count: 0,
        },
    ]
}

/// Uploads, which make no calls, run concurrently with permit checks that make four lookups each.
/// If lookups were attributed to uploads, uploads would be refused whenever the service of the
/// lookups lacks capacity.
#[test]
fn a_route_without_calls_is_not_credited_with_calls() {
    for seed in 0..20 {
        let graph = learn(&permits_and_uploads(), 20, seed);
        let permit = calls_of(&graph, "permit");
        assert!((3.5..4.5).contains(&permit), "seed {seed}: {permit}");
        let upload = calls_of(&graph, "upload");
        assert!(upload < 1.5, "seed {seed}: {upload}");
    }
}

#[test]
fn a_single_route_is_learnt_in_a_second() {
    let history = [RouteLoad {
        route: "history",
        runs_per_s: 60.0,
        run_time_ms: 300,
        calls_count: 2,
    }];
    let graph = learn(&history, 1, 1);
    let calls_count = calls_of(&graph, "history");
    assert!((1.2..2.8).contains(&calls_count), "{calls_count}");
}

#[test]
fn two_routes_that_call_are_distinguished() {
    let loads = [
        RouteLoad {
            route: "check",
            runs_per_s: 150.0,
            run_time_ms: 120,
            calls_count: 1,
        },
        RouteLoad {
            route: "settle",
            runs_per_s: 40.0,
            run_time_ms: 250,
            calls_count: 2,
        },
    ];
    let graph = learn(&loads, 30, 2);
    let (check, settle) = (calls_of(&graph, "check"), calls_of(&graph, "settle"));
    assert!((0.8..1.2).contains(&check), "{check}");
    assert!((1.5..2.5).contains(&settle), "{settle}");
}

/// Few settlements run concurrently with many checks that call the same route. If their calls were
/// attributed to the checks, settlements would not count as demand at the called service, and less
/// important requests would be refused instead.
#[test]
fn a_rare_route_that_calls_is_detected() {
    let loads = [
        RouteLoad {
            route: "check",
            runs_per_s: 150.0,
            run_time_ms: 120,
            calls_count: 1,
        },
        RouteLoad {
            route: "settle",
            runs_per_s: 25.0,
            run_time_ms: 300,
            calls_count: 2,
        },
    ];
    let detected = (0..20).filter(|seed| {
        let graph = learn(&loads, 15, *seed);
        (1.0..3.0).contains(&calls_of(&graph, "settle"))
    });
    let detected_count = detected.count();
    assert!(detected_count >= 18, "{detected_count} of 20");
}

/// The called service lacks capacity: runs of permit checks take up to five times as long, and how
/// long they take changes every second. Uploads, which make no calls, are as fast as before.
#[test]
fn uploads_are_not_credited_with_calls_while_other_runs_slow_down() {
    let mut wrong_count = 0;
    for seed in 0..20 {
        let mut simulated = events(&permits_and_uploads(), 0..5, 0.0, seed);
        for second in 5..20 {
            let [mut permit, upload] = permits_and_uploads();
            permit.run_time_ms = 200 + (second * 7_919) % 400;
            let slowed = events(&[permit, upload], second..second + 1, 0.0, seed + second);
            simulated.extend(slowed);
        }
        simulated.sort_by_key(|(at, _)| *at);
        let mut graph = CallGraph::default();
        let mut next_check = at_ms(6_000);
        for (at, event) in simulated {
            apply(&mut graph, at, event);
            if at >= next_check {
                next_check += at_ms(1_000);
                wrong_count += u32::from(calls_of(&graph, "upload") > 0.0);
            }
        }
    }
    assert!(wrong_count <= 6, "{wrong_count} of 280");
}

/// After twenty seconds without failures, the called service rejects half of its calls for eight
/// seconds: a run of four calls makes two on average and fails. If the estimate fell to two calls a
/// run, twice as many requests would be admitted as there is room for once the rejections end.
#[test]
fn estimates_are_kept_while_calls_fail() {
    let mut graph = learn(&permits_and_uploads(), 20, 3);
    simulate(&mut graph, &permits_and_uploads(), 20..28, 0.5, 4);
    let permit = calls_of(&graph, "permit");
    assert!((3.5..4.5).contains(&permit), "{permit}");
}

/// A surge comes with the first requests, and a third of the calls fail from the start. Without a
/// guess, all requests would be admitted, and the overload would never end.
#[test]
fn a_first_guess_is_made_while_calls_fail() {
    let mut graph = CallGraph::default();
    simulate(&mut graph, &permits_and_uploads(), 0..6, 0.3, 5);
    assert!(calls_of(&graph, "permit") > 1.0);
}

/// The backend server was replaced by a version that makes one call per run, which fails often.
/// Estimates aren't frozen for good: after a while such failures count as normal.
#[test]
fn calls_that_fail_for_long_are_learnt() {
    let mut graph = learn(&permits_and_uploads(), 20, 6);
    let new_version = [RouteLoad {
        route: "permit",
        runs_per_s: 300.0,
        run_time_ms: 120,
        calls_count: 1,
    }];
    simulate(&mut graph, &new_version, 20..90, 0.4, 7);
    let permit = calls_of(&graph, "permit");
    assert!((0.7..1.3).contains(&permit), "{permit}");
}

/// A fifth of all calls fails from the start, and a run ends with its first failed call. Runs of
/// five calls then make 3.4 on average. If that were the estimate, half as many requests again
/// would be admitted as there is room for.
#[test]
fn estimates_are_corrected_for_lost_calls() {
    let mut graph = CallGraph::default();
    let loads = [RouteLoad {
        route: "manifest",
        runs_per_s: 200.0,
        run_time_ms: 120,
        calls_count: 5,
    }];
    simulate(&mut graph, &loads, 0..12, 0.2, 7);
    let calls_count = calls_of(&graph, "manifest");
    assert!((4.0..=6.0).contains(&calls_count), "{calls_count}");
}

/// In the first surge, one of many hosts has sixteen runs a second, which take more than a second
/// each. If the estimate waited for ten of them to end, entries would admit all requests meanwhile,
/// and most of these would fail.
#[test]
fn the_calls_of_a_route_are_known_within_a_second() {
    let loads = [RouteLoad {
        route: "history",
        runs_per_s: 16.0,
        run_time_ms: 1_200,
        calls_count: 2,
    }];
    let mut known_count = 0;
    for seed in 0..20 {
        let mut graph = CallGraph::default();
        let mut events = events(&loads, 0..1, 0.0, seed);
        events.sort_by_key(|(at, _)| *at);
        let first = events.into_iter().take_while(|(at, _)| *at < at_ms(900));
        for (at, event) in first {
            apply(&mut graph, at, event);
        }
        known_count += u32::from(calls_of(&graph, "history") > 0.0);
    }
    assert!(known_count >= 15, "{known_count} of 20");
}
