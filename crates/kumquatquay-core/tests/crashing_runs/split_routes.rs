//! Crashes on routes that are split over services or moved between them.

use std::time::Duration;

use kumquatquay_core::RunVerdict;
use kumquatquay_wire::Fingerprint;

use crate::gates::{CRASHING, FIRST_INNOCENT, Gates, OTHER_SERVICE, SERVICE, SETTLING, innocents};

/// Services of a split with two gates each, and how often a request is sent there.
const SERVICES: [&str; 3] = [SERVICE, OTHER_SERVICE, "survey"];
const GATES_COUNT: usize = 6;
const SENDS_COUNT: usize = 30;

macro_rules! split_routes {
    ($($(#[$failure:meta])* $name:ident: |$gates:ident| $test:block)*) => {
        $($(#[$failure])* #[test] fn $name() {
            let mut $gates = Gates::start_split(53);
            $test
        })*
    };
}

split_routes! {
    /// It crashes one server of each service of a split: each service knew of one crash.
    crashes_at_all_services_of_a_split_count: |gates| {
        gates.crash(0, &[CRASHING]);
        gates.crash(2, &[CRASHING]);
        gates.mesh.run(Duration::from_millis(200));
        assert!(gates.are_refused(CRASHING));
    }

    /// Among others that are new each time, and on a route that moved after two crashes.
    crashes_count_after_a_route_has_moved: |gates| {
        for (crash, gate) in [0, 1].into_iter().enumerate() {
            let mut running = innocents(crash as u64 * 100, 30);
            running.push(CRASHING);
            gates.crash(gate, &running);
            gates.revive_as(gate, SERVICE);
        }
        gates.mesh.run(SETTLING);
        let mut running = innocents(900, 30);
        running.push(CRASHING);
        gates.crash(2, &running);
        gates.mesh.run(Duration::from_millis(200));
        assert!(gates.are_refused(CRASHING));
        for innocent in innocents(0, 130) {
            assert_eq!(gates.run(3, innocent), RunVerdict::Run);
        }
    }

    /// A new version takes part of a route and crashes under a path that the old one runs well: the path
    /// was refused at both.
    a_path_that_one_part_of_a_split_runs_well_is_served_there: |gates| {
        let path = CRASHING;
        for _ in 0..4 {
            for gate in [0, 1] {
                assert_eq!(gates.run(gate, path), RunVerdict::Run);
            }
            for gate in [2, 3] {
                gates.crash(gate, &[path]);
                gates.revive_as(gate, OTHER_SERVICE);
            }
        }
        gates.mesh.run(SETTLING);
        let verdicts = gates.verdicts(path);
        assert_eq!(verdicts[..2], [RunVerdict::Run; 2]);
        assert_eq!(verdicts[2..], [RunVerdict::Refuse; 2]);
    }

    /// A new version crashes under a hundred paths that the old one runs well: with the names of the services at
    /// which they ran, the report of the crash is longer than a datagram.
    a_crash_under_many_paths_that_ran_elsewhere_is_told: |gates| {
        // As long as hashes are.
        let paths: Vec<Fingerprint> = innocents(0, 100).into_iter().map(|path| path | 1 << 63).collect();
        gates.crash(2, &paths);
        gates.revive_as(2, OTHER_SERVICE);
        for path in &paths {
            assert_eq!(gates.run(0, *path), RunVerdict::Run);
            assert_eq!(gates.run(3, *path), RunVerdict::Run);
        }
        gates.mesh.run(SETTLING * 10);
        gates.crash(2, &paths);
        gates.mesh.run(Duration::from_millis(100));
        let moment = gates.mesh.moment();
        let node = &gates.mesh.hosts[&gates.controls[3]].node;
        let told = paths.iter().filter(|path| node.crashes_count(moment, OTHER_SERVICE, **path) == 1);
        assert_eq!(told.count(), paths.len());
    }

    /// Servers of both services end from outside, one by one, each with a run of a path in flight that both
    /// run well.
    a_path_that_all_parts_run_well_outlives_crashes_from_outside: |gates| {
        let path = FIRST_INNOCENT;
        for _ in 0..4 {
            for gate in [0, 2, 1, 3] {
                gates.mesh.run(Duration::from_secs(25));
                assert_eq!(gates.run(gate, path), RunVerdict::Run);
                gates.crash(gate, &[path]);
                let service = [SERVICE, OTHER_SERVICE][gate / 2];
                gates.revive_as(gate, service);
            }
        }
        assert!(gates.are_run(path));
    }
}

/// It ran well at all parts of a split until a moment, and each part went on to count its own crashes alone.
#[test]
fn a_request_that_ran_well_at_all_parts_of_a_split_is_refused() {
    let mut gates = Gates::start_split_over(53, &SERVICES);
    for gate in 0..GATES_COUNT {
        assert_eq!(gates.run(gate, CRASHING), RunVerdict::Run);
    }
    let mut crashes: Vec<Duration> = Vec::new();
    for send in 0..SENDS_COUNT {
        let gate = send * 2 % GATES_COUNT + send * 2 / GATES_COUNT % 2;
        let innocent = FIRST_INNOCENT + send as u64;
        if gates.crash(gate, &[CRASHING, innocent]) == 2 {
            crashes.push(gates.mesh.now);
        }
        gates.revive_as(gate, SERVICES[gate / 2]);
    }
    let late = crashes.iter().filter(|at| **at > crashes[2] + SETTLING);
    let late_count = late.count();
    assert!(
        late_count <= 3,
        "{late_count} late runs of {}",
        crashes.len()
    );
    assert!(gates.are_refused(CRASHING));
}
