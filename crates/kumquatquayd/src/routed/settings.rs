//! Settings of a node with configured routes.

use std::{net::SocketAddr, num::NonZeroUsize, time::Duration};

use kumquatquay_core::{quota::QuotaTolerance, routed::Mechanisms};
use kumquatquay_wire::{DataCentreName, ServiceName};

/// Settings of a node with configured routes; they don't change while it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutedSettings {
    /// Name of the host, used in logs.
    pub host: String,
    /// Data centre of the host.
    pub data_centre: DataCentreName,
    /// Number of data centres that the settings name; there may be more.
    pub data_centres_count: NonZeroUsize,
    /// Service of the backend server on this host.
    pub service: ServiceName,
    /// Whether the whole deployment starts for the first time; not so when a node starts anew.
    pub is_first_start: bool,
    /// Address at which that backend server accepts requests.
    pub backend: SocketAddr,
    /// Addresses to listen on.
    pub listen: ListenAddresses,
    /// Control addresses of other nodes to contact at start; may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Resources of the host that the node may use.
    pub limits: ResourceLimits,
    /// Time limits that other parts of the system rely on.
    pub bounds: TimeBounds,
    /// Budget for retries.
    pub retry_budget: RetryBudgetSettings,
    /// By how much the quota of a workspace may be exceeded; `None` for not at all.
    pub quota_tolerance: Option<QuotaTolerance>,
    /// Mechanisms that are switched on.
    pub mechanisms: Mechanisms,
}

/// Addresses to listen on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Requests of callers and of the backend server on this host.
    pub entry: SocketAddr,
    /// Links from other nodes.
    pub links: SocketAddr,
    /// Control messages of other nodes over UDP and TCP.
    pub control: SocketAddr,
    /// Readiness checks.
    pub ready: SocketAddr,
    /// Reports of the backend server on this host.
    pub reports: SocketAddr,
    /// Metrics in text form; `None` for no such listener.
    pub metrics: Option<SocketAddr>,
    /// Commands of operators who are on this host; `None` for no such listener.
    pub operator: Option<SocketAddr>,
}

/// Resources of the host that a node may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Memory in bytes.
    pub memory_bytes: usize,
    /// Sockets that may be open at the same time.
    pub descriptors_count: usize,
}

/// Time limits that other parts of the system rely on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeBounds {
    /// How long a backend server goes on accepting requests after its report of leaving was
    /// acknowledged.
    pub drain: Duration,
    /// Longest time from a request to stop to the end of the node.
    pub grace: Duration,
    /// Longest time from the confirmation of a configuration until it is in force.
    pub configuration: Duration,
    /// Longest time for which a revoked key may still be accepted; `None` for no bound.
    pub revoke: Option<Duration>,
}

/// Retry budget of all nodes together for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries as a share of the requests.
    pub ratio: f64,
    /// Retries allowed in each window in addition to that share.
    pub extra_count: f64,
    /// Length of the sliding window.
    pub window: Duration,
}
