//! Gates of services in virtual time, which tell each other of crashes.

use std::{net::SocketAddr, time::Duration};

use kumquatquay_core::{BackendInput, Input, RunInput, RunVerdict, WorkId};
use kumquatquay_wire::{Fingerprint, MemberState};

use crate::mesh::{Mesh, control};

pub(crate) const SERVICE: &str = "archive";
pub(crate) const OTHER_SERVICE: &str = "settlement";

/// How long a crashing request runs.
pub(crate) const CRASH_AFTER: Duration = Duration::from_millis(40);

/// How long a backend server is away.
pub(crate) const DOWN: Duration = Duration::from_millis(1_200);

/// By when all gates refuse a request that has crashed enough backend servers, if none is cut off.
pub(crate) const SETTLING: Duration = Duration::from_secs(3);

/// Fingerprints of requests that crash backend servers; those of others follow.
pub(crate) const CRASHING: Fingerprint = 1;
pub(crate) const OTHER_CRASHING: Fingerprint = 2;
pub(crate) const FIRST_INNOCENT: Fingerprint = 1_000;

/// Gates of one service, with their backend servers.
pub(crate) struct Gates {
    pub(crate) mesh: Mesh,
    pub(crate) controls: Vec<SocketAddr>,
    /// How many of them are gates that a test asks; these come first.
    pub(crate) gates_count: usize,
    last_work: WorkId,
}

impl Gates {
    /// Four gates in two data centres.
    pub(crate) fn start(seed: u64) -> Self {
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
            gates_count: controls.len(),
            controls,
            last_work: 0,
        }
    }

    /// A deployment of three data centres: gates of one service, and beside them of another one.
    pub(crate) fn start_large(seed: u64, gates_count: usize, others_count: usize) -> Self {
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
            gates_count,
            last_work: 0,
        }
    }

    pub(crate) fn begin(&mut self, gate: usize, fingerprint: Fingerprint) -> (WorkId, RunVerdict) {
        self.last_work += 1;
        let moment = self.mesh.moment();
        let host = self.mesh.hosts.get_mut(&self.controls[gate]).unwrap();
        let verdict = host.node.begin_run(moment, self.last_work, fingerprint);
        (self.last_work, verdict)
    }

    pub(crate) fn end(&mut self, gate: usize, input: RunInput) {
        let input = Input::Run(input);
        self.mesh.handle(self.controls[gate], input);
    }

    /// Runs a request to its answer; the verdict on it.
    pub(crate) fn run(&mut self, gate: usize, fingerprint: Fingerprint) -> RunVerdict {
        let (work, verdict) = self.begin(gate, fingerprint);
        if verdict == RunVerdict::Run {
            self.mesh.run(Duration::from_millis(10));
            self.end(gate, RunInput::Answered { work });
        }
        verdict
    }

    /// Runs a request to an error answer, if the gate takes it.
    pub(crate) fn fail(&mut self, gate: usize, fingerprint: Fingerprint) {
        let (work, verdict) = self.begin(gate, fingerprint);
        if verdict == RunVerdict::Run {
            self.mesh.run(Duration::from_millis(10));
            self.end(gate, RunInput::Failed { work });
        }
    }

    /// Requests run at a gate, and its backend server ends; how many of them began to run.
    pub(crate) fn crash(&mut self, gate: usize, fingerprints: &[Fingerprint]) -> usize {
        let works = self.begin_all(gate, fingerprints);
        self.mesh.run(CRASH_AFTER);
        self.end_server(gate, &works);
        works.len()
    }

    pub(crate) fn begin_all(&mut self, gate: usize, fingerprints: &[Fingerprint]) -> Vec<WorkId> {
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
    pub(crate) fn end_server(&mut self, gate: usize, works: &[WorkId]) {
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

    pub(crate) fn revive(&mut self, gate: usize) {
        self.mesh.run(DOWN);
        let control = self.controls[gate];
        self.mesh.announce(control, SERVICE, MemberState::Serving);
        self.mesh.run(Duration::from_millis(300));
    }

    /// Verdicts of all gates on a request; a run that begins ends without an answer.
    pub(crate) fn verdicts(&mut self, fingerprint: Fingerprint) -> Vec<RunVerdict> {
        let gates = 0..self.gates_count;
        let verdicts = gates.map(|gate| {
            let (work, verdict) = self.begin(gate, fingerprint);
            self.end(gate, RunInput::NotRun { work });
            verdict
        });
        verdicts.collect()
    }

    pub(crate) fn are_refused(&mut self, fingerprint: Fingerprint) -> bool {
        let verdicts = self.verdicts(fingerprint);
        verdicts
            .iter()
            .all(|verdict| *verdict == RunVerdict::Refuse)
    }

    pub(crate) fn are_run(&mut self, fingerprint: Fingerprint) -> bool {
        let verdicts = self.verdicts(fingerprint);
        verdicts.iter().all(|verdict| *verdict == RunVerdict::Run)
    }

    pub(crate) fn start_anew(&mut self, gate: usize) {
        let control = self.controls[gate];
        let seed = self.controls[(gate + 1) % self.controls.len()];
        let data_centre = self.mesh.hosts[&control].data_centre.clone();
        self.mesh.start(control, &data_centre, 2, vec![seed]);
        self.mesh.announce(control, SERVICE, MemberState::Serving);
    }

    /// Two gates of each of two services, in three data centres; routes are split over them.
    pub(crate) fn start_split(seed: u64) -> Self {
        Self::start_split_over(seed, &[SERVICE, OTHER_SERVICE])
    }

    /// Two gates of each service, in three data centres; routes are split over them.
    pub(crate) fn start_split_over(seed: u64, services: &[&str]) -> Self {
        let mut gates = Self::start_large(seed, 2, services.len() * 2 - 2);
        gates.gates_count = gates.controls.len();
        for gate in 0..gates.gates_count {
            let own = services[gate / 2];
            let others = services.iter().filter(|other| **other != own);
            let input = Input::SiblingServices(others.map(|other| String::from(*other)).collect());
            let control = gates.controls[gate];
            gates.mesh.announce(control, own, MemberState::Serving);
            gates.mesh.handle(control, input);
        }
        gates.mesh.run(Duration::from_secs(2));
        gates
    }

    pub(crate) fn revive_as(&mut self, gate: usize, service: &str) {
        self.mesh.run(DOWN);
        let control = self.controls[gate];
        self.mesh.announce(control, service, MemberState::Serving);
        self.mesh.run(Duration::from_millis(300));
    }
}

pub(crate) fn innocents(from: u64, count: u64) -> Vec<Fingerprint> {
    (FIRST_INNOCENT + from..FIRST_INNOCENT + from + count).collect()
}
