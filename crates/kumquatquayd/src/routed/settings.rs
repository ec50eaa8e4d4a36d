//! What a node on configured routes is told at its start.

use std::{net::SocketAddr, time::Duration};

use kumquatquay_core::{quota::QuotaTolerance, routed::Mechanisms};
use kumquatquay_wire::{DataCentreName, ServiceName};

/// Settings of a node on configured routes, for its whole life.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutedSettings {
    /// Name of the host, for people.
    pub host: String,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Service of the backend server on this host.
    pub service: ServiceName,
    /// Where that backend server takes calls.
    pub backend: SocketAddr,
    /// Addresses to listen on.
    pub listen: ListenAddresses,
    /// Control addresses of some other nodes; may be stale.
    pub seeds: Vec<SocketAddr>,
    /// What the node may use of its host.
    pub limits: ResourceLimits,
    /// Times that others count on.
    pub bounds: TimeBounds,
    /// What may be sent once more.
    pub retry_budget: RetryBudget,
    /// By how much quotas of workspaces may be passed, if at all.
    pub quota_slack: Option<QuotaTolerance>,
    /// Which mechanisms decide.
    pub mechanisms: Mechanisms,
}

/// Addresses to listen on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Calls of callers and of the backend server on this host.
    pub entry: SocketAddr,
    /// Links from other nodes.
    pub links: SocketAddr,
    /// Control messages of other nodes, UDP and TCP.
    pub control: SocketAddr,
    /// Whether the node is ready.
    pub ready: SocketAddr,
    /// Reports of the backend server.
    pub reports: SocketAddr,
    /// Metrics as text, on request.
    pub metrics: Option<SocketAddr>,
}

/// What the node may use of its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Memory, in bytes.
    pub memory_bytes: usize,
    /// Descriptors that are open at the same time.
    pub descriptors_count: usize,
}

/// Times that others count on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeBounds {
    /// How long a backend server takes calls after its leaving was acknowledged.
    pub drain: Duration,
    /// How long a node may take to stop.
    pub grace: Duration,
    /// How long after its confirmation a configuration may not be in force yet.
    pub configuration: Duration,
    /// How long a key may be accepted after it was taken away; `None` if that isn't bounded.
    pub revoke: Option<Duration>,
}

/// What all nodes together may send once more to a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Share of the requests.
    pub ratio: f64,
    /// Repeats besides that share, in each window.
    pub extra_count: f64,
    /// The window; it slides.
    pub window: Duration,
}
