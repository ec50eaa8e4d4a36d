//! What becomes of a call that is sent to another node.

use std::{cell::Cell, rc::Rc};

use kumquatquay_wire::routed::{
    GateReport, LinkOutcome, NotRunReason, Payload, RouteNews, ServicePressure, UnknownReason,
};

/// Whether a call may have been handed to a backend server. While it may not, its caller
/// can be told truly that it has not run.
#[derive(Clone, Debug, Default)]
pub(crate) struct MayHaveRun(Rc<Cell<bool>>);

impl MayHaveRun {
    pub(crate) fn set(&self) {
        self.0.set(true);
    }

    /// The backend server has said that it did not run the call.
    pub(crate) fn clear(&self) {
        self.0.set(false);
    }

    pub(crate) fn get(&self) -> bool {
        self.0.get()
    }
}

/// What came of a call that was sent over a link.
#[derive(Clone, Debug)]
pub(crate) struct LinkAnswer {
    pub(crate) outcome: LinkOutcome,
    pub(crate) payload: Payload,
    /// Whether the backend server said with it that it leaves.
    pub(crate) is_leaving: bool,
    pub(crate) report: Option<GateReport>,
    pub(crate) news: Option<RouteNews>,
    pub(crate) pressures: Vec<ServicePressure>,
}

impl LinkAnswer {
    pub(crate) fn not_run(reason: NotRunReason) -> Self {
        Self::without_body(LinkOutcome::NotRun(reason))
    }

    pub(crate) fn unknown(reason: UnknownReason) -> Self {
        Self::without_body(LinkOutcome::Unknown(reason))
    }

    /// Whether the call was answered with a success.
    pub(crate) fn is_success(&self) -> bool {
        matches!(self.outcome, LinkOutcome::Answered { status } if status < 400)
    }

    /// Whether a backend server ran the call and brought nothing of use.
    pub(crate) fn is_failed_run(&self) -> bool {
        match self.outcome {
            LinkOutcome::Answered { status } => status >= 500,
            LinkOutcome::Unknown(_) => true,
            LinkOutcome::NotRun(_) => false,
        }
    }

    /// This answer if it is a backend server's, or else what another attempt of the same
    /// call brings. That the other one has not run says nothing of this one.
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
            news: None,
            pressures: Vec::new(),
        }
    }
}
