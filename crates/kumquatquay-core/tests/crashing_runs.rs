//! Runs of calls on routes that crash backend servers, at gates that tell each other.

#[allow(dead_code, reason = "other tests use the rest of the mesh")]
#[path = "support/mesh.rs"]
mod mesh;

use std::{net::SocketAddr, time::Duration};

use kumquatquay_core::{
    BackendInput, Input, KeepAction, KeepStep, KeptCrashes, KnownCrash, OperatorInput, RunInput,
    RunVerdict, WorkId,
};
use kumquatquay_wire::{CrashReport, CrashSuspect, Fingerprint, MemberState, OperatorCommand};
use mesh::{Mesh, control};

const SERVICE: &str = "archive";
const OTHER_SERVICE: &str = "settlement";

/// How long a crashing request runs.
const CRASH_AFTER: Duration = Duration::from_millis(40);

/// How long a backend server is away.
const DOWN: Duration = Duration::from_millis(1_200);

/// By when all gates refuse a request that has crashed enough backend servers, if none is cut off.
const SETTLING: Duration = Duration::from_secs(3);

/// Fingerprints of requests that crash backend servers; those of others follow.
const CRASHING: Fingerprint = 1;
const OTHER_CRASHING: Fingerprint = 2;
const FIRST_INNOCENT: Fingerprint = 1_000;

/// Gates of one service, with their backend servers.
struct Gates {
    mesh: Mesh,
    controls: Vec<SocketAddr>,
    last_work: WorkId,
}

impl Gates {
    /// Four gates in two data centres.
    fn start(seed: u64) -> Self {
        let mut mesh = Mesh::new(seed);
        let controls = vec![control(0, 1), control(0, 2), control(1, 1), control(1, 2)];
        for (place, control) in controls.iter().enumerate() {
            let data_centre = if place < 2 { "a" } else { "b" };
            mesh.start(*control, data_centre, 1, vec![controls[0]]);
            mesh.announce(*control, SERVICE, MemberState::Serving);
        }
        mesh.run(Duration::from_secs(10));
        Self {
            mesh,
            controls,
            last_work: 0,
        }
    }

    /// A deployment of three data centres: gates of one service, and beside them of another one.
    fn start_large(seed: u64, gates_count: usize, others_count: usize) -> Self {
        let mut mesh = Mesh::new(seed);
        let place = |index: usize| control(index % 3, 1 + index / 3);
        let controls: Vec<SocketAddr> = (0..gates_count + others_count).map(place).collect();
        for (index, control) in controls.iter().enumerate() {
            let service = if index < gates_count {
                SERVICE
            } else {
                OTHER_SERVICE
            };
            mesh.start(*control, ["a", "b", "c"][index % 3], 1, vec![controls[0]]);
            mesh.announce(*control, service, MemberState::Serving);
        }
        mesh.run(Duration::from_secs(20));
        Self {
            mesh,
            controls,
            last_work: 0,
        }
    }

    fn begin(&mut self, gate: usize, fingerprint: Fingerprint) -> (WorkId, RunVerdict) {
        self.last_work += 1;
        let moment = self.mesh.moment();
        let host = self.mesh.hosts.get_mut(&self.controls[gate]).unwrap();
        let verdict = host.node.begin_run(moment, self.last_work, fingerprint);
        (self.last_work, verdict)
    }

    fn end(&mut self, gate: usize, input: RunInput) {
        let input = Input::Run(input);
        self.mesh.handle(self.controls[gate], input);
    }

    /// Runs a request to its answer; the verdict on it.
    fn run(&mut self, gate: usize, fingerprint: Fingerprint) -> RunVerdict {
        let (work, verdict) = self.begin(gate, fingerprint);
        if verdict == RunVerdict::Run {
            self.mesh.run(Duration::from_millis(10));
            self.end(gate, RunInput::Answered { work });
        }
        verdict
    }

    /// Requests run at a gate, and its backend server ends; how many of them began to run.
    fn crash(&mut self, gate: usize, fingerprints: &[Fingerprint]) -> usize {
        let works = self.begin_all(gate, fingerprints);
        self.mesh.run(CRASH_AFTER);
        self.end_server(gate, &works);
        works.len()
    }

    fn begin_all(&mut self, gate: usize, fingerprints: &[Fingerprint]) -> Vec<WorkId> {
        let begun = fingerprints
            .iter()
            .map(|fingerprint| self.begin(gate, *fingerprint));
        let begun: Vec<_> = begun.collect();
        let running = begun
            .into_iter()
            .filter(|(_, verdict)| *verdict == RunVerdict::Run);
        running.map(|(work, _)| work).collect()
    }

    /// The connections of half of the runs break before the death is noticed.
    fn end_server(&mut self, gate: usize, works: &[WorkId]) {
        let (early, late) = works.split_at(works.len() / 2);
        for work in early {
            self.end(gate, RunInput::Broken { work: *work });
        }
        self.mesh
            .handle(self.controls[gate], BackendInput::Died.into());
        for work in late {
            self.end(gate, RunInput::Broken { work: *work });
        }
    }

    fn revive(&mut self, gate: usize) {
        self.mesh.run(DOWN);
        let control = self.controls[gate];
        self.mesh.announce(control, SERVICE, MemberState::Serving);
        self.mesh.run(Duration::from_millis(300));
    }

    /// Verdicts of all gates on a request; a run that begins ends without an answer.
    fn verdicts(&mut self, fingerprint: Fingerprint) -> Vec<RunVerdict> {
        let gates = 0..self.controls.len();
        let verdicts = gates.map(|gate| {
            let (work, verdict) = self.begin(gate, fingerprint);
            self.end(gate, RunInput::NotRun { work });
            verdict
        });
        verdicts.collect()
    }

    fn are_refused(&mut self, fingerprint: Fingerprint) -> bool {
        let verdicts = self.verdicts(fingerprint);
        verdicts
            .iter()
            .all(|verdict| *verdict == RunVerdict::Refuse)
    }

    fn are_run(&mut self, fingerprint: Fingerprint) -> bool {
        let verdicts = self.verdicts(fingerprint);
        verdicts.iter().all(|verdict| *verdict == RunVerdict::Run)
    }

    fn start_anew(&mut self, gate: usize) {
        let control = self.controls[gate];
        let seed = self.controls[(gate + 1) % self.controls.len()];
        let data_centre = self.mesh.hosts[&control].data_centre.clone();
        self.mesh.start(control, &data_centre, 2, vec![seed]);
        self.mesh.announce(control, SERVICE, MemberState::Serving);
    }
}

fn innocents(from: u64, count: u64) -> Vec<Fingerprint> {
    (FIRST_INNOCENT + from..FIRST_INNOCENT + from + count).collect()
}

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

// Routes over several services

impl Gates {
    /// Two gates of each of two services, in two data centres; routes are split over them.
    fn start_split(seed: u64) -> Self {
        let mut gates = Self::start_large(seed, 2, 2);
        for (gate, sibling) in [(0, 2), (1, 2), (2, 0), (3, 0)] {
            let sibling = String::from([SERVICE, OTHER_SERVICE][sibling / 2]);
            let input = Input::SiblingServices(vec![sibling]);
            gates.mesh.handle(gates.controls[gate], input);
        }
        gates
    }

    fn revive_as(&mut self, gate: usize, service: &str) {
        self.mesh.run(DOWN);
        let control = self.controls[gate];
        self.mesh.announce(control, service, MemberState::Serving);
        self.mesh.run(Duration::from_millis(300));
    }
}

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

/// All nodes are killed after each crash; each reads what the store keeps, and only then runs anything.
#[test]
fn crashes_that_the_store_keeps_count_after_all_nodes_start_anew() {
    let mut gates = Gates::start(54);
    let mut kept: Vec<CrashReport> = Vec::new();
    let mut crashes_count = 0;
    while !gates.are_refused(CRASHING) {
        let gate = crashes_count % 4;
        let mut running = innocents(crashes_count as u64 * 100, 50);
        running.push(CRASHING);
        gates.crash(gate, &running);
        crashes_count += 1;
        let moment = gates.mesh.moment();
        let node = &gates.mesh.hosts[&gates.controls[gate]].node;
        let own = node.known_crashes(moment).into_iter();
        kept.extend(own.filter(|crash| crash.is_own).map(|crash| crash.report));
        for gate in 0..4 {
            gates.start_anew(gate);
            for report in &kept {
                let input = Input::KeptCrash(report.clone());
                gates.mesh.handle(gates.controls[gate], input);
            }
        }
        gates.mesh.run(Duration::from_secs(2));
    }
    assert_eq!(crashes_count, 3);
}

// What the store keeps

const CRASH: u64 = 7;
const START: Duration = Duration::from_secs(100);

fn report(fingerprints: &[Fingerprint]) -> CrashReport {
    let suspects = fingerprints.iter().map(|fingerprint| CrashSuspect {
        fingerprint: *fingerprint,
        score_milli: 500,
        ran_at: Vec::new(),
    });
    CrashReport {
        id: CRASH,
        service: String::from(SERVICE),
        suspects: suspects.collect(),
        remaining_ms: 60_000,
    }
}

fn known(is_own: bool, suspects: &[Fingerprint], cleared: &[Fingerprint]) -> Vec<KnownCrash> {
    vec![KnownCrash {
        report: report(suspects),
        cleared: cleared.to_vec(),
        is_own,
    }]
}

fn write(is_own: bool, suspects: &[Fingerprint]) -> Option<KeepStep> {
    let action = KeepAction::Write(report(suspects));
    Some(KeepStep { action, is_own })
}

fn remove(is_own: bool) -> Option<KeepStep> {
    let action = KeepAction::Remove(CRASH);
    Some(KeepStep { action, is_own })
}

macro_rules! kept_crashes {
    ($($(#[$failure:meta])* $name:ident: $kept:expr, $known:expr, after $seconds:expr => $step:expr;)*) => {
        $($(#[$failure])* #[test] fn $name() {
            let mut kept = KeptCrashes::default();
            let before: Option<CrashReport> = $kept;
            before.iter().for_each(|report| kept.on_kept(START, report));
            let known: Vec<KnownCrash> = $known;
            let _ = kept.next_step(START, &known);
            let step = kept.next_step(START + Duration::from_secs($seconds), &known);
            assert_eq!(step, $step);
        })*
    };
}

kept_crashes! {
    /// The first crash of a request went with the nodes that knew it.
    an_own_crash_is_written: None, known(true, &[1, 2], &[]), after 0 => write(true, &[1, 2]);
    /// The node that saw the crash may be gone.
    a_crash_of_another_host_is_written_later: None, known(false, &[1, 2], &[]), after 4
        => write(false, &[1, 2]);
    /// Each node would write each crash.
    a_crash_of_another_host_is_left_to_it: None, known(false, &[1, 2], &[]), after 1 => None;
    /// What is kept would be written again and again.
    a_kept_crash_is_not_written: Some(report(&[1, 2])), known(true, &[1, 2], &[]), after 9 => None;
    /// A node that knows fewer suspects would take the others out.
    unknown_suspects_stay_kept: Some(report(&[1, 2, 3])), known(true, &[1], &[]), after 9 => None;
    /// Requests that ran since would be suspects again after a restart of all nodes.
    cleared_suspects_are_taken_out: Some(report(&[1, 2, 3])), known(true, &[1, 3], &[2]), after 9
        => write(true, &[1, 3]);
    /// Each suspect that runs would cost a write.
    cleared_suspects_are_taken_out_together: Some(report(&[1, 2])), known(true, &[1], &[2]), after 2
        => None;
    /// A released request would be refused again after a restart.
    a_cleared_crash_is_removed: Some(report(&[1])), known(false, &[], &[1]), after 9 => remove(false);
    /// Expired crashes would stay in the store for good.
    an_expired_crash_is_removed: Some(report(&[1])), vec![], after 61 => remove(false);
}

/// The store comes back from a copy that lacks the crash.
#[test]
fn a_crash_is_written_again_after_a_restore() {
    let mut kept = KeptCrashes::default();
    kept.on_kept(START, &report(&[1]));
    kept.on_store_restored();
    let step = kept.next_step(START, &known(true, &[1], &[]));
    assert_eq!(step, write(true, &[1]));
}
