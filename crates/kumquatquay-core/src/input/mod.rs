//! What a host tells its node.

mod backend_input;
mod bulk_input;
mod call_input;
mod log_input;
mod operator_input;
mod work_input;

pub use backend_input::{Announcement, BackendInput};
pub use bulk_input::BulkInput;
pub use call_input::{
    AnswerHead, AttemptEnded, AttemptResult, CallArrived, CallInput, CallOrigin, IssueOperation,
    StoredAnswer,
};
pub use log_input::{LogInput, LogRecord};
pub use operator_input::OperatorInput;
pub use work_input::{WorkInput, WorkResult};

use std::{net::SocketAddr, time::Duration};

use derive_more::From;
use kumquatquay_wire::Datagram;

/// One thing that happened.
#[derive(Clone, Debug, From)]
pub enum Input {
    /// Time passed; the host sends it again after
    /// [`Node::tick_interval`](crate::Node::tick_interval) at the latest.
    #[from(skip)]
    Tick,
    /// The host was asked to stop: no new work from now on, and
    /// [`Output::StopNow`](crate::Output::StopNow) once nothing is under way or
    /// the grace has run out.
    #[from(skip)]
    Stopping {
        /// The longest that the stop may take.
        grace: Duration,
    },
    /// About a call that leaves through this node.
    Call(CallInput),
    /// About work for the backend server of this host.
    Work(WorkInput),
    /// About the backend server of this host.
    Backend(BackendInput),
    /// Control addresses that the host found in a register of nodes.
    #[from(skip)]
    Seeds(Vec<SocketAddr>),
    /// An authenticated control datagram arrived.
    Datagram(Datagram),
    /// A bulk exchange with another node ended.
    Bulk(BulkInput),
    /// An exchange with the platform's log ended.
    Log(LogInput),
    /// An operator asks something.
    Operator(OperatorInput),
}
