//! A run at the backend server of this host, as the parts of the node that follow runs see it.

use std::time::Duration;

use kumquatquay_core::routed::{RunId, RunStart};
use kumquatquay_wire::routed::CallHead;

use super::node::RoutedNode;

/// A run at the backend server. It is reported to the call graph, the tracer and the liveness
/// check when it starts and, on drop, when it ends.
pub(super) struct BackendRun<'a> {
    node: &'a RoutedNode,
    call: &'a CallHead<'a>,
    number: RunId,
    start: RunStart,
    /// Whether the backend server answered or the connection failed, within the time left.
    pub(super) has_result: bool,
    /// Whether it answered this call with a success.
    pub(super) is_success: bool,
}

impl<'a> BackendRun<'a> {
    pub(super) fn new(
        node: &'a RoutedNode,
        call: &'a CallHead<'a>,
        time_left: Duration,
        is_repeat: bool,
    ) -> Self {
        let now = node.now();
        let deadline = now + time_left;
        if is_repeat {
            let mut repeated_runs = node.repeated_runs.borrow_mut();
            repeated_runs.on_start(now, time_left);
        }
        let number =
            node.call_tracer
                .borrow_mut()
                .run_started(call.route, call.request_priority, deadline);
        node.call_graph.borrow_mut().run_started(now, call.route);
        node.backend_liveness.borrow_mut().call_started(now);
        Self {
            node,
            call,
            number,
            start: node.call_free_routes.borrow().run_started(),
            has_result: false,
            is_success: false,
        }
    }
}

impl Drop for BackendRun<'_> {
    fn drop(&mut self) {
        let now = self.node.now();
        self.node
            .call_graph
            .borrow_mut()
            .run_ended(now, self.call.route);
        if self.is_success {
            let mut call_free_routes = self.node.call_free_routes.borrow_mut();
            call_free_routes.run_succeeded(now, self.call.route, self.start);
        }
        let mut tracer = self.node.call_tracer.borrow_mut();
        tracer.run_ended(now, self.number, self.is_success);
        self.node
            .backend_liveness
            .borrow_mut()
            .call_ended(now, self.has_result);
    }
}
