//! Inputs about runs of calls on routes.

use crate::WorkId;

/// How a run that began with [`Node::begin_run`](crate::Node::begin_run) ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunInput {
    /// The backend server answered.
    Answered {
        /// The run.
        work: WorkId,
    },
    /// The backend server answered with an error of its own. It has outlived the run, which may have ended
    /// before it did what crashes servers.
    Failed {
        /// The run.
        work: WorkId,
    },
    /// Its connection broke, or nobody waited for an answer any more.
    Broken {
        /// The run.
        work: WorkId,
    },
    /// The backend server did not get it, or rejected it.
    NotRun {
        /// The run.
        work: WorkId,
    },
}
