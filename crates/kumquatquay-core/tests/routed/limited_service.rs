//! A service of which some backend servers, or all, advertise rate limits.
//!
//! What callers see: with one limited server they see nothing, since the others have room. With all
//! of them limited to half of the load, half of it can't be served: what is let in must be answered
//! whole, and the most important must be refused last.

use std::time::Duration;

use kumquatquay_core::routed::QueueOrder;

use crate::call_mesh::{CallMesh, Kind, MeshSettings, Outcome};

const WARM: Duration = Duration::from_secs(5);
const WATCHED: Duration = Duration::from_secs(20);

/// Backend servers of the service.
const GATES_COUNT: usize = 6;

/// Calls a second that all requests make.
const CALLS_PER_S: f64 = 40.0 * 8.0 + 120.0 * 4.0 + 100.0;

/// Filings of eight calls, lookups of four and status questions of one, most important first.
fn kinds() -> [Kind; 3] {
    let kind = |route, rank, requests_per_s, calls_count| Kind {
        route,
        rank,
        requests_per_s,
        calls_count,
        work: Duration::from_millis(25),
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

/// What became of so many times the requests while the first gates take so many calls a second.
fn play(limited_count: usize, per_s: f64, load_factor: f64, seed: u64) -> Vec<Outcome> {
    let settings = MeshSettings {
        entries_count: 16,
        gates_count: GATES_COUNT,
        slots_count: 60,
        has_route_works: true,
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
    mesh.run(WARM, WATCHED);
    mesh.outcomes
}

fn ratio(part: u32, outcome: &Outcome) -> f64 {
    f64::from(part) / f64::from(outcome.offered_count)
}

/// What the limited servers don't take goes to the others at once, and nobody is refused.
fn assert_no_shortage(limited_count: usize, per_s: f64) {
    for seed in 1..=3 {
        for outcome in play(limited_count, per_s, 1.0, seed) {
            assert_eq!(outcome.refused_count, 0, "{outcome:?}, seed {seed}");
            assert!(outcome.timely_ratio() >= 0.99, "{outcome:?}, seed {seed}");
        }
    }
}

#[test]
fn one_limited_server_is_no_shortage() {
    assert_no_shortage(1, 1.6);
}

#[test]
fn two_servers_at_a_fifth_of_their_room_are_no_shortage() {
    assert_no_shortage(2, 80.0);
}

/// What is let in is answered whole, and the least important are refused at the entry.
fn assert_refused_by_rank(
    limited_count: usize,
    per_s: f64,
    load_factor: f64,
    lookups_refused_ratio: f64,
) {
    for seed in 1..=3 {
        let outcomes = play(limited_count, per_s, load_factor, seed);
        let [filings, statuses, lookups] = outcomes[..] else {
            panic!("three kinds");
        };
        let story = format!("{outcomes:?}, seed {seed}");
        assert!(filings.timely_ratio() >= 0.95, "{story}");
        assert!(statuses.timely_ratio() >= lookups.timely_ratio(), "{story}");
        let refused_ratio = ratio(lookups.refused_count, &lookups);
        assert!(refused_ratio >= lookups_refused_ratio, "{story}");
        for outcome in &outcomes {
            assert!(ratio(outcome.lost_count, outcome) <= 0.05, "{story}");
        }
    }
}

/// All servers together take half of the calls: lookups are more than half of them.
#[test]
fn a_limited_service_refuses_the_least_important_first() {
    let per_s = 0.5 * CALLS_PER_S / GATES_COUNT as f64;
    assert_refused_by_rank(GATES_COUNT, per_s, 1.0, 0.7);
}

/// Four servers take little of the calls, and the slots of the others less than half of them.
#[test]
fn servers_without_a_limit_among_limited_ones_tell_the_shortage() {
    assert_refused_by_rank(4, 15.0, 2.0, 0.5);
}
