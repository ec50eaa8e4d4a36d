//! The exchange of one node with one claim stream.

use std::{collections::VecDeque, time::Duration};

use kumquatquay_wire::LogOffset;

use super::{
    claim::{ClaimBatch, ClaimEvent},
    claim_view::ClaimView,
};
use crate::LogRecord;

/// The exchange of one node with one claim stream; one request to the log is
/// under way at a time.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClaimPartition {
    /// What was read; `None` until the first claim or after a gap.
    pub(crate) view: Option<ClaimView>,
    /// The request that is under way.
    pub(crate) exchange: Exchange,
    /// Events that were not sent yet.
    pub(crate) queue: VecDeque<ClaimEvent>,
    /// Events that were sent and have not been read back.
    pub(crate) in_flight: ClaimBatch,
    /// How far to read on before `in_flight` is judged; `None` before its
    /// append was answered.
    pub(crate) read_target: Option<ReadTarget>,
    /// Whether the answer to an append of `in_flight` was lost, so that a copy
    /// of it may be in the stream or still land there.
    pub(crate) is_append_outcome_unknown: bool,
    /// Whether to read on although nothing waits for it.
    pub(crate) wants_refresh: bool,
    /// No request is sent before this, on the monotonic clock.
    pub(crate) retry_at: Duration,
    /// When a key was last looked up, on the monotonic clock.
    pub(crate) used_at: Duration,
    /// When the stream was last read to its end, on the monotonic clock.
    pub(crate) read_at: Duration,
    /// Keys are refused until this, on the monotonic clock: claims were lost.
    pub(crate) refused_until: Duration,
}

/// A request to the log that is under way.
#[derive(Clone, Debug, Default)]
pub(crate) enum Exchange {
    /// None.
    #[default]
    Idle,
    /// Asks where the stream ends.
    Probing,
    /// Reads the end of the stream, back to the time of the oldest key.
    Loading(Loading),
    /// Appends `in_flight`.
    Appending,
    /// Reads what follows the view.
    ReadingForward,
}

/// The end of a stream that is being read for the first time.
#[derive(Clone, Debug)]
pub(crate) struct Loading {
    /// Where reading began.
    pub(crate) from: LogOffset,
    /// Where the stream ended when loading began.
    pub(crate) until: LogOffset,
    /// Records read so far.
    pub(crate) records: Vec<LogRecord>,
}

/// How far to read on before sent events are judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadTarget {
    /// Through the offset that the log named.
    Through(LogOffset),
    /// To the end of the stream: the log named no offset.
    End,
}

impl ClaimPartition {
    /// Whether nothing is under way, so that the view may be dropped.
    pub(crate) fn is_idle(&self) -> bool {
        let is_idle = matches!(self.exchange, Exchange::Idle);
        is_idle && self.queue.is_empty() && self.in_flight.is_empty()
    }
}
