//! What is learnt of the calls that backend servers make.

use std::{ops::Range, time::Duration};

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
    Failed,
    Ended(&'static str),
}

/// Plays runs of all kinds for `seconds` and returns what was learnt.
fn learn(kinds: &[Kind], seconds: u64, seed: u64) -> CallGraph {
    let mut graph = CallGraph::default();
    play(&mut graph, kinds, 0..seconds, 0.0, seed);
    graph
}

/// Plays runs of all kinds over some seconds. A run that loses a call, as a share of
/// the calls are, ends with it.
fn play(graph: &mut CallGraph, kinds: &[Kind], seconds: Range<u64>, failed_ratio: f64, seed: u64) {
    let mut events = events(kinds, seconds, failed_ratio, seed);
    events.sort_by_key(|(at, _)| *at);
    for (at, event) in events {
        tell(graph, at, event);
    }
}

fn tell(graph: &mut CallGraph, at: Duration, event: Event) {
    match event {
        Event::Began(route) => graph.run_started(at, route),
        Event::Called => graph.call_started(at, "lookup"),
        Event::Failed => graph.call_failed(at, "lookup"),
        Event::Ended(route) => graph.run_ended(at, route),
    }
}

fn events(
    kinds: &[Kind],
    seconds: Range<u64>,
    failed_ratio: f64,
    seed: u64,
) -> Vec<(Duration, Event)> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut events = Vec::new();
    for kind in kinds {
        let mut at_s = seconds.start as f64;
        while at_s < seconds.end as f64 {
            let uniform: f64 = random.random_range(1e-9..1.0);
            at_s -= uniform.ln() / kind.per_s;
            let begin = Duration::from_secs_f64(at_s);
            let takes = at_ms(kind.takes_ms);
            let mut end = begin + takes;
            events.push((begin, Event::Began(kind.route)));
            for call in 1..=kind.calls {
                let at = begin + takes * call / (kind.calls + 1);
                events.push((at, Event::Called));
                if random.random_bool(failed_ratio) {
                    events.push((at, Event::Failed));
                    end = at;
                    break;
                }
            }
            events.push((end, Event::Ended(kind.route)));
        }
    }
    events
}

fn calls_of(graph: &CallGraph, route: &str) -> f64 {
    let rows = graph.edges(route);
    rows.first().map_or(0.0, |row| row.calls_per_run)
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

/// The same while the service behind is short: its calls take five times as long, some
/// seconds more than others, and the runs with them. Uploads go on beside them.
#[test]
fn uploads_are_not_blamed_while_runs_slow_down() {
    let mut blamed_count = 0;
    for seed in 0..20 {
        let mut played = events(&permits_and_uploads(), 0..5, 0.0, seed);
        for second in 5..20 {
            let [mut permit, upload] = permits_and_uploads();
            permit.takes_ms = 200 + (second * 7_919) % 400;
            let slowed = events(&[permit, upload], second..second + 1, 0.0, seed + second);
            played.extend(slowed);
        }
        played.sort_by_key(|(at, _)| *at);
        let mut graph = CallGraph::default();
        let mut next_look = at_ms(6_000);
        for (at, event) in played {
            tell(&mut graph, at, event);
            if at >= next_look {
                next_look += at_ms(1_000);
                blamed_count += u32::from(calls_of(&graph, "upload") > 0.0);
            }
        }
    }
    assert!(blamed_count <= 6, "{blamed_count} of 280");
}

/// All is well for twenty seconds. Then the service behind sheds half of its calls for
/// eight: a run of four calls makes two and is lost. Taken for runs of two calls, twice
/// as many would be let in as there is room for once the shedding ends.
#[test]
fn what_is_known_is_kept_while_calls_fail() {
    let mut graph = learn(&permits_and_uploads(), 20, 3);
    play(&mut graph, &permits_and_uploads(), 20..28, 0.5, 4);
    let permit = calls_of(&graph, "permit");
    assert!((3.5..4.5).contains(&permit), "{permit}");
}

/// A surge comes with the first requests, and a third of the calls fail from the
/// start. Without any guess all requests would be let in, and it would never end.
#[test]
fn a_first_guess_is_made_while_calls_fail() {
    let mut graph = CallGraph::default();
    play(&mut graph, &permits_and_uploads(), 0..6, 0.3, 5);
    assert!(calls_of(&graph, "permit") > 1.0);
}

/// The backend server was replaced by a version that makes one call, which fails
/// often. After a while this is how things are.
#[test]
fn what_fails_for_long_is_learnt_all_the_same() {
    let mut graph = learn(&permits_and_uploads(), 20, 6);
    let replaced = [Kind {
        route: "permit",
        per_s: 300.0,
        takes_ms: 120,
        calls: 1,
    }];
    play(&mut graph, &replaced, 20..90, 0.4, 7);
    let permit = calls_of(&graph, "permit");
    assert!((0.7..1.3).contains(&permit), "{permit}");
}

/// A fifth of all calls is lost from the first moment on, and each run that loses one ends
/// without its others. Runs of five calls make 3.4 then; taken for all that they make, half as many
/// again are let in as there is room for.
#[test]
fn runs_that_lose_calls_are_taken_for_whole_ones() {
    let mut graph = CallGraph::default();
    let kinds = [Kind {
        route: "manifest",
        per_s: 200.0,
        takes_ms: 120,
        calls: 5,
    }];
    play(&mut graph, &kinds, 0..12, 0.2, 7);
    let calls_count = calls_of(&graph, "manifest");
    assert!((4.0..=6.0).contains(&calls_count), "{calls_count}");
}

/// The first surge at one of many hosts: sixteen runs a second that take more than a second
/// under it. Waiting for ten of them to end, entries let all in for the time in which most are
/// lost.
#[test]
fn where_a_route_leads_is_known_within_a_second() {
    let kinds = [Kind {
        route: "history",
        per_s: 16.0,
        takes_ms: 1_200,
        calls: 2,
    }];
    let mut known_count = 0;
    for seed in 0..20 {
        let mut graph = CallGraph::default();
        let mut events = events(&kinds, 0..1, 0.0, seed);
        events.sort_by_key(|(at, _)| *at);
        let first = events.into_iter().take_while(|(at, _)| *at < at_ms(900));
        for (at, event) in first {
            tell(&mut graph, at, event);
        }
        known_count += u32::from(calls_of(&graph, "history") > 0.0);
    }
    assert!(known_count >= 15, "{known_count} of 20");
}
