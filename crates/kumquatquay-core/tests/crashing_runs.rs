//! Runs of calls on routes that crash backend servers, at gates that tell each other.

#[allow(dead_code, reason = "other tests use the rest of the mesh")]
#[path = "support/mesh.rs"]
mod mesh;

use std::{net::SocketAddr, time::Duration};

use kumquatquay_core::{
    BackendInput, Input, KeepStep, KeptRecords, OperatorInput, RecordToKeep, RunInput, RunVerdict,
    WorkId,
};
use kumquatquay_wire::{Crash, Fingerprint, MemberState, OperatorCommand, QuarantineRecord};
use mesh::{Mesh, control};

const SERVICE: &str = "archive";

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

// What the store keeps

fn record(fingerprint: Fingerprint, crashes: &[(u64, u16, bool)]) -> QuarantineRecord {
    let crashes = crashes.iter().map(|(id, score_milli, is_cleared)| Crash {
        id: *id,
        score_milli: *score_milli,
        is_cleared: *is_cleared,
    });
    QuarantineRecord {
        service: String::from(SERVICE),
        fingerprint,
        crashes: crashes.collect(),
        remaining_ms: 1_000,
    }
}

fn to_keep(is_own: bool, crashes: &[(u64, u16, bool)]) -> RecordToKeep {
    RecordToKeep {
        record: record(CRASHING, crashes),
        is_own,
    }
}

macro_rules! kept_records {
    ($($(#[$failure:meta])* $name:ident: $kept:expr, $current:expr => $step:expr;)*) => {
        $($(#[$failure])* #[test] fn $name() {
            let mut kept = KeptRecords::default();
            let before: Vec<QuarantineRecord> = $kept;
            before.iter().for_each(|record| kept.on_kept(record));
            let current: Vec<RecordToKeep> = $current;
            let step: Option<KeepStep> = $step;
            assert_eq!(kept.next_step(&current), step);
        })*
    };
}

const QUARANTINED: [(u64, u16, bool); 2] = [(1, 1_000, false), (2, 1_000, false)];
const SUSPECTED: [(u64, u16, bool); 2] = [(1, 100, false), (2, 100, false)];
const CLEARED: [(u64, u16, bool); 2] = [(1, 1_000, true), (2, 1_000, true)];

kept_records! {
    /// The node that saw the crash writes at once.
    an_own_crash_is_written: vec![], vec![to_keep(true, &SUSPECTED)]
        => Some(KeepStep::Write(to_keep(true, &SUSPECTED)));
    /// The node that saw the crashes may be gone.
    a_quarantine_is_written_by_others: vec![], vec![to_keep(false, &QUARANTINED)]
        => Some(KeepStep::Write(to_keep(false, &QUARANTINED)));
    /// Each node of the service would write each suspect.
    a_suspect_is_not_written_by_others: vec![], vec![to_keep(false, &SUSPECTED)] => None;
    /// What is kept would be written again and again.
    a_kept_record_is_not_written: vec![record(CRASHING, &QUARANTINED)],
        vec![to_keep(true, &QUARANTINED)] => None;
    /// One more crash would be lost.
    a_changed_record_is_written: vec![record(CRASHING, &SUSPECTED)],
        vec![to_keep(true, &QUARANTINED)] => Some(KeepStep::Write(to_keep(true, &QUARANTINED)));
    /// A released request would be refused again after a restart.
    a_cleared_record_is_removed: vec![record(CRASHING, &QUARANTINED)],
        vec![to_keep(true, &CLEARED)] => Some(KeepStep::Remove(CRASHING));
    /// Expired records would stay in the store for good.
    an_expired_record_is_removed: vec![record(CRASHING, &QUARANTINED)], vec![]
        => Some(KeepStep::Remove(CRASHING));
}

/// The store comes back from a copy that lacks the record.
#[test]
fn a_record_is_written_again_after_a_restore() {
    let mut kept = KeptRecords::default();
    kept.on_kept(&record(CRASHING, &QUARANTINED));
    kept.on_store_restored();
    let current = [to_keep(false, &QUARANTINED)];
    let step = kept.next_step(&current);
    assert_eq!(step, Some(KeepStep::Write(current[0].clone())));
}
