//! Frames on a link between two nodes.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{
    FollowState, GateReport, Priority, QuotaVerdict, RouteNews, ServicePressure, SliceSets,
    WorkspaceName,
};
use crate::{BackendLife, ServiceName, WireError};

/// Names a call on one link, in the direction from the node that sent it.
pub type CallNumber = u64;

/// A header field: its name and its value.
pub type HeaderField = (String, Vec<u8>);

/// Bytes of the two lengths that begin a frame.
const LENGTHS_BYTES: usize = 8;

/// The longest frame, in bytes; a body may take nearly all of it.
const FRAME_LIMIT_BYTES: usize = 80 * 1024 * 1024;

/// Bytes of a link's buffer that are kept while nothing waits in it.
///
/// A node keeps two links to each peer in each direction. Each buffer grows to the
/// longest body that it ever carried; kept, 240 of them hold up to 100 MB, and a host
/// gives its node 160.
const KEPT_BYTES: usize = 32 * 1024;

/// What a frame says; a body may follow it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FrameHead {
    /// A call; its request body follows.
    Call(CallHead),
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
    /// The answer to a call; its response body follows.
    Answer(AnswerHead),
    /// Asks for a [`FrameHead::Pong`], which shows that the link still works.
    Ping {
        /// How far the sender follows the configuration.
        followed: FollowState,
        /// When it was asked, by the sender's clock, in milliseconds.
        asked_ms: u64,
    },
    /// Answers a [`FrameHead::Ping`].
    Pong {
        /// How far the sender follows the configuration.
        followed: FollowState,
        /// What the question said.
        asked_ms: u64,
    },
    /// A keeper of quotas asks for a loan of what the receiver owns.
    LoanAsk {
        /// Control address of the keeper.
        keeper: SocketAddr,
        /// What it keeps.
        wanted: SliceSets,
        /// When it was asked, by the keeper's clock, in milliseconds.
        asked_ms: u64,
    },
    /// Answers a [`FrameHead::LoanAsk`].
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
    QuotaAsk {
        /// Names the question in its answer.
        number: u64,
        /// Whose request it is.
        workspace: WorkspaceName,
    },
    /// Answers a [`FrameHead::QuotaAsk`].
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
    ConfigurationAsk,
    /// A configuration; a `RouteConfiguration` by `postcard` follows as the body.
    Configuration,
}

/// A call, without its body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallHead {
    /// Names the call in its answer.
    pub number: CallNumber,
    /// Name of its route.
    pub route: String,
    /// Service that is to run it.
    pub service: ServiceName,
    /// Life of the backend server that is meant.
    pub life: Option<BackendLife>,
    /// Service on the host where the call began.
    pub caller_service: ServiceName,
    /// Workspace that holds the caller's key.
    pub workspace: Option<WorkspaceName>,
    /// The id that the caller gave it.
    pub attempt: String,
    /// Rank of its route.
    pub priority: Priority,
    /// Rank of the route on which the whole request came in; that of this route if it isn't
    /// known which request the call belongs to.
    pub whole_priority: Priority,
    /// Time within which its answer is worth most, in milliseconds.
    pub target_latency_ms: u64,
    /// Level of the service as the sender knows it, in thousandths.
    pub level_permille: u16,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// Whether it is handed over only once its sender has committed to it.
    pub needs_commit: bool,
    /// Whether it runs although the backend server fails what it runs: its sender has been
    /// told of one that does.
    pub accepts_failing: bool,
    /// Time that is left to answer it, in milliseconds.
    pub remaining_ms: u64,
    /// How far the sender follows the configuration.
    pub followed: FollowState,
    /// Request method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Header fields, without those of one connection.
    pub headers: Vec<HeaderField>,
}

/// An answer, without its body.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// The call that it answers.
    pub number: CallNumber,
    /// What became of the call.
    pub outcome: LinkOutcome,
    /// How busy the backend server is.
    pub report: GateReport,
    /// How far the sender follows the configuration.
    pub followed: FollowState,
    /// What the sender knows of the call's route, where it wasn't told just before.
    pub news: Option<RouteNews>,
    /// Pressure on the services that the route leads to.
    pub pressures: Vec<ServicePressure>,
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkOutcome {
    /// The backend server answered in full.
    Answered {
        /// Status of its answer.
        status: u16,
        /// Header fields of its answer, without those of one connection.
        headers: Vec<HeaderField>,
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

/// Encodes a frame behind what `out` already holds.
pub fn encode_frame(head: &FrameHead, body: &[u8], out: &mut Vec<u8>) {
    let start = out.len();
    out.extend_from_slice(&[0; LENGTHS_BYTES]);
    let filled = std::mem::take(out);
    *out = postcard::to_extend(head, filled).expect("a wire type always encodes");
    let head_bytes = out.len() - start - LENGTHS_BYTES;
    out.extend_from_slice(body);
    let frame_bytes = LENGTHS_BYTES + head_bytes + body.len();
    out[start..start + 4].copy_from_slice(&(frame_bytes as u32).to_le_bytes());
    out[start + 4..start + 8].copy_from_slice(&(head_bytes as u32).to_le_bytes());
}

/// Takes frames out of the bytes of a link.
#[derive(Debug, Default)]
pub struct FrameReader {
    bytes: Vec<u8>,
    read: usize,
}

impl FrameReader {
    /// Room for more bytes of the link; what is read goes to its end.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        if self.read > 0 {
            self.bytes.drain(..self.read);
            self.read = 0;
        }
        if self.bytes.is_empty() && self.bytes.capacity() > KEPT_BYTES {
            self.bytes = Vec::new();
        }
        &mut self.bytes
    }

    /// The next whole frame, if it is there: its head and its body.
    ///
    /// # Errors
    ///
    /// [`WireError`] if the bytes are no frame; the link can't be used any more.
    pub fn next_frame(&mut self) -> Result<Option<(FrameHead, Vec<u8>)>, WireError> {
        let rest = &self.bytes[self.read..];
        let (Some(frame_bytes), Some(head_bytes)) = (length_at(rest, 0), length_at(rest, 4)) else {
            return Ok(None);
        };
        if frame_bytes > FRAME_LIMIT_BYTES {
            return Err(WireError::TooLong);
        }
        let head_end = LENGTHS_BYTES + head_bytes;
        if head_end > frame_bytes {
            return Err(WireError::Malformed);
        }
        if rest.len() < frame_bytes {
            return Ok(None);
        }
        let head = postcard::from_bytes(&rest[LENGTHS_BYTES..head_end]);
        let head = head.map_err(|_| WireError::Malformed)?;
        let body = rest[head_end..frame_bytes].to_vec();
        self.read += frame_bytes;
        Ok(Some((head, body)))
    }
}

fn length_at(bytes: &[u8], place: usize) -> Option<usize> {
    let four = bytes.get(place..place + 4)?;
    let four = four.try_into().expect("a slice of four bytes");
    Some(u32::from_le_bytes(four) as usize)
}
