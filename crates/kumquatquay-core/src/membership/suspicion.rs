//! Suspected members, and when they are declared gone.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use kumquatquay_wire::MemberState;

use super::merge;
use crate::{Blackboard, Counter, Moment, Note, Output};

/// How long a suspected member has to refute before it is declared gone.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(4);

/// How long a member that was declared gone counts towards a mass silence.
const DEATHS_WINDOW: Duration = Duration::from_secs(10);

/// Interval at which the timers of suspected members are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long the criterion of a mass silence must be unmet before the hold ends.
const RECOVERY_TIME: Duration = Duration::from_secs(2);

/// Longest time of a hold; after it the silent members are taken to be gone.
const HOLD_LIMIT: Duration = Duration::from_secs(15 * 60);

/// Fewest silent members that count as a mass silence.
const MASS_SILENCE_MIN_COUNT: usize = 2;

/// Suspected members of the own data centre, and the hold during a mass silence.
///
/// During a hold no member is declared gone.
#[derive(Debug, Default)]
pub(crate) struct Suspicions {
    /// Suspected members, each with the start of its suspicion timer.
    since: BTreeMap<SocketAddr, Duration>,
    /// When members of the own data centre were declared gone, within [`DEATHS_WINDOW`].
    deaths: VecDeque<Duration>,
    next_check: Duration,
    hold: Option<Hold>,
    /// Whether the mass silence has outlasted [`HOLD_LIMIT`] and still lasts.
    is_hold_exhausted: bool,
}

/// A hold: the time in which no member is declared gone because of a mass silence.
#[derive(Debug)]
struct Hold {
    started_at: Duration,
    recovering_since: Option<Duration>,
}

impl Suspicions {
    /// Whether no member is declared gone because many went silent at once.
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
        self.remove_old_deaths(now);
        self.deaths.push_back(now);
    }

    fn remove_old_deaths(&mut self, now: Duration) {
        while let Some(death) = self.deaths.front()
            && *death + DEATHS_WINDOW < now
        {
            self.deaths.pop_front();
        }
    }

    /// Restarts the timers of all suspected members.
    pub(super) fn restart_timers(&mut self, now: Duration) {
        for since in self.since.values_mut() {
            *since = now;
        }
    }
}

/// Whether the silent members are too many of all others to have failed independently.
///
/// Servers fail singly or by rack. When more than a third is silent at once, the likely cause
/// is the network, perhaps that of this node. Declaring them gone would leave each side of a
/// partition with only a part of the members for the load that remains.
fn is_mass_silence(silent_count: usize, others_count: usize) -> bool {
    silent_count >= MASS_SILENCE_MIN_COUNT && silent_count * 3 > others_count
}

/// Suspects a member because a probe by this node failed.
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
            end_hold(
                board,
                now,
                "the silence has lasted too long for a partition",
                out,
            );
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
    suspicions.remove_old_deaths(now.monotonic);
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
    let detail =
        format!("{count} members suspected at once; network fault assumed, none declared gone");
    out.push(Output::Note(Note::warn("mass_silence", detail)));
}

/// Ends a hold; members that are still suspected get the full suspicion timeout again.
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
        let detail = format!("{control} did not answer a probe or refute the suspicion");
        out.push(Output::Note(Note::info("member_gone", detail)));
        board.counters.increment(Counter::MembersDeclaredGone);
        merge::on_record(board, now, record, out);
    }
}
