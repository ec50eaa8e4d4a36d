//! Mechanisms that decide, each of which can be switched off.

use std::str::FromStr;

use derive_more::{Display, Error};

/// A mechanism that decides about calls on routes.
///
/// Each can be switched off by itself, to measure what it is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Mechanism {
    /// Whole requests are refused at the entry while a service on their way is short.
    #[display("entry-levels")]
    EntryLevels,
    /// What is known of runs is kept while the calls that they make fail.
    #[display("kept-graph")]
    KeptGraph,
    /// Calls are put to the runs whose deadlines they share.
    #[display("traced-calls")]
    TracedCalls,
    /// Calls wait at gates by the rank of the whole request that they belong to.
    #[display("whole-order")]
    RequestPriority,
    /// A gate hands over more calls for those on their way.
    #[display("transit")]
    TransitAllowance,
    /// A call that was turned away is handed over again at its gate.
    #[display("gate-repeats")]
    GateRetries,
    /// A second attempt is made beside one that hangs.
    #[display("beside")]
    HedgedAttempts,
    /// A backend server that gives no answers is taken to be dead.
    #[display("silent-backend")]
    SilentBackend,
    /// A link without a sign of life is avoided.
    #[display("silent-links")]
    SilentLinks,
    /// A call that may run once at most is handed over once its sender commits to it.
    #[display("commit")]
    Commit,
    /// Crowded backend servers are compared by fill.
    #[display("crowding")]
    Crowding,
    /// A backend server that hasn't told its work is taken to be like its peers.
    #[display("peer-work")]
    PeerRunTime,
    /// A node that starts asks its backend server how it is, before that reports.
    #[display("first-look")]
    InitialHealthCheck,
    /// A backend server of the own data centre that is far slower than others is passed by.
    #[display("slow-near")]
    SlowLocalSpillover,
    /// A node that stops goes on taking calls for its backend server at first.
    #[display("late-leaving")]
    DelayedShutdown,
    /// A backend server that fails more than its peers is left nearly alone.
    #[display("out-of-line")]
    OutlierEjection,
    /// What nodes own of the quotas of workspaces is lent to keepers.
    #[display("quota-loans")]
    QuotaLoans,
    /// Refused callers are asked back the later, the longer a shortage has lasted.
    #[display("late-return")]
    GrowingRetryAfter,
    /// Requests that a caller sends before the first is answered run beside it.
    #[display("pipelining")]
    Pipelining,
    /// Load is counted as the slot time that calls of each route take.
    #[display("work-load")]
    WorkBasedLoad,
    /// At a gate, calls that can't be in time any more come after those of their rank that can.
    #[display("late-last")]
    LateLast,
    /// Requests that can wait are held at the entry until there is room for them.
    #[display("entry-hold")]
    EntryHold,
    /// What room there is for one rank is shared by what each workspace asks for.
    #[display("fair-shares")]
    FairShares,
}

impl Mechanism {
    /// All of them.
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

    /// Mechanisms that are off unless they are switched on.
    pub const OFF_BY_DEFAULT: [Self; 2] = [Self::EntryHold, Self::FairShares];

    fn bit(self) -> u32 {
        1 << self as u32
    }
}

/// A name that is no mechanism's.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{name:?} is no mechanism; there are {}", Mechanism::ALL.map(|known| known.to_string()).join(", "))]
pub struct UnknownMechanism {
    /// The name.
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

/// Which mechanisms are on; all but those that are off by default, unless something else was asked for.
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
    /// These beside those that are on.
    pub fn with(self, on: impl IntoIterator<Item = Mechanism>) -> Self {
        Self {
            off: on
                .into_iter()
                .fold(self.off, |off, mechanism| off & !mechanism.bit()),
        }
    }

    /// Those that are on but for these.
    pub fn without(self, off: impl IntoIterator<Item = Mechanism>) -> Self {
        Self {
            off: off
                .into_iter()
                .fold(self.off, |off, mechanism| off | mechanism.bit()),
        }
    }

    /// Whether a mechanism is on.
    pub fn is_on(self, mechanism: Mechanism) -> bool {
        self.off & mechanism.bit() == 0
    }
}
