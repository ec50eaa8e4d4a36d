//! Callers who send requests all the time to the gates of one service, in virtual time.

use std::{collections::BTreeMap, time::Duration};

use kumquatquay_core::{RunInput, RunVerdict, WorkId};
use kumquatquay_wire::{Fingerprint, MemberState};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IteratorRandom};

use crate::gates::{CRASH_AFTER, DOWN, Gates, SERVICE};

/// Length of a step.
const STEP: Duration = Duration::from_millis(10);

/// How long a request that crashes nothing runs.
const RUN_TIME: Duration = Duration::from_millis(20);

/// How long a caller waits for a gate that takes its request.
const PATIENCE: Duration = Duration::from_millis(600);

/// Runs that began later than this after the third crash are late.
const LATE_AFTER: Duration = Duration::from_secs(3);

/// What callers send.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Path {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) per_s: f64,
    /// When it begins to crash the servers that run it, from the start of the load.
    pub(crate) crashes_from: Option<Duration>,
    /// Whether its runs end in an error answer.
    pub(crate) fails: bool,
}

impl Path {
    pub(crate) fn innocent(fingerprint: Fingerprint, per_s: f64) -> Self {
        Self {
            fingerprint,
            per_s,
            crashes_from: None,
            fails: false,
        }
    }

    pub(crate) fn crashing(fingerprint: Fingerprint, per_s: f64, from_s: u64) -> Self {
        Self {
            crashes_from: Some(Duration::from_secs(from_s)),
            ..Self::innocent(fingerprint, per_s)
        }
    }
}

/// What became of the requests of one path.
#[derive(Clone, Debug, Default)]
pub(crate) struct PathRecord {
    pub(crate) sent_count: usize,
    pub(crate) answered_count: usize,
    pub(crate) quarantined_count: usize,
    /// Requests that no gate took in time, though a server lived all the while.
    pub(crate) not_taken_count: usize,
    /// Starts of the runs since it crashes servers.
    crashing_runs: Vec<Duration>,
    crashes: Vec<Duration>,
}

impl PathRecord {
    /// Runs that began long after the third crash.
    pub(crate) fn late_runs_count(&self) -> usize {
        let Some(third) = self.crashes.get(2) else {
            return 0;
        };
        let runs = self.crashing_runs.iter();
        runs.filter(|start| **start > *third + LATE_AFTER).count()
    }

    pub(crate) fn crashes_count(&self) -> usize {
        self.crashes.len()
    }
}

struct Waiting {
    path: Path,
    since: Duration,
}

struct Running {
    work: WorkId,
    path: Path,
    ends: Duration,
    crashes: bool,
}

/// Callers, and the servers behind the gates.
pub(crate) struct Load {
    pub(crate) gates: Gates,
    paths: Vec<Path>,
    records: BTreeMap<Fingerprint, PathRecord>,
    waiting: Vec<Waiting>,
    running: Vec<Vec<Running>>,
    /// When the server of a gate is back; `None` while it lives.
    back_at: Vec<Option<Duration>>,
    last_dead_at: Duration,
    began: Duration,
    random: StdRng,
}

impl Load {
    pub(crate) fn new(gates: Gates, paths: &[Path], seed: u64) -> Self {
        let gates_count = gates.gates_count;
        Self {
            began: gates.mesh.now,
            paths: paths.to_vec(),
            records: BTreeMap::new(),
            waiting: Vec::new(),
            running: (0..gates_count).map(|_| Vec::new()).collect(),
            back_at: vec![None; gates_count],
            last_dead_at: Duration::ZERO,
            random: StdRng::seed_from_u64(seed),
            gates,
        }
    }

    pub(crate) fn record(&self, fingerprint: Fingerprint) -> PathRecord {
        let record = self.records.get(&fingerprint);
        record.cloned().unwrap_or_default()
    }

    pub(crate) fn run(&mut self, seconds: u64) {
        let end = self.gates.mesh.now + Duration::from_secs(seconds);
        while self.gates.mesh.now < end {
            self.step();
        }
    }

    /// Servers of these gates end for no reason of a request's.
    pub(crate) fn end_from_outside(&mut self, gates: impl IntoIterator<Item = usize>) {
        for gate in gates {
            self.end_server(gate);
        }
    }

    fn step(&mut self) {
        let now = self.gates.mesh.now;
        for gate in 0..self.back_at.len() {
            if self.back_at[gate].is_some_and(|back_at| now >= back_at) {
                self.back_at[gate] = None;
                let control = self.gates.controls[gate];
                self.gates
                    .mesh
                    .announce(control, SERVICE, MemberState::Serving);
            }
        }
        if self.back_at.iter().all(Option::is_some) {
            self.last_dead_at = now;
        }
        self.end_runs(now);
        for path in self.paths.clone() {
            if self.random.random_bool(path.per_s * STEP.as_secs_f64()) {
                self.record_of(path).sent_count += 1;
                self.waiting.push(Waiting { path, since: now });
            }
        }
        for waiting in std::mem::take(&mut self.waiting) {
            self.offer(now, waiting);
        }
        self.gates.mesh.run(STEP);
    }

    fn record_of(&mut self, path: Path) -> &mut PathRecord {
        self.records.entry(path.fingerprint).or_default()
    }

    /// Sends a request to one gate with a server; it waits if that doesn't take it.
    fn offer(&mut self, now: Duration, waiting: Waiting) {
        let path = waiting.path;
        if now > waiting.since + PATIENCE {
            let lived = self.last_dead_at < waiting.since;
            self.record_of(path).not_taken_count += usize::from(lived);
            return;
        }
        let alive = (0..self.back_at.len()).filter(|gate| self.back_at[*gate].is_none());
        let Some(gate) = alive.choose(&mut self.random) else {
            self.waiting.push(waiting);
            return;
        };
        let (work, verdict) = self.gates.begin(gate, path.fingerprint);
        match verdict {
            RunVerdict::Refuse => self.record_of(path).quarantined_count += 1,
            RunVerdict::Busy => self.waiting.push(waiting),
            RunVerdict::Run => {
                let from = path.crashes_from.map(|from| self.began + from);
                let crashes = from.is_some_and(|from| now >= from);
                if crashes {
                    self.record_of(path).crashing_runs.push(now);
                }
                let time = if crashes { CRASH_AFTER } else { RUN_TIME };
                self.running[gate].push(Running {
                    work,
                    path,
                    ends: now + time,
                    crashes,
                });
            }
        }
    }

    fn end_runs(&mut self, now: Duration) {
        for gate in 0..self.running.len() {
            let runs = std::mem::take(&mut self.running[gate]);
            let (ended, running) = runs.into_iter().partition(|run| now >= run.ends);
            self.running[gate] = running;
            let (crashing, answered): (Vec<Running>, Vec<Running>) =
                Vec::into_iter(ended).partition(|run: &Running| run.crashes);
            for run in answered {
                self.record_of(run.path).answered_count += 1;
                let work = run.work;
                let input = if run.path.fails {
                    RunInput::Failed { work }
                } else {
                    RunInput::Answered { work }
                };
                self.gates.end(gate, input);
            }
            if !crashing.is_empty() {
                self.running[gate].extend(crashing);
                self.end_server(gate);
            }
        }
    }

    fn end_server(&mut self, gate: usize) {
        let now = self.gates.mesh.now;
        if self.back_at[gate].replace(now + DOWN).is_some() {
            return;
        }
        let runs = std::mem::take(&mut self.running[gate]);
        let mut blamed: Vec<Path> = runs
            .iter()
            .filter(|run| run.crashes)
            .map(|run| run.path)
            .collect();
        blamed.dedup_by_key(|path| path.fingerprint);
        for path in blamed {
            self.record_of(path).crashes.push(now);
        }
        let works: Vec<WorkId> = runs.iter().map(|run| run.work).collect();
        self.gates.end_server(gate, &works);
    }
}
