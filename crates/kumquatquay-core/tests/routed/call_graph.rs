//! What is learnt of the calls that backend servers make.

use std::time::Duration;

use kumquatquay_core::routed::CallGraph;
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::at_ms;

/// One kind of run: its name, how many begin in a second, how long one takes, and
/// how many calls it makes on the way.
struct Kind {
    route: &'static str,
    per_s: f64,
    takes_ms: u64,
    calls: u32,
}

enum Event {
    Began(&'static str),
    Called,
    Ended(&'static str),
}

/// Plays runs of all kinds for `seconds` and returns what was learnt.
fn learn(kinds: &[Kind], seconds: u64, seed: u64) -> CallGraph {
    let mut random = StdRng::seed_from_u64(seed);
    let mut events: Vec<(Duration, Event)> = Vec::new();
    for kind in kinds {
        let mut at_s = 0.0;
        while at_s < seconds as f64 {
            let uniform: f64 = random.random_range(1e-9..1.0);
            at_s -= uniform.ln() / kind.per_s;
            let begin = Duration::from_secs_f64(at_s);
            let takes = at_ms(kind.takes_ms);
            events.push((begin, Event::Began(kind.route)));
            events.push((begin + takes, Event::Ended(kind.route)));
            for call in 1..=kind.calls {
                events.push((begin + takes * call / (kind.calls + 1), Event::Called));
            }
        }
    }
    events.sort_by_key(|(at, _)| *at);
    let mut graph = CallGraph::default();
    for (at, event) in events {
        match event {
            Event::Began(route) => graph.run_began(at, route),
            Event::Called => graph.called(at, "lookup"),
            Event::Ended(route) => graph.run_ended(at, route),
        }
    }
    graph
}

fn calls_of(graph: &CallGraph, route: &str) -> f64 {
    let rows = graph.rows(route);
    rows.first().map_or(0.0, |row| row.calls_count)
}

fn permits_and_uploads() -> [Kind; 2] {
    [
        Kind {
            route: "permit",
            per_s: 300.0,
            takes_ms: 120,
            calls: 4,
        },
        Kind {
            route: "upload",
            per_s: 12.0,
            takes_ms: 110,
            calls: 0,
        },
    ]
}

/// Uploads run beside permit checks that make four lookups each. Were uploads taken
/// to make them, they would be refused whenever the lookups' service is short of
/// room, though they never go there.
#[test]
fn who_calls_nothing_is_not_blamed() {
    for seed in 0..20 {
        let graph = learn(&permits_and_uploads(), 20, seed);
        let permit = calls_of(&graph, "permit");
        assert!((3.5..4.5).contains(&permit), "seed {seed}: {permit}");
        let upload = calls_of(&graph, "upload");
        assert!(upload < 1.5, "seed {seed}: {upload}");
    }
}

#[test]
fn a_route_that_is_alone_is_learnt_in_a_second() {
    let history = [Kind {
        route: "history",
        per_s: 60.0,
        takes_ms: 300,
        calls: 2,
    }];
    let graph = learn(&history, 1, 1);
    let calls = calls_of(&graph, "history");
    assert!((1.2..2.8).contains(&calls), "{calls}");
}

#[test]
fn two_routes_that_call_are_told_apart() {
    let kinds = [
        Kind {
            route: "check",
            per_s: 150.0,
            takes_ms: 120,
            calls: 1,
        },
        Kind {
            route: "settle",
            per_s: 40.0,
            takes_ms: 250,
            calls: 2,
        },
    ];
    let graph = learn(&kinds, 30, 2);
    let (check, settle) = (calls_of(&graph, "check"), calls_of(&graph, "settle"));
    assert!((0.8..1.2).contains(&check), "{check}");
    assert!((1.5..2.5).contains(&settle), "{settle}");
}

/// Few settlements run beside many checks that make the same calls. Were their calls
/// credited to the checks, settlements would not count at the service behind, and
/// what is less important would be refused in their place.
#[test]
fn a_rare_route_that_calls_is_found() {
    let kinds = [
        Kind {
            route: "check",
            per_s: 150.0,
            takes_ms: 120,
            calls: 1,
        },
        Kind {
            route: "settle",
            per_s: 25.0,
            takes_ms: 300,
            calls: 2,
        },
    ];
    let found = (0..20).filter(|seed| {
        let graph = learn(&kinds, 15, *seed);
        (1.0..3.0).contains(&calls_of(&graph, "settle"))
    });
    let found_count = found.count();
    assert!(found_count >= 18, "{found_count} of 20");
}
