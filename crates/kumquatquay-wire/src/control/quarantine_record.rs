//! Records of requests that crash backend servers.

use serde::{Deserialize, Serialize};

use crate::{CrashId, Fingerprint, ServiceName};

/// A crash of a backend server while a request with the fingerprint was running.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// Id of the crash.
    pub id: CrashId,
    /// Service of the backend server.
    pub service: ServiceName,
    /// Score in thousandths: 1000 divided by the number of suspects that were in flight, or of those that
    /// had the most crashes behind them if it was one of these, they had two at least and it ran isolated.
    ///
    /// For a request that ran well at the same backend server host shortly before it is
    /// [`Evidence::RAN_WELL_SCORE_MILLI`] if it ran isolated and would have the highest score, else 0.
    pub score_milli: u16,
    /// Whether it no longer counts: a request with the fingerprint ran successfully at the service
    /// afterwards, or an operator released it.
    pub is_cleared: bool,
}

/// What is known against the requests with one fingerprint.
///
/// Records of the same fingerprint are merged by the union of their crashes, so that two nodes
/// that observed one crash each arrive at two, independent of the order of the updates. A crash
/// that is cleared in either record is cleared.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// Fingerprint of the requests.
    pub fingerprint: Fingerprint,
    /// Crashes, ordered by id.
    pub crashes: Vec<Crash>,
    /// Services at which such a request ran to an answer since it was suspected, in order. Crashes at
    /// other services don't count there.
    pub ran_at: Vec<ServiceName>,
    /// Time until the record expires, as of when it was sent, in milliseconds.
    pub remaining_ms: u32,
}

/// The crashes of a record that count, summed up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Number of the crashes.
    pub crashes_count: usize,
    /// Number of those with a score.
    pub blamed_count: usize,
    /// Number of those with [`Evidence::RAN_WELL_SCORE_MILLI`] or more.
    pub alone_count: usize,
    /// Sum of their scores, in thousandths.
    pub score_milli: u32,
    /// The highest of their scores, in thousandths.
    pub highest_score_milli: u16,
}

impl QuarantineRecord {
    /// Maximum number of crashes in a record.
    pub const CRASHES_LIMIT_COUNT: usize = 8;

    /// Maximum number of services in [`QuarantineRecord::ran_at`].
    pub const RAN_AT_LIMIT_COUNT: usize = 8;

    /// The crashes that aren't cleared.
    pub fn counting_crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|crash| !crash.is_cleared)
    }

    /// Evidence that counts at a service.
    ///
    /// A request that crashes the backend servers of one service is taken to crash those of others, to
    /// which its route may be split or moved, until it runs well there. Once a crash there counts too, those of
    /// others count with it, but without their scores; with them once a crash there names it alone.
    pub fn evidence_at(&self, service: &str) -> Evidence {
        if !self.ran_at.iter().any(|ran_at| ran_at == service) {
            return self.evidence();
        }
        let is_there = |crash: &&Crash| crash.service == service;
        let there: Evidence = self.counting_crashes().filter(is_there).collect();
        if there.crashes_count == 0 {
            return there;
        }
        if there.alone_count > 0 {
            return self.evidence();
        }
        Evidence {
            crashes_count: self.counting_crashes().count(),
            ..there
        }
    }

    /// Evidence that counts at a service at which it hasn't run.
    pub fn evidence(&self) -> Evidence {
        self.counting_crashes().collect()
    }

    /// Services whose backend servers crashed, by the crashes that count, in order.
    pub fn services(&self) -> Vec<&str> {
        let crashes = self.counting_crashes();
        let mut services: Vec<&str> = crashes.map(|crash| &*crash.service).collect();
        services.sort_unstable();
        services.dedup();
        services
    }
}

impl<'a> FromIterator<&'a Crash> for Evidence {
    fn from_iter<T: IntoIterator<Item = &'a Crash>>(crashes: T) -> Self {
        crashes
            .into_iter()
            .fold(Self::default(), |sum, crash| Self {
                crashes_count: sum.crashes_count + 1,
                blamed_count: sum.blamed_count + usize::from(crash.score_milli > 0),
                alone_count: sum.alone_count
                    + usize::from(crash.score_milli >= Self::RAN_WELL_SCORE_MILLI),
                score_milli: sum.score_milli + u32::from(crash.score_milli),
                highest_score_milli: sum.highest_score_milli.max(crash.score_milli),
            })
    }
}

impl Evidence {
    /// Number of crashes with a score from which on requests with the fingerprint are refused, whatever
    /// else was in flight.
    pub const CRASHES_TO_QUARANTINE_COUNT: usize = 5;

    /// Number of crashes with a score from which on they are refused if one of the crashes names them
    /// alone, with [`Evidence::ALONE_SCORE_MILLI`].
    pub const CLEAR_CRASHES_COUNT: usize = 2;

    /// Number of crashes that name them alone from which on they are refused, though they ran well
    /// shortly before.
    pub const RAN_WELL_CRASHES_COUNT: usize = 2;

    /// Number of crashes from which on they run at one backend server of the service.
    pub const ONE_GATE_CRASHES_COUNT: usize = 3;

    /// Score of the only suspect of a crash. Those that were in flight at the same crashes never reach it
    /// together, however many these are: one of them may be innocent.
    pub const ALONE_SCORE_MILLI: u16 = 1_000;

    /// Score of the only suspect of a crash that ran isolated, if it ran well shortly before.
    ///
    /// A path that many send is in flight at each crash. It is refused only if two backend servers end
    /// under a run of it that is the only one of a suspect, and no run of it is answered in between.
    pub const RAN_WELL_SCORE_MILLI: u16 = 999;

    /// Score from which on one crash is strong evidence: one of two suspects.
    pub const STRONG_SCORE_MILLI: u32 = 500;

    /// Whether there are crashes that count, but too few for a quarantine.
    pub fn is_suspect(self) -> bool {
        self.crashes_count > 0 && !self.is_quarantined()
    }

    /// Whether it makes a suspect of which requests run one at a time.
    ///
    /// With many requests in flight a crash says little of each of them. If all of them ran one at a
    /// time, the crash of one backend server would hold up a hundred unrelated requests.
    pub fn is_isolated(self) -> bool {
        let has_strong_evidence = self.crashes_count >= Self::CLEAR_CRASHES_COUNT
            || self.score_milli >= Self::STRONG_SCORE_MILLI;
        self.is_suspect() && has_strong_evidence
    }

    /// Whether requests with the fingerprint are refused.
    pub fn is_quarantined(self) -> bool {
        let is_clear = self.blamed_count >= Self::CLEAR_CRASHES_COUNT
            && self.highest_score_milli >= Self::ALONE_SCORE_MILLI;
        is_clear
            || self.alone_count >= Self::RAN_WELL_CRASHES_COUNT
            || self.blamed_count >= Self::CRASHES_TO_QUARANTINE_COUNT
    }

    /// Whether its requests run one at a time or are refused.
    pub fn is_strong(self) -> bool {
        self.is_isolated() || self.is_quarantined()
    }
}
