//! State of the membership at this node.

use std::{net::SocketAddr, time::Duration};

use super::{
    bulk_sync::BulkSync, byte_budget::ByteBudget, data_centre_liveness::DataCentreLiveness,
    data_centre_relay::DataCentreRelay, draining::DrainState, gossip::GossipRounds,
    gossip_queue::GossipQueue, prober::Prober, replay_windows::ReplayWindows, seed_log::SeedLog,
    suspicion::Suspicions,
};
use crate::Announcement;

/// Rate at which rumours about members are sent.
///
/// Together with the same rate received, it is a third of the 11 KB/s that a node may use for
/// control traffic.
const MEMBER_RATE_BYTES_PER_S: u64 = 1_800;

/// Bytes of rumours about members that may be sent in a burst: a mass failure must spread fast.
const MEMBER_BURST_BYTES: u64 = 24_000;

/// Rate at which rumours about levels, quarantine and configuration are sent.
const OTHER_RATE_BYTES_PER_S: u64 = 1_800;

/// Bytes of rumours about levels, quarantine and configuration that may be sent in a burst.
const OTHER_BURST_BYTES: u64 = 6_000;

/// Rate at which rumours about a crash are sent to the gates that may get its suspects next.
const CRASH_RATE_BYTES_PER_S: u64 = 1_800;

/// Bytes of such rumours that may be sent in a burst: a crash under a hundred requests, told to thirty
/// gates.
const CRASH_BURST_BYTES: u64 = 48_000;

/// State of the membership at this node, besides the member table.
#[derive(Debug)]
pub(crate) struct Membership {
    /// Last announcement of the backend server of this host; none once it has died.
    pub(super) announcement: Option<Announcement>,
    /// Whether this host is drained or stops.
    pub(super) drain_state: DrainState,
    /// Time of the last tick.
    pub(super) last_tick: Option<Duration>,
    /// Sequence number of the last datagram sent.
    pub(super) last_sequence: u64,
    /// When this node's own record last changed.
    pub(super) own_changed_at: Duration,
    /// Members whose records are still to be gossiped.
    pub(crate) gossip_queue: GossipQueue,
    /// Gossip rounds within the data centre, and transmissions of rumours not about members.
    pub(super) gossip_rounds: GossipRounds,
    /// When members that have been gone for long are next removed from the table.
    pub(super) next_removal: Duration,
    /// Earliest time of the next reply to a sender whose incarnation is too low.
    pub(super) next_correction: Duration,
    /// Limit on rumours about members.
    pub(super) member_budget: ByteBudget,
    /// Limit on other rumours.
    pub(super) other_budget: ByteBudget,
    /// Budget of rumours about crashes that are sent at once.
    pub(super) crash_budget: ByteBudget,
    /// Datagrams already received, to reject replays.
    pub(super) replay_windows: ReplayWindows,
    /// Probes under way.
    pub(super) prober: Prober,
    /// Suspected members of the own data centre.
    pub(crate) suspicions: Suspicions,
    /// Data centres to which this node relays gossip of its own.
    pub(crate) relay: DataCentreRelay,
    /// When other data centres were last heard from.
    pub(super) data_centre_liveness: DataCentreLiveness,
    /// Seeds in the platform's log.
    pub(super) seed_log: SeedLog,
    /// Exchange of full member tables.
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
            next_removal: Duration::ZERO,
            next_correction: Duration::ZERO,
            member_budget: ByteBudget::new(MEMBER_RATE_BYTES_PER_S, MEMBER_BURST_BYTES),
            other_budget: ByteBudget::new(OTHER_RATE_BYTES_PER_S, OTHER_BURST_BYTES),
            crash_budget: ByteBudget::new(CRASH_RATE_BYTES_PER_S, CRASH_BURST_BYTES),
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
    /// Adds a seed that the host found.
    pub(crate) fn add_seed(&mut self, control: SocketAddr) {
        self.seed_log.add(control);
    }
}
