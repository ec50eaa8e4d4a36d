//! Calls of unlike size and haste, of one rank, at the gates of one service.
//!
//! What callers see: acknowledgements of one call of 83 ms are worth most within 0.4 s, and readings
//! of four calls of 31 ms within 1.5 s, beside commands that go before both. The demand goes up and
//! down by half, so that gates have queues at each top. None of both kinds may starve for the other,
//! and none that was let in may be late for one that is late anyway.

use std::time::Duration;

use kumquatquay_core::routed::QueueOrder;

use crate::call_mesh::{CallMesh, Kind, MeshSettings, Outcome};

const SLOTS_COUNT: usize = 459;
const WARM: Duration = Duration::from_secs(5);
const WATCHED: Duration = Duration::from_secs(15);

/// Share in time that each kind of one rank is to have of that of the other.
const LIKE_GOAL_RATIO: f64 = 0.85;

/// Share of the requests let in that may be late.
const LATE_GOAL_RATIO: f64 = 0.02;

fn kinds() -> [Kind; 3] {
    let ms = Duration::from_millis;
    let command = Kind {
        route: "command",
        rank: 0,
        requests_per_s: 562.0,
        calls_count: 8,
        work: ms(31),
        target_latency: ms(1_500),
        call_target_latency: ms(300),
        timeout: ms(5_000),
    };
    let read = Kind {
        route: "read",
        rank: 2,
        requests_per_s: 1_222.0,
        calls_count: 4,
        ..command
    };
    let acknowledge = Kind {
        route: "acknowledge",
        rank: 2,
        requests_per_s: 159.0,
        calls_count: 1,
        work: ms(83),
        target_latency: ms(400),
        call_target_latency: ms(400),
        timeout: ms(1_500),
    };
    // A base load of two thirds of the room, one and a half times.
    [command, read, acknowledge].map(|kind| Kind {
        requests_per_s: kind.requests_per_s * 1.5,
        ..kind
    })
}

fn outcomes(order: QueueOrder, seed: u64) -> Vec<Outcome> {
    let settings = MeshSettings {
        entries_count: 64,
        gates_count: 3,
        slots_count: SLOTS_COUNT,
        has_route_works: true,
        order,
        swing_ratio: 0.55,
        seed,
    };
    let mut mesh = CallMesh::new(settings, &kinds());
    mesh.run(WARM, WATCHED);
    mesh.outcomes
}

#[test]
fn no_kind_of_a_rank_starves_for_another() {
    for seed in 1..=2 {
        let outcomes = outcomes(QueueOrder::LateLast, seed);
        let [read, acknowledge] = [outcomes[1], outcomes[2]];
        let (read_ratio, ratio) = (read.timely_ratio(), acknowledge.timely_ratio());
        let like = read_ratio.min(ratio) / read_ratio.max(ratio);
        assert!(like >= LIKE_GOAL_RATIO, "{outcomes:?}, seed {seed}");
        for outcome in [read, acknowledge] {
            let late = f64::from(outcome.late_count) / f64::from(outcome.served_count());
            assert!(late <= LATE_GOAL_RATIO, "{outcomes:?}, seed {seed}");
        }
    }
}
