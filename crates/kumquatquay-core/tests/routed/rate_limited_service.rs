//! A service of which some or all backend servers advertise rate limits, in simulated time.
//!
//! If one server is rate limited, callers must not notice, since the others have room. If all
//! together take only half of the load, the other half can't be served: requests that are admitted
//! must not fail half way, and the most important ones must be refused last.

use std::time::Duration;

use kumquatquay_core::routed::QueueOrder;

use crate::call_mesh::{CallMesh, Kind, MeshSettings, Outcome};

const WARM_UP: Duration = Duration::from_secs(5);
const MEASURED: Duration = Duration::from_secs(20);

/// Backend servers of the service.
const GATES_COUNT: usize = 6;

/// Calls that all requests together make in a second.
const CALLS_PER_S: f64 = 40.0 * 8.0 + 120.0 * 4.0 + 100.0;

/// Filings of eight calls, status queries of one and lookups of four, the most important first.
fn kinds() -> [Kind; 3] {
    let kind = |route, priority, requests_per_s, calls_count| Kind {
        route,
        priority,
        requests_per_s,
        calls_count,
        run_time: Duration::from_millis(25),
        target_latency: Duration::from_millis(1_500),
        call_target_latency: Duration::from_millis(300),
        timeout: Duration::from_millis(4_000),
    };
    [
        kind("filing", 0, 40.0, 8),
        kind("status", 1, 100.0, 1),
        kind("lookup", 2, 120.0, 4),
    ]
}

/// Simulates `load_factor` times the requests while the first `limited_count` backend servers take
/// `per_s` calls a second each. Returns the outcome for each kind of request.
fn simulate(limited_count: usize, per_s: f64, load_factor: f64, seed: u64) -> Vec<Outcome> {
    let settings = MeshSettings {
        entries_count: 16,
        gates_count: GATES_COUNT,
        slots_count: 60,
        has_route_run_times: true,
        order: QueueOrder::default(),
        swing_ratio: 0.0,
        seed,
    };
    let kinds = kinds().map(|kind| Kind {
        requests_per_s: kind.requests_per_s * load_factor,
        ..kind
    });
    let mut mesh = CallMesh::new(settings, &kinds);
    mesh.limit_gates(limited_count, per_s);
    mesh.run(WARM_UP, MEASURED);
    mesh.outcomes
}

fn ratio(part: u32, outcome: &Outcome) -> f64 {
    f64::from(part) / f64::from(outcome.offered_count)
}

/// Asserts that the others run at once what the limited servers don't take, so that no request is
/// refused.
fn assert_no_shortage(limited_count: usize, per_s: f64) {
    for seed in 1..=3 {
        for outcome in simulate(limited_count, per_s, 1.0, seed) {
            assert_eq!(outcome.refused_count, 0, "{outcome:?}, seed {seed}");
            assert!(outcome.timely_ratio() >= 0.99, "{outcome:?}, seed {seed}");
        }
    }
}

#[test]
fn one_limited_server_causes_no_shortage() {
    assert_no_shortage(1, 1.6);
}

#[test]
fn two_servers_limited_to_a_fifth_of_their_capacity_cause_no_shortage() {
    assert_no_shortage(2, 80.0);
}

/// Asserts that nearly all admitted requests are answered, and that the least important ones are
/// refused at the entry.
fn assert_refused_by_priority(
    limited_count: usize,
    per_s: f64,
    load_factor: f64,
    lookups_refused_ratio: f64,
) {
    for seed in 1..=3 {
        let outcomes = simulate(limited_count, per_s, load_factor, seed);
        let [filings, statuses, lookups] = outcomes[..] else {
            panic!("three kinds");
        };
        let context = format!("{outcomes:?}, seed {seed}");
        assert!(filings.timely_ratio() >= 0.95, "{context}");
        assert!(
            statuses.timely_ratio() >= lookups.timely_ratio(),
            "{context}"
        );
        let refused_ratio = ratio(lookups.refused_count, &lookups);
        assert!(refused_ratio >= lookups_refused_ratio, "{context}");
        for outcome in &outcomes {
            assert!(ratio(outcome.lost_count, outcome) <= 0.05, "{context}");
        }
    }
}

/// All servers together take half of the calls. Lookups, the least important requests, make more
/// than half of them.
#[test]
fn a_limited_service_refuses_the_least_important_first() {
    let per_s = 0.5 * CALLS_PER_S / GATES_COUNT as f64;
    assert_refused_by_priority(GATES_COUNT, per_s, 1.0, 0.7);
}

/// Four of six servers are limited to few calls a second, and the slots of the other two can run
/// less than half of all calls. Only the levels of gates without a rate limit count then, so these
/// must report the shortage.
#[test]
fn the_servers_without_a_limit_report_the_shortage() {
    assert_refused_by_priority(4, 15.0, 2.0, 0.5);
}
