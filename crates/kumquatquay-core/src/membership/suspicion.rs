//! Members that do not answer, and when they are declared gone.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use kumquatquay_wire::MemberState;

use super::merge;
use crate::{Blackboard, Counter, Moment, Note, Output};

/// How long a suspect has to refute before it is declared gone.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(4);

/// How long a death counts towards a mass silence.
const DEATHS_WINDOW: Duration = Duration::from_secs(10);

/// How often timers of suspects are looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long members must answer again before a mass silence is over.
const RECOVERY_TIME: Duration = Duration::from_secs(2);

/// The longest that the view is held; then the silent members really are gone.
const HOLD_LIMIT: Duration = Duration::from_secs(15 * 60);

/// The fewest members whose silence is a mass silence.
const MASS_SILENCE_MIN_COUNT: usize = 2;

/// Members that do not answer.
#[derive(Debug, Default)]
pub(crate) struct Suspicions {
    /// Since when each suspect of the own data centre is one.
    since: BTreeMap<SocketAddr, Duration>,
    /// When members were declared gone lately.
    deaths: VecDeque<Duration>,
    next_check: Duration,
    hold: Option<Hold>,
    /// The silence outlasted [`HOLD_LIMIT`] and still goes on.
    is_hold_exhausted: bool,
}

/// A mass silence that lasts.
#[derive(Debug)]
struct Hold {
    started_at: Duration,
    recovering_since: Option<Duration>,
}

impl Suspicions {
    /// Whether the view is held because many members went silent at once.
    pub(crate) fn is_holding(&self) -> bool {
        self.hold.is_some()
    }

    pub(crate) fn len(&self) -> usize {
        self.since.len()
    }

    pub(super) fn add(&mut self, now: Duration, control: SocketAddr) {
        self.since.entry(control).or_insert(now);
    }

    pub(super) fn remove(&mut self, control: SocketAddr) {
        self.since.remove(&control);
    }

    pub(super) fn record_death(&mut self, now: Duration) {
        self.forget_deaths(now);
        self.deaths.push_back(now);
    }

    fn forget_deaths(&mut self, now: Duration) {
        while let Some(death) = self.deaths.front()
            && *death + DEATHS_WINDOW < now
        {
            self.deaths.pop_front();
        }
    }

    /// Gives every suspect its whole time again.
    pub(super) fn restart_timers(&mut self, now: Duration) {
        for since in self.since.values_mut() {
            *since = now;
        }
    }
}

/// Whether so many silent members out of all others are more than chance.
///
/// Servers die one by one, or a rack of them. When more than a third is silent
/// at once, the network is the likely cause, and perhaps this node's own.
/// Declaring them gone would leave both sides of a cut with a part of the view
/// and the rest of the load.
fn is_mass_silence(silent_count: usize, others_count: usize) -> bool {
    silent_count >= MASS_SILENCE_MIN_COUNT && silent_count * 3 > others_count
}

/// Doubts that a member is alive, since a probe of this node failed.
pub(super) fn suspect(
    board: &mut Blackboard,
    now: Moment,
    control: SocketAddr,
    out: &mut Vec<Output>,
) {
    let Some(record) = board.members.get(control) else {
        return;
    };
    if record.is_suspect || record.state == MemberState::Gone {
        return;
    }
    let mut record = record.clone();
    record.is_suspect = true;
    merge::on_record(board, now, record, out);
}

pub(super) fn on_tick(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    if now.monotonic < board.membership.suspicions.next_check {
        return;
    }
    board.membership.suspicions.next_check = now.monotonic + CHECK_INTERVAL;
    if board.membership.suspicions.since.is_empty() && !board.membership.suspicions.is_holding() {
        return;
    }
    update_hold(board, now, out);
    if !board.membership.suspicions.is_holding() {
        declare_gone(board, now, out);
    }
}

fn update_hold(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    let is_mass_silence = is_mass_silence_now(board, now);
    let suspicions = &mut board.membership.suspicions;
    suspicions.is_hold_exhausted &= is_mass_silence;
    match &mut suspicions.hold {
        None if is_mass_silence && !suspicions.is_hold_exhausted => begin_hold(board, now, out),
        None => {}
        Some(hold) if now.monotonic >= hold.started_at + HOLD_LIMIT => {
            suspicions.is_hold_exhausted = true;
            end_hold(board, now, "the silence has lasted too long for a cut", out);
        }
        Some(hold) if is_mass_silence => hold.recovering_since = None,
        Some(hold) => {
            let recovering_since = *hold.recovering_since.get_or_insert(now.monotonic);
            if now.monotonic >= recovering_since + RECOVERY_TIME {
                end_hold(board, now, "most members answer again", out);
            }
        }
    }
}

fn is_mass_silence_now(board: &mut Blackboard, now: Moment) -> bool {
    let suspicions = &mut board.membership.suspicions;
    suspicions.forget_deaths(now.monotonic);
    let silent_count = suspicions.since.len() + suspicions.deaths.len();
    let live_count = board.members.own_view().live().len();
    let others_count = live_count.saturating_sub(1) + suspicions.deaths.len();
    is_mass_silence(silent_count, others_count)
        || board.membership.prober.suspects_own_network(now.monotonic)
}

fn begin_hold(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    board.counters.increment(Counter::MassSilences);
    board.membership.suspicions.hold = Some(Hold {
        started_at: now.monotonic,
        recovering_since: None,
    });
    let count = board.membership.suspicions.len();
    let detail = format!("{count} members went silent at once: held as a fault of the network");
    out.push(Output::Note(Note::warn("mass_silence", detail)));
}

/// Ends a hold; who is still silent gets a whole suspicion timeout again.
fn end_hold(board: &mut Blackboard, now: Moment, why: &str, out: &mut Vec<Output>) {
    board.membership.suspicions.hold = None;
    board.membership.suspicions.restart_timers(now.monotonic);
    out.push(Output::Note(Note::info("mass_silence_over", why)));
}

fn declare_gone(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    let since = board.membership.suspicions.since.iter();
    let expired: Vec<SocketAddr> = since
        .filter(|(_, since)| now.monotonic >= **since + SUSPICION_TIMEOUT)
        .map(|(control, _)| *control)
        .collect();
    for control in expired {
        let Some(record) = board.members.get(control) else {
            continue;
        };
        let mut record = record.clone();
        record.state = MemberState::Gone;
        let detail = format!("{control} did not answer and did not refute");
        out.push(Output::Note(Note::info("member_gone", detail)));
        board.counters.increment(Counter::MembersDeclaredGone);
        merge::on_record(board, now, record, out);
    }
}
