//! Calls of 55 ms and of 880 ms at one service that is short.
//!
//! What callers see: few and long calls of the lowest rank take a quarter of the slots. Counted as
//! calls they are one in fifty, so refusing all of them seems to make no difference, and the more
//! important are refused for what they take. Counted as work they are refused first.

use std::time::Duration;

use kumquatquay_core::routed::QueueOrder;

use crate::call_mesh::{CallMesh, Kind, MeshSettings};

const SLOTS_COUNT: usize = 437;
const WARM: Duration = Duration::from_secs(5);
const WATCHED: Duration = Duration::from_secs(15);

/// Room that is to be used, of what there is or is asked for.
const USED_GOAL_RATIO: f64 = 0.93;

/// How far what each rank gets may lie from what it would get if all room went by rank.
const KNAPSACK_GOAL_RATIO: f64 = 0.02;

/// Kinds of requests that ask for so many times the room that there is.
fn kinds(load_ratio: f64) -> [Kind; 3] {
    let kind = |route, rank, requests_per_s, calls_count, work_ms, target_ms, timeout_ms| Kind {
        route,
        rank,
        requests_per_s,
        calls_count,
        work: Duration::from_millis(work_ms),
        target_latency: Duration::from_millis(target_ms),
        call_target_latency: Duration::from_millis(target_ms),
        timeout: Duration::from_millis(timeout_ms),
    };
    let kinds = [
        kind("booking", 0, 205.0, 4, 55, 2_000, 6_000),
        kind("quote", 1, 585.0, 8, 55, 1_500, 5_000),
        kind("times", 2, 104.0, 1, 880, 5_000, 10_000),
    ];
    let asked = kinds
        .map(|kind| kind.requests_per_s * f64::from(kind.calls_count) * kind.work.as_secs_f64());
    let factor = load_ratio * SLOTS_COUNT as f64 / asked.iter().sum::<f64>();
    kinds.map(|kind| Kind {
        requests_per_s: kind.requests_per_s * factor,
        ..kind
    })
}

/// What came of a load.
#[derive(Debug)]
struct Shares {
    /// Slots used, over those that there are or are asked for.
    used_ratio: f64,
    /// Slots that ranks didn't get although less important ones got as many, over all.
    misplaced_ratio: f64,
}

fn shares(load_ratio: f64, has_route_works: bool, seed: u64) -> Shares {
    let settings = MeshSettings {
        entries_count: 79,
        gates_count: 19,
        slots_count: SLOTS_COUNT,
        has_route_works,
        order: QueueOrder::default(),
        swing_ratio: 0.0,
        seed,
    };
    let mut mesh = CallMesh::new(settings, &kinds(load_ratio));
    mesh.run(WARM, WATCHED);
    let outcomes = mesh.outcomes.iter().enumerate();
    let got: Vec<f64> = outcomes
        .clone()
        .map(|(kind, outcome)| mesh.slots_of(kind, outcome.served_count()))
        .collect();
    let mut room = got.iter().sum::<f64>();
    let mut misplaced = 0.0;
    for (kind, outcome) in outcomes {
        let share = mesh.slots_of(kind, outcome.offered_count).min(room);
        room -= share;
        misplaced += (share - got[kind]).max(0.0);
    }
    Shares {
        used_ratio: mesh.used_ratio() / load_ratio.min(1.0),
        misplaced_ratio: misplaced / SLOTS_COUNT as f64,
    }
}

macro_rules! goes_by_rank {
    ($($name:ident: $load:expr;)*) => {
        $(
            /// Whatever the load: the room is used, and goes to the important first.
            #[test]
            fn $name() {
                for seed in 1..=3 {
                    let shares = shares($load, true, seed);
                    assert!(shares.used_ratio >= USED_GOAL_RATIO, "{shares:?}, seed {seed}");
                    assert!(
                        shares.misplaced_ratio <= KNAPSACK_GOAL_RATIO,
                        "{shares:?}, seed {seed}"
                    );
                }
            }
        )*
    };
}

goes_by_rank! {
    nine_tenths_of_the_room: 0.9;
    a_fifth_more_than_the_room: 1.2;
    half_as_much_again_as_the_room: 1.5;
}

/// Counted as calls, two in five of the long ones are refused although there is room for all.
#[test]
fn counted_as_calls_the_room_stands_empty() {
    let shares = shares(0.9, false, 1);
    assert!(shares.used_ratio < USED_GOAL_RATIO, "{shares:?}");
}
