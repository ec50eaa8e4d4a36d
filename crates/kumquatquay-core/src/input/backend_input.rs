//! Inputs about the backend server of this host.

use std::net::SocketAddr;

use kumquatquay_wire::{BackendLife, MemberState, ServiceName};
use serde::{Deserialize, Serialize};

/// An event of the backend server of this host.
#[derive(Clone, Debug)]
pub enum BackendInput {
    /// It announced itself or a change of its state.
    Announced(Announcement),
    /// Its health endpoint answered.
    HealthReported {
        /// Whether it reports itself as healthy.
        is_healthy: bool,
    },
    /// It died: its process has ended or its listening socket is closed.
    Died,
    /// It gives no answers. No calls are sent to it, as if it had died, but no request is suspected of
    /// it: its host may be paused.
    Unresponsive,
    /// It has broken the connections of its runs and closes new ones at once: its process has ended, and
    /// something else accepts connections at its address until it runs again.
    ClosesConnections,
}

/// Announcement of a backend server, sent as JSON to `POST /announcements`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service of the backend server.
    pub service: ServiceName,
    /// Id of its present run, if it states one; see [`MemberRecord::life`].
    ///
    /// [`MemberRecord::life`]: kumquatquay_wire::MemberRecord::life
    #[serde(default)]
    pub life: Option<BackendLife>,
    /// Address at which its node reaches it.
    pub address: SocketAddr,
    /// Most requests that it can run concurrently.
    pub slots_count: u32,
    /// Most connections that it accepts.
    pub connections_count: u32,
    /// State of the backend server.
    pub state: MemberState,
}
