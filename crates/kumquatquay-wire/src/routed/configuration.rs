//! The configuration of routes, as confirmed by operators.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::WorkspaceSettings;
use crate::ServiceName;

/// Version number of a route configuration; a node never goes back to a lower one.
pub type RouteVersion = u64;

/// Era of the store: incremented each time the store is restored from a backup, which lacks the
/// records written after the backup was taken.
pub type StoreEra = u64;

/// How current the configuration of a node is; nodes exchange it with each call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "FollowState")]
pub struct SyncState {
    /// Version of the configuration in force at the node; 0 if there is none.
    pub version: RouteVersion,
    /// Highest era of the store that the node knows of; `None` if the store reports no era.
    pub store_era: Option<StoreEra>,
    /// Number of answers of the store in that era that the node knows of, to itself or to other
    /// nodes.
    pub store_answers_count: u64,
    /// Age of the freshness proof, in milliseconds: how long ago that configuration was
    /// provably the newest. `None` if there is no proof. It is valid only in the answer to a
    /// question, and relative to the time at which the question was sent.
    pub proof_age_ms: Option<u32>,
    /// Largest number of nodes that it has known at the same time, including itself.
    pub nodes_count: u32,
}

/// Priority of the calls of a route; priority 0 is refused last.
pub type Priority = u32;

/// All settings of operators for calls on routes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteConfiguration {
    /// Version of this configuration.
    pub version: RouteVersion,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// Routes, grouped by the host name that callers use.
    pub hosts: Vec<HostRoutes>,
    /// Settings of each service.
    pub services: Vec<ServiceSettings>,
    /// Workspaces that may call routes that aren't public. If it is `None`, no route requires a
    /// key; with an empty list, routes do.
    pub workspaces: Option<Vec<WorkspaceSettings>>,
}

/// Limits on the size and the timing of what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_limit_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_limit_bytes: usize,
    /// Time within which a request head must have arrived.
    pub head_timeout: Duration,
    /// Time for which a connection may be idle between requests.
    pub idle_timeout: Duration,
}

/// The routes of one host name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRoutes {
    /// Host name as callers write it, without a port.
    pub host: String,
    /// Its routes; the longest matching path prefix applies.
    pub routes: Vec<RouteSettings>,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSettings {
    /// Name given by operators.
    pub name: String,
    /// Path prefix; starts and ends with a slash.
    pub path_prefix: String,
    /// Whether a call may run more than once.
    pub repeat: Repeat,
    /// Target latency; an answer within this time has its full value for the caller.
    pub target_latency: Duration,
    /// Priority of its calls.
    pub priority: Priority,
    /// Whether its calls are accepted without a key.
    pub is_public: bool,
    /// Services that receive its calls, with their weights.
    pub destinations: Vec<Destination>,
    /// Longest time that a caller waits for an answer.
    pub timeout: Duration,
    /// Maximum number of backend servers to which one call is sent.
    pub attempts_count: u32,
}

/// Whether a call may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// Running it again has no further effect.
    Idempotent,
    /// Each call runs at most once.
    AtMostOnce,
}

/// A service that receives a share of the calls of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Destination {
    /// The service.
    pub service: ServiceName,
    /// Weight relative to the other destinations.
    pub weight: u32,
}

/// Settings that apply to all backend servers of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSettings {
    /// Name of the service.
    pub name: ServiceName,
    /// Path of the health check of a backend server.
    pub health_path: String,
    /// Maximum number of connections to one backend server, from all nodes together.
    pub connections_limit_count: usize,
}
