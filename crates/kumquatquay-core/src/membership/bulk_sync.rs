//! Exchange of whole tables.

use std::{net::SocketAddr, time::Duration};

use kumquatquay_wire::{
    BulkAnswer, BulkRequest, ControlBody, DataCentreDigest, DataCentreMembers, DataCentreName,
    MemberRecord, MemberState, TableDigest,
};
use rand::seq::IteratorRandom;

use super::{
    data_centre_view::DataCentreView, gossip, gossip_queue::Urgency, merge, seed_log, sender,
};
use crate::{Blackboard, BulkInput, Counter, Moment, Output, configuration};

/// How often a node that has no table yet asks a seed.
const JOIN_INTERVAL: Duration = Duration::from_secs(1);

/// How long an answer may take.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// How long the table must be unchanged before a difference counts as a loss,
/// not as news on its way.
const QUIET_TIME: Duration = Duration::from_secs(3);

/// How long a difference must last.
const DIFFERENCE_TIME: Duration = Duration::from_millis(1_500);

/// How long a difference must last when the table is never unchanged for long.
const BUSY_DIFFERENCE_TIME: Duration = Duration::from_secs(30);

/// The shortest and longest pause between two questions; it doubles while the
/// answers bring nothing new.
const MIN_PAUSE: Duration = Duration::from_secs(10);
const MAX_PAUSE: Duration = Duration::from_secs(300);

/// How long a node takes every difference for a loss after it has joined, and
/// the pause between its questions.
const JUST_JOINED_TIME: Duration = Duration::from_secs(60);
const JUST_JOINED_PAUSE: Duration = Duration::from_secs(4);

/// New records of one answer that are told on, at most. More of them spread
/// cheaper from table to table, and would hold up other news for a minute.
const FORWARD_LIMIT_COUNT: usize = 64;

/// How long a member must be unchanged here before its absence from a complete
/// answer means that it is gone; the answer may be older than the newest news.
const ABSENCE_AGE: Duration = Duration::from_secs(60);

/// How long a node must have had its table before it calls it complete.
const COMPLETE_AFTER: Duration = Duration::from_secs(30);

/// Exchange of whole tables.
#[derive(Debug)]
pub(crate) struct BulkSync {
    /// When the first table arrived.
    joined_at: Option<Duration>,
    next_join: Duration,
    asked_until: Option<Duration>,
    next_question: Duration,
    pause: Duration,
    differs_since: Option<Duration>,
}

impl Default for BulkSync {
    fn default() -> Self {
        Self {
            joined_at: None,
            next_join: Duration::ZERO,
            asked_until: None,
            next_question: Duration::ZERO,
            pause: MIN_PAUSE,
            differs_since: None,
        }
    }
}

impl BulkSync {
    /// Whether this node has had a whole table from another one, or is the first.
    pub(crate) fn is_joined(&self) -> bool {
        self.joined_at.is_some()
    }
}

/// Asks a seed for its table until one answers; a node without seeds is the first.
pub(super) fn on_tick(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    let sync = &mut board.membership.sync;
    if sync.asked_until.is_some_and(|until| now.monotonic >= until) {
        sync.asked_until = None;
    }
    if sync.joined_at.is_some() || sync.asked_until.is_some() || now.monotonic < sync.next_join {
        return;
    }
    sync.next_join = now.monotonic + JOIN_INTERVAL;
    let own = board.settings.control;
    let seeds = seed_log::all_seeds(board);
    let others = board.members.iter().map(|record| record.control);
    let others = others.filter(|control| *control != own);
    let known = seeds.into_iter().chain(others);
    let Some(to) = known.choose(&mut board.random) else {
        board.membership.sync.joined_at = Some(now.monotonic);
        return;
    };
    board.membership.gossip_queue.push(own, Urgency::High);
    ask(board, now, to, out);
    sender::send_local(board, now, to, ControlBody::Gossip, out);
}

/// Hears the digest of a member of the own data centre.
pub(super) fn on_local_digest(
    board: &mut Blackboard,
    now: Moment,
    from: SocketAddr,
    digest: TableDigest,
    out: &mut Vec<Output>,
) {
    if digest == board.members.digest() {
        board.membership.sync.differs_since = None;
        gossip::on_agreement(board);
        return;
    }
    let is_quiet = is_quiet(board, now);
    let differs_since = &mut board.membership.sync.differs_since;
    let lasted = now.monotonic - *differs_since.get_or_insert(now.monotonic);
    if lasted >= BUSY_DIFFERENCE_TIME || (is_quiet && lasted >= DIFFERENCE_TIME) {
        ask_after_pause(board, now, from, out);
    }
}

/// Hears the digest of another data centre, from one of its members.
pub(super) fn on_remote_digest(
    board: &mut Blackboard,
    now: Moment,
    from: SocketAddr,
    data_centre: &DataCentreName,
    digest: TableDigest,
    out: &mut Vec<Output>,
) {
    let known = board.members.view(data_centre);
    let known = known.map_or(0, DataCentreView::digest);
    if digest != known && is_quiet(board, now) {
        ask_after_pause(board, now, from, out);
    }
}

fn is_quiet(board: &Blackboard, now: Moment) -> bool {
    has_just_joined(board, now) || now.monotonic >= board.members.last_changed_at() + QUIET_TIME
}

/// Whether this node joined just now: its first table may have come from a node
/// that had little itself, as when a whole data centre starts at once.
fn has_just_joined(board: &Blackboard, now: Moment) -> bool {
    let joined = board.membership.sync.joined_at;
    joined.is_some_and(|joined| now.monotonic < joined + JUST_JOINED_TIME)
}

fn ask_after_pause(board: &mut Blackboard, now: Moment, to: SocketAddr, out: &mut Vec<Output>) {
    let sync = &board.membership.sync;
    if sync.asked_until.is_none() && now.monotonic >= sync.next_question {
        ask(board, now, to, out);
    }
}

fn ask(board: &mut Blackboard, now: Moment, to: SocketAddr, out: &mut Vec<Output>) {
    board.counters.increment(Counter::TablesAsked);
    let sync = &mut board.membership.sync;
    sync.asked_until = Some(now.monotonic + ANSWER_TIMEOUT);
    sync.next_question = now.monotonic + sync.pause;
    let views = board.members.views();
    let known = views.map(|(name, view)| DataCentreDigest {
        data_centre: name.clone(),
        digest: view.digest(),
    });
    let question = BulkRequest::Members {
        known: known.collect(),
    };
    out.push(Output::BulkAsk {
        to,
        question: question.to_bytes(),
    });
}

pub(super) fn on_bulk(
    board: &mut Blackboard,
    now: Moment,
    input: BulkInput,
    out: &mut Vec<Output>,
) {
    match input {
        BulkInput::Asked { exchange, question } => {
            on_question(board, now, exchange, &question, out);
        }
        BulkInput::Answered { from, answer } => on_answer(board, now, from, &answer, out),
        BulkInput::Failed { from } => {
            board.membership.sync.asked_until = None;
            configuration::on_bulk_failed(board, now, from, out);
        }
    }
}

fn on_question(
    board: &mut Blackboard,
    now: Moment,
    exchange: u64,
    question: &[u8],
    out: &mut Vec<Output>,
) {
    let answer = match BulkRequest::from_bytes(question) {
        Ok(BulkRequest::Members { known }) => members_answer(board, now, &known),
        Ok(BulkRequest::Configuration { payload }) => BulkAnswer::Configuration {
            payload: configuration::on_bulk_question(board, &payload),
        },
        Err(_) => {
            board.counters.increment(Counter::BulkMalformed);
            BulkAnswer::Members {
                data_centres: Vec::new(),
            }
        }
    };
    out.push(Output::BulkAnswer {
        exchange,
        answer: answer.to_bytes(),
    });
}

/// The data centres that differ, as many as fit, in random order so that the
/// rest has its turn with the next question.
fn members_answer(board: &mut Blackboard, now: Moment, known: &[DataCentreDigest]) -> BulkAnswer {
    let is_known = |name: &DataCentreName, digest: TableDigest| {
        known
            .iter()
            .any(|known| known.data_centre == *name && known.digest == digest)
    };
    let views = board.members.views();
    let differing = views.filter(|(name, view)| !is_known(name, view.digest()));
    let names: Vec<DataCentreName> = differing.map(|(name, _)| name.clone()).collect();
    let count = names.len();
    let names = names.into_iter().choose_multiple(&mut board.random, count);
    let mut bytes = 0;
    let mut data_centres = Vec::new();
    for name in names {
        let members = members_of(board, now, name);
        bytes += members.size_bytes();
        if bytes > BulkAnswer::LIMIT_BYTES / 2 && !data_centres.is_empty() {
            break;
        }
        data_centres.push(members);
    }
    BulkAnswer::Members { data_centres }
}

fn members_of(board: &Blackboard, now: Moment, data_centre: DataCentreName) -> DataCentreMembers {
    let is_own = data_centre == board.settings.data_centre;
    let joined = board.membership.sync.joined_at;
    let is_settled = joined.is_some_and(|joined| now.monotonic >= joined + COMPLETE_AFTER);
    let is_holding = board.membership.suspicions.is_holding();
    let records = board.members.iter();
    let records = records.filter(|record| record.data_centre == data_centre);
    DataCentreMembers {
        is_complete: is_own && is_settled && !is_holding,
        records: records.cloned().collect(),
        data_centre,
    }
}

fn on_answer(
    board: &mut Blackboard,
    now: Moment,
    from: SocketAddr,
    answer: &[u8],
    out: &mut Vec<Output>,
) {
    match BulkAnswer::from_bytes(answer) {
        Ok(BulkAnswer::Members { data_centres }) => on_members(board, now, data_centres, out),
        Ok(BulkAnswer::Configuration { payload }) => {
            configuration::on_bulk_answer(board, now, from, &payload, out);
        }
        Err(_) => {
            board.counters.increment(Counter::BulkMalformed);
            board.membership.sync.asked_until = None;
        }
    }
}

fn on_members(
    board: &mut Blackboard,
    now: Moment,
    data_centres: Vec<DataCentreMembers>,
    out: &mut Vec<Output>,
) {
    let sync = &mut board.membership.sync;
    sync.asked_until = None;
    sync.differs_since = None;
    if sync.joined_at.is_none() {
        sync.joined_at = Some(now.monotonic);
        let records = data_centres.into_iter().flat_map(|members| members.records);
        sync.pause = JUST_JOINED_PAUSE;
        sync.next_question = now.monotonic + JUST_JOINED_PAUSE;
        merge::on_table(board, now, records.collect(), 0, out);
        return;
    }
    let before = board.members.digest();
    let absent = data_centres
        .iter()
        .flat_map(|members| absent_members(board, now, members));
    let absent: Vec<MemberRecord> = absent.collect();
    let records = data_centres.into_iter().flat_map(|members| members.records);
    let records = records.chain(absent).collect();
    merge::on_table(board, now, records, FORWARD_LIMIT_COUNT, out);
    let is_useful = board.members.digest() != before;
    let has_just_joined = has_just_joined(board, now);
    let sync = &mut board.membership.sync;
    sync.pause = match (is_useful, has_just_joined) {
        (_, true) => JUST_JOINED_PAUSE,
        (true, false) => MIN_PAUSE,
        (false, false) => (sync.pause * 2).clamp(MIN_PAUSE, MAX_PAUSE),
    };
    sync.next_question = now.monotonic + sync.pause;
}

/// Members of another data centre that a complete answer doesn't name.
///
/// After a cut that outlasted the memory of gone members, nobody is left who
/// could say that they went; without this rule they would be known for good.
fn absent_members(
    board: &Blackboard,
    now: Moment,
    members: &DataCentreMembers,
) -> Vec<MemberRecord> {
    let is_remote = members.data_centre != board.settings.data_centre;
    if !members.is_complete || !is_remote {
        return Vec::new();
    }
    let Some(view) = board.members.view(&members.data_centre) else {
        return Vec::new();
    };
    let is_named = |control: SocketAddr| {
        members
            .records
            .iter()
            .any(|record| record.control == control)
    };
    let unnamed = view.live().iter().filter(|control| !is_named(**control));
    let old = unnamed.filter(|control| {
        let changed = board.members.member_changed_at(**control);
        changed.is_some_and(|changed| now.monotonic >= changed + ABSENCE_AGE)
    });
    old.filter_map(|control| board.members.get(*control))
        .map(|known| MemberRecord {
            state: MemberState::Gone,
            is_suspect: true,
            ..known.clone()
        })
        .collect()
}
