//! Frames on a link between two nodes.

use std::{borrow::Cow, net::SocketAddr};

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{
    Fields, GateReport, Priority, QuotaVerdict, RouteEstimate, ServicePressure, SliceSets,
    SyncState, WorkspaceName,
};
use crate::{BackendLife, WireError};

/// Names a call on one link, in the direction from the node that sent it.
pub type CallNumber = u64;

/// Bytes of the three lengths that begin a frame.
const LENGTHS_BYTES: usize = 12;

/// The longest frame, in bytes; a body may take nearly all of it.
const FRAME_LIMIT_BYTES: usize = 80 * 1024 * 1024;

/// The longest body of a frame, in bytes; what is left is for its head and its fields.
pub const BODY_LIMIT_BYTES: usize = FRAME_LIMIT_BYTES - 1024 * 1024;

/// What a frame says; header fields and a body may follow it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FrameHead<'a> {
    /// A call; its header fields and its request body follow.
    #[serde(borrow)]
    Call(CallHead<'a>),
    /// The caller has left or the time is over: the answer is not wanted.
    Cancel {
        /// The call.
        number: CallNumber,
    },
    /// There is room for a call that may run once at most, which is handed over as soon
    /// as its sender commits to it.
    Granted {
        /// The call.
        number: CallNumber,
    },
    /// The call may be handed over now; before this it has not run.
    Commit {
        /// The call.
        number: CallNumber,
    },
    /// The answer to a call; its header fields and its response body follow.
    Answer(AnswerHead),
    /// Asks for a [`FrameHead::Pong`], which shows that the link still works.
    Ping {
        /// How far the sender follows the configuration.
        #[serde(rename = "followed")]
        sync_state: SyncState,
        /// When it was asked, by the sender's clock, in milliseconds.
        asked_ms: u64,
    },
    /// Answers a [`FrameHead::Ping`].
    Pong {
        /// How far the sender follows the configuration.
        #[serde(rename = "followed")]
        sync_state: SyncState,
        /// What the question said.
        asked_ms: u64,
    },
    /// A keeper of quotas asks for a loan of what the receiver owns.
    #[serde(rename = "LoanAsk")]
    LoanRequest {
        /// Control address of the keeper.
        borrower: SocketAddr,
        /// What it keeps.
        wanted: SliceSets,
        /// When it was asked, by the keeper's clock, in milliseconds.
        asked_ms: u64,
    },
    /// Answers a [`FrameHead::LoanRequest`].
    Loan {
        /// Control address of the lender.
        lender: SocketAddr,
        /// What is lent.
        granted: SliceSets,
        /// What the question said.
        asked_ms: u64,
        /// Nodes among which quotas are split.
        nodes_count: u32,
    },
    /// Asks a keeper for a token.
    #[serde(rename = "QuotaAsk")]
    QuotaRequest {
        /// Names the question in its answer.
        number: u64,
        /// Whose request it is.
        workspace: WorkspaceName,
    },
    /// Answers a [`FrameHead::QuotaRequest`].
    QuotaAnswer {
        /// The question.
        number: u64,
        /// Whether there was a token.
        verdict: QuotaVerdict,
    },
    /// Gives a token back to a keeper: the request has not run.
    QuotaReturn {
        /// Whose request it was.
        workspace: WorkspaceName,
    },
    /// Asks for the configuration in force at the receiver.
    #[serde(rename = "ConfigurationAsk")]
    ConfigurationRequest,
    /// A configuration; a `RouteConfiguration` by `postcard` follows as the body.
    Configuration,
}

/// A call, without its header fields and its body.
///
/// It borrows its texts, so that none is allocated for a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallHead<'a> {
    /// Names the call in its answer.
    pub number: CallNumber,
    /// Name of its route.
    pub route: &'a str,
    /// Service that is to run it.
    pub service: &'a str,
    /// Life of the backend server that is meant.
    pub life: Option<Cow<'a, BackendLife>>,
    /// Service on the host where the call began.
    pub caller_service: &'a str,
    /// Workspace that holds the caller's key.
    pub workspace: Option<&'a str>,
    /// The id that the caller gave it.
    pub attempt: &'a str,
    /// Rank of its route.
    pub priority: Priority,
    /// Rank of the route on which the whole request came in; that of this route if it isn't
    /// known which request the call belongs to.
    #[serde(rename = "whole_priority")]
    pub request_priority: Priority,
    /// Time within which its answer is worth most, in milliseconds.
    pub target_latency_ms: u64,
    /// Level of the service as the sender knows it, in thousandths.
    pub level_permille: u16,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// Whether it is handed over only once its sender has committed to it.
    pub needs_commit: bool,
    /// The rate limit that the backend server told this sender, for a gate that has started anew.
    pub known_limit: Option<KnownLimit>,
    /// Whether it runs although the backend server fails what it runs: its sender has been
    /// told of one that does.
    pub accepts_failing: bool,
    /// Time that is left to answer it, in milliseconds.
    pub remaining_ms: u64,
    /// How far the sender follows the configuration.
    #[serde(rename = "followed")]
    pub sync_state: SyncState,
    /// Request method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
}

/// A rate limit that a backend server told a caller with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownLimit {
    /// Calls a second that it takes of all callers together, in thousandths.
    pub limit_milli_per_s: u64,
    /// How long ago it was told, in milliseconds.
    pub age_ms: u64,
}

impl KnownLimit {
    /// So many calls a second, told now.
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
    /// The call that it answers.
    pub number: CallNumber,
    /// What became of the call.
    pub outcome: LinkOutcome,
    /// Whether the backend server said in its answer that it leaves.
    pub is_leaving: bool,
    /// How busy the backend server is.
    pub report: GateReport,
    /// How far the sender follows the configuration.
    #[serde(rename = "followed")]
    pub sync_state: SyncState,
    /// What the sender knows of the call's route, where it wasn't told just before.
    #[serde(rename = "news")]
    pub route_estimate: Option<RouteEstimate>,
    /// Pressure on the services that the route leads to.
    pub pressures: Vec<ServicePressure>,
}

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkOutcome {
    /// The backend server answered in full.
    Answered {
        /// Status of its answer.
        status: u16,
    },
    /// The backend server has not begun to run it and never will.
    NotRun(NotRunReason),
    /// It may have run.
    Unknown(UnknownReason),
}

/// Why a call has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
pub enum NotRunReason {
    /// The gate has no room before the deadline.
    #[display("full")]
    Full,
    /// The backend server that is meant isn't there or is leaving.
    #[display("closed")]
    Closed,
    /// The backend server turned it away: a send counts as made.
    #[display("turned_away")]
    TurnedAway,
    /// The time was over before it could run.
    #[display("late")]
    Late,
    /// It could not be sent to the other node.
    #[display("unsent")]
    Unsent,
    /// The backend server fails what it runs, and the call may run once at most.
    #[display("failing")]
    Failing,
    /// It is held back because it seems to crash what runs it.
    #[display("quarantined")]
    Quarantined,
    /// The backend server takes no more calls a second.
    #[display("limited")]
    Limited,
}

/// Why it is not known whether a call has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
pub enum UnknownReason {
    /// The link to the other node was lost.
    #[display("link_lost")]
    LinkLost,
    /// The connection to the backend server broke.
    #[display("backend_broke")]
    BackendBroke,
    /// What the backend server sent is no answer to this call.
    #[display("garbled")]
    Garbled,
    /// No answer came in time.
    #[display("no_answer")]
    NoAnswer,
}

/// What a call or an answer carries beside its head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Payload {
    /// Header fields, without those of one connection.
    pub fields: Fields,
    /// The body.
    pub body: Bytes,
}

impl Payload {
    /// A body without header fields.
    pub fn from_body(body: impl Into<Bytes>) -> Self {
        Self {
            fields: Fields::default(),
            body: body.into(),
        }
    }
}

/// Encodes a frame behind what `out` already holds.
pub fn encode_frame(head: &FrameHead<'_>, payload: &Payload, out: &mut Vec<u8>) {
    let start = out.len();
    out.extend_from_slice(&[0; LENGTHS_BYTES]);
    let filled = std::mem::take(out);
    *out = postcard::to_extend(head, filled).expect("a wire type always encodes");
    let head_bytes = out.len() - start - LENGTHS_BYTES;
    let fields = payload.fields.as_bytes();
    out.reserve(fields.len() + payload.body.len());
    out.extend_from_slice(fields);
    out.extend_from_slice(&payload.body);
    let frame_bytes = out.len() - start;
    for (place, length) in [frame_bytes, head_bytes, fields.len()]
        .into_iter()
        .enumerate()
    {
        let place = start + 4 * place;
        out[place..place + 4].copy_from_slice(&(length as u32).to_le_bytes());
    }
}

/// A frame where it lies in the bytes of a link.
#[derive(Clone, Copy, Debug)]
pub struct Frame<'a> {
    /// Head, header fields and body.
    bytes: &'a [u8],
    head_bytes: usize,
    fields_bytes: usize,
}

impl<'a> Frame<'a> {
    /// The frame with which these bytes begin, if all of it is there, and its length.
    fn first_of(bytes: &'a [u8]) -> Result<Option<(Self, usize)>, WireError> {
        let lengths = [0, 4, 8].map(|place| length_at(bytes, place));
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
            head_bytes,
            fields_bytes,
        });
        Ok(frame.map(|frame| (frame, frame_bytes)))
    }

    /// What it says.
    ///
    /// # Errors
    ///
    /// [`WireError`] if that can't be read; the link can't be used any more.
    pub fn head(&self) -> Result<FrameHead<'a>, WireError> {
        postcard::from_bytes(&self.bytes[..self.head_bytes]).map_err(|_| WireError::Malformed)
    }

    /// Its body.
    pub fn body(&self) -> &'a [u8] {
        &self.bytes[self.head_bytes + self.fields_bytes..]
    }

    /// What it carries beside its head, in memory of its own.
    ///
    /// # Errors
    ///
    /// [`WireError`] if the header fields can't be read; the link can't be used any more.
    pub fn payload(&self) -> Result<Payload, WireError> {
        let rest = &self.bytes[self.head_bytes..];
        payload_of(Bytes::copy_from_slice(rest), self.fields_bytes)
    }

    /// The whole of it, in memory of its own.
    ///
    /// # Errors
    ///
    /// [`WireError`] if the header fields can't be read; the link can't be used any more.
    pub fn to_owned_frame(&self) -> Result<OwnedFrame, WireError> {
        let mut bytes = Bytes::copy_from_slice(self.bytes);
        let head = bytes.split_to(self.head_bytes);
        let payload = payload_of(bytes, self.fields_bytes)?;
        Ok(OwnedFrame { head, payload })
    }
}

fn payload_of(mut bytes: Bytes, fields_bytes: usize) -> Result<Payload, WireError> {
    let fields = Fields::from_bytes(bytes.split_to(fields_bytes))?;
    let body = bytes;
    Ok(Payload { fields, body })
}

/// A frame in memory of its own; one allocation holds all of it.
#[derive(Clone, Debug)]
pub struct OwnedFrame {
    head: Bytes,
    /// What it carries beside its head.
    pub payload: Payload,
}

impl OwnedFrame {
    /// What it says.
    ///
    /// # Errors
    ///
    /// [`WireError`] if that can't be read.
    pub fn head(&self) -> Result<FrameHead<'_>, WireError> {
        postcard::from_bytes(&self.head).map_err(|_| WireError::Malformed)
    }
}

/// Takes frames out of the bytes of a link.
///
/// It holds no memory while no frame is there in part: a node has hundreds of links.
#[derive(Debug, Default)]
pub struct FrameReader {
    /// The beginning of a frame.
    rest: Vec<u8>,
}

impl FrameReader {
    /// Takes in the next bytes of the link and hands on each frame that is whole by now.
    ///
    /// # Errors
    ///
    /// [`WireError`] if the bytes are no frame, or the first one that `take` returned; the link
    /// can't be used any more.
    pub fn read(
        &mut self,
        bytes: &[u8],
        mut take: impl FnMut(Frame<'_>) -> Result<(), WireError>,
    ) -> Result<(), WireError> {
        if self.rest.is_empty() {
            let taken_bytes = take_whole(bytes, &mut take)?;
            self.rest = bytes[taken_bytes..].to_vec();
            return Ok(());
        }
        self.rest.extend_from_slice(bytes);
        let taken_bytes = take_whole(&self.rest, &mut take)?;
        if taken_bytes > 0 {
            self.rest = self.rest[taken_bytes..].to_vec();
        }
        Ok(())
    }

    /// Bytes of memory that it holds.
    pub fn held_bytes(&self) -> usize {
        self.rest.capacity()
    }
}

/// Hands on the frames that are whole; the length of all of them.
fn take_whole(
    bytes: &[u8],
    mut take: impl FnMut(Frame<'_>) -> Result<(), WireError>,
) -> Result<usize, WireError> {
    let mut taken_bytes = 0;
    while let Some((frame, frame_bytes)) = Frame::first_of(&bytes[taken_bytes..])? {
        take(frame)?;
        taken_bytes += frame_bytes;
    }
    Ok(taken_bytes)
}

fn length_at(bytes: &[u8], place: usize) -> Option<usize> {
    let four = bytes.get(place..place + 4)?;
    let four = four.try_into().expect("a slice of four bytes");
    Some(u32::from_le_bytes(four) as usize)
}
