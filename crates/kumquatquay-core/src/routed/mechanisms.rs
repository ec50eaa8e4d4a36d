//! Mechanisms for calls on routes, each of which can be disabled.

use std::str::FromStr;

use derive_more::{Display, Error};

/// A mechanism that takes part in the decisions on calls on routes.
///
/// Each can be disabled on its own to measure its effect. The displayed names are those of the
/// `--with` and `--without` flags.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Mechanism {
    /// Refuse root requests at the entry while a service that they reach is overloaded.
    #[display("entry-levels")]
    EntryLevels,
    /// Retain the learnt call graph of a route while calls of its runs fail.
    #[display("kept-graph")]
    KeptGraph,
    /// Attribute calls to the runs with the same deadline.
    #[display("traced-calls")]
    TracedCalls,
    /// Order waiting calls at gates by the priority of their root request too.
    #[display("whole-order")]
    RequestPriority,
    /// Let a gate exceed its concurrency limit by the calls in transit.
    #[display("transit")]
    TransitAllowance,
    /// Retry a rejected call at its gate.
    #[display("gate-repeats")]
    GateRetries,
    /// Make a second attempt while the first one hangs.
    #[display("beside")]
    HedgedAttempts,
    /// Treat a backend server that doesn't answer as dead.
    #[display("silent-backend")]
    SilentBackend,
    /// Avoid links from which nothing is received.
    #[display("silent-links")]
    SilentLinks,
    /// Forward a call that must run at most once only after its sender has committed to it.
    #[display("commit")]
    Commit,
    /// Penalise crowded backend servers in load balancing by their fill.
    #[display("crowding")]
    Crowding,
    /// Assume the mean run time of its peers for a backend server that hasn't reported its own.
    #[display("peer-work")]
    PeerRunTime,
    /// Check the health of the backend server when the node starts, before its first report.
    #[display("first-look")]
    InitialHealthCheck,
    /// Consider remote backend servers when the local ones are far slower.
    #[display("slow-near")]
    SlowLocalSpillover,
    /// Accept calls for the backend server for a while after the node was requested to stop.
    #[display("late-leaving")]
    DelayedShutdown,
    /// Eject backend servers that fail more than their peers, apart from probes.
    #[display("out-of-line")]
    OutlierEjection,
    /// Lend the shares that nodes own of workspace quotas to borrowers.
    #[display("quota-loans")]
    QuotaLoans,
    /// Increase the retry delay of refused callers with the duration of the overload.
    #[display("late-return")]
    GrowingRetryAfter,
    /// Run pipelined HTTP requests of a caller concurrently.
    #[display("pipelining")]
    Pipelining,
    /// Measure load as the slot time of the calls of each route, instead of as a count of calls.
    #[display("work-load")]
    WorkBasedLoad,
    /// Run late calls at a gate after those of the same priority that can meet their soft deadline.
    #[display("late-last")]
    LateLast,
    /// Hold requests that can wait at the entry until there is room for them.
    #[display("entry-hold")]
    EntryHold,
    /// Divide the room for a priority among workspaces by max-min fairness.
    #[display("fair-shares")]
    FairShares,
}

impl Mechanism {
    /// All mechanisms.
    pub const ALL: [Self; 23] = [
        Self::EntryLevels,
        Self::KeptGraph,
        Self::TracedCalls,
        Self::RequestPriority,
        Self::TransitAllowance,
        Self::GateRetries,
        Self::HedgedAttempts,
        Self::SilentBackend,
        Self::SilentLinks,
        Self::Commit,
        Self::Crowding,
        Self::PeerRunTime,
        Self::InitialHealthCheck,
        Self::SlowLocalSpillover,
        Self::DelayedShutdown,
        Self::OutlierEjection,
        Self::QuotaLoans,
        Self::GrowingRetryAfter,
        Self::Pipelining,
        Self::WorkBasedLoad,
        Self::LateLast,
        Self::EntryHold,
        Self::FairShares,
    ];

    /// Mechanisms that are disabled unless they are requested.
    pub const OFF_BY_DEFAULT: [Self; 2] = [Self::EntryHold, Self::FairShares];

    fn mask(self) -> u32 {
        1 << self as u32
    }
}

/// The name of an unknown mechanism.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{name:?} is no mechanism; there are {}", Mechanism::ALL.map(|known| known.to_string()).join(", "))]
pub struct UnknownMechanism {
    /// Name as it was given.
    pub name: String,
}

impl FromStr for Mechanism {
    type Err = UnknownMechanism;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let known = Self::ALL
            .into_iter()
            .find(|known| known.to_string() == name);
        known.ok_or_else(|| UnknownMechanism {
            name: String::from(name),
        })
    }
}

/// Set of enabled mechanisms; by default all but [`Mechanism::OFF_BY_DEFAULT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    off: u32,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self { off: 0 }.without(Mechanism::OFF_BY_DEFAULT)
    }
}

impl Mechanisms {
    /// Enables these mechanisms.
    pub fn with(self, on: impl IntoIterator<Item = Mechanism>) -> Self {
        Self {
            off: on
                .into_iter()
                .fold(self.off, |off, mechanism| off & !mechanism.mask()),
        }
    }

    /// Disables these mechanisms.
    pub fn without(self, off: impl IntoIterator<Item = Mechanism>) -> Self {
        Self {
            off: off
                .into_iter()
                .fold(self.off, |off, mechanism| off | mechanism.mask()),
        }
    }

    /// Whether a mechanism is enabled.
    pub fn is_on(self, mechanism: Mechanism) -> bool {
        self.off & mechanism.mask() == 0
    }
}
