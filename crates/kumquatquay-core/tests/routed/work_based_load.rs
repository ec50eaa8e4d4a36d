//! Calls of 55 ms and of 880 ms at one overloaded service, in simulated time.
//!
//! A few long calls of the lowest priority take a quarter of the slots. Counted as calls they are
//! one in fifty, so refusing all of them seems to make no difference, and more important requests
//! are refused instead. Counted as work, i.e. slot time, they are refused first.

use std::time::Duration;

use kumquatquay_core::routed::QueueOrder;

use crate::call_mesh::{CallMesh, Kind, MeshSettings};

const SLOTS_COUNT: usize = 437;
const WARM_UP: Duration = Duration::from_secs(5);
const MEASURED: Duration = Duration::from_secs(15);

/// Slots that must be in use, as a share of those that there are or that are requested.
const MIN_USED_RATIO: f64 = 0.93;

/// Slots that may be missing from what each priority would get by strict priority, as a share of
/// all slots.
const MAX_MISPLACED_RATIO: f64 = 0.02;

/// Kinds of requests that together need `load_ratio` times the slots.
fn kinds(load_ratio: f64) -> [Kind; 3] {
    let kind =
        |route, priority, requests_per_s, calls_count, run_time_ms, target_ms, timeout_ms| Kind {
            route,
            priority,
            requests_per_s,
            calls_count,
            run_time: Duration::from_millis(run_time_ms),
            target_latency: Duration::from_millis(target_ms),
            call_target_latency: Duration::from_millis(target_ms),
            timeout: Duration::from_millis(timeout_ms),
        };
    let kinds = [
        kind("booking", 0, 205.0, 4, 55, 2_000, 6_000),
        kind("quote", 1, 585.0, 8, 55, 1_500, 5_000),
        kind("times", 2, 104.0, 1, 880, 5_000, 10_000),
    ];
    let requested = kinds.map(|kind| {
        kind.requests_per_s * f64::from(kind.calls_count) * kind.run_time.as_secs_f64()
    });
    let factor = load_ratio * SLOTS_COUNT as f64 / requested.iter().sum::<f64>();
    kinds.map(|kind| Kind {
        requests_per_s: kind.requests_per_s * factor,
        ..kind
    })
}

/// How the slots were used.
#[derive(Debug)]
struct SlotUse {
    /// Slots in use, as a share of those that there are or that are requested.
    used_ratio: f64,
    /// Slots that a priority lacked although less important requests got as many, as a share of
    /// all slots.
    misplaced_ratio: f64,
}

fn slot_use(load_ratio: f64, has_route_run_times: bool, seed: u64) -> SlotUse {
    let settings = MeshSettings {
        entries_count: 79,
        gates_count: 19,
        slots_count: SLOTS_COUNT,
        has_route_run_times,
        order: QueueOrder::default(),
        swing_ratio: 0.0,
        seed,
    };
    let mut mesh = CallMesh::new(settings, &kinds(load_ratio));
    mesh.run(WARM_UP, MEASURED);
    let outcomes = mesh.outcomes.iter().enumerate();
    let used_slots: Vec<f64> = outcomes
        .clone()
        .map(|(kind, outcome)| mesh.slots_of(kind, outcome.served_count()))
        .collect();
    let mut remaining_slots = used_slots.iter().sum::<f64>();
    let mut misplaced = 0.0;
    for (kind, outcome) in outcomes {
        let share = mesh
            .slots_of(kind, outcome.offered_count)
            .min(remaining_slots);
        remaining_slots -= share;
        misplaced += (share - used_slots[kind]).max(0.0);
    }
    SlotUse {
        used_ratio: mesh.used_ratio() / load_ratio.min(1.0),
        misplaced_ratio: misplaced / SLOTS_COUNT as f64,
    }
}

macro_rules! slots_are_used_by_priority {
    ($($name:ident: $load:expr;)*) => {
        $(
            /// Whatever the load, the slots are used, and by the most important requests first.
            #[test]
            fn $name() {
                for seed in 1..=3 {
                    let slot_use = slot_use($load, true, seed);
                    assert!(slot_use.used_ratio >= MIN_USED_RATIO, "{slot_use:?}, seed {seed}");
                    assert!(
                        slot_use.misplaced_ratio <= MAX_MISPLACED_RATIO,
                        "{slot_use:?}, seed {seed}"
                    );
                }
            }
        )*
    };
}

slots_are_used_by_priority! {
    nine_tenths_of_the_capacity: 0.9;
    a_fifth_more_than_the_capacity: 1.2;
    half_as_much_again_as_the_capacity: 1.5;
}

/// If all calls are assumed to have the mean run time, two in five of the long ones are refused
/// although there are slots for all.
#[test]
fn without_run_times_by_route_slots_are_idle() {
    let slot_use = slot_use(0.9, false, 1);
    assert!(slot_use.used_ratio < MIN_USED_RATIO, "{slot_use:?}");
}
