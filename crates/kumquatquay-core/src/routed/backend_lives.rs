//! Determines the current life of the backend server of this host.

use std::{collections::HashMap, time::Duration};

use derive_more::{Display, Error};
use kumquatquay_wire::{BackendLife, ServiceName};

/// Maximum number of lives that are kept; a host starts few backend servers between its own
/// restarts.
const LIVES_LIMIT_COUNT: usize = 256;

/// A report of a backend server about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LifeReport {
    /// Life that it is about.
    pub life: BackendLife,
    /// Service that the backend server belongs to.
    pub service: ServiceName,
    /// Calls that the backend server runs concurrently.
    pub slots_count: usize,
    /// Whether the backend server accepts calls.
    pub state: LifeState,
    /// Number that grows with each report of one life.
    pub sequence: u64,
    /// Time for which the backend server will still be slow after its start.
    pub warm_up_left: Duration,
}

/// State of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LifeState {
    /// It accepts calls.
    Serving,
    /// It finishes its calls and accepts no new ones.
    Draining,
    /// It has reported that it leaves, or was found dead.
    Gone,
}

/// Why a report is rejected: it can't be from the backend server of this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum ReportError {
    /// It lacks the start of its life, which earlier reports had.
    #[display("it doesn't tell when its life began, as the reports before did")]
    MissingStart,
}

/// Lives of the backend server of this host, one of which is current. A life is the time from a
/// start of the backend server to its end.
///
/// A report of a life that has ended may arrive late, after the first report of the next life. If
/// it were applied, calls would be sent to the ended life, and each would be rejected. If both
/// lives have the same id, the earlier life's report that it leaves would prevent all calls to the
/// later one. So a life is identified by its id and its start, and the one that started
/// last is current. Lives without a known start are ordered by their first report. A life that
/// another one has superseded doesn't become current again by a report, but only by an answer of
/// the backend server itself ([`BackendLives::on_answer_from`]).
#[derive(Debug, Default)]
pub struct BackendLives {
    lives: HashMap<BackendLife, Life>,
    current: Option<LifeReport>,
    leaving_since: Option<Duration>,
    /// Latest start of a life that has been current.
    last_born_unix_ms: Option<u64>,
}

#[derive(Debug, Default)]
struct Life {
    leaving_since: Option<Duration>,
    /// Newest report; `None` if the life has only reported that it leaves.
    report: Option<LifeReport>,
    is_superseded: bool,
}

impl BackendLives {
    /// Applies a report. Returns whether the current life, its state or its slots change.
    ///
    /// # Errors
    ///
    /// [`ReportError`] if the report can't be from this backend server; nothing changes then.
    pub fn on_report(&mut self, now: Duration, report: LifeReport) -> Result<bool, ReportError> {
        if report.life.born_unix_ms.is_none() && self.last_born_unix_ms.is_some() {
            return Err(ReportError::MissingStart);
        }
        self.evict_unused();
        let id = report.life.clone();
        let is_past = id.born_unix_ms < self.last_born_unix_ms;
        let life = self.lives.entry(id.clone()).or_default();
        let is_late = life.is_newer_than(&report);
        let is_leaving = report.state > LifeState::Serving;
        if is_leaving {
            life.leaving_since.get_or_insert(now);
        }
        if is_late && !is_leaving {
            return Ok(false);
        }
        life.set_report(report);
        life.is_superseded |= is_past;
        if life.is_superseded {
            return Ok(false);
        }
        Ok(self.make_current(&id))
    }

    /// A life reports that it leaves, and nothing else. Returns whether the life was known.
    ///
    /// Without the start of a life, this applies to the last life with that id. It is recorded
    /// even if the life isn't known yet, since a report that was sent earlier may still be in
    /// transit.
    pub fn on_leave(&mut self, now: Duration, life: &BackendLife) -> bool {
        self.evict_unused();
        let id = match life.born_unix_ms {
            Some(_) => life.clone(),
            None => self.last_life_of(&life.instance).unwrap_or(life).clone(),
        };
        let is_known = self.lives.contains_key(&id);
        let life = self.lives.entry(id.clone()).or_default();
        life.leaving_since.get_or_insert(now);
        if let Some(report) = &mut life.report {
            report.state = LifeState::Gone;
        }
        if self.is_current(&id) {
            self.make_current(&id);
        }
        is_known
    }

    /// Whether a life has reported that it leaves.
    pub fn is_leaving(&self, life: &BackendLife) -> bool {
        let life = match life.born_unix_ms {
            Some(_) => life,
            None => self.last_life_of(&life.instance).unwrap_or(life),
        };
        let life = self.lives.get(life);
        life.is_some_and(|life| life.leaving_since.is_some())
    }

    /// The backend server answered with this id. Returns whether the current life changes.
    pub fn on_answer_from(&mut self, instance: &str) -> bool {
        let current = self.current.as_ref();
        if current.is_some_and(|current| current.life.instance == instance) {
            return false;
        }
        let Some(id) = self.last_life_of(instance).cloned() else {
            return false;
        };
        // An answer of the backend server itself overrides the order of the starts.
        self.last_born_unix_ms = id.born_unix_ms;
        if let Some(life) = self.lives.get_mut(&id) {
            life.is_superseded = false;
        }
        self.make_current(&id)
    }

    /// The backend server was found dead: nothing listens at its address, or it gives no answers.
    /// Its next report makes its life current again. Returns whether there was a current life.
    pub fn on_dead(&mut self) -> bool {
        self.leaving_since = None;
        self.current.take().is_some()
    }

    /// Newest report of the current life.
    pub fn current(&self) -> Option<&LifeReport> {
        self.current.as_ref()
    }

    /// Whether calls for a life may be sent to the backend server, which accepts calls for `drain`
    /// after it has reported that it leaves. `None` stands for any life.
    pub fn may_run(&self, now: Duration, life: Option<&BackendLife>, drain: Duration) -> bool {
        let Some(current) = &self.current else {
            return false;
        };
        let is_current = life.is_none_or(|life| *life == current.life);
        is_current && self.leaving_since.is_none_or(|since| now < since + drain)
    }

    fn is_current(&self, life: &BackendLife) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|current| current.life == *life)
    }

    /// The life with this id that started last.
    fn last_life_of(&self, instance: &str) -> Option<&BackendLife> {
        let lives = self.lives.keys().filter(|life| life.instance == instance);
        lives.max_by_key(|life| life.born_unix_ms)
    }

    fn make_current(&mut self, life: &BackendLife) -> bool {
        let Some(Some(report)) = self.lives.get(life).map(|life| life.report.clone()) else {
            return false;
        };
        if let Some(current) = &self.current
            && current.life != *life
            && let Some(superseded) = self.lives.get_mut(&current.life)
        {
            superseded.is_superseded = true;
        }
        self.leaving_since = self.lives[life].leaving_since;
        self.last_born_unix_ms = self.last_born_unix_ms.max(life.born_unix_ms);
        let is_change = self.current.as_ref().is_none_or(|current| {
            current.life != report.life
                || current.state != report.state
                || current.slots_count != report.slots_count
        });
        self.current = Some(report);
        is_change
    }

    /// Evicts superseded lives, and those without a report, if there are too many lives.
    fn evict_unused(&mut self) {
        if self.lives.len() < LIVES_LIMIT_COUNT {
            return;
        }
        let current = self.current.as_ref().map(|current| current.life.clone());
        self.lives.retain(|id, life| {
            let is_in_use = !life.is_superseded && life.report.is_some();
            is_in_use || Some(id) == current.as_ref()
        });
    }
}

impl Life {
    /// Whether the known report is newer than this one.
    fn is_newer_than(&self, report: &LifeReport) -> bool {
        let known = self.report.as_ref();
        known.is_some_and(|known| report.sequence < known.sequence)
    }

    /// Stores a report; a life that leaves stays draining, whatever the report says.
    fn set_report(&mut self, mut report: LifeReport) {
        if let Some(known) = &self.report {
            report.sequence = report.sequence.max(known.sequence);
        }
        if self.leaving_since.is_some() && report.state == LifeState::Serving {
            report.state = LifeState::Draining;
        }
        self.report = Some(report);
    }
}
