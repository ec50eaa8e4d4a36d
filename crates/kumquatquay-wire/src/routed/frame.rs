//! Frames on the link between two nodes.

use std::{borrow::Cow, fmt, net::SocketAddr};

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{
    Fields, GateReport, Priority, QuotaVerdict, RouteEstimate, ServicePressure, SliceSets,
    SyncState, WorkspaceName,
};
use crate::{BackendLife, WireError};

/// Number of a call on a link; each of the two nodes numbers the calls that it sends.
pub type CallNumber = u64;

/// Size from which on a frame is read into memory of its own, in bytes.
const LARGE_FRAME_BYTES: usize = 32 * 1024;

/// Size of the three lengths at the start of a frame, in bytes.
const LENGTHS_BYTES: usize = 12;

/// Maximum size of a frame, in bytes; a body may take nearly all of it.
const FRAME_LIMIT_BYTES: usize = 80 * 1024 * 1024;

/// Maximum size of the body of a frame, in bytes; the rest is left for its head and fields.
pub const BODY_LIMIT_BYTES: usize = FRAME_LIMIT_BYTES - HEAD_LIMIT_BYTES;

/// Maximum size of the head and the fields of a frame whose body is dropped, in bytes.
const HEAD_LIMIT_BYTES: usize = 1024 * 1024;

/// Head of a frame; header fields and a body may follow it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FrameHead<'a> {
    /// A call; its header fields and request body follow.
    #[serde(borrow)]
    Call(CallHead<'a>),
    /// Cancels a call: the caller has disconnected or the deadline has passed, so the answer
    /// isn't needed any more.
    Cancel {
        /// Number of the call.
        number: CallNumber,
    },
    /// Grants a slot to a call that may run at most once. The call is forwarded to the backend
    /// server as soon as its sender commits to it.
    Granted {
        /// Number of the call.
        number: CallNumber,
    },
    /// Commits to a granted call, so that it may be forwarded now; before this it has not run.
    Commit {
        /// Number of the call.
        number: CallNumber,
    },
    /// The answer to a call; its header fields and response body follow.
    Answer(AnswerHead),
    /// Requests a [`FrameHead::Pong`], which shows that the link still works.
    Ping {
        /// How current the configuration of the sender is.
        #[serde(rename = "followed")]
        sync_state: SyncState,
        /// Time of the ping, by the clock of its sender, in milliseconds.
        asked_ms: u64,
    },
    /// Answers a [`FrameHead::Ping`].
    Pong {
        /// How current the configuration of the sender is.
        #[serde(rename = "followed")]
        sync_state: SyncState,
        /// Repeats the time of the request.
        asked_ms: u64,
    },
    /// A borrower requests a loan from the quotas that the receiver owns.
    #[serde(rename = "LoanAsk")]
    LoanRequest {
        /// Control address of the borrower.
        borrower: SocketAddr,
        /// Slices for which it is the borrower.
        wanted: SliceSets,
        /// Time of the request, by the clock of the borrower, in milliseconds.
        asked_ms: u64,
    },
    /// Answers a [`FrameHead::LoanRequest`].
    Loan {
        /// Control address of the lender.
        lender: SocketAddr,
        /// Slices that are lent.
        granted: SliceSets,
        /// Repeats the time of the request.
        asked_ms: u64,
        /// Number of nodes among which quotas are split.
        nodes_count: u32,
    },
    /// Requests a token from a borrower.
    #[serde(rename = "QuotaAsk")]
    QuotaRequest {
        /// Number of the request, repeated in its answer.
        number: u64,
        /// Workspace that needs the token.
        workspace: WorkspaceName,
    },
    /// Answers a [`FrameHead::QuotaRequest`].
    QuotaAnswer {
        /// Number of the request that it answers.
        number: u64,
        /// Whether a token was available.
        verdict: QuotaVerdict,
    },
    /// Returns a token to a borrower, since the request has not run.
    QuotaReturn {
        /// Workspace of that request.
        workspace: WorkspaceName,
    },
    /// Requests the configuration in force at the receiver.
    #[serde(rename = "ConfigurationAsk")]
    ConfigurationRequest,
    /// A configuration; the body is a `RouteConfiguration` encoded with `postcard`.
    Configuration,
    /// A backend server leaves. Sent to the node beside it, which acts on it, and to nodes that
    /// keep it for later processes of that node.
    ShutdownNotice {
        /// Number of the notice, repeated in its answer.
        number: u64,
        /// Control address of the node beside the backend server.
        host: SocketAddr,
        /// Life that leaves.
        life: BackendLife,
        /// Whether the node beside it acknowledged the notice before, in an earlier process.
        is_recalled: bool,
    },
    /// Answers a [`FrameHead::ShutdownNotice`].
    ShutdownVerdict {
        /// Number of the notice that it answers.
        number: u64,
        /// Whether the receiver acts on the notice, or keeps it.
        is_accepted: bool,
    },
}

/// A call, without its header fields and its body.
///
/// It borrows its strings, so that none is allocated for a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallHead<'a> {
    /// Number of the call, repeated in its answer.
    pub number: CallNumber,
    /// Name of its route.
    pub route: &'a str,
    /// Service that is called.
    pub service: &'a str,
    /// Life of the backend server that should run it; any if `None`.
    pub life: Option<Cow<'a, BackendLife>>,
    /// Service of the backend server on the host from which the call comes.
    pub caller_service: &'a str,
    /// Workspace to which the caller's key belongs.
    pub workspace: Option<&'a str>,
    /// Attempt id, assigned by the caller.
    pub attempt: &'a str,
    /// Priority of the call alone: that of its workspace, or else that of its route.
    pub priority: Priority,
    /// Priority of the root request; that of this call alone if it isn't known to which root
    /// request the call belongs.
    #[serde(rename = "whole_priority")]
    pub request_priority: Priority,
    /// Target latency of the route, in milliseconds.
    pub target_latency_ms: u64,
    /// Admission level of the service as known to the sender, in thousandths.
    pub level_permille: u16,
    /// Whether the call may run more than once.
    pub is_idempotent: bool,
    /// Whether it is forwarded to the backend server only after a [`FrameHead::Commit`].
    pub needs_commit: bool,
    /// Rate limit that the backend server reported to this sender, for a gate that lost it in a
    /// restart.
    pub known_limit: Option<KnownLimit>,
    /// Whether it runs even if the backend server is failing, because another attempt was
    /// already refused for that reason.
    pub accepts_failing: bool,
    /// Why its arrival at the backend server counts as a repeat; `None` if it is the first arrival
    /// of a call that no repeated run made.
    pub repeat: Option<RepeatCause>,
    /// Time left until its deadline, in milliseconds.
    pub remaining_ms: u64,
    /// How current the configuration of the sender is.
    #[serde(rename = "followed")]
    pub sync_state: SyncState,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query of the request.
    pub target: &'a str,
}

/// Why the arrival of a call at a backend server counts as a repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
pub enum RepeatCause {
    /// An earlier attempt of the call may have arrived at a backend server.
    #[display("resent")]
    Resent,
    /// A run that was a repeat itself may have made the call.
    #[display("of_repeated_run")]
    OfRepeatedRun,
}

/// A rate limit that a backend server reported in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownLimit {
    /// Calls per second that it accepts from all callers together, in thousandths.
    pub limit_milli_per_s: u64,
    /// Time since it was reported, in milliseconds.
    pub age_ms: u64,
}

impl KnownLimit {
    /// Creates a limit of `limit_per_s` calls per second that is reported now.
    pub fn reported_now(limit_per_s: f64) -> Self {
        Self {
            limit_milli_per_s: (limit_per_s * 1_000.0) as u64,
            age_ms: 0,
        }
    }
}

/// An answer, without its header fields and its body.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// Number of the call that it answers.
    pub number: CallNumber,
    /// Outcome of the call.
    pub outcome: LinkOutcome,
    /// Whether the backend server stated in its answer that it is leaving.
    pub is_leaving: bool,
    /// Load of the gate and of the backend server.
    pub report: GateReport,
    /// How current the configuration of the sender is.
    #[serde(rename = "followed")]
    pub sync_state: SyncState,
    /// Estimate of the demand of the call's route; `None` if it was sent recently.
    #[serde(rename = "news")]
    pub route_estimate: Option<RouteEstimate>,
    /// Pressure at the services that the route reaches; empty if it was sent recently.
    pub pressures: Vec<ServicePressure>,
}

/// Outcome of a call over a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkOutcome {
    /// The backend server answered completely.
    Answered {
        /// HTTP status of its answer.
        status: u16,
    },
    /// The backend server has not started to run it and never will.
    NotRun(NotRunReason),
    /// It may have run.
    Unknown(UnknownReason),
}

/// Why a call has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
pub enum NotRunReason {
    /// The gate has no room before the deadline, or the sender doesn't read its answers.
    #[display("full")]
    Full,
    /// The backend server for which the call is meant is absent or leaving.
    #[display("closed")]
    Closed,
    /// The backend server rejected it; this counts as an attempt.
    #[display("turned_away")]
    TurnedAway,
    /// The deadline passed before it could run, or the call was cancelled.
    #[display("late")]
    Late,
    /// It couldn't be sent to the other node.
    #[display("unsent")]
    Unsent,
    /// Too many runs of the backend server fail, and the call may run at most once.
    #[display("failing")]
    Failing,
    /// It is quarantined, since it seems to crash the backend servers that run it.
    #[display("quarantined")]
    Quarantined,
    /// The rate limit of the backend server is used up.
    #[display("limited")]
    Limited,
    /// It is a repeat, and the retry budget of the gate is used up.
    #[display("over_budget")]
    OverBudget,
    /// It may have crashed a backend server, and another such call runs at this gate.
    #[display("isolated")]
    Isolated,
}

/// Why it isn't known whether a call has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
pub enum UnknownReason {
    /// The link to the other node was lost.
    #[display("link_lost")]
    LinkLost,
    /// The connection to the backend server broke.
    #[display("backend_broke")]
    BackendBroke,
    /// The backend server's answer isn't a valid answer to this call.
    #[display("garbled")]
    Garbled,
    /// No answer arrived in time.
    #[display("no_answer")]
    NoAnswer,
}

/// Header fields and body of a call or an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Payload {
    /// Header fields, without hop-by-hop fields.
    pub fields: Fields,
    /// The body.
    pub body: Bytes,
}

impl Payload {
    /// Creates a payload with a body and no header fields.
    pub fn from_body(body: impl Into<Bytes>) -> Self {
        Self {
            fields: Fields::default(),
            body: body.into(),
        }
    }
}

/// Encodes a frame and appends it to `out`.
pub fn encode_frame(head: &FrameHead<'_>, payload: &Payload, out: &mut Vec<u8>) {
    encode_frame_start(head, payload, out);
    out.extend_from_slice(&payload.body);
}

/// Encodes a frame without its body, which has to follow, and appends it to `out`.
pub fn encode_frame_start(head: &FrameHead<'_>, payload: &Payload, out: &mut Vec<u8>) {
    let start = out.len();
    out.extend_from_slice(&[0; LENGTHS_BYTES]);
    let buffer = std::mem::take(out);
    *out = postcard::to_extend(head, buffer).expect("a wire type always encodes");
    let head_bytes = out.len() - start - LENGTHS_BYTES;
    let fields = payload.fields.as_bytes();
    out.extend_from_slice(fields);
    let frame_bytes = out.len() - start + payload.body.len();
    for (index, length) in [frame_bytes, head_bytes, fields.len()]
        .into_iter()
        .enumerate()
    {
        let offset = start + 4 * index;
        out[offset..offset + 4].copy_from_slice(&(length as u32).to_le_bytes());
    }
}

/// A frame that borrows the bytes read from a link.
#[derive(Clone, Copy, Debug)]
pub struct Frame<'a> {
    /// Head, header fields and body.
    bytes: &'a [u8],
    /// The same if it was read into memory of its own.
    shared: Option<&'a Bytes>,
    head_bytes: usize,
    fields_bytes: usize,
    is_body_dropped: bool,
}

impl<'a> Frame<'a> {
    /// Parses the frame at the start of the bytes. Returns it with its length, or `None` if it
    /// is incomplete.
    fn parse_first(bytes: &'a [u8]) -> Result<Option<(Self, usize)>, WireError> {
        let lengths = [0, 4, 8].map(|offset| length_at(bytes, offset));
        let [Some(frame_bytes), Some(head_bytes), Some(fields_bytes)] = lengths else {
            return Ok(None);
        };
        if frame_bytes > FRAME_LIMIT_BYTES {
            return Err(WireError::TooLong);
        }
        let fields_end = LENGTHS_BYTES
            .checked_add(head_bytes)
            .and_then(|head_end| head_end.checked_add(fields_bytes));
        if fields_end.is_none_or(|fields_end| fields_end > frame_bytes) {
            return Err(WireError::Malformed);
        }
        let frame = bytes.get(LENGTHS_BYTES..frame_bytes).map(|bytes| Self {
            bytes,
            shared: None,
            head_bytes,
            fields_bytes,
            is_body_dropped: false,
        });
        Ok(frame.map(|frame| (frame, frame_bytes)))
    }

    /// Decodes the head.
    ///
    /// # Errors
    ///
    /// [`WireError`] if the head can't be decoded; the link can't be used any more.
    pub fn head(&self) -> Result<FrameHead<'a>, WireError> {
        postcard::from_bytes(&self.bytes[..self.head_bytes]).map_err(|_| WireError::Malformed)
    }

    /// Whether the body was dropped, since there was no memory for it.
    pub fn is_body_dropped(&self) -> bool {
        self.is_body_dropped
    }

    /// Returns the body; empty if it was dropped.
    pub fn body(&self) -> &'a [u8] {
        &self.bytes[self.head_bytes + self.fields_bytes..]
    }

    /// Returns the header fields and the body: a copy, unless the frame has memory of its own.
    ///
    /// # Errors
    ///
    /// [`WireError`] if the header fields can't be read; the link can't be used any more.
    pub fn payload(&self) -> Result<Payload, WireError> {
        let rest = self.to_bytes().slice(self.head_bytes..);
        parse_payload(rest, self.fields_bytes)
    }

    /// Returns the frame with its bytes: a copy, unless the frame has memory of its own.
    ///
    /// # Errors
    ///
    /// [`WireError`] if the header fields can't be read; the link can't be used any more.
    pub fn to_owned_frame(&self) -> Result<OwnedFrame, WireError> {
        let mut bytes = self.to_bytes();
        let head = bytes.split_to(self.head_bytes);
        let payload = parse_payload(bytes, self.fields_bytes)?;
        Ok(OwnedFrame { head, payload })
    }

    fn to_bytes(self) -> Bytes {
        let copy = || Bytes::copy_from_slice(self.bytes);
        self.shared.map_or_else(copy, Bytes::clone)
    }
}

fn parse_payload(mut bytes: Bytes, fields_bytes: usize) -> Result<Payload, WireError> {
    let fields = Fields::from_bytes(bytes.split_to(fields_bytes))?;
    let body = bytes;
    Ok(Payload { fields, body })
}

/// A frame that owns its bytes, in a single allocation.
#[derive(Clone, Debug)]
pub struct OwnedFrame {
    head: Bytes,
    /// Header fields and body.
    pub payload: Payload,
}

impl OwnedFrame {
    /// Decodes the head.
    ///
    /// # Errors
    ///
    /// [`WireError`] if the head can't be decoded.
    pub fn head(&self) -> Result<FrameHead<'_>, WireError> {
        postcard::from_bytes(&self.head).map_err(|_| WireError::Malformed)
    }
}

/// Memory for a large frame: turns its bytes into shared ones once they are complete.
pub type FrameMemory = Box<dyn FnOnce(Vec<u8>) -> Bytes>;

/// Splits the byte stream of a link into frames.
///
/// It holds memory only while a frame is incomplete, since a node has hundreds of links. A large frame
/// is read into memory that is taken for it first; if there is none, its body is dropped.
#[derive(Debug, Default)]
pub struct FrameReader {
    /// Start of an incomplete frame.
    partial: Vec<u8>,
    /// An incomplete large frame, if the next bytes belong to one.
    large: Option<LargeFrame>,
}

impl FrameReader {
    /// Reads the next bytes of the link and calls `on_frame` for each complete frame. `take_memory` is
    /// called with the size of each large one.
    ///
    /// # Errors
    ///
    /// [`WireError`] if the bytes aren't a valid frame, or the first error of `on_frame`; the
    /// link can't be used any more.
    pub fn read(
        &mut self,
        bytes: &[u8],
        mut take_memory: impl FnMut(usize) -> Option<FrameMemory>,
        mut on_frame: impl FnMut(Frame<'_>) -> Result<(), WireError>,
    ) -> Result<(), WireError> {
        let mut bytes = bytes;
        if let Some(large) = &mut self.large {
            bytes = large.read(bytes);
            if !large.is_complete() {
                return Ok(());
            }
            if let Some(large) = self.large.take() {
                large.finish(&mut on_frame)?;
            }
        }
        if self.partial.is_empty() {
            let consumed_bytes = read_complete_frames(bytes, &mut on_frame)?;
            return self.keep_rest(&bytes[consumed_bytes..], &mut take_memory);
        }
        let mut partial = std::mem::take(&mut self.partial);
        partial.extend_from_slice(bytes);
        let consumed_bytes = read_complete_frames(&partial, &mut on_frame)?;
        if consumed_bytes == 0 && !is_start_of_large(&partial) {
            self.partial = partial;
            return Ok(());
        }
        self.keep_rest(&partial[consumed_bytes..], &mut take_memory)
    }

    /// Keeps the start of an incomplete frame.
    fn keep_rest(
        &mut self,
        rest: &[u8],
        take_memory: &mut impl FnMut(usize) -> Option<FrameMemory>,
    ) -> Result<(), WireError> {
        if is_start_of_large(rest) {
            let mut large = LargeFrame::begin(rest, take_memory)?;
            large.read(rest);
            self.large = Some(large);
        } else {
            self.partial = rest.to_vec();
        }
        Ok(())
    }

    /// Size of the memory that it holds, in bytes.
    pub fn held_bytes(&self) -> usize {
        let large_bytes = self
            .large
            .as_ref()
            .map_or(0, |large| large.bytes.capacity());
        self.partial.capacity() + large_bytes
    }
}

/// Whether bytes begin with the lengths of a large frame.
fn is_start_of_large(bytes: &[u8]) -> bool {
    bytes.len() >= LENGTHS_BYTES
        && length_at(bytes, 0).is_some_and(|frame_bytes| frame_bytes > LARGE_FRAME_BYTES)
}

/// A large frame that is being read.
struct LargeFrame {
    /// What is kept of it: all, or all but its body.
    bytes: Vec<u8>,
    kept_bytes: usize,
    unread_bytes: usize,
    head_bytes: usize,
    fields_bytes: usize,
    /// `None` if there is none for the body.
    memory: Option<FrameMemory>,
}

impl LargeFrame {
    /// Takes the memory for the frame whose lengths begin `bytes`.
    fn begin(
        bytes: &[u8],
        take_memory: &mut impl FnMut(usize) -> Option<FrameMemory>,
    ) -> Result<Self, WireError> {
        // Checks the lengths; the frame itself is incomplete.
        Frame::parse_first(bytes)?;
        let lengths = [0, 4, 8].map(|offset| length_at(bytes, offset).unwrap_or_default());
        let [frame_bytes, head_bytes, fields_bytes] = lengths;
        let memory = take_memory(frame_bytes);
        let kept_bytes = match memory {
            Some(_) => frame_bytes,
            None => LENGTHS_BYTES + head_bytes + fields_bytes,
        };
        if memory.is_none() && kept_bytes > HEAD_LIMIT_BYTES {
            return Err(WireError::TooLong);
        }
        Ok(Self {
            bytes: Vec::with_capacity(kept_bytes),
            kept_bytes,
            unread_bytes: frame_bytes,
            head_bytes,
            fields_bytes,
            memory,
        })
    }

    /// Reads bytes of the frame; returns those behind it.
    fn read<'b>(&mut self, bytes: &'b [u8]) -> &'b [u8] {
        let (own, behind) = bytes.split_at(self.unread_bytes.min(bytes.len()));
        self.unread_bytes -= own.len();
        let room_bytes = self.kept_bytes - self.bytes.len();
        self.bytes
            .extend_from_slice(&own[..room_bytes.min(own.len())]);
        behind
    }

    fn is_complete(&self) -> bool {
        self.unread_bytes == 0
    }

    fn finish(
        self,
        on_frame: &mut impl FnMut(Frame<'_>) -> Result<(), WireError>,
    ) -> Result<(), WireError> {
        let is_body_dropped = self.memory.is_none();
        let bytes = match self.memory {
            Some(share) => share(self.bytes),
            None => Bytes::from(self.bytes),
        };
        let bytes = bytes.slice(LENGTHS_BYTES..);
        on_frame(Frame {
            bytes: &bytes,
            shared: Some(&bytes),
            head_bytes: self.head_bytes,
            fields_bytes: self.fields_bytes,
            is_body_dropped,
        })
    }
}

impl fmt::Debug for LargeFrame {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut formatter = formatter.debug_struct("LargeFrame");
        formatter.field("unread_bytes", &self.unread_bytes);
        formatter.finish_non_exhaustive()
    }
}

/// Calls `on_frame` for each complete frame. Returns their total length.
fn read_complete_frames(
    bytes: &[u8],
    mut on_frame: impl FnMut(Frame<'_>) -> Result<(), WireError>,
) -> Result<usize, WireError> {
    let mut consumed_bytes = 0;
    while let Some((frame, frame_bytes)) = Frame::parse_first(&bytes[consumed_bytes..])? {
        on_frame(frame)?;
        consumed_bytes += frame_bytes;
    }
    Ok(consumed_bytes)
}

fn length_at(bytes: &[u8], offset: usize) -> Option<usize> {
    let four = bytes.get(offset..offset + 4)?;
    let four = four.try_into().expect("a slice of four bytes");
    Some(u32::from_le_bytes(four) as usize)
}
