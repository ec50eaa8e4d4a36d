//! Who waits for outputs of the core.

use std::collections::HashMap;

use kumquatquay_core::{CallId, OperationIssued, OperatorRequestId, WorkId};
use kumquatquay_wire::OperatorReply;
use tokio::sync::{mpsc::UnboundedSender, oneshot};

use super::events::{CallEvent, WorkEvent};

/// Who waits for outputs, by the id that the output names.
#[derive(Debug, Default)]
pub(crate) struct Waiters {
    pub(crate) calls: HashMap<CallId, UnboundedSender<CallEvent>>,
    pub(crate) works: HashMap<WorkId, UnboundedSender<WorkEvent>>,
    pub(crate) operators: HashMap<OperatorRequestId, oneshot::Sender<OperatorReply>>,
    pub(crate) issues: HashMap<CallId, oneshot::Sender<OperationIssued>>,
    pub(crate) exchanges: HashMap<u64, oneshot::Sender<Vec<u8>>>,
}

impl Waiters {
    /// Passes an event on; one whose waiter has gone is of no use to anyone.
    pub(crate) fn tell_call(&mut self, call: CallId, event: CallEvent) {
        if let Some(waiter) = self.calls.get(&call) {
            let _ = waiter.send(event);
        }
    }

    /// Passes an event on; one whose waiter has gone is of no use to anyone.
    pub(crate) fn tell_work(&mut self, work: WorkId, event: WorkEvent) {
        if let Some(waiter) = self.works.get(&work) {
            let _ = waiter.send(event);
        }
    }
}
