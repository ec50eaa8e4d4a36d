//! Outputs: actions that a node requests of its host.

mod call_output;
mod note;
mod operator_output;
mod refusal;
mod work_output;

pub use call_output::{CallEnding, OperationIssued, StartAttempt};
pub use note::{Note, Severity};
pub use operator_output::OperatorOutput;
pub use refusal::{Refusal, RefusalReason};
pub use work_output::RunWork;

use std::{net::SocketAddr, time::Duration};

use kumquatquay_wire::{AnswerContext, Datagram, LogOffset, StreamName};

use crate::{AppendId, AttemptId, CallId, ReadId, WorkId};

/// An action that the host has to carry out.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send an attempt of a call to a node.
    StartAttempt(StartAttempt),
    /// Cancel an attempt, whose answer is no longer needed.
    CancelAttempt {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// End a call with an answer or a refusal.
    FinishCall {
        /// The call.
        call: CallId,
        /// How the call ends.
        ending: CallEnding,
    },
    /// Answer a request for an operation id.
    OperationIssued(OperationIssued),
    /// Send a piece of work to the backend server.
    RunWork(RunWork),
    /// Refuse a piece of work that was not sent to the backend server.
    RefuseWork {
        /// The work.
        work: WorkId,
        /// The refusal.
        refusal: Refusal,
        /// Context to send with the answer.
        context: AnswerContext,
    },
    /// Forward the answer of the backend server, or report the failure of the work.
    AnswerWork {
        /// The work.
        work: WorkId,
        /// Context to send with the answer.
        context: AnswerContext,
    },
    /// Cancel a piece of work at the backend server.
    CancelWork {
        /// The work.
        work: WorkId,
    },
    /// Send a control datagram.
    Send {
        /// Control address of the receiver.
        to: SocketAddr,
        /// The datagram.
        datagram: Datagram,
    },
    /// Ask another node for state over TCP.
    BulkAsk {
        /// Control address of the other node.
        to: SocketAddr,
        /// The question; the host authenticates it.
        question: Vec<u8>,
    },
    /// Answer a bulk question.
    BulkAnswer {
        /// Id of the exchange, from [`BulkInput::Asked`](crate::BulkInput::Asked).
        exchange: u64,
        /// The answer; the host authenticates it.
        answer: Vec<u8>,
    },
    /// Append a record to a stream of the platform's log.
    Append {
        /// Id of the append, for its answer.
        append: AppendId,
        /// The stream.
        stream: StreamName,
        /// The record.
        record: Vec<u8>,
    },
    /// Read a stream of the platform's log.
    Read {
        /// Id of the read, for its answer.
        read: ReadId,
        /// The stream.
        stream: StreamName,
        /// The first offset to read.
        from: LogOffset,
        /// How long the log may hold the read until there is a new record (long poll).
        wait: Duration,
    },
    /// Stop now; answers [`Input::Stopping`](crate::Input::Stopping).
    StopNow {
        /// Calls and work that were still under way when the grace period ended and are aborted;
        /// 0 after a clean stop.
        aborted_count: usize,
    },
    /// Answer an operator's command.
    Operator(OperatorOutput),
    /// Write a line to the log of the node's process.
    Note(Note),
}
