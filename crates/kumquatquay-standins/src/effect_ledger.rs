//! What really ran, held against what callers were told.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use serde::Serialize;

/// Number of a run in an [`EffectLedger`].
pub type RunId = usize;

/// One run of a call by a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Marker of the call.
    pub marker: String,
    /// Service of the backend server.
    pub service: String,
    /// Effect of a non-idempotent call.
    pub effect: Option<String>,
    /// Time that the backend server spent on it so far.
    pub busy: Duration,
}

/// How often a promise was broken; all zero is the only good value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PromiseReport {
    /// Effects that ran more than once.
    pub ran_twice: usize,
    /// Answers that belonged to another call, or to no call.
    pub foreign_answers: usize,
    /// Calls that ran though their caller was told that they did not.
    pub not_run_but_ran: usize,
}

impl PromiseReport {
    /// Whether no promise was broken.
    pub fn is_kept(&self) -> bool {
        *self == Self::default()
    }
}

/// Record of all runs, effects and answers of one experiment.
///
/// It is shared by all backend servers and load generators, and grows with
/// the number of calls until it is dropped; experiments are bounded in both.
///
/// # Examples
///
/// ```
/// use kumquatquay_standins::EffectLedger;
///
/// let ledger = EffectLedger::default();
/// ledger.started("m1", "settlement", Some("filing-7"));
/// ledger.started("m2", "settlement", Some("filing-7"));
/// assert_eq!(ledger.report().ran_twice, 1);
/// ```
#[derive(Debug, Default)]
pub struct EffectLedger {
    entries: Mutex<Entries>,
}

#[derive(Debug, Default)]
struct Entries {
    runs: Vec<Run>,
    arrivals: BTreeMap<String, u32>,
    told_not_run: BTreeMap<String, String>,
    foreign_answers: usize,
}

impl EffectLedger {
    /// Notes that a call reached a backend server, run or not.
    pub fn arrived(&self, marker: &str) {
        let root = root_of(marker).to_owned();
        *self.lock().arrivals.entry(root).or_default() += 1;
    }

    /// Notes that a backend server begins to run a call.
    pub fn started(&self, marker: &str, service: &str, effect: Option<&str>) -> RunId {
        let mut entries = self.lock();
        entries.runs.push(Run {
            marker: marker.to_owned(),
            service: service.to_owned(),
            effect: effect.map(str::to_owned),
            busy: Duration::ZERO,
        });
        entries.runs.len() - 1
    }

    /// Adds to the time that a backend server spent on a run.
    pub fn spent(&self, run: RunId, busy: Duration) {
        if let Some(run) = self.lock().runs.get_mut(run) {
            run.busy += busy;
        }
    }

    /// Notes that a caller was told that its call was not run, and why.
    pub fn told_not_run(&self, marker: &str, reason: &str) {
        let mut entries = self.lock();
        entries
            .told_not_run
            .insert(marker.to_owned(), reason.to_owned());
    }

    /// Notes an answer that was not the caller's own.
    pub fn answered_foreign(&self) {
        self.lock().foreign_answers += 1;
    }

    /// Counts the broken promises so far.
    pub fn report(&self) -> PromiseReport {
        let entries = self.lock();
        let ran: BTreeSet<&str> = entries.runs.iter().map(|run| run.marker.as_str()).collect();
        let told = entries.told_not_run.keys();
        PromiseReport {
            ran_twice: run_twice(&entries.runs).len(),
            foreign_answers: entries.foreign_answers,
            not_run_but_ran: told.filter(|marker| ran.contains(marker.as_str())).count(),
        }
    }

    /// Sentences on some of the broken promises, to look into them.
    pub fn describe_broken(&self, limit_count: usize) -> Vec<String> {
        let entries = self.lock();
        let twice = run_twice(&entries.runs)
            .into_iter()
            .map(|(service, effect)| format!("effect {effect} ran more than once at {service}"));
        let ran: BTreeMap<&str, &Run> = entries
            .runs
            .iter()
            .map(|run| (run.marker.as_str(), run))
            .collect();
        let told = entries.told_not_run.iter().filter_map(|(marker, reason)| {
            let service = &ran.get(marker.as_str())?.service;
            Some(format!(
                "{marker} ran at {service} and was told not-run: {reason}"
            ))
        });
        twice.chain(told).take(limit_count).collect()
    }

    /// Times that calls of each whole request reached a backend server, by
    /// the marker at the entry.
    pub fn arrivals_by_request(&self) -> BTreeMap<String, u32> {
        self.lock().arrivals.clone()
    }

    /// Time that backend servers spent on each whole request, by the marker
    /// at the entry.
    pub fn busy_by_request(&self) -> BTreeMap<String, Duration> {
        let mut busy: BTreeMap<String, Duration> = BTreeMap::new();
        for run in &self.lock().runs {
            *busy.entry(root_of(&run.marker).to_owned()).or_default() += run.busy;
        }
        busy
    }

    /// All runs of one effect.
    pub fn runs_of_effect(&self, effect: &str) -> Vec<Run> {
        let entries = self.lock();
        let is_meant = |run: &&Run| run.effect.as_deref() == Some(effect);
        entries.runs.iter().filter(is_meant).cloned().collect()
    }

    /// Number of runs by a service.
    pub fn runs_count(&self, service: &str) -> usize {
        let entries = self.lock();
        entries
            .runs
            .iter()
            .filter(|run| run.service == service)
            .count()
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().expect("no holder of the ledger panics")
    }
}

/// The pairs of service and effect that ran more than once.
fn run_twice(runs: &[Run]) -> Vec<(&str, &str)> {
    let mut counts: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for run in runs {
        if let Some(effect) = &run.effect {
            *counts.entry((&run.service, effect)).or_default() += 1;
        }
    }
    let twice = counts.into_iter().filter(|(_, count)| *count > 1);
    twice.map(|(effect, _)| effect).collect()
}

/// Marker at the entry of the request that a call belongs to.
fn root_of(marker: &str) -> &str {
    marker.split('/').next().unwrap_or(marker)
}
