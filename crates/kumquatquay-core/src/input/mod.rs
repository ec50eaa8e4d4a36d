//! Inputs: events that the host reports to its node.

mod backend_input;
mod bulk_input;
mod call_input;
mod log_input;
mod operator_input;
mod run_input;
mod work_input;

pub use backend_input::{Announcement, BackendInput};
pub use bulk_input::BulkInput;
pub use call_input::{
    AnswerHead, AttemptEnded, AttemptResult, CallArrived, CallInput, CallOrigin, IssueOperation,
    StoredAnswer,
};
pub use log_input::{LogInput, LogRecord};
pub use operator_input::OperatorInput;
pub use run_input::RunInput;
pub use work_input::{WorkInput, WorkResult};

use std::{net::SocketAddr, time::Duration};

use derive_more::From;
use kumquatquay_wire::{CrashReport, Datagram, ServiceName};

/// An event that the host reports to its node.
#[derive(Clone, Debug, From)]
pub enum Input {
    /// Time passed. The host sends the next tick after
    /// [`Node::tick_interval`](crate::Node::tick_interval) at the latest.
    #[from(skip)]
    Tick,
    /// The host was asked to stop. The node accepts no new work from now on, and returns
    /// [`Output::StopNow`](crate::Output::StopNow) once nothing is under way or the grace period
    /// is over.
    #[from(skip)]
    Stopping {
        /// Grace period: the longest time that the stop may take.
        grace: Duration,
    },
    /// An event of a call that leaves through this node.
    Call(CallInput),
    /// An event of work for the backend server of this host.
    Work(WorkInput),
    /// The end of a run of a call on a route.
    Run(RunInput),
    /// An event of the backend server of this host.
    Backend(BackendInput),
    /// A crash of a backend server that the host found in the platform's store.
    #[from(skip)]
    KeptCrash(CrashReport),
    /// The host has read all crashes that the platform's store keeps, or none can be kept yet.
    #[from(skip)]
    CrashesRead,
    /// Control address of another node that is to be asked for the crashes that it knows.
    #[from(skip)]
    AskForCrashes(SocketAddr),
    /// Other services to which routes to the service of this host are split.
    #[from(skip)]
    SiblingServices(Vec<ServiceName>),
    /// Control addresses of other nodes that the host found in a register.
    #[from(skip)]
    Seeds(Vec<SocketAddr>),
    /// An authenticated control datagram arrived.
    Datagram(Datagram),
    /// An event of a bulk exchange with another node.
    Bulk(BulkInput),
    /// An exchange with the platform's log ended.
    Log(LogInput),
    /// An operator sent a command.
    Operator(OperatorInput),
}
