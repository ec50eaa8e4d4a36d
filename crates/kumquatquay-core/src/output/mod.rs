//! What a node tells its host to do.

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

/// One thing to do.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send an attempt of a call to a node.
    StartAttempt(StartAttempt),
    /// Give up an attempt; its answer is not wanted any more.
    CancelAttempt {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Answer a call.
    FinishCall {
        /// The call.
        call: CallId,
        /// How.
        ending: CallEnding,
    },
    /// Answer a request for an operation id.
    OperationIssued(OperationIssued),
    /// Hand a piece of work to the backend server.
    RunWork(RunWork),
    /// Refuse a piece of work that was never handed over.
    RefuseWork {
        /// The work.
        work: WorkId,
        /// Why.
        refusal: Refusal,
        /// Goes with the answer.
        context: AnswerContext,
    },
    /// Pass the backend server's answer on.
    AnswerWork {
        /// The work.
        work: WorkId,
        /// Goes with the answer.
        context: AnswerContext,
    },
    /// Tell the backend server to give up a piece of work.
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
    /// Ask another node for bulk state over TCP.
    BulkAsk {
        /// Control address of the other node.
        to: SocketAddr,
        /// The question; the host authenticates it.
        question: Vec<u8>,
    },
    /// Answer a bulk question.
    BulkAnswer {
        /// From [`BulkInput::Asked`](crate::BulkInput::Asked).
        exchange: u64,
        /// The answer; the host authenticates it.
        answer: Vec<u8>,
    },
    /// Append a record to a stream of the platform's log.
    Append {
        /// Names the append in its answer.
        append: AppendId,
        /// The stream.
        stream: StreamName,
        /// The record.
        record: Vec<u8>,
    },
    /// Read a stream of the platform's log.
    Read {
        /// Names the read in its answer.
        read: ReadId,
        /// The stream.
        stream: StreamName,
        /// The first offset wanted.
        from: LogOffset,
        /// How long the log may wait for a new record.
        wait: Duration,
    },
    /// Stop; answers [`Input::Stopping`](crate::Input::Stopping).
    StopNow {
        /// Calls and work that are still under way since the grace ran out;
        /// 0 after a clean stop.
        aborted_count: usize,
    },
    /// Answer an operator.
    Operator(OperatorOutput),
    /// Write a line to the node's log.
    Note(Note),
}
