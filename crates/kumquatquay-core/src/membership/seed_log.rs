//! Seeds in a stream of the platform's log.

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

/// Stream of the control addresses of members.
const STREAM: &str = "seeds";

/// Key purpose for the authentication code of records in that stream.
const PURPOSE: &str = "seed";

/// Interval at which each of the two writing members of a data centre appends its address.
///
/// With 20 data centres that is one append every 15 s, while the log handles several hundred per
/// second.
const APPEND_INTERVAL: Duration = Duration::from_secs(600);

/// Delay after the start before a node appends its address for the first time.
const FIRST_APPEND: Duration = Duration::from_secs(30);

/// How long a node tries the seeds of its settings before it reads the log, and the interval of
/// reads after that.
const READ_INTERVAL: Duration = Duration::from_secs(3);

/// Newest records of the stream that are read.
const TAIL_COUNT: u64 = 64;

/// Seeds that are kept: the newest, which are the most likely to be alive.
const SEEDS_LIMIT_COUNT: usize = 32;

/// Seeds found in the platform's log, and the reads and appends under way.
///
/// Hosts are replaced at any time, and the settings of a new one may name only hosts that are
/// gone. Without the log it would stay alone, since no other node knows of it.
#[derive(Debug, Default)]
pub(crate) struct SeedLog {
    seeds: VecDeque<SocketAddr>,
    read: Option<ReadId>,
    /// First offset that has not been read; none until the end of the stream is known.
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

/// Whether an input from the log answers a read or an append of this module.
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
                // Offsets are assigned again. Lost seeds are replaced by the periodic appends.
                seeds.from = None;
            }
            on_records(seeds, &key, &records, next_offset);
            if seeds.from < Some(next_offset) {
                seeds.next_read = Some(now.monotonic);
            }
        }
        LogInput::ReadFailed { .. } => seeds.read = None,
        // A lost or duplicate record does no harm: another append follows.
        LogInput::Appended { .. }
        | LogInput::AppendRefused { .. }
        | LogInput::AppendOutcomeUnknown { .. } => seeds.append = None,
    }
}

/// Adds the seeds of records; the first answer is only used to find the end of the stream.
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

/// Reads the log while this node knows no other live member.
///
/// A node without seeds in its settings is the first of the mesh and doesn't read.
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

/// Appends this node's address, if it is a relay node for the stream.
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

/// Seeds of the settings and of the log, without this node.
pub(super) fn all_seeds(board: &Blackboard) -> BTreeSet<SocketAddr> {
    let given = board.settings.seeds.iter().copied();
    let found = board.membership.seed_log.seeds();
    let own = board.settings.control;
    given
        .chain(found)
        .filter(|control| *control != own)
        .collect()
}
