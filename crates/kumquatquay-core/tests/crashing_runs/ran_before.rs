//! Requests that ran well until a moment and crash servers from then on, beside innocent ones, under load.

use std::time::Duration;

use crate::{
    gates::{FIRST_INNOCENT, Gates},
    load::{Load, Path},
};

/// Late runs that a request may have.
const LATE_RUNS_LIMIT_COUNT: usize = 3;

/// Innocent paths that many callers send, and requests a second of each.
const POPULAR_COUNT: u64 = 8;
const POPULAR_PER_S: f64 = 40.0;

/// When requests begin to crash servers, and how long the load lasts.
const CRASHES_FROM_S: u64 = 4;
const LENGTH_S: u64 = 24;

/// How often servers end from outside.
const ROUNDS_COUNT: usize = 8;

/// Gates of the large service, and hosts beside them.
const LARGE_GATES_COUNT: usize = 20;
const LARGE_OTHERS_COUNT: usize = 4;

fn popular() -> Vec<Path> {
    let fingerprints = FIRST_INNOCENT..FIRST_INNOCENT + POPULAR_COUNT;
    let paths = fingerprints.map(|fingerprint| Path::innocent(fingerprint, POPULAR_PER_S));
    paths.collect()
}

fn crashing(count: u64, per_s: f64, from_s: u64) -> Vec<Path> {
    let paths = (1..=count).map(|fingerprint| Path::crashing(fingerprint, per_s, from_s));
    paths.collect()
}

/// Each request that crashes servers has few late runs, and no innocent one is refused.
fn assert_held(load: &Load, paths: &[Path]) {
    for path in paths {
        let record = load.record(path.fingerprint);
        if path.crashes_from.is_some() {
            let late_count = record.late_runs_count();
            let crashes_count = record.crashes_count();
            assert!(
                late_count <= LATE_RUNS_LIMIT_COUNT,
                "{late_count} late runs of {}, {crashes_count} crashes",
                path.fingerprint
            );
        } else {
            assert_eq!(
                record.quarantined_count, 0,
                "{} is refused",
                path.fingerprint
            );
        }
    }
}

macro_rules! crashing_paths {
    ($($(#[$failure:meta])* $name:ident: $gates:expr, $crashing:expr, beside $innocent:expr;)*) => {
        $($(#[$failure])* #[test] fn $name() {
            for seed in 0..3 {
                let mut paths: Vec<Path> = $crashing;
                paths.extend($innocent);
                let mut load = Load::new($gates(seed), &paths, seed);
                load.run(LENGTH_S);
                assert_held(&load, &paths);
            }
        })*
    };
}

fn three_gates(seed: u64) -> Gates {
    Gates::start_large(seed, 3, 4)
}

fn large(seed: u64) -> Gates {
    Gates::start_large(seed, LARGE_GATES_COUNT, LARGE_OTHERS_COUNT)
}

crashing_paths! {
    /// It had run well a moment before, was no suspect for 10 to 20 s, and crashed each server meanwhile.
    a_path_that_ran_well_until_a_moment_is_refused: three_gates, crashing(1, 4.0, CRASHES_FROM_S), beside Vec::<Path>::new();
    /// The same among paths that many send, which are in flight at each crash as it is.
    a_path_that_ran_well_is_refused_beside_popular_ones: three_gates, crashing(1, 4.0, CRASHES_FROM_S),
        beside popular();
    /// Many callers send it at once: all servers of the service end before one crash is told, and end again
    /// as soon as they are back.
    a_path_that_many_send_and_that_ran_well_is_refused: three_gates, crashing(1, 28.0, CRASHES_FROM_S),
        beside popular();
    /// Five such paths turn at the same moment.
    five_paths_that_ran_well_are_refused: three_gates, crashing(5, 8.0, CRASHES_FROM_S), beside popular();
    /// In a service of many gates each that had not been told ran it once more.
    a_path_that_ran_well_is_refused_in_a_large_service: large, crashing(1, 28.0, CRASHES_FROM_S),
        beside popular();
    /// Five paths that never ran well, at the same gates at the same moment.
    five_paths_that_never_ran_well_are_refused: three_gates, crashing(5, 8.0, 0), beside popular();
}

macro_rules! crashes_from_outside {
    ($($(#[$failure:meta])* $name:ident: $gates:expr, one of $gates_count:expr;)*) => {
        $($(#[$failure])* #[test] fn $name() {
            let paths = popular();
            for seed in 0..3 {
                let mut load = Load::new($gates(seed), &paths, seed);
                load.run(2);
                for round in 0..ROUNDS_COUNT {
                    if round % 2 == 0 {
                        load.end_from_outside(0..$gates_count);
                    } else {
                        load.end_from_outside([round % $gates_count]);
                    }
                    load.run(2);
                }
                assert_held(&load, &paths);
                for path in &paths {
                    let record = load.record(path.fingerprint);
                    assert_eq!(record.not_taken_count, 0, "{record:?}");
                }
            }
        })*
    };
}

crashes_from_outside! {
    /// Servers end from outside, one alone or all at once, with popular paths in flight at each end.
    popular_paths_outlive_crashes_from_outside: three_gates, one of 3;
    /// The same at many gates: a path is in flight at more ends than its record holds.
    popular_paths_outlive_crashes_from_outside_in_a_large_service: large, one of LARGE_GATES_COUNT;
}

/// A run that ended in an error answer spoke for its request, and cleared it of its crashes at all gates.
#[test]
fn error_answers_do_not_clear_a_request() {
    let mut gates = three_gates(60);
    for gate in [0, 1, 2] {
        gates.crash(gate, &[1, FIRST_INNOCENT + gate as u64]);
        gates.fail(1, 1);
    }
    gates.mesh.run(Duration::from_secs(2));
    assert!(gates.are_refused(1));
}
