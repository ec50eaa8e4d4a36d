//! Which life of the backend server of this host counts.

use std::{collections::HashMap, time::Duration};

use derive_more::{Display, Error};
use kumquatquay_wire::{BackendLife, ServiceName};

/// Lives that are remembered; a host starts few backend servers in its own life.
const LIVES_LIMIT_COUNT: usize = 256;

/// What a backend server says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LifeReport {
    /// Which life says it.
    pub life: BackendLife,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Calls that it runs at the same time.
    pub slots_count: usize,
    /// Whether it stays.
    pub state: LifeState,
    /// Grows with each report of one life.
    pub sequence: u64,
    /// How much longer it is slow after its start.
    pub warm_up_left: Duration,
}

/// Whether a backend server stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LifeState {
    /// It takes calls.
    Serving,
    /// It finishes what it has.
    Draining,
    /// It has said that it leaves, or was found dead.
    Gone,
}

/// A report that can't be of the backend server of this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum ReportError {
    /// It doesn't tell the start of its life, as those before did.
    #[display("it doesn't tell when its life began, as the reports before did")]
    MissingStart,
}

/// The lives of the backend server of this host, and the one that counts.
///
/// A report of a life that has ended may arrive late, after the next life's first.
/// Taken for news it would send calls to a life that isn't there, each of them
/// turned away; where the lives share their id, a leaving of the one before would
/// keep the next one from ever being called. So a life is told by its id and its
/// start, and the one that started last counts. Those that don't tell their start are
/// ordered by their first report here. One that another has displaced doesn't come
/// back by a report: only an answer that the backend server itself gives brings it
/// back ([`BackendLives::on_answer_from`]).
#[derive(Debug, Default)]
pub struct BackendLives {
    lives: HashMap<BackendLife, Life>,
    current: Option<LifeReport>,
    leaving_since: Option<Duration>,
    /// The latest start of a life that has counted.
    last_born_unix_ms: Option<u64>,
}

#[derive(Debug, Default)]
struct Life {
    leaving_since: Option<Duration>,
    /// The newest report; none where only its leaving was heard of.
    report: Option<LifeReport>,
    is_displaced: bool,
}

impl BackendLives {
    /// Takes in a report; whether it changes what counts.
    ///
    /// # Errors
    ///
    /// Why it can't be of this backend server; nothing has changed then.
    pub fn on_report(&mut self, now: Duration, report: LifeReport) -> Result<bool, ReportError> {
        if report.life.born_unix_ms.is_none() && self.last_born_unix_ms.is_some() {
            return Err(ReportError::MissingStart);
        }
        self.make_room();
        let id = report.life.clone();
        let is_of_the_past = id.born_unix_ms < self.last_born_unix_ms;
        let life = self.lives.entry(id.clone()).or_default();
        let is_late = life.is_newer_than(&report);
        let is_leaving = report.state > LifeState::Serving;
        if is_leaving {
            life.leaving_since.get_or_insert(now);
        }
        if is_late && !is_leaving {
            return Ok(false);
        }
        life.take_report(report);
        life.is_displaced |= is_of_the_past;
        if life.is_displaced {
            return Ok(false);
        }
        Ok(self.make_current(&id))
    }

    /// A life says that it leaves, without more about itself; whether it was known.
    ///
    /// A leaving that doesn't tell the start of its life is of the last one with that
    /// id. It is kept though the life isn't known yet: a report that it sent before may
    /// still be on its way.
    pub fn on_leave(&mut self, now: Duration, life: &BackendLife) -> bool {
        self.make_room();
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

    /// Whether a life has said that it leaves.
    pub fn is_leaving(&self, life: &BackendLife) -> bool {
        let life = match life.born_unix_ms {
            Some(_) => life,
            None => self.last_life_of(&life.instance).unwrap_or(life),
        };
        let life = self.lives.get(life);
        life.is_some_and(|life| life.leaving_since.is_some())
    }

    /// The backend server answered in the name of an id; whether that changes what
    /// counts.
    pub fn on_answer_from(&mut self, instance: &str) -> bool {
        let current = self.current.as_ref();
        if current.is_some_and(|current| current.life.instance == instance) {
            return false;
        }
        let Some(id) = self.last_life_of(instance).cloned() else {
            return false;
        };
        // What the backend server says itself goes before the order of the starts.
        self.last_born_unix_ms = id.born_unix_ms;
        if let Some(life) = self.lives.get_mut(&id) {
            life.is_displaced = false;
        }
        self.make_current(&id)
    }

    /// Nothing listens at the backend server's address any more; whether that
    /// changes what counts. Its next report brings it back.
    pub fn on_dead(&mut self) -> bool {
        self.leaving_since = None;
        self.current.take().is_some()
    }

    /// The life that counts.
    pub fn current(&self) -> Option<&LifeReport> {
        self.current.as_ref()
    }

    /// Whether calls for a life may be handed to the backend server, which goes on
    /// for `drain` after it has said that it leaves.
    pub fn may_run(&self, now: Duration, life: Option<&BackendLife>, drain: Duration) -> bool {
        let Some(current) = &self.current else {
            return false;
        };
        let is_meant = life.is_none_or(|life| *life == current.life);
        is_meant && self.leaving_since.is_none_or(|since| now < since + drain)
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
            && let Some(displaced) = self.lives.get_mut(&current.life)
        {
            displaced.is_displaced = true;
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

    fn make_room(&mut self) {
        if self.lives.len() < LIVES_LIMIT_COUNT {
            return;
        }
        let current = self.current.as_ref().map(|current| current.life.clone());
        self.lives.retain(|id, life| {
            let is_of_use = !life.is_displaced && life.report.is_some();
            is_of_use || Some(id) == current.as_ref()
        });
    }
}

impl Life {
    fn is_newer_than(&self, report: &LifeReport) -> bool {
        let known = self.report.as_ref();
        known.is_some_and(|known| report.sequence < known.sequence)
    }

    fn take_report(&mut self, mut report: LifeReport) {
        if let Some(known) = &self.report {
            report.sequence = report.sequence.max(known.sequence);
        }
        if self.leaving_since.is_some() && report.state == LifeState::Serving {
            report.state = LifeState::Draining;
        }
        self.report = Some(report);
    }
}
