//! Seeds in the platform's log.

use std::{
    collections::{BTreeSet, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use kumquatquay_wire::{LogOffset, MeshKey};

use super::data_centre_relay;
use crate::{
    AppendId, Blackboard, LogInput, LogRecord, Moment, Output, ReadId,
    routed::{EraChange, EraTracker},
};

/// Stream that holds control addresses of members.
const STREAM: &str = "seeds";

/// Purpose of the authentication code of its records.
const PURPOSE: &str = "seed";

/// How often each of the two members that write for their data centre does so.
/// With 20 data centres that is one append in 15 s, of the several hundred a
/// second that the log takes.
const APPEND_INTERVAL: Duration = Duration::from_secs(600);

/// How long a node is a member before it writes.
const FIRST_APPEND: Duration = Duration::from_secs(30);

/// How long a node tries the seeds of its settings before it asks the log, and
/// how often it asks.
const READ_INTERVAL: Duration = Duration::from_secs(3);

/// The newest records that are read.
const TAIL_COUNT: u64 = 64;

/// Seeds that are remembered; the newest ones are the likeliest to live.
const SEEDS_LIMIT_COUNT: usize = 32;

/// Seeds in the platform's log.
///
/// Hosts are replaced at any time, and the settings of a new one may name only
/// hosts that are gone. It would then be alone for good: nobody knows of it.
#[derive(Debug, Default)]
pub(crate) struct SeedLog {
    seeds: VecDeque<SocketAddr>,
    read: Option<ReadId>,
    /// The first offset not read yet, once the end of the stream is known.
    from: Option<LogOffset>,
    next_read: Option<Duration>,
    append: Option<AppendId>,
    next_append: Option<Duration>,
    eras: EraTracker,
}

impl SeedLog {
    /// The seeds found.
    pub(super) fn seeds(&self) -> impl Iterator<Item = SocketAddr> {
        self.seeds.iter().copied()
    }

    /// Adds the newest seed; the oldest above the limit is forgotten.
    pub(super) fn add(&mut self, seed: SocketAddr) {
        self.seeds.retain(|known| *known != seed);
        self.seeds.push_back(seed);
        if self.seeds.len() > SEEDS_LIMIT_COUNT {
            self.seeds.pop_front();
        }
    }
}

/// Whether the log answers a question of this module.
pub(crate) fn owns(board: &Blackboard, input: &LogInput) -> bool {
    let seeds = &board.membership.seed_log;
    match input {
        LogInput::Read { read, .. } | LogInput::ReadFailed { read } => seeds.read == Some(*read),
        LogInput::Appended { append, .. }
        | LogInput::AppendRefused { append }
        | LogInput::AppendOutcomeUnknown { append } => seeds.append == Some(*append),
    }
}

pub(crate) fn on_log(board: &mut Blackboard, now: Moment, input: LogInput) {
    let key = board.settings.key.clone();
    let seeds = &mut board.membership.seed_log;
    match input {
        LogInput::Read {
            records,
            next_offset,
            era,
            ..
        } => {
            seeds.read = None;
            if let EraChange::Restored { .. } = seeds.eras.observe(era) {
                // Offsets are given out again; seeds that are lost are appended in turn.
                seeds.from = None;
            }
            on_records(seeds, &key, &records, next_offset);
            if seeds.from < Some(next_offset) {
                seeds.next_read = Some(now.monotonic);
            }
        }
        LogInput::ReadFailed { .. } => seeds.read = None,
        // A lost or doubled record does no harm: the next one is on its way.
        LogInput::Appended { .. }
        | LogInput::AppendRefused { .. }
        | LogInput::AppendOutcomeUnknown { .. } => seeds.append = None,
    }
}

/// Takes in records; the first answer only shows where the stream ends.
fn on_records(seeds: &mut SeedLog, key: &MeshKey, records: &[LogRecord], next_offset: LogOffset) {
    let Some(from) = seeds.from else {
        seeds.from = Some(next_offset.saturating_sub(TAIL_COUNT));
        return;
    };
    for record in records {
        if let Ok(seed) = key.open::<SocketAddr>(PURPOSE, &record.bytes) {
            seeds.add(seed);
        }
    }
    let last = records.last().map(|record| record.offset + 1);
    seeds.from = Some(last.unwrap_or(next_offset).max(from));
}

pub(super) fn on_tick(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    read(board, now, out);
    append(board, now, out);
}

/// Reads while this node knows nobody else; one that was given no seeds is the
/// first.
fn read(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    if board.settings.seeds.is_empty() || board.members.live_count() > 1 {
        return;
    }
    let seeds = &mut board.membership.seed_log;
    let due = *seeds.next_read.get_or_insert(now.monotonic + READ_INTERVAL);
    if now.monotonic < due || seeds.read.is_some() {
        return;
    }
    seeds.next_read = Some(now.monotonic + READ_INTERVAL);
    let from = seeds.from.unwrap_or_default();
    let read = board.next_id();
    board.membership.seed_log.read = Some(read);
    out.push(Output::Read {
        read,
        stream: String::from(STREAM),
        from,
        wait: Duration::ZERO,
    });
}

/// Writes this node's address, if it is one of those that do.
fn append(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    let seeds = &mut board.membership.seed_log;
    let due = *seeds
        .next_append
        .get_or_insert(now.monotonic + FIRST_APPEND);
    if now.monotonic < due || seeds.append.is_some() {
        return;
    }
    seeds.next_append = Some(now.monotonic + APPEND_INTERVAL);
    let is_alone = board.members.live_count() <= 1;
    if is_alone || board.members.is_leaving() || !data_centre_relay::is_relay_to(board, STREAM) {
        return;
    }
    let append = board.next_id();
    board.membership.seed_log.append = Some(append);
    out.push(Output::Append {
        append,
        stream: String::from(STREAM),
        record: board.settings.key.seal(PURPOSE, &board.settings.control),
    });
}

/// Seeds of the settings and of the log, this node not included.
pub(super) fn all_seeds(board: &Blackboard) -> BTreeSet<SocketAddr> {
    let given = board.settings.seeds.iter().copied();
    let found = board.membership.seed_log.seeds();
    let own = board.settings.control;
    given
        .chain(found)
        .filter(|control| *control != own)
        .collect()
}
