//! What this node keeps to find out who is there.

use std::{net::SocketAddr, time::Duration};

use super::{
    bulk_sync::BulkSync, byte_budget::ByteBudget, data_centre_liveness::DataCentreLiveness,
    data_centre_relay::DataCentreRelay, draining::DrainState, gossip::GossipRounds,
    gossip_queue::GossipQueue, prober::Prober, replay_windows::ReplayWindows, seed_log::SeedLog,
    suspicion::Suspicions,
};
use crate::Announcement;

/// Rate of news of members; with what is received it is a third of the 11 KB/s
/// that a node may spend on control.
const MEMBER_RATE_BYTES_PER_S: u64 = 1_800;

/// News of members that may go out at once: a mass failure must spread fast.
const MEMBER_BURST_BYTES: u64 = 24_000;

/// Rate of news of levels, quarantine and configuration.
const OTHER_RATE_BYTES_PER_S: u64 = 1_800;

/// News of levels, quarantine and configuration that may go out at once.
const OTHER_BURST_BYTES: u64 = 6_000;

/// What this node keeps to find out who is there.
#[derive(Debug)]
pub(crate) struct Membership {
    /// What the backend server of this host last said of itself, while it lives.
    pub(super) announcement: Option<Announcement>,
    /// Whether and why this host leaves.
    pub(super) drain_state: DrainState,
    /// When the last tick was.
    pub(super) last_tick: Option<Duration>,
    /// Number of the last datagram sent.
    pub(super) last_sequence: u64,
    /// When this node's own record last changed.
    pub(super) own_changed_at: Duration,
    /// Members whose news is still to be spread.
    pub(crate) gossip_queue: GossipQueue,
    /// When and what else is spread.
    pub(super) gossip_rounds: GossipRounds,
    /// When members that are gone are forgotten next.
    pub(super) next_forget: Duration,
    /// When a sender may next be told that its incarnation is too low.
    pub(super) next_correction: Duration,
    /// Limit on news of members.
    pub(super) member_budget: ByteBudget,
    /// Limit on other news.
    pub(super) other_budget: ByteBudget,
    /// Datagrams taken in already.
    pub(super) replay_windows: ReplayWindows,
    /// Probes under way.
    pub(super) prober: Prober,
    /// Members that do not answer.
    pub(crate) suspicions: Suspicions,
    /// Other data centres that this node tells of its own.
    pub(crate) relay: DataCentreRelay,
    /// When other data centres were last heard.
    pub(super) data_centre_liveness: DataCentreLiveness,
    /// Seeds in the platform's log.
    pub(super) seed_log: SeedLog,
    /// Exchange of whole tables.
    pub(crate) sync: BulkSync,
}

impl Default for Membership {
    fn default() -> Self {
        Self {
            announcement: None,
            drain_state: DrainState::default(),
            last_tick: None,
            last_sequence: 0,
            own_changed_at: Duration::ZERO,
            gossip_queue: GossipQueue::default(),
            gossip_rounds: GossipRounds::default(),
            next_forget: Duration::ZERO,
            next_correction: Duration::ZERO,
            member_budget: ByteBudget::new(MEMBER_RATE_BYTES_PER_S, MEMBER_BURST_BYTES),
            other_budget: ByteBudget::new(OTHER_RATE_BYTES_PER_S, OTHER_BURST_BYTES),
            replay_windows: ReplayWindows::default(),
            prober: Prober::default(),
            suspicions: Suspicions::default(),
            relay: DataCentreRelay::default(),
            data_centre_liveness: DataCentreLiveness::default(),
            seed_log: SeedLog::default(),
            sync: BulkSync::default(),
        }
    }
}

impl Membership {
    /// Remembers a seed that the host found.
    pub(crate) fn add_seed(&mut self, control: SocketAddr) {
        self.seed_log.add(control);
    }
}
