//! State of a node's requests to one claim stream.

use std::{collections::VecDeque, time::Duration};

use kumquatquay_wire::LogOffset;

use super::{
    claim::{ClaimBatch, ClaimEvent},
    claim_view::ClaimView,
};
use crate::LogRecord;

/// State of a node's requests to one claim stream; one request is under way at a time.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClaimPartition {
    /// What was read; `None` before the first load, after lost records and if it was unused.
    pub(crate) view: Option<ClaimView>,
    /// The request that is under way.
    pub(crate) exchange: Exchange,
    /// Events that are not yet in an append.
    pub(crate) queue: VecDeque<ClaimEvent>,
    /// Events of the current append that have not been read back.
    pub(crate) in_flight: ClaimBatch,
    /// How far to read forward before `in_flight` is decided; `None` before its append was
    /// answered.
    pub(crate) read_target: Option<ReadTarget>,
    /// Whether the answer to an append of `in_flight` was lost, so that a copy of it may be in
    /// the stream or may still arrive there.
    pub(crate) is_append_outcome_unknown: bool,
    /// Whether to read forward although no claim waits for it.
    pub(crate) wants_refresh: bool,
    /// No request is sent before this, on the monotonic clock.
    pub(crate) retry_at: Duration,
    /// When a key was last looked up, on the monotonic clock.
    pub(crate) used_at: Duration,
    /// When the stream was last read to its end, on the monotonic clock.
    pub(crate) read_at: Duration,
    /// Keys are refused until this, on the monotonic clock, since claims of the stream were lost.
    pub(crate) refused_until: Duration,
}

/// A request to the log that is under way.
#[derive(Clone, Debug, Default)]
pub(crate) enum Exchange {
    /// No request is under way.
    #[default]
    Idle,
    /// Finds the end of the stream.
    Probing,
    /// Loads the last records of the stream, back to the time of the oldest queued key.
    Loading(Loading),
    /// Appends `in_flight`.
    Appending,
    /// Reads the records that follow the view.
    ReadingForward,
}

/// Progress of a load of the last records of a stream.
#[derive(Clone, Debug)]
pub(crate) struct Loading {
    /// Offset of the first record to load.
    pub(crate) from: LogOffset,
    /// Offset of the end of the stream when it was probed.
    pub(crate) until: LogOffset,
    /// Records read so far.
    pub(crate) records: Vec<LogRecord>,
}

/// How far to read forward before the appended events are decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadTarget {
    /// Through the offset that the log returned for the append.
    Through(LogOffset),
    /// To the end of the stream, if the log returned no offset.
    End,
}

impl ClaimPartition {
    /// Whether there is no request and no event, so that the view may be dropped.
    pub(crate) fn is_idle(&self) -> bool {
        let is_idle = matches!(self.exchange, Exchange::Idle);
        is_idle && self.queue.is_empty() && self.in_flight.is_empty()
    }
}
