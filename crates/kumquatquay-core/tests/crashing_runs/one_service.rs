//! Crashes at the gates of one service.

use std::time::Duration;

use kumquatquay_core::{BackendInput, OperatorInput, RunInput, RunVerdict};
use kumquatquay_wire::OperatorCommand;

use crate::gates::{
    CRASH_AFTER, CRASHING, DOWN, FIRST_INNOCENT, Gates, OTHER_CRASHING, SERVICE, SETTLING,
    innocents,
};

macro_rules! crashing_runs {
    ($($(#[$failure:meta])* $name:ident: |$gates:ident| $test:block)*) => {
        $($(#[$failure])* #[test] fn $name() {
            let mut $gates = Gates::start(51);
            $test
        })*
    };
}

crashing_runs! {
    /// Alone in flight at two crashes, it went on to be run by gates that had seen none of them.
    a_request_alone_in_flight_is_refused_after_two_crashes: |gates| {
        gates.crash(0, &[CRASHING]);
        gates.revive(0);
        gates.crash(1, &[CRASHING]);
        gates.mesh.run(Duration::from_millis(200));
        assert!(gates.are_refused(CRASHING));
    }

    /// Beside others that are new each time, none of the crashes names it.
    a_request_among_others_is_refused_after_three_crashes: |gates| {
        for crash in 0..3 {
            let mut running = innocents(crash * 100, 99);
            running.push(CRASHING);
            assert_eq!(gates.crash(crash as usize, &running), 100);
            gates.revive(crash as usize);
        }
        gates.mesh.run(SETTLING);
        assert!(gates.are_refused(CRASHING));
        for innocent in innocents(0, 250) {
            assert_eq!(gates.run(3, innocent), RunVerdict::Run, "{innocent}");
        }
    }

    /// Earlier crashes have left more suspects than a table holds, each with a higher score: the request to blame
    /// for the next crashes was the first to be forgotten.
    a_request_among_others_is_refused_after_many_were_suspected: |gates| {
        for crash in 0..24 {
            gates.crash(crash as usize % 4, &innocents(crash * 60, 60));
            gates.revive(crash as usize % 4);
        }
        for crash in 0..3 {
            let mut running = innocents(10_000 + crash * 250, 250);
            running.push(CRASHING);
            gates.crash(crash as usize, &running);
            gates.revive(crash as usize);
        }
        gates.mesh.run(SETTLING);
        assert!(gates.are_refused(CRASHING));
    }

    /// Two paths are in flight whenever a server ends, and have had no time to end a run. One of them is to
    /// blame, and the other was refused with it for an hour.
    a_request_in_flight_at_each_crash_of_another_is_isolated: |gates| {
        let innocent = FIRST_INNOCENT;
        for gate in 0..3 {
            let mut running = innocents(100 * gate as u64 + 1, 20);
            running.extend([innocent, CRASHING]);
            let works = gates.begin_all(gate, &running);
            gates.end_server(gate, &works);
        }
        gates.mesh.run(Duration::from_millis(200));
        assert!(gates.are_run(innocent));
        assert_eq!(gates.run(3, innocent), RunVerdict::Run);
        gates.crash(3, &[CRASHING]);
        gates.mesh.run(Duration::from_millis(200));
        assert!(gates.are_refused(CRASHING));
        assert!(gates.are_run(innocent));
    }

    /// Two servers end at the same moment with the same two requests in flight: each was one of two at both
    /// crashes, and the innocent one was refused with the other.
    an_innocent_request_beside_another_at_two_crashes_is_not_refused: |gates| {
        let innocent = FIRST_INNOCENT;
        for gate in [0, 1] {
            let works = gates.begin_all(gate, &[innocent, CRASHING]);
            gates.end_server(gate, &works);
        }
        gates.mesh.run(Duration::from_millis(200));
        assert_eq!(gates.run(2, innocent), RunVerdict::Run);
    }

    /// A path that many send is in flight at three ends in a row beside the request to blame, and no server is left
    /// to answer it in between: it was refused with that one.
    an_innocent_request_beside_another_at_three_crashes_is_not_refused: |gates| {
        let innocent = FIRST_INNOCENT;
        let works: Vec<_> = (0..3).map(|gate| gates.begin_all(gate, &[innocent, CRASHING])).collect();
        for (gate, works) in works.iter().enumerate() {
            gates.end_server(gate, works);
            gates.mesh.run(Duration::from_millis(20));
        }
        gates.mesh.run(Duration::from_millis(200));
        assert_eq!(gates.run(3, innocent), RunVerdict::Run);
        gates.crash(3, &[CRASHING]);
        gates.mesh.run(Duration::from_millis(200));
        assert!(gates.are_refused(CRASHING));
    }

    /// Three requests end a server each before any end is told. One that is in flight at all three, and is the only
    /// one that is, was taken for the one to blame.
    an_innocent_request_at_the_ends_of_three_others_is_not_refused: |gates| {
        let innocent = FIRST_INNOCENT;
        let works: Vec<_> = (0..3)
            .map(|gate| gates.begin_all(gate, &[innocent, CRASHING + gate as u64]))
            .collect();
        for (gate, works) in works.iter().enumerate() {
            gates.end_server(gate, works);
            gates.mesh.run(Duration::from_millis(100));
        }
        gates.mesh.run(Duration::from_millis(200));
        assert_eq!(gates.run(3, innocent), RunVerdict::Run);
    }

    /// A path that many send is isolated, and its only runs at two gates are in flight when others end both servers, one
    /// soon after the other: it was refused as named by two crashes.
    a_path_that_many_send_outlives_two_ends_at_the_same_moment: |gates| {
        let many = FIRST_INNOCENT;
        for gate in 0..4 {
            gates.run(gate, many);
        }
        for gate in [0, 1] {
            gates.crash(gate, &[many, CRASHING + gate as u64]);
        }
        gates.mesh.run(Duration::from_millis(100));
        let works = [2, 3].map(|gate| gates.begin_all(gate, &[many, CRASHING + gate as u64]));
        for (gate, works) in [2, 3].into_iter().zip(&works) {
            gates.mesh.run(Duration::from_millis(60));
            gates.end_server(gate, works);
        }
        gates.mesh.run(Duration::from_millis(200));
        let verdicts = gates.verdicts(many);
        assert!(!verdicts.contains(&RunVerdict::Refuse), "{verdicts:?}");
    }

    /// All that was in flight when a backend server ended ran one at a time, at one host.
    requests_in_flight_at_a_crash_run_together: |gates| {
        let running = innocents(0, 100);
        gates.crash(0, &running);
        gates.mesh.run(Duration::from_millis(50));
        assert_eq!(gates.begin_all(1, &running).len(), running.len());
    }

    /// A path that many send is in flight at each crash, as the request to blame is.
    a_request_that_runs_well_is_not_suspected: |gates| {
        let many = FIRST_INNOCENT;
        for crash in 0..6 {
            for gate in 0..4 {
                gates.run(gate, many);
            }
            gates.crash(crash % 4, &[many, CRASHING]);
            gates.revive(crash % 4);
        }
        assert!(gates.are_run(many));
        assert!(gates.are_refused(CRASHING));
    }

    /// Servers of a rack end one after the other, with runs of one path in flight at each and no time for one
    /// to end in between.
    a_path_that_many_send_outlives_a_row_of_crashes: |gates| {
        let many = FIRST_INNOCENT;
        for gate in 0..4 {
            gates.run(gate, many);
        }
        for gate in 0..3 {
            gates.crash(gate, &[many, many, many]);
        }
        gates.mesh.run(Duration::from_millis(200));
        assert!(gates.are_run(many));
    }

    /// It ran well until a release of its service, and crashes each backend server since.
    a_request_that_ran_well_once_is_refused: |gates| {
        for gate in 0..4 {
            gates.run(gate, CRASHING);
        }
        gates.mesh.run(Duration::from_secs(25));
        gates.crash(0, &[CRASHING]);
        gates.crash(1, &[CRASHING]);
        gates.mesh.run(Duration::from_millis(200));
        assert!(gates.are_refused(CRASHING));
    }

    /// Two requests crash the same backend servers: neither is alone in flight.
    two_requests_that_crash_servers_are_refused: |gates| {
        let mut runs_count = 0;
        for crash in 0..12 {
            runs_count += gates.crash(crash % 4, &[CRASHING, OTHER_CRASHING]);
            gates.revive(crash % 4);
        }
        assert!(runs_count <= 6, "{runs_count} runs");
        assert!(gates.are_refused(CRASHING));
        assert!(gates.are_refused(OTHER_CRASHING));
    }

    /// Sent to three gates at the same moment, it ends three backend servers before any is known to
    /// have ended; none of the gates knows of the others' crash by itself.
    requests_sent_at_the_same_moment_are_refused: |gates| {
        let works: Vec<_> = (0..3).map(|gate| gates.begin_all(gate, &[CRASHING])).collect();
        gates.mesh.run(CRASH_AFTER);
        for (gate, works) in works.iter().enumerate() {
            gates.end_server(gate, works);
        }
        gates.mesh.run(Duration::from_millis(200));
        assert!(gates.are_refused(CRASHING));
    }

    /// A caller comes back a quarter of an hour later; the first crash was forgotten by then.
    crashes_that_are_minutes_apart_count: |gates| {
        gates.crash(0, &[CRASHING]);
        gates.revive(0);
        gates.mesh.run(Duration::from_secs(15 * 60));
        gates.crash(2, &[CRASHING]);
        gates.mesh.run(Duration::from_millis(200));
        assert!(gates.are_refused(CRASHING));
    }

    /// A gate that starts anew knows nothing, and learnt the records up to half a minute later.
    a_gate_that_starts_anew_is_told: |gates| {
        gates.crash(0, &[CRASHING]);
        gates.crash(1, &[CRASHING]);
        gates.mesh.run(Duration::from_secs(60));
        gates.start_anew(3);
        gates.mesh.run(SETTLING);
        assert!(gates.are_refused(CRASHING));
    }

    /// A gate whose own backend server is away is no candidate for calls, and was not told.
    a_gate_without_a_server_is_told: |gates| {
        gates.crash(3, &innocents(0, 3));
        gates.crash(0, &[CRASHING]);
        gates.crash(1, &[CRASHING]);
        gates.mesh.run(Duration::from_millis(200));
        assert!(gates.are_refused(CRASHING));
    }

    /// The data centres are cut off from each other while the crashes happen in one of them.
    a_data_centre_that_was_cut_off_is_told: |gates| {
        for near in [0, 1] {
            for far in [2, 3] {
                let pair = (gates.controls[near], gates.controls[far]);
                gates.mesh.cuts.extend([pair, (pair.1, pair.0)]);
            }
        }
        gates.mesh.run(Duration::from_secs(20));
        gates.crash(0, &[CRASHING]);
        gates.crash(1, &[CRASHING]);
        gates.mesh.run(Duration::from_secs(20));
        gates.mesh.cuts.clear();
        gates.mesh.run(SETTLING * 2);
        assert!(gates.are_refused(CRASHING));
    }

    /// Datagrams are lost, the first ones that tell of the crashes among them.
    lost_datagrams_are_made_up_for: |gates| {
        gates.mesh.loss_ratio = 0.4;
        gates.crash(0, &[CRASHING]);
        gates.crash(1, &[CRASHING]);
        gates.mesh.run(SETTLING);
        assert!(gates.are_refused(CRASHING));
    }

    /// The caller gives up before the backend server ends: its run was in flight no more.
    a_run_that_nobody_waits_for_counts: |gates| {
        for gate in [0, 1] {
            let works = gates.begin_all(gate, &[CRASHING]);
            gates.end(gate, RunInput::Broken { work: works[0] });
            gates.mesh.run(CRASH_AFTER);
            gates.end_server(gate, &[]);
        }
        gates.mesh.run(Duration::from_millis(200));
        assert!(gates.are_refused(CRASHING));
    }

    /// A host is paused, and its backend server seems dead: what ran there is no suspect.
    a_silent_server_makes_no_suspects: |gates| {
        for gate in 0..3 {
            gates.begin_all(gate, &[CRASHING]);
            gates.mesh.handle(gates.controls[gate], BackendInput::Unresponsive.into());
        }
        gates.mesh.run(Duration::from_millis(200));
        assert!(gates.are_run(CRASHING));
    }

    /// Something accepts connections for a server that has ended, until it is back. Its end was told only then, and
    /// other gates ran meanwhile what had ended it.
    an_end_that_something_hides_is_told_at_once: |gates| {
        for gate in [0, 1] {
            let works = gates.begin_all(gate, &[CRASHING]);
            gates.mesh.run(CRASH_AFTER);
            works.iter().for_each(|work| gates.end(gate, RunInput::Broken { work: *work }));
            gates.mesh.handle(gates.controls[gate], BackendInput::ClosesConnections.into());
            gates.mesh.run(Duration::from_millis(200));
        }
        assert!(gates.are_refused(CRASHING));
    }

    /// The same end counted once more when the next life reported.
    an_end_that_something_hides_counts_once: |gates| {
        let works = gates.begin_all(0, &[CRASHING]);
        works.iter().for_each(|work| gates.end(0, RunInput::Broken { work: *work }));
        gates.mesh.handle(gates.controls[0], BackendInput::ClosesConnections.into());
        for innocent in innocents(0, 3) {
            let works = gates.begin_all(0, &[innocent]);
            works.iter().for_each(|work| gates.end(0, RunInput::Broken { work: *work }));
        }
        gates.mesh.run(DOWN);
        gates.mesh.handle(gates.controls[0], BackendInput::Died.into());
        gates.revive(0);
        assert!(gates.are_run(CRASHING));
        for innocent in innocents(0, 3) {
            assert_eq!(gates.begin_all(1, &[innocent, innocent]).len(), 2);
        }
    }

    /// A server that is short of connections breaks one and closes new ones while its other runs go on: it has not
    /// ended.
    a_server_that_closes_connections_beside_its_runs_makes_no_suspects: |gates| {
        for gate in 0..3 {
            let works = gates.begin_all(gate, &[CRASHING, FIRST_INNOCENT + gate as u64]);
            gates.end(gate, RunInput::Broken { work: works[0] });
            gates.mesh.handle(gates.controls[gate], BackendInput::ClosesConnections.into());
        }
        gates.mesh.run(Duration::from_millis(200));
        assert!(gates.are_run(CRASHING));
    }

    /// Something in front of a dead server accepts connections and closes them until the next life reports:
    /// all that was tried there meanwhile was suspected.
    what_breaks_while_a_server_is_silent_is_not_suspected: |gates| {
        for gate in [0, 1, 2, 3, 0, 1] {
            let works = gates.begin_all(gate, &[CRASHING]);
            gates.mesh.run(CRASH_AFTER);
            works.iter().for_each(|work| gates.end(gate, RunInput::Broken { work: *work }));
            gates.mesh.handle(gates.controls[gate], BackendInput::Unresponsive.into());
            for innocent in innocents(0, 30) {
                let works = gates.begin_all(gate, &[innocent]);
                works.iter().for_each(|work| gates.end(gate, RunInput::Broken { work: *work }));
            }
            gates.mesh.run(Duration::from_secs(10));
            gates.mesh.handle(gates.controls[gate], BackendInput::Died.into());
            gates.revive(gate);
        }
        assert!(gates.are_refused(CRASHING));
        for innocent in innocents(0, 30) {
            assert_eq!(gates.begin_all(2, &[innocent, innocent]).len(), 2);
        }
    }

    /// It shows some moments after a server's end that something closes all its connections: what was tried in
    /// between, at one gate after the other, was in flight at both ends.
    what_breaks_before_a_server_is_known_to_be_silent_is_not_suspected: |gates| {
        let innocent = FIRST_INNOCENT;
        for gate in [0, 1, 2] {
            let works = gates.begin_all(gate, &[CRASHING]);
            gates.mesh.run(CRASH_AFTER);
            works.iter().for_each(|work| gates.end(gate, RunInput::Broken { work: *work }));
            for tried in [innocent, innocent + 1 + gate as u64] {
                gates.mesh.run(Duration::from_millis(10));
                let works = gates.begin_all(gate, &[tried]);
                works.iter().for_each(|work| gates.end(gate, RunInput::Broken { work: *work }));
            }
            gates.mesh.handle(gates.controls[gate], BackendInput::Unresponsive.into());
            gates.mesh.run(DOWN);
            gates.mesh.handle(gates.controls[gate], BackendInput::Died.into());
            gates.revive(gate);
        }
        assert!(gates.are_refused(CRASHING));
        assert_eq!(gates.begin_all(3, &[innocent, innocent]).len(), 2);
    }

    /// Of two suspects one ran well: its suspicion stayed at the gates where it did not run.
    a_success_clears_a_suspect_at_all_gates: |gates| {
        let innocent = FIRST_INNOCENT;
        gates.crash(0, &[CRASHING, innocent]);
        gates.mesh.run(Duration::from_millis(100));
        assert_eq!(gates.run(2, innocent), RunVerdict::Run);
        gates.mesh.run(Duration::from_millis(100));
        for gate in 0..4 {
            assert_eq!(gates.begin_all(gate, &[innocent, innocent]).len(), 2);
        }
    }

    /// An operator releases it at one node; it runs again everywhere.
    a_release_counts_at_all_gates: |gates| {
        gates.crash(0, &[CRASHING]);
        gates.crash(1, &[CRASHING]);
        gates.mesh.run(Duration::from_millis(200));
        let release = OperatorInput {
            request: 1,
            operator: String::from("local"),
            command: OperatorCommand::QuarantineRelease {
                service: String::from(SERVICE),
                fingerprint: CRASHING,
            },
        };
        gates.mesh.handle(gates.controls[3], release.into());
        gates.mesh.run(Duration::from_millis(200));
        assert!(gates.are_run(CRASHING));
    }

    /// Each crash leaves two hundred suspects: a table that only grows.
    suspects_are_bounded: |gates| {
        for crash in 0..20 {
            gates.crash(crash as usize % 4, &innocents(crash * 200, 200));
            gates.revive(crash as usize % 4);
        }
        let moment = gates.mesh.moment();
        for host in gates.mesh.hosts.values() {
            let (suspects_count, quarantined_count) = host.node.quarantine_counts(moment);
            assert!(suspects_count <= 1_024, "{suspects_count} suspects");
            assert_eq!(quarantined_count, 0);
        }
    }
}

/// Gates of the largest service and hosts beside them, and how many requests are in flight at each gate.
const LARGE_GATES_COUNT: usize = 33;
const LARGE_OTHERS_COUNT: usize = 46;
const LARGE_IN_FLIGHT_COUNT: u64 = 30;

/// How often the request comes there, and after how long.
const LARGE_SENDS_COUNT: usize = 25;
const LARGE_SEND_INTERVAL: Duration = Duration::from_millis(300);

/// At 33 hosts of a service with 30 requests in flight the records of one crash are more than a node may send at
/// once: most gates were not told, and each of them lost its server.
#[test]
fn a_request_among_others_is_refused_in_a_large_service() {
    let mut gates = Gates::start_large(52, LARGE_GATES_COUNT, LARGE_OTHERS_COUNT);
    let mut runs_count = 0;
    for send in 0..LARGE_SENDS_COUNT {
        let gate = send * 7 % LARGE_GATES_COUNT;
        let from = send as u64 * LARGE_IN_FLIGHT_COUNT;
        let (work, verdict) = gates.begin(gate, CRASHING);
        if verdict == RunVerdict::Run {
            runs_count += 1;
            let mut works = gates.begin_all(gate, &innocents(from, LARGE_IN_FLIGHT_COUNT));
            works.push(work);
            gates.mesh.run(CRASH_AFTER);
            gates.end_server(gate, &works);
        }
        gates.mesh.run(LARGE_SEND_INTERVAL);
    }
    assert!(runs_count <= 3, "{runs_count} runs");
}

/// A path that many send is in flight at more ends of servers than its record holds. Those that were cleared came
/// back with the records of nodes that knew others of them.
#[test]
fn a_path_that_many_send_outlives_more_crashes_than_a_record_holds() {
    let mut gates = Gates::start_large(60, 4, 12);
    let many = FIRST_INNOCENT;
    for crash in 0..20 {
        gates.crash(crash % 4, &[many, many, FIRST_INNOCENT + 1 + crash as u64]);
        gates.revive(crash % 4);
        for gate in 0..4 {
            assert_eq!(gates.run(gate, many), RunVerdict::Run);
        }
    }
    for _ in 0..60 {
        gates.mesh.run(Duration::from_secs(1));
        for gate in 0..4 {
            let works = gates.begin_all(gate, &[many, many]);
            assert_eq!(works.len(), 2);
            for work in works {
                gates.end(gate, RunInput::NotRun { work });
            }
        }
    }
}

/// Guards against an innocent request that is refused since many servers end at one moment under another one: its
/// runs there began before any of these crashes was known, so they are one piece of evidence.
#[test]
fn an_innocent_request_at_many_ends_of_one_moment_is_not_refused() {
    let gates_count = 7;
    let mut gates = Gates::start_large(51, gates_count, 0);
    let innocent = FIRST_INNOCENT;
    let ends = 0..gates_count - 1;
    let works: Vec<_> = ends
        .map(|gate| gates.begin_all(gate, &[innocent, CRASHING]))
        .collect();
    for (gate, works) in works.iter().enumerate() {
        gates.end_server(gate, works);
        gates.mesh.run(Duration::from_millis(5));
    }
    gates.mesh.run(Duration::from_millis(200));
    let last = gates_count - 1;
    gates.fail(last, innocent);
    gates.crash(last, &[CRASHING]);
    gates.mesh.run(Duration::from_millis(200));
    assert!(gates.are_refused(CRASHING));
    let verdicts = gates.verdicts(innocent);
    assert!(!verdicts.contains(&RunVerdict::Refuse), "{verdicts:?}");
}

/// Guards against a mend of the above that spares two requests which both end servers, always together.
#[test]
fn two_requests_that_always_end_servers_together_are_refused() {
    let mut gates = Gates::start(51);
    let mut refused_after = None;
    for crash in 0..8 {
        let gate = crash % 4;
        let begun = gates.crash(gate, &[CRASHING, OTHER_CRASHING]);
        if begun == 0 {
            refused_after = Some(crash);
            break;
        }
        gates.revive(gate);
    }
    let refused_after = refused_after.expect("both are refused in the end");
    assert!(refused_after <= 6, "{refused_after} servers ended");
}
