//! Inputs about runs of calls on routes.

use crate::{WorkId, quarantine::speaks_for_request};

/// How a run that began with [`Node::begin_run`](crate::Node::begin_run) ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunInput {
    /// The backend server answered, and not with an error of its own.
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

impl RunInput {
    /// The end of a run with an answer of this HTTP status.
    pub fn answered(work: WorkId, status: u16) -> Self {
        if speaks_for_request(status) {
            Self::Answered { work }
        } else {
            Self::Failed { work }
        }
    }
}
