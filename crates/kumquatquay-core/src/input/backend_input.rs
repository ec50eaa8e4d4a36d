//! Inputs about the backend server of this host.

use std::net::SocketAddr;

use kumquatquay_wire::{BackendLife, MemberState, ServiceName};
use serde::{Deserialize, Serialize};

/// What the backend server does.
#[derive(Clone, Debug)]
pub enum BackendInput {
    /// It announces itself, or its state changes.
    Announced(Announcement),
    /// Its health endpoint answered.
    HealthReported {
        /// Whether it says that it is healthy.
        is_healthy: bool,
    },
    /// It died: its process or its listening socket is gone.
    Died,
}

/// What a backend server says of itself, as JSON at `POST /announcements`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Its life, if it names it; see [`MemberRecord::life`].
    ///
    /// [`MemberRecord::life`]: kumquatquay_wire::MemberRecord::life
    #[serde(default)]
    pub life: Option<BackendLife>,
    /// Where its node reaches it.
    pub address: SocketAddr,
    /// Requests that it can run at the same time.
    pub slots_count: u32,
    /// Connections that it accepts.
    pub connections_count: u32,
    /// Its state.
    pub state: MemberState,
}
