//! Arrivals at the backend server of this host, as the retry budget of its service counts them.

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use kumquatquay_wire::routed::{CallHead, RepeatCause};

/// Minimum interval between two log lines on repeats.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// An arrival of a call at the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Arrival {
    /// The first one of a call that no repeated run made.
    First,
    /// A repeat that its sender marked.
    Repeat(RepeatCause),
    /// A further one at this gate, after the backend server rejected the call.
    AgainAtGate,
}

impl Arrival {
    /// The arrival of a call with this attempt at this gate, from 1 on.
    pub(super) fn of_attempt(call: &CallHead<'_>, attempt: u32) -> Self {
        match call.repeat {
            _ if attempt > 1 => Self::AgainAtGate,
            None => Self::First,
            Some(cause) => Self::Repeat(cause),
        }
    }

    pub(super) fn is_repeat(self) -> bool {
        self != Self::First
    }

    /// Name in metrics.
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Repeat(RepeatCause::Resent) => "resent",
            Self::Repeat(RepeatCause::OfRepeatedRun) => "of_repeated_run",
            Self::AgainAtGate => "again_at_gate",
        }
    }
}

/// Logs how many arrivals were repeats, and why. Services beneath the one that rejects calls get
/// repeats too, of which no caller and no line on a request tells.
#[derive(Debug, Default)]
pub(super) struct RepeatLog {
    unlogged: RefCell<ArrivalCounts>,
    logged_at: Cell<Duration>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ArrivalCounts {
    first: u64,
    resent: u64,
    of_repeated_run: u64,
    again_at_gate: u64,
    /// Repeats that were refused for lack of a token, by cause.
    refused_resent: u64,
    refused_of_repeated_run: u64,
}

impl ArrivalCounts {
    fn add(&mut self, arrival: Arrival) {
        let count = match arrival {
            Arrival::First => &mut self.first,
            Arrival::Repeat(RepeatCause::Resent) => &mut self.resent,
            Arrival::Repeat(RepeatCause::OfRepeatedRun) => &mut self.of_repeated_run,
            Arrival::AgainAtGate => &mut self.again_at_gate,
        };
        *count += 1;
    }

    fn has_repeats(&self) -> bool {
        let arrived = self.resent + self.of_repeated_run + self.again_at_gate;
        arrived + self.refused_resent + self.refused_of_repeated_run > 0
    }
}

impl RepeatLog {
    /// Counts an arrival, and logs the counts if they hold repeats and the last line is old
    /// enough.
    pub(super) fn record(&self, now: Duration, arrival: Arrival) {
        self.unlogged.borrow_mut().add(arrival);
        self.log_if_due(now);
    }

    /// Counts a repeat that the retry budget doesn't allow.
    pub(super) fn record_refused(&self, now: Duration, cause: RepeatCause) {
        let mut counts = self.unlogged.borrow_mut();
        match cause {
            RepeatCause::Resent => counts.refused_resent += 1,
            RepeatCause::OfRepeatedRun => counts.refused_of_repeated_run += 1,
        }
        drop(counts);
        self.log_if_due(now);
    }

    fn log_if_due(&self, now: Duration) {
        if now < self.logged_at.get() + MIN_LOG_INTERVAL {
            return;
        }
        self.logged_at.set(now);
        let counts = self.unlogged.take();
        if counts.has_repeats() {
            log::info!(event = "repeats", first = counts.first, resent = counts.resent,
                of_repeated_run = counts.of_repeated_run, again_at_gate = counts.again_at_gate,
                refused_resent = counts.refused_resent,
                refused_of_repeated_run = counts.refused_of_repeated_run;
                "calls arrived at the backend server more than once, or from repeated runs");
        }
    }
}
