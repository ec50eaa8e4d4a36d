//! Assembles and sends datagrams.

use std::{net::SocketAddr, time::Duration};

use kumquatquay_wire::{ControlBody, Datagram, MemberRecord, MemberState, MemberStatus, Rumour};

use super::byte_budget::ByteBudget;
use crate::{Blackboard, Moment, Output, configuration};

/// How long a change of this node's own record is sent before other records in every datagram.
///
/// A refutation must be in the answer to the probe that brought the suspicion; in the queue it
/// could wait behind the records of a mass failure.
const OWN_CHANGE_PRIORITY_TIME: Duration = Duration::from_secs(5);

/// Largest size of a datagram without its rumours.
const FRAME_BYTES: usize = 150;

/// Queued members considered for one datagram; more don't fit.
const RUMOURS_LIMIT_COUNT: usize = 80;

/// Transmissions of a rumour for each doubling of the members, see [`transmit_limit`].
const TRANSMITS_PER_DOUBLING: u32 = 3;

/// Sends a message to a member of the own data centre, with rumours about members piggybacked.
pub(super) fn send_local(
    board: &mut Blackboard,
    now: Moment,
    to: SocketAddr,
    body: ControlBody,
    out: &mut Vec<Output>,
) {
    send_local_with(board, now, to, body, &[], out);
}

/// [`send_local`], with as many other rumours after those about members as fit.
pub(super) fn send_local_with(
    board: &mut Blackboard,
    now: Moment,
    to: SocketAddr,
    body: ControlBody,
    others: &[Rumour],
    out: &mut Vec<Output>,
) {
    let mut batch = RumourBatch::new();
    add_priority_rumours(board, now, to, &mut batch);
    let members = add_queued_rumours(board, now, to, &mut batch);
    let limit = transmit_limit(board);
    for control in members {
        board.membership.gossip_queue.count_transmit(control, limit);
    }
    batch.add_within_budget(others, &mut board.membership.other_budget, now);
    push_datagram(board, to, body, batch.rumours, out);
}

/// Sends a message to a node of any data centre, with as many of the given rumours about members
/// as fit; returns how many did.
pub(super) fn send_remote(
    board: &mut Blackboard,
    now: Moment,
    to: SocketAddr,
    body: ControlBody,
    rumours: &[Rumour],
    out: &mut Vec<Output>,
) -> usize {
    let mut batch = RumourBatch::new();
    add_priority_rumours(board, now, to, &mut batch);
    let count = batch.add_within_budget(rumours, &mut board.membership.member_budget, now);
    push_datagram(board, to, body, batch.rumours, out);
    count
}

/// Sends as many rumours that are not about members as fit, at once.
pub(crate) fn send_other_rumours(
    board: &mut Blackboard,
    now: Moment,
    to: SocketAddr,
    others: &[Rumour],
    out: &mut Vec<Output>,
) {
    let mut batch = RumourBatch::new();
    add_priority_rumours(board, now, to, &mut batch);
    if batch.add_within_budget(others, &mut board.membership.other_budget, now) > 0 {
        push_datagram(board, to, ControlBody::Gossip, batch.rumours, out);
    }
}

/// Sends rumours about a crash at once, in as many datagrams as they need.
pub(crate) fn send_crash_rumours(
    board: &mut Blackboard,
    now: Moment,
    to: SocketAddr,
    rumours: &[Rumour],
    out: &mut Vec<Output>,
) {
    let mut rest = rumours;
    while !rest.is_empty() {
        let mut batch = RumourBatch::new();
        add_priority_rumours(board, now, to, &mut batch);
        let sent_count = batch.add_within_budget(rest, &mut board.membership.crash_budget, now);
        if sent_count == 0 {
            return;
        }
        push_datagram(board, to, ControlBody::Gossip, batch.rumours, out);
        rest = &rest[sent_count..];
    }
}

/// The rumour about a member: its record, or if it is suspected only its status, which is
/// shorter.
pub(super) fn rumour_of(record: &MemberRecord) -> Rumour {
    if !record.is_suspect {
        return Rumour::Member(record.clone());
    }
    Rumour::Status(MemberStatus {
        control: record.control,
        incarnation: record.incarnation,
        revision: record.revision,
        is_gone: record.state == MemberState::Gone,
    })
}

/// Adds what the receiver must learn first.
///
/// This is the configuration version, that the receiver itself is suspected or gone, and a
/// recent change of this node's own record. The byte budgets don't apply to it.
fn add_priority_rumours(board: &Blackboard, now: Moment, to: SocketAddr, batch: &mut RumourBatch) {
    if let Some(version) = configuration::version_to_gossip(board) {
        batch.add(Rumour::Configuration(version));
    }
    let known = board.members.get(to);
    if let Some(known) = known
        && (known.is_suspect || known.state == MemberState::Gone)
    {
        batch.add(rumour_of(known));
    }
    if now.monotonic < board.membership.own_changed_at + OWN_CHANGE_PRIORITY_TIME {
        batch.add(Rumour::Member(board.members.own().clone()));
    }
}

/// Adds the rumours about queued members that fit; returns these members.
fn add_queued_rumours(
    board: &mut Blackboard,
    now: Moment,
    to: SocketAddr,
    batch: &mut RumourBatch,
) -> Vec<SocketAddr> {
    let queue = board
        .membership
        .gossip_queue
        .next()
        .take(RUMOURS_LIMIT_COUNT);
    let others = queue.filter(|control| *control != to);
    let records = others.filter_map(|control| board.members.get(control));
    let (members, rumours): (Vec<_>, Vec<_>) = records
        .map(|record| (record.control, rumour_of(record)))
        .unzip();
    let count = batch.add_within_budget(&rumours, &mut board.membership.member_budget, now);
    members.into_iter().take(count).collect()
}

/// Transmissions of a rumour by this node or to it after which this node stops sending it.
///
/// They suffice for all members to receive it with high probability, even if a tenth of the
/// datagrams is lost.
pub(super) fn transmit_limit(board: &Blackboard) -> u32 {
    let members_count = board.members.own_view().live().len();
    TRANSMITS_PER_DOUBLING * (members_count + 1).next_power_of_two().ilog2()
}

fn push_datagram(
    board: &mut Blackboard,
    to: SocketAddr,
    body: ControlBody,
    rumours: Vec<Rumour>,
    out: &mut Vec<Output>,
) {
    board.membership.last_sequence += 1;
    let datagram = Datagram {
        sender: board.settings.control,
        incarnation: board.settings.incarnation,
        sequence: board.membership.last_sequence,
        body,
        rumours,
    };
    out.push(Output::Send { to, datagram });
}

/// Rumours of one datagram, and its size so far.
struct RumourBatch {
    rumours: Vec<Rumour>,
    bytes: usize,
}

impl RumourBatch {
    fn new() -> Self {
        Self {
            rumours: Vec::new(),
            bytes: FRAME_BYTES,
        }
    }

    /// Adds rumours in order while they fit and the budget is not exhausted; returns how many.
    fn add_within_budget(
        &mut self,
        rumours: &[Rumour],
        budget: &mut ByteBudget,
        now: Moment,
    ) -> usize {
        if rumours.is_empty() {
            return 0;
        }
        let limit_bytes = self.bytes + budget.available_bytes(now.monotonic);
        let before_bytes = self.bytes;
        let fitting = rumours
            .iter()
            .take_while(|rumour| self.bytes < limit_bytes && self.add((*rumour).clone()));
        let count = fitting.count();
        budget.spend(self.bytes - before_bytes);
        count
    }

    /// Adds a rumour if it fits; returns whether it did.
    fn add(&mut self, rumour: Rumour) -> bool {
        let bytes = self.bytes + rumour.size_bytes();
        if bytes > Datagram::LIMIT_BYTES {
            return false;
        }
        self.bytes = bytes;
        self.rumours.push(rumour);
        true
    }
}
