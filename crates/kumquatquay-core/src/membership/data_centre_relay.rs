//! Relays gossip of the own data centre to other data centres.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use kumquatquay_wire::{ControlBody, DataCentreName, Rumour};
use rand::seq::IndexedRandom;

use super::{sender, transmit_counts::TransmitCounts};
use crate::{Blackboard, Moment, Output};

/// Relay nodes of a data centre for each other data centre.
///
/// Each pair of data centres has its own relay nodes, so no node relays to all. Both relay the
/// same: this needs no election, duplicates are harmless, and one of them may fail unnoticed.
const RELAYS_COUNT: usize = 2;

/// Shortest interval at which this node determines where it is a relay node.
const RANK_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of the rounds in which queued rumours are sent.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);

/// Times that each relay node sends a record, each time to a random member.
const TRANSMITS_COUNT: u8 = 3;

/// Interval at which the digest of the own data centre is sent.
const DIGEST_INTERVAL: Duration = Duration::from_secs(5);

/// Interval of digests while the member table is never unchanged for [`QUIET_TIME`].
const BUSY_DIGEST_INTERVAL: Duration = Duration::from_secs(30);

/// Interval at which rumours that are not about members are sent.
const OTHERS_INTERVAL: Duration = Duration::from_secs(1);

/// How long the member table must be unchanged before digests are sent every
/// [`DIGEST_INTERVAL`].
///
/// A recent change is still being gossiped, and the receiver would take the difference for a
/// loss.
const QUIET_TIME: Duration = Duration::from_secs(3);

/// Members queued for one data centre at most; beyond it, the digest shows the receiver that it
/// lacks something.
const PENDING_LIMIT_COUNT: usize = 1_024;

/// Largest own data centre whose members are all queued for a data centre to which this node
/// begins to relay; of a larger one only the digest is sent.
const INITIAL_MEMBERS_LIMIT_COUNT: usize = 16;

/// Data centres to which this node relays gossip of its own.
#[derive(Debug, Default)]
pub(crate) struct DataCentreRelay {
    queues: BTreeMap<DataCentreName, RelayQueue>,
    ranked_version: Option<u64>,
    next_rank: Duration,
    next_round: Duration,
    next_others: Duration,
    transmit_counts: TransmitCounts,
}

/// Members whose records are queued for one data centre, with the transmissions of each so far.
#[derive(Debug)]
struct RelayQueue {
    pending: BTreeMap<SocketAddr, u8>,
    last_digest: Duration,
}

impl RelayQueue {
    fn new(pending: BTreeMap<SocketAddr, u8>) -> Self {
        Self {
            pending,
            last_digest: Duration::ZERO,
        }
    }
}

impl DataCentreRelay {
    /// Data centres for which this node is a relay node.
    pub(crate) fn relayed_to(&self) -> impl Iterator<Item = &DataCentreName> {
        self.queues.keys()
    }
}

/// Queues a member of the own data centre for all data centres to which this node relays.
pub(super) fn queue_member(board: &mut Blackboard, control: SocketAddr) {
    for queue in board.membership.relay.queues.values_mut() {
        if queue.pending.len() < PENDING_LIMIT_COUNT {
            queue.pending.insert(control, 0);
        }
    }
}

pub(super) fn on_tick(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    rank(board, now);
    if now.monotonic < board.membership.relay.next_round {
        return;
    }
    board.membership.relay.next_round = now.monotonic + ROUND_INTERVAL;
    let mut all = std::mem::take(&mut board.membership.relay.queues);
    let others = due_rumours(board, now, all.is_empty());
    for (data_centre, queue) in &mut all {
        send_pending(board, now, data_centre, queue, out);
        send_others(board, now, data_centre, &others, out);
        send_digest(board, now, data_centre, queue, out);
    }
    board.membership.relay.queues = all;
}

/// Determines the data centres for which this node is a relay node, once members joined or left.
fn rank(board: &mut Blackboard, now: Moment) {
    let version = board.members.live_version();
    let relay = &board.membership.relay;
    if relay.ranked_version == Some(version) || now.monotonic < relay.next_rank {
        return;
    }
    let members = &board.members;
    let own_name = &board.settings.data_centre;
    let own_weight = weight(own_name, board.settings.control);
    let local = local_weights(board);
    let others = members
        .views()
        .filter(|(name, view)| *name != own_name && !view.live().is_empty());
    let names: Vec<DataCentreName> = others
        .filter(|(name, _)| is_among_highest(&local, own_weight, receiver_salt(name)))
        .map(|(name, _)| name.clone())
        .collect();
    let first = initial_members(board);
    let relay = &mut board.membership.relay;
    relay.ranked_version = Some(version);
    relay.next_rank = now.monotonic + RANK_INTERVAL;
    relay.queues.retain(|name, _| names.contains(name));
    for name in names {
        let queue = relay.queues.entry(name);
        queue.or_insert_with(|| RelayQueue::new(first.clone()));
    }
}

/// Members that are queued for a data centre to which this node begins to relay.
///
/// Otherwise a data centre that just appeared would learn of earlier changes only by a digest,
/// seconds later. If the own data centre is large, the other has learnt of them from the other
/// relay nodes, or from the table that it requested when it joined.
fn initial_members(board: &Blackboard) -> BTreeMap<SocketAddr, u8> {
    let live = board.members.own_view().live();
    if live.len() > INITIAL_MEMBERS_LIMIT_COUNT {
        return BTreeMap::new();
    }
    live.iter().map(|control| (*control, 0)).collect()
}

/// Whether this node is a relay node for a receiver: a data centre, or a stream of the log.
///
/// Relay nodes are the members of the own data centre with the highest rendezvous hashes.
pub(super) fn is_relay_to(board: &Blackboard, receiver: &str) -> bool {
    let own_weight = weight(&board.settings.data_centre, board.settings.control);
    is_among_highest(&local_weights(board), own_weight, receiver_salt(receiver))
}

fn local_weights(board: &Blackboard) -> Vec<u64> {
    let live = board.members.own_view().live().iter();
    live.map(|control| weight(&board.settings.data_centre, *control))
        .collect()
}

fn is_among_highest(local: &[u64], own_weight: u64, salt: u64) -> bool {
    let own = mix(own_weight ^ salt);
    let before = local.iter().filter(|weight| mix(**weight ^ salt) > own);
    before.take(RELAYS_COUNT).count() < RELAYS_COUNT
}

fn weight(data_centre: &DataCentreName, control: SocketAddr) -> u64 {
    hash(format!("{data_centre} {control}").as_bytes())
}

fn receiver_salt(receiver: &str) -> u64 {
    hash(receiver.as_bytes())
}

fn hash(bytes: &[u8]) -> u64 {
    let hash = blake3::hash(bytes);
    let first = hash.as_bytes()[..8].try_into();
    u64::from_le_bytes(first.expect("a BLAKE3 hash has 32 bytes"))
}

/// Spreads the bits of a number (the finalizer of SplitMix64).
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

fn send_pending(
    board: &mut Blackboard,
    now: Moment,
    data_centre: &DataCentreName,
    queue: &mut RelayQueue,
    out: &mut Vec<Output>,
) {
    if queue.pending.is_empty() {
        return;
    }
    let Some(to) = random_remote_member(board, data_centre) else {
        return;
    };
    let mut order: Vec<(u8, SocketAddr)> = queue
        .pending
        .iter()
        .map(|(control, transmits_count)| (*transmits_count, *control))
        .collect();
    order.sort_unstable();
    let known = order
        .iter()
        .filter_map(|(_, control)| board.members.get(*control));
    let rumours: Vec<Rumour> = known.map(sender::rumour_of).collect();
    let sent_count = sender::send_remote(board, now, to, ControlBody::Gossip, &rumours, out);
    for (transmits_count, control) in order.into_iter().take(sent_count) {
        if transmits_count + 1 < TRANSMITS_COUNT {
            queue.pending.insert(control, transmits_count + 1);
        } else {
            queue.pending.remove(&control);
        }
    }
}

/// Rumours that are not about members, if [`OTHERS_INTERVAL`] has passed.
fn due_rumours(board: &mut Blackboard, now: Moment, has_no_queues: bool) -> Vec<Rumour> {
    if has_no_queues || now.monotonic < board.membership.relay.next_others {
        return Vec::new();
    }
    board.membership.relay.next_others = now.monotonic + OTHERS_INTERVAL;
    let mut transmit_counts = std::mem::take(&mut board.membership.relay.transmit_counts);
    let others = transmit_counts.due(board, now);
    board.membership.relay.transmit_counts = transmit_counts;
    others
}

fn send_others(
    board: &mut Blackboard,
    now: Moment,
    data_centre: &DataCentreName,
    others: &[Rumour],
    out: &mut Vec<Output>,
) {
    if others.is_empty() {
        return;
    }
    if let Some(to) = random_remote_member(board, data_centre) {
        sender::send_other_rumours(board, now, to, others, out);
    }
}

fn send_digest(
    board: &mut Blackboard,
    now: Moment,
    data_centre: &DataCentreName,
    queue: &mut RelayQueue,
    out: &mut Vec<Output>,
) {
    let waited = now.monotonic.saturating_sub(queue.last_digest);
    let is_quiet = now.monotonic >= board.members.last_changed_at() + QUIET_TIME;
    let wait = if is_quiet {
        DIGEST_INTERVAL
    } else {
        BUSY_DIGEST_INTERVAL
    };
    if waited < wait {
        return;
    }
    queue.last_digest = now.monotonic;
    let body = ControlBody::Digest {
        data_centre: board.settings.data_centre.clone(),
        digest: board.members.own_view().digest(),
    };
    if let Some(to) = random_remote_member(board, data_centre) {
        sender::send_remote(board, now, to, body, &[], out);
    }
}

/// Random member of another data centre.
fn random_remote_member(
    board: &mut Blackboard,
    data_centre: &DataCentreName,
) -> Option<SocketAddr> {
    let view = board.members.view(data_centre)?;
    view.live().choose(&mut board.random).copied()
}
