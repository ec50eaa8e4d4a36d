//! Outputs of the core, sorted by who waits for them.

use std::{net::SocketAddr, time::Duration};

use kumquatquay_core::{AppendId, AttemptId, CallEnding, ReadId, Refusal, RunWork, StartAttempt};
use kumquatquay_wire::{AnswerContext, Datagram, LogOffset, StreamName};

/// For the task that drives one call.
#[derive(Debug)]
pub(crate) enum CallEvent {
    /// Send this attempt.
    Start(StartAttempt),
    /// Give this attempt up.
    Cancel(AttemptId),
    /// Answer the call.
    Finish(CallEnding),
}

/// For the task that drives one piece of work.
#[derive(Debug)]
pub(crate) enum WorkEvent {
    /// Hand it to the backend server.
    Run(RunWork),
    /// Refuse it.
    Refuse(Refusal, AnswerContext),
    /// Pass the backend server's answer on.
    Answer(AnswerContext),
    /// Give it up.
    Cancel,
}

/// For the tasks that talk to other nodes and to the log.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Send a control datagram.
    Send { to: SocketAddr, datagram: Datagram },
    /// Ask another node for bulk state.
    BulkAsk { to: SocketAddr, question: Vec<u8> },
    /// Append to the log.
    Append {
        append: AppendId,
        stream: StreamName,
        record: Vec<u8>,
    },
    /// Read from the log.
    Read {
        read: ReadId,
        stream: StreamName,
        from: LogOffset,
        wait: Duration,
    },
}
