//! Exchange of full member tables (anti-entropy).

use std::{net::SocketAddr, time::Duration};

use kumquatquay_wire::{
    BulkAnswer, BulkRequest, ControlBody, DataCentreDigest, DataCentreMembers, DataCentreName,
    MemberRecord, MemberState, TableDigest,
};
use rand::seq::IteratorRandom;

use super::{
    data_centre_view::DataCentreView, gossip, gossip_queue::Urgency, merge, seed_log, sender,
};
use crate::{Blackboard, BulkInput, Counter, Moment, Output, configuration, quarantine};

/// Interval at which a node that has no table yet requests one from a seed or known member.
const JOIN_INTERVAL: Duration = Duration::from_secs(1);

/// How long a node waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// How long the table must be unchanged before a different digest counts as a lost record, not
/// as one that is still being gossiped.
const QUIET_TIME: Duration = Duration::from_secs(3);

/// How long a difference must last before the table is requested.
const DIFFERENCE_TIME: Duration = Duration::from_millis(1_500);

/// How long a difference must last while the table is never unchanged for [`QUIET_TIME`].
const BUSY_DIFFERENCE_TIME: Duration = Duration::from_secs(30);

/// Shortest and longest pause between two requests; it doubles while answers bring nothing new.
const MIN_PAUSE: Duration = Duration::from_secs(10);
const MAX_PAUSE: Duration = Duration::from_secs(300);

/// How long after it has joined a node takes each difference for a loss, and its pause between
/// requests in that time.
const JUST_JOINED_TIME: Duration = Duration::from_secs(60);
const JUST_JOINED_PAUSE: Duration = Duration::from_secs(4);

/// Newer records of one answer that are gossiped at most.
///
/// More of them spread at lower cost by exchanges of tables, and would delay other rumours for a
/// minute.
const FORWARD_LIMIT_COUNT: usize = 64;

/// How long a member must be unchanged here before its absence from a complete answer means that
/// it is gone; the answer may be older than the newest rumours.
const ABSENCE_AGE: Duration = Duration::from_secs(60);

/// How long after it has joined a node reports its table as complete.
const COMPLETE_AFTER: Duration = Duration::from_secs(30);

/// Exchange of full member tables.
#[derive(Debug)]
pub(crate) struct BulkSync {
    /// When the first table arrived, or when this node found that it is the first one.
    joined_at: Option<Duration>,
    next_join: Duration,
    answer_deadline: Option<Duration>,
    next_request: Duration,
    pause: Duration,
    differs_since: Option<Duration>,
}

impl Default for BulkSync {
    fn default() -> Self {
        Self {
            joined_at: None,
            next_join: Duration::ZERO,
            answer_deadline: None,
            next_request: Duration::ZERO,
            pause: MIN_PAUSE,
            differs_since: None,
        }
    }
}

impl BulkSync {
    /// Whether this node has received a table from another node, or is the first.
    pub(crate) fn is_joined(&self) -> bool {
        self.joined_at.is_some()
    }
}

/// Requests a table from seeds or known members until one answers; a node that has neither is
/// the first.
pub(super) fn on_tick(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    let sync = &mut board.membership.sync;
    if sync
        .answer_deadline
        .is_some_and(|deadline| now.monotonic >= deadline)
    {
        sync.answer_deadline = None;
    }
    if sync.joined_at.is_some() || sync.answer_deadline.is_some() || now.monotonic < sync.next_join
    {
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
    request_table(board, now, to, out);
    sender::send_local(board, now, to, ControlBody::Gossip, out);
}

/// Compares the digest of a member of the own data centre, and requests its table if they differ
/// for long.
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
        request_table_after_pause(board, now, from, out);
    }
}

/// Compares the digest of another data centre, sent by one of its members, and requests the
/// sender's table if it differs.
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
        request_table_after_pause(board, now, from, out);
    }
}

fn is_quiet(board: &Blackboard, now: Moment) -> bool {
    has_just_joined(board, now) || now.monotonic >= board.members.last_changed_at() + QUIET_TIME
}

/// Whether this node joined less than [`JUST_JOINED_TIME`] ago.
///
/// Its first table may have come from a node that knew few members itself, as when all nodes
/// of a data centre start at once.
fn has_just_joined(board: &Blackboard, now: Moment) -> bool {
    let joined = board.membership.sync.joined_at;
    joined.is_some_and(|joined| now.monotonic < joined + JUST_JOINED_TIME)
}

fn request_table_after_pause(
    board: &mut Blackboard,
    now: Moment,
    to: SocketAddr,
    out: &mut Vec<Output>,
) {
    let sync = &board.membership.sync;
    if sync.answer_deadline.is_none() && now.monotonic >= sync.next_request {
        request_table(board, now, to, out);
    }
}

fn request_table(board: &mut Blackboard, now: Moment, to: SocketAddr, out: &mut Vec<Output>) {
    board.counters.increment(Counter::TablesAsked);
    let sync = &mut board.membership.sync;
    sync.answer_deadline = Some(now.monotonic + ANSWER_TIMEOUT);
    sync.next_request = now.monotonic + sync.pause;
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
            board.membership.sync.answer_deadline = None;
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
        Ok(BulkRequest::Crashes) => quarantine::crashes_answer(board, now),
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

/// Members of the data centres whose digests differ, as many as fit.
///
/// The data centres are in random order, so that the rest can be in a later answer.
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
        Ok(BulkAnswer::Crashes {
            reports,
            is_complete,
        }) => quarantine::on_crashes_answer(board, now, &reports, is_complete, out),
        Err(_) => {
            board.counters.increment(Counter::BulkMalformed);
            board.membership.sync.answer_deadline = None;
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
    sync.answer_deadline = None;
    sync.differs_since = None;
    if sync.joined_at.is_none() {
        sync.joined_at = Some(now.monotonic);
        let records = data_centres.into_iter().flat_map(|members| members.records);
        sync.pause = JUST_JOINED_PAUSE;
        sync.next_request = now.monotonic + JUST_JOINED_PAUSE;
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
    sync.next_request = now.monotonic + sync.pause;
}

/// Members of another data centre that a complete answer lacks, as records of gone members.
///
/// After a partition that outlasts the retention of gone members, no node is left that knows
/// that they are gone. Without this rule they would stay in the table for good.
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
