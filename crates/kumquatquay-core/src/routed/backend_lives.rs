//! Which life of the backend server of this host counts.

use std::{collections::HashMap, time::Duration};

use kumquatquay_wire::{InstanceId, ServiceName};

/// Lives that are remembered; a host starts few backend servers in its own life.
const LIVES_LIMIT_COUNT: usize = 256;

/// What a backend server says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LifeReport {
    /// Which life says it.
    pub instance: InstanceId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Calls that it runs at the same time.
    pub slots_count: usize,
    /// Whether it stays.
    pub state: LifeState,
    /// Grows with each report of one life.
    pub sequence: u64,
    /// How much longer it is slow after its start.
    pub cold: Duration,
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

/// The lives of the backend server of this host, and the one that counts.
///
/// A report of a life that has ended may arrive late, after the next life's first.
/// Taken for news it would send calls to a life that isn't there, each of them
/// turned away. So lives are ordered by their first report here, and one that
/// another has displaced doesn't come back by a report: only an answer that the
/// backend server itself gives brings it back ([`BackendLives::on_answered_as`]).
#[derive(Debug, Default)]
pub struct BackendLives {
    lives: HashMap<InstanceId, Life>,
    current: Option<LifeReport>,
    leaving_since: Option<Duration>,
}

#[derive(Debug)]
struct Life {
    sequence: u64,
    leaving_since: Option<Duration>,
    report: LifeReport,
    is_displaced: bool,
}

impl BackendLives {
    /// Takes in a report; whether it changes what counts.
    pub fn on_report(&mut self, now: Duration, report: LifeReport) -> bool {
        self.make_room();
        let is_new = !self.lives.contains_key(&report.instance);
        let life = self.lives.entry(report.instance.clone()).or_insert(Life {
            sequence: report.sequence,
            leaving_since: None,
            report: report.clone(),
            is_displaced: false,
        });
        let is_late = !is_new && report.sequence < life.sequence;
        let is_leaving = report.state > LifeState::Serving;
        if is_leaving {
            life.leaving_since.get_or_insert(now);
        }
        if is_late && !is_leaving {
            return false;
        }
        life.sequence = life.sequence.max(report.sequence);
        life.report.clone_from(&report);
        if life.leaving_since.is_some() && life.report.state == LifeState::Serving {
            life.report.state = LifeState::Draining;
        }
        if life.is_displaced {
            return false;
        }
        self.make_current(&report.instance)
    }

    /// A life says that it leaves, without more about itself; whether it was known.
    pub fn on_leave(&mut self, now: Duration, instance: &str) -> bool {
        let Some(life) = self.lives.get_mut(instance) else {
            return false;
        };
        life.leaving_since.get_or_insert(now);
        life.report.state = LifeState::Gone;
        if self.is_current(instance) {
            self.make_current(&InstanceId::from(instance));
        }
        true
    }

    /// The backend server answered in the name of a life; whether that changes
    /// what counts.
    pub fn on_answered_as(&mut self, instance: &str) -> bool {
        if self.is_current(instance) {
            return false;
        }
        let Some(life) = self.lives.get_mut(instance) else {
            return false;
        };
        life.is_displaced = false;
        self.make_current(&InstanceId::from(instance))
    }

    /// Nothing listens at the backend server's address any more; whether that
    /// changes what counts. Its next report brings it back.
    pub fn on_found_dead(&mut self) -> bool {
        self.leaving_since = None;
        self.current.take().is_some()
    }

    /// The life that counts.
    pub fn current(&self) -> Option<&LifeReport> {
        self.current.as_ref()
    }

    /// Whether calls for a life may be handed to the backend server, which goes on
    /// for `drain` after it has said that it leaves.
    pub fn may_run(&self, now: Duration, instance: Option<&str>, drain: Duration) -> bool {
        let Some(current) = &self.current else {
            return false;
        };
        let is_meant = instance.is_none_or(|instance| instance == current.instance);
        is_meant && self.leaving_since.is_none_or(|since| now < since + drain)
    }

    fn is_current(&self, instance: &str) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|current| current.instance == instance)
    }

    fn make_current(&mut self, instance: &InstanceId) -> bool {
        if let Some(current) = &self.current
            && current.instance != *instance
            && let Some(displaced) = self.lives.get_mut(&current.instance)
        {
            displaced.is_displaced = true;
        }
        let Some(life) = self.lives.get(instance) else {
            return false;
        };
        self.leaving_since = life.leaving_since;
        let is_change = self.current.as_ref().is_none_or(|current| {
            current.instance != life.report.instance
                || current.state != life.report.state
                || current.slots_count != life.report.slots_count
        });
        self.current = Some(life.report.clone());
        is_change
    }

    fn make_room(&mut self) {
        if self.lives.len() < LIVES_LIMIT_COUNT {
            return;
        }
        let current = self
            .current
            .as_ref()
            .map(|current| current.instance.clone());
        self.lives
            .retain(|instance, life| !life.is_displaced || Some(instance) == current.as_ref());
    }
}
