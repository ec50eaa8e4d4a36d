//! A configuration of routes, as operators confirmed it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::WorkspaceSettings;
use crate::ServiceName;

/// Number of a configuration; a node never goes back to a lower one.
pub type RouteVersion = u64;

/// Number of a life of the store: one higher each time that it comes back from an older copy,
/// without what was written since.
pub type StoreEra = u64;

/// How far a node follows the configuration; nodes tell each other with each call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "FollowState")]
pub struct SyncState {
    /// Configuration in force at the node; 0 without one.
    pub version: RouteVersion,
    /// The highest era of the store that the node knows of; `None` if the store tells none.
    pub store_era: Option<StoreEra>,
    /// Answers of the store that the node knows of in that era, its own and those of others.
    pub store_answers_count: u64,
    /// How long ago that configuration was the newest for sure, in milliseconds; `None` if that
    /// isn't known. It counts only for who asked, from the moment of the question.
    pub proof_age_ms: Option<u32>,
    /// The most nodes that it has known at the same time, itself included.
    pub nodes_count: u32,
}

/// Rank of a route's calls: 0 is refused last.
pub type Priority = u32;

/// Everything that operators set for calls on routes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteConfiguration {
    /// Which configuration this is.
    pub version: RouteVersion,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Routes by the host that callers name.
    pub hosts: Vec<HostRoutes>,
    /// What holds for all backend servers of a service.
    pub services: Vec<ServiceSettings>,
    /// Those that may call routes that aren't public. Where operators set none at all, not even
    /// an empty list, no route asks for a key.
    pub workspaces: Option<Vec<WorkspaceSettings>>,
}

/// What callers may send, and how slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_limit_bytes: usize,
    /// Bytes of a request's body.
    pub body_limit_bytes: usize,
    /// Time that a head may take to arrive.
    pub head_timeout: Duration,
    /// Time for which a connection may stay without a request.
    pub idle_timeout: Duration,
}

/// The routes of one host name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRoutes {
    /// As callers write it, without a port.
    pub host: String,
    /// Its routes; the longest prefix that begins a path counts.
    pub routes: Vec<RouteSettings>,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSettings {
    /// As operators call it.
    pub name: String,
    /// Begins and ends with a slash.
    pub path_prefix: String,
    /// Whether its calls may run more than once.
    pub repeat: Repeat,
    /// Time within which an answer is worth its full value to the caller.
    pub target_latency: Duration,
    /// Rank of its calls.
    pub priority: Priority,
    /// Whether its calls need no key.
    pub is_public: bool,
    /// Where its calls go, by weight.
    pub destinations: Vec<Destination>,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Backend servers to which one call may be sent, at most.
    pub attempts_count: u32,
}

/// Whether a call may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// Running it again changes nothing.
    Idempotent,
    /// It runs once at most for each call.
    AtMostOnce,
}

/// A service that gets a share of a route's calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Destination {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the other destinations.
    pub weight: u32,
}

/// What holds for all backend servers of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSettings {
    /// The service.
    pub name: ServiceName,
    /// Path at which a backend server tells whether it is healthy.
    pub health_path: String,
    /// Connections that one backend server takes, from all nodes together.
    pub connections_limit_count: usize,
}
