//! Determines the current life of the backend server of this host.

use std::{collections::HashMap, time::Duration};

use derive_more::{Display, Error};
use kumquatquay_wire::{BackendLife, ServiceName};

/// Maximum number of lives that are kept; a host starts few backend servers between its own
/// restarts.
const LIVES_LIMIT_COUNT: usize = 256;

/// By how much the number of a report that comes late is lower, at most. It is late by seconds, and
/// even if it is a time in nanoseconds, that is less than this: a day.
const LATE_SEQUENCE_RANGE: u64 = 100_000_000_000_000;

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

/// What a shutdown notice says of the life to which calls are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeScope {
    /// It is about the process that runs the calls.
    Current,
    /// It names the id of that process and an earlier start. Either it comes late from a process
    /// that has ended, or the clock was set back before the last start; only the backend server
    /// itself knows.
    Unclear,
    /// It is about another life that this host has known.
    Known,
    /// It is about a life of which this host knows nothing.
    Unknown,
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
/// the backend server itself ([`BackendLives::on_answer_from`], [`BackendLives::on_healthy`]).
///
/// Not everything that is learnt of a life tells its start: health checks and answers tell the id
/// alone. A shutdown notice applies to the current life whenever it may be about the process that
/// runs under its id. If that isn't certain, a report that contradicts it makes
/// [`BackendLives::needs_health_check`] true, and a passed check ends it.
#[derive(Debug, Default)]
pub struct BackendLives {
    lives: HashMap<BackendLife, Life>,
    current: Option<LifeReport>,
    /// Latest start of a life that has been current.
    last_born_unix_ms: Option<u64>,
    notices_count: u64,
}

#[derive(Debug, Default)]
struct Life {
    leaving: Option<Leaving>,
    /// Newest report; `None` if the life has only reported that it leaves.
    report: Option<LifeReport>,
    /// When it last reported that it accepts calls.
    serving_reported_at: Option<Duration>,
    is_superseded: bool,
    /// Whether the backend server has confirmed that another start of its id runs.
    has_ended: bool,
    /// Leaving of another start of its id, until the backend server confirms that this one is
    /// later.
    doubt: Option<Leaving>,
}

/// Shutdown of a life.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    /// When it was reported; `None` if that was so long ago that the drain is over.
    since: Option<Duration>,
    /// Whether the notice was about exactly this life.
    is_certain: bool,
}

impl Leaving {
    fn certain(now: Duration) -> Self {
        Self {
            since: Some(now),
            is_certain: true,
        }
    }

    /// One of which the drain is over.
    fn over(is_certain: bool) -> Self {
        Self {
            since: None,
            is_certain,
        }
    }

    /// Whether calls are still accepted.
    fn is_draining(&self, now: Duration, drain: Duration) -> bool {
        self.since.is_some_and(|since| now < since + drain)
    }
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
        let is_past = id.born_unix_ms < self.last_born_unix_ms || self.has_later_shutdown(&id);
        let applies = self.notice_scope(&id) == NoticeScope::Current;
        let inherited = self.inherited_leaving(&id);
        let doubt = self.other_shutdown(&id).filter(|_| !self.is_current(&id));
        let life = self.lives.entry(id.clone()).or_default();
        life.leaving = life.leaving.or(inherited);
        life.doubt = life.doubt.or(doubt);
        let is_late = life.is_newer_than(&report);
        let is_leaving = report.state > LifeState::Serving;
        if is_late && !is_leaving {
            return Ok(false);
        }
        life.set_report(now, report);
        let is_current_changed = is_leaving && self.record_leaving(now, &id, applies);
        let life = self.lives.entry(id.clone()).or_default();
        life.is_superseded |= is_past;
        if life.is_superseded {
            return Ok(is_current_changed);
        }
        Ok(self.make_current(&id) || is_current_changed)
    }

    /// A life reports that it leaves, and nothing else. Returns whether the life was known.
    ///
    /// Without the start of a life, this applies to the last life with that id. It is recorded
    /// even if the life isn't known yet, since a report that was sent earlier may still be in
    /// transit.
    pub fn on_leave(&mut self, now: Duration, life: &BackendLife) -> bool {
        self.evict_unused();
        let is_known = self.lives.keys().any(|known| known.may_equal(life));
        let id = match life.born_unix_ms {
            Some(_) => life.clone(),
            None => self.last_life_of(&life.instance).unwrap_or(life).clone(),
        };
        let applies = self.notice_scope(life) == NoticeScope::Current;
        let mut has_changed = self.record_leaving(now, &id, applies);
        if life.born_unix_ms.is_none() {
            has_changed |= self.record_leaving(now, life, applies);
        }
        if let Some(report) = self
            .lives
            .get_mut(&id)
            .and_then(|life| life.report.as_mut())
        {
            report.state = LifeState::Gone;
        }
        if self.is_current(&id) {
            has_changed |= self.make_current(&id);
        }
        is_known || has_changed
    }

    /// The process that runs under this id leaves, as its own answer says; its start is the one
    /// that is current. Returns whether it is current.
    pub fn on_leave_in_answer(&mut self, now: Duration, instance: &str) -> bool {
        self.evict_unused();
        let id = BackendLife::without_start(instance);
        let applies = self.notice_scope(&id) == NoticeScope::Current;
        let has_changed = self.record_leaving(now, &id, applies);
        let current = self.current.as_ref().filter(|_| applies);
        if let Some(id) = current.map(|current| current.life.clone()) {
            self.record_leaving(now, &id, true);
        }
        has_changed
    }

    /// A life leaves that may be the current one, although its start is earlier. Returns whether
    /// the current life changes.
    pub fn on_unclear_leave(&mut self, now: Duration, life: &BackendLife) -> bool {
        let applies = self.notice_scope(life) != NoticeScope::Unknown;
        self.record_leaving(now, life, applies)
    }

    /// An earlier process of this node, or another node that it told, knows that a life leaves.
    /// Its drain began before, so it gets no more calls. Returns whether it is current.
    ///
    /// It applies to that life, and to earlier starts of its id. Since then another process may have
    /// started, so [`needs_health_check`](Self::needs_health_check) may be true afterwards.
    pub fn on_recalled_leave(&mut self, life: &BackendLife) -> bool {
        self.evict_unused();
        self.notices_count += 1;
        let recalled = self.lives.entry(life.clone()).or_default();
        recalled.leaving = Some(Leaving::over(true));
        let Some(current) = &self.current else {
            return false;
        };
        let id = current.life.clone();
        let is_same_id = id.instance == life.instance;
        let starts = life.born_unix_ms.zip(id.born_unix_ms);
        let is_earlier = starts.is_some_and(|(recalled, current)| recalled < current);
        if !is_same_id {
            return false;
        }
        let current = self.lives.entry(id.clone()).or_default();
        if is_earlier && current.leaving.is_none() {
            current.doubt = Some(Leaving::over(false));
            return false;
        }
        let is_certain = current.leaving.is_some_and(|leaving| leaving.is_certain);
        current.leaving = Some(Leaving::over(is_certain));
        current.drain_report();
        self.make_current(&id)
    }

    /// Whether a shutdown notice of a life would change nothing.
    pub fn knows_leave(&self, life: &BackendLife) -> bool {
        let is_recorded = self
            .lives
            .get(life)
            .is_some_and(|life| life.leaving.is_some());
        let current = self.current.as_ref();
        let has_id = current.is_some_and(|current| current.life.instance == life.instance);
        is_recorded && !(has_id && self.is_serving())
    }

    /// Count of shutdown notices so far. A health check that passed says nothing of a notice that
    /// came while it was under way.
    pub fn notices_count(&self) -> u64 {
        self.notices_count
    }

    /// What a shutdown notice of a life says of the current one.
    pub fn notice_scope(&self, life: &BackendLife) -> NoticeScope {
        let current = self.current.as_ref().map(|current| &current.life);
        let Some(current) = current.filter(|current| current.instance == life.instance) else {
            let is_known = self.last_life_of(&life.instance).is_some();
            return if is_known {
                NoticeScope::Known
            } else {
                NoticeScope::Unknown
            };
        };
        let starts = life.born_unix_ms.zip(current.born_unix_ms);
        if starts.is_none_or(|(named, known)| named >= known) || self.is_heard_later(life, current)
        {
            NoticeScope::Current
        } else {
            NoticeScope::Unclear
        }
    }

    /// Whether a notice names another start of the current id. It may be late, or a clock was set back.
    pub fn is_other_start(&self, life: &BackendLife) -> bool {
        let current = self.current.as_ref().map(|current| &current.life);
        let current = current.filter(|current| current.instance == life.instance);
        current.is_some_and(|current| !current.may_equal(life))
    }

    /// Whether a life has reported that it leaves.
    pub fn is_leaving(&self, life: &BackendLife) -> bool {
        let is_leaving = |life| {
            self.lives
                .get(life)
                .is_some_and(|life| life.leaving.is_some())
        };
        let last = match life.born_unix_ms {
            Some(_) => None,
            None => self.last_life_of(&life.instance),
        };
        is_leaving(life) || last.is_some_and(is_leaving)
    }

    /// Whether any life with this id has reported that it leaves.
    pub fn has_left(&self, instance: &str) -> bool {
        let mut lives = self.lives.iter();
        lives.any(|(id, life)| id.instance == instance && life.leaving.is_some())
    }

    /// Whether only the backend server itself can tell whether it accepts calls, after it reported
    /// that it does: a shutdown notice may be about another start of its id, or it may have
    /// started with a clock that was set back.
    pub fn needs_health_check(&self, life: &BackendLife) -> bool {
        let Some(known) = self.lives.get(life) else {
            return false;
        };
        if let Some(leaving) = known.leaving {
            return !leaving.is_certain;
        }
        known.doubt.is_some() || (known.is_superseded && !self.is_serving())
    }

    /// The life about which the backend server has to be asked after a shutdown notice, if only it
    /// knows: the current one or, if that leaves, another one that reported to accept calls.
    pub fn life_to_ask(&self) -> Option<&BackendLife> {
        let current = self.current.as_ref().map(|current| &current.life);
        let current = current.filter(|current| self.needs_health_check(current));
        let other = || {
            let lives = self.lives.iter();
            let unclear = lives.filter(|(id, life)| !life.has_ended && self.needs_health_check(id));
            let heard = unclear.filter(|(_, life)| life.serving_reported_at.is_some());
            let last = heard.max_by_key(|(_, life)| life.serving_reported_at);
            last.map(|(id, _)| id)
        };
        current.or_else(other)
    }

    /// The backend server has passed a health check with the id of a life, after that reported that it
    /// accepts calls and [`needs_health_check`](Self::needs_health_check) was true. Returns whether
    /// the current life changes.
    pub fn on_healthy(&mut self, life: &BackendLife) -> bool {
        if !self.needs_health_check(life) {
            return false;
        }
        for (id, known) in &mut self.lives {
            if id.instance == life.instance {
                known.is_superseded = id != life;
                known.has_ended = id != life;
            }
        }
        let without_start = BackendLife::without_start(life.instance.clone());
        self.lives.remove(&without_start);
        if let Some(known) = self.lives.get_mut(life) {
            known.withdraw_leaving();
            known.doubt = None;
        }
        self.last_born_unix_ms = life.born_unix_ms;
        self.make_current(life)
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

    /// The backend server has failed a health check, after a life reported that it accepts calls and
    /// [`needs_health_check`](Self::needs_health_check) was true: the report was late, and the
    /// start that has left still runs. Returns whether the current life changes.
    pub fn on_unhealthy(&mut self, life: &BackendLife) -> bool {
        let Some(known) = self.lives.get_mut(life) else {
            return false;
        };
        let Some(doubt) = known.doubt else {
            return false;
        };
        known.leaving.get_or_insert(Leaving {
            is_certain: false,
            ..doubt
        });
        known.drain_report();
        self.is_current(life) && self.make_current(life)
    }

    /// The backend server was found dead: nothing listens at its address, or it gives no answers.
    /// Its next report makes its life current again. Returns whether there was a current life.
    pub fn on_dead(&mut self) -> bool {
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
        let is_current = life.is_none_or(|life| life.may_equal(&current.life));
        let leaving = self.lives.get(&current.life).and_then(|life| life.leaving);
        is_current && leaving.is_none_or(|leaving| leaving.is_draining(now, drain))
    }

    /// Records that a life leaves; if it `applies` to the current one, that leaves too. Returns
    /// whether the current life or its state changes.
    fn record_leaving(&mut self, now: Duration, life: &BackendLife, applies: bool) -> bool {
        self.notices_count += 1;
        let earlier = self.first_shutdown(|id| id.instance == life.instance);
        let first = earlier.unwrap_or_else(|| Leaving::certain(now));
        let left = self.lives.entry(life.clone()).or_default();
        let leaving = left.leaving.get_or_insert(first);
        leaving.is_certain = true;
        let since = leaving.since;
        let Some(current) = self.current.as_ref().filter(|_| applies) else {
            return false;
        };
        let id = current.life.clone();
        let current = self.lives.entry(id.clone()).or_default();
        current.leaving.get_or_insert(Leaving {
            since,
            is_certain: false,
        });
        current.drain_report();
        self.make_current(&id)
    }

    /// Leaving that a life shares with its id, where a notice named no start and none was confirmed
    /// since.
    fn inherited_leaving(&self, life: &BackendLife) -> Option<Leaving> {
        let without_start = BackendLife::without_start(life.instance.clone());
        let named = match life.born_unix_ms {
            Some(_) => self.lives.get(&without_start)?.leaving?,
            None => {
                self.lives
                    .get(self.last_life_of(&life.instance)?)?
                    .leaving?
            }
        };
        let other = self.other_shutdown(life);
        let first = other.map_or(named.since, |other| other.since.min(named.since));
        named.is_certain.then_some(Leaving {
            since: first,
            is_certain: false,
        })
    }

    /// Whether a later start of the same id has reported that it leaves.
    fn has_later_shutdown(&self, life: &BackendLife) -> bool {
        let mut lives = self.lives.iter();
        lives.any(|(other, state)| {
            other.instance == life.instance
                && other.born_unix_ms > life.born_unix_ms
                && life.born_unix_ms.is_some()
                && state.leaving.is_some()
                && !state.has_ended
        })
    }

    /// Whether a life last reported that it accepts calls after another one did.
    fn is_heard_later(&self, life: &BackendLife, other: &BackendLife) -> bool {
        let heard_at = |life| {
            self.lives
                .get(life)
                .and_then(|life| life.serving_reported_at)
        };
        heard_at(life) > heard_at(other)
    }

    /// The earliest leaving of another start of the same id.
    fn other_shutdown(&self, life: &BackendLife) -> Option<Leaving> {
        self.first_shutdown(|other| other.instance == life.instance && !other.may_equal(life))
    }

    /// The earliest leaving among lives that may still run.
    fn first_shutdown(&self, is_counted: impl Fn(&BackendLife) -> bool) -> Option<Leaving> {
        let counted = self.lives.iter().filter(|(id, _)| is_counted(id));
        let running = counted.filter(|(_, life)| !life.has_ended);
        let leavings = running.filter_map(|(_, life)| life.leaving);
        leavings.min_by_key(|leaving| leaving.since)
    }

    fn is_serving(&self) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|current| current.state == LifeState::Serving)
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
    ///
    /// If the number of the known one is far higher, it was odd. Taken for the newest, it would be the
    /// last report that counts: the backend server would not be followed any more.
    fn is_newer_than(&self, report: &LifeReport) -> bool {
        let known = self.report.as_ref();
        known.is_some_and(|known| {
            let later = known.sequence.saturating_sub(report.sequence);
            (1..=LATE_SEQUENCE_RANGE).contains(&later)
        })
    }

    /// Stores a report; a life that leaves stays draining, whatever the report says.
    fn set_report(&mut self, now: Duration, mut report: LifeReport) {
        if self.is_newer_than(&report)
            && let Some(known) = &self.report
        {
            report.sequence = known.sequence;
        }
        if report.state == LifeState::Serving {
            self.serving_reported_at = Some(now);
        }
        self.report = Some(report);
        if self.leaving.is_some() {
            self.drain_report();
        }
    }

    fn drain_report(&mut self) {
        if let Some(report) = &mut self.report {
            report.state = report.state.max(LifeState::Draining);
        }
    }

    fn withdraw_leaving(&mut self) {
        self.leaving = None;
        if let Some(report) = &mut self.report {
            report.state = LifeState::Serving;
        }
    }
}
