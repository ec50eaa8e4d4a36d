//! Calls of one priority with different run times and deadlines at the gates of one service, in
//! simulated time.
//!
//! Acknowledgements, of one call of 83 ms, are due within 0.4 s, and reads, of four calls of 31 ms,
//! within 1.5 s. Commands have priority over both. The load oscillates by about half, so that gates
//! have queues at each peak. Neither acknowledgements nor reads may starve because of the other,
//! and no admitted request may be late because of one that is late anyway.

use std::time::Duration;

use kumquatquay_core::routed::QueueOrder;

use crate::call_mesh::{CallMesh, Kind, MeshSettings, Outcome};

const SLOTS_COUNT: usize = 459;
const WARM_UP: Duration = Duration::from_secs(5);
const MEASURED: Duration = Duration::from_secs(15);

/// Least ratio of the lower to the higher share of timely answers of the two kinds.
const MIN_FAIRNESS_RATIO: f64 = 0.85;

/// Share of the answers that may be late.
const MAX_LATE_RATIO: f64 = 0.02;

fn kinds() -> [Kind; 3] {
    let ms = Duration::from_millis;
    let command = Kind {
        route: "command",
        priority: 0,
        requests_per_s: 562.0,
        calls_count: 8,
        run_time: ms(31),
        target_latency: ms(1_500),
        call_target_latency: ms(300),
        timeout: ms(5_000),
    };
    let read = Kind {
        route: "read",
        priority: 2,
        requests_per_s: 1_222.0,
        calls_count: 4,
        ..command
    };
    let acknowledge = Kind {
        route: "acknowledge",
        priority: 2,
        requests_per_s: 159.0,
        calls_count: 1,
        run_time: ms(83),
        target_latency: ms(400),
        call_target_latency: ms(400),
        timeout: ms(1_500),
    };
    // The rates above need two thirds of the slots; one and a half times that needs all of them.
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
        has_route_run_times: true,
        order,
        swing_ratio: 0.55,
        seed,
    };
    let mut mesh = CallMesh::new(settings, &kinds());
    mesh.run(WARM_UP, MEASURED);
    mesh.outcomes
}

#[test]
fn no_kind_of_requests_starves_another_of_its_priority() {
    for seed in 1..=2 {
        let outcomes = outcomes(QueueOrder::LateLast, seed);
        let [read, acknowledge] = [outcomes[1], outcomes[2]];
        let (read_ratio, ratio) = (read.timely_ratio(), acknowledge.timely_ratio());
        let fairness_ratio = read_ratio.min(ratio) / read_ratio.max(ratio);
        assert!(
            fairness_ratio >= MIN_FAIRNESS_RATIO,
            "{outcomes:?}, seed {seed}"
        );
        for outcome in [read, acknowledge] {
            let late_ratio = f64::from(outcome.late_count) / f64::from(outcome.served_count());
            assert!(late_ratio <= MAX_LATE_RATIO, "{outcomes:?}, seed {seed}");
        }
    }
}
