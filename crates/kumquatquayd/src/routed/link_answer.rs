//! Outcome of a call that is sent to another node.

use std::{cell::Cell, rc::Rc};

use kumquatquay_wire::routed::{
    GateReport, LinkOutcome, NotRunReason, Payload, RouteEstimate, ServicePressure, UnknownReason,
};

/// Shared flag: whether a call may have reached a backend server. While it is clear, the caller
/// can be told that the call has not run.
#[derive(Clone, Debug, Default)]
pub(crate) struct MayHaveRun(Rc<Cell<bool>>);

impl MayHaveRun {
    pub(crate) fn set(&self) {
        self.0.set(true);
    }

    /// Clears the flag after the backend server has stated that it did not run the call.
    pub(crate) fn clear(&self) {
        self.0.set(false);
    }

    pub(crate) fn get(&self) -> bool {
        self.0.get()
    }
}

/// Outcome of a call over a link, with what the other node reported along with it.
#[derive(Clone, Debug)]
pub(crate) struct LinkAnswer {
    pub(crate) outcome: LinkOutcome,
    pub(crate) payload: Payload,
    /// Whether the backend server stated in its answer that it is leaving.
    pub(crate) is_leaving: bool,
    pub(crate) report: Option<GateReport>,
    pub(crate) route_estimate: Option<RouteEstimate>,
    pub(crate) pressures: Vec<ServicePressure>,
}

impl LinkAnswer {
    pub(crate) fn not_run(reason: NotRunReason) -> Self {
        Self::without_body(LinkOutcome::NotRun(reason))
    }

    pub(crate) fn unknown(reason: UnknownReason) -> Self {
        Self::without_body(LinkOutcome::Unknown(reason))
    }

    /// Whether the call was answered with a status below 400.
    pub(crate) fn is_success(&self) -> bool {
        matches!(self.outcome, LinkOutcome::Answered { status } if status < 400)
    }

    /// Whether the call ran, or may have run, without a useful result.
    pub(crate) fn is_failed_run(&self) -> bool {
        match self.outcome {
            LinkOutcome::Answered { status } => status >= 500,
            LinkOutcome::Unknown(_) => true,
            LinkOutcome::NotRun(_) => false,
        }
    }

    /// Returns this answer if it comes from a backend server, else waits for that of another
    /// attempt of the same call. If the other attempt has not run, that doesn't make an unknown
    /// outcome of this one known.
    pub(crate) async fn or_other_attempt(self, other: impl Future<Output = Self>) -> Self {
        if matches!(self.outcome, LinkOutcome::Answered { .. }) {
            return self;
        }
        let other = other.await;
        match (&self.outcome, &other.outcome) {
            (LinkOutcome::Unknown(_), LinkOutcome::NotRun(_)) => self,
            _ => other,
        }
    }

    fn without_body(outcome: LinkOutcome) -> Self {
        Self {
            outcome,
            payload: Payload::default(),
            is_leaving: false,
            report: None,
            route_estimate: None,
            pressures: Vec::new(),
        }
    }
}
