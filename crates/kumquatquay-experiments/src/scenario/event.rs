//! What happens at a set time of an experiment.

use std::time::Duration;

use kumquatquay_standins::LogFault;

/// Hosts of a service that an event is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostChoice {
    /// All of them.
    All,
    /// The one with this index.
    One(usize),
}

impl HostChoice {
    /// Whether the host with an index is meant.
    pub fn includes(self, index: usize) -> bool {
        match self {
            Self::All => true,
            Self::One(one) => one == index,
        }
    }
}

/// Something that happens.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Service times are multiplied by a factor from now on.
    Slowdown {
        /// The service.
        service: String,
        /// Its hosts.
        hosts: HostChoice,
        /// The factor; 1 ends the slowdown.
        factor: f64,
    },
    /// The log misbehaves, or works again.
    Log(LogFault),
    /// Backend servers announce that they leave.
    Drain {
        /// The service.
        service: String,
        /// Its hosts.
        hosts: HostChoice,
    },
    /// Nodes are stopped gracefully, then their backend servers.
    StopHosts {
        /// The service.
        service: String,
        /// Its hosts.
        hosts: HostChoice,
    },
    /// Nodes and backend servers vanish without a word.
    KillHosts {
        /// The service.
        service: String,
        /// Its hosts.
        hosts: HostChoice,
    },
    /// A new host joins, with a cold backend server.
    AddHost {
        /// The service.
        service: String,
    },
}

/// An event and its time since the start of the load.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedEvent {
    /// When.
    pub at: Duration,
    /// What.
    pub event: Event,
}
