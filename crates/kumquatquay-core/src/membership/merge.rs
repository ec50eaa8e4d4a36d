//! Merges received records into the member table.

use kumquatquay_wire::{Incarnation, MemberRecord, MemberState, MemberStatus};

use super::{data_centre_relay, gossip, gossip_queue::Urgency, member_table::RecordSource, sender};
use crate::{Blackboard, Counter, Moment, Note, Output};

/// Merges a record of a member, if it is newer than the known one.
pub(super) fn on_record(
    board: &mut Blackboard,
    now: Moment,
    record: MemberRecord,
    out: &mut Vec<Output>,
) {
    if record.control == board.settings.control {
        on_own_record(board, now, &record, out);
        return;
    }
    let record = accepted_record(board, record);
    if is_newer(board, now, &record) {
        apply_record(board, now, record);
    } else if board.members.get(record.control) == Some(&record) {
        let limit = sender::transmit_limit(board);
        board
            .membership
            .gossip_queue
            .count_transmit(record.control, limit);
    }
}

/// Merges a suspicion of a member, or that it was declared gone.
///
/// It applies only to the incarnation and revision known here: the member may have refuted it
/// since, and a node that does not know that revision yet will receive its record.
pub(super) fn on_status(
    board: &mut Blackboard,
    now: Moment,
    status: &MemberStatus,
    out: &mut Vec<Output>,
) {
    let Some(known) = board.members.get(status.control) else {
        return;
    };
    if known.incarnation != status.incarnation || known.revision != status.revision {
        return;
    }
    let mut record = known.clone();
    record.is_suspect = true;
    if status.is_gone {
        record.state = MemberState::Gone;
    }
    on_record(board, now, record, out);
}

/// Merges the records of a table; gossips the newer ones if they are at most
/// `forward_limit_count`.
pub(super) fn on_table(
    board: &mut Blackboard,
    now: Moment,
    records: Vec<MemberRecord>,
    forward_limit_count: usize,
    out: &mut Vec<Output>,
) {
    let own = board.settings.control;
    let (own_records, others): (Vec<_>, Vec<_>) = records
        .into_iter()
        .partition(|record| record.control == own);
    let others = others
        .into_iter()
        .map(|record| accepted_record(board, record));
    let newer = others.filter(|record| is_newer(board, now, record));
    let newer: Vec<_> = newer.collect();
    if newer.len() <= forward_limit_count {
        for record in newer {
            apply_record(board, now, record);
        }
    } else {
        for record in newer.iter().filter(|record| is_suspected(record)) {
            board
                .membership
                .suspicions
                .add(now.monotonic, record.control);
        }
        for record in newer.iter().filter(|record| !is_suspected(record)) {
            board.membership.suspicions.remove(record.control);
        }
        board
            .members
            .put_all(now.monotonic, newer, RecordSource::Table);
    }
    for record in own_records {
        on_own_record(board, now, &record, out);
    }
}

/// Whether a record ranks above the known one.
///
/// Records of an expired data centre never do: nodes that have not removed it yet would bring it
/// back.
fn is_newer(board: &Blackboard, now: Moment, record: &MemberRecord) -> bool {
    let data_centre_liveness = &board.membership.data_centre_liveness;
    let is_expired = data_centre_liveness.is_expired(now.monotonic, &record.data_centre);
    let known = board.members.get(record.control);
    !is_expired && known.is_none_or(|known| known.rank() < record.rank())
}

/// The part of a record that this node accepts.
///
/// Suspicions of members of other data centres are dropped, as their own data centre resolves
/// them. During a mass silence, a known revision of a local member that others declare gone is
/// only suspected: they may be on the minority side of a partition. A member that leaves says
/// so by a new revision of its own record without a suspicion, which is accepted.
fn accepted_record(board: &Blackboard, mut record: MemberRecord) -> MemberRecord {
    let is_gone = record.state == MemberState::Gone;
    let is_local = record.data_centre == board.settings.data_centre;
    if !is_local && !is_gone {
        record.is_suspect = false;
    }
    if is_local && is_gone && record.is_suspect && board.membership.suspicions.is_holding() {
        let known = board.members.get(record.control);
        let same = known.filter(|known| {
            (known.incarnation, known.revision) == (record.incarnation, record.revision)
        });
        record.state = same.map_or(record.state, |known| known.state);
    }
    record
}

fn apply_record(board: &mut Blackboard, now: Moment, record: MemberRecord) {
    let control = record.control;
    let known = board.members.get(control);
    let is_suspicion_only = known.is_some_and(|known| {
        (known.incarnation, known.revision, known.state)
            == (record.incarnation, record.revision, record.state)
    });
    update_suspicion(board, now, &record);
    if !is_suspicion_only && record.data_centre == board.settings.data_centre {
        data_centre_relay::queue_member(board, control);
    }
    let urgency = urgency(&record);
    board
        .members
        .put(now.monotonic, record, RecordSource::Gossip);
    board.membership.gossip_queue.push(control, urgency);
}

fn urgency(record: &MemberRecord) -> Urgency {
    if record.is_suspect || record.state >= MemberState::Draining {
        Urgency::High
    } else {
        Urgency::Normal
    }
}

/// Starts or ends the time that a member has to refute a suspicion.
fn update_suspicion(board: &mut Blackboard, now: Moment, record: &MemberRecord) {
    let known = board.members.get(record.control);
    let was_live = known.is_some_and(|known| known.state != MemberState::Gone);
    let is_local = record.data_centre == board.settings.data_centre;
    let suspicions = &mut board.membership.suspicions;
    if is_suspected(record) {
        suspicions.add(now.monotonic, record.control);
        return;
    }
    suspicions.remove(record.control);
    if is_local && was_live && is_declared_gone(record) {
        suspicions.record_death(now.monotonic);
    }
}

/// Whether a member is suspected and not yet declared gone.
fn is_suspected(record: &MemberRecord) -> bool {
    record.is_suspect && record.state != MemberState::Gone
}

/// Whether a member was declared gone by others.
///
/// The record of a member that leaves has no suspicion.
fn is_declared_gone(record: &MemberRecord) -> bool {
    record.is_suspect && record.state == MemberState::Gone
}

/// Handles a record of this node received from others, and refutes it if necessary.
fn on_own_record(
    board: &mut Blackboard,
    now: Moment,
    record: &MemberRecord,
    out: &mut Vec<Output>,
) {
    let own = board.members.own();
    let has_earlier_life = (record.incarnation, record.revision) > (own.incarnation, own.revision);
    if has_earlier_life {
        raise_incarnation(board, now, record.incarnation, out);
        return;
    }
    let is_current = (record.incarnation, record.revision) == (own.incarnation, own.revision);
    let is_suspected = record.is_suspect || record.state == MemberState::Gone;
    if is_current && is_suspected && own.state != MemberState::Gone {
        board.counters.increment(Counter::SuspicionsRefuted);
        change_own(board, now, |_| {});
    }
}

/// Raises this node's incarnation above that of an earlier node at the same address.
///
/// If the clock of a new host is behind, its messages would be taken for late messages of the
/// old host, and no node would send it work. Only this node numbers its own records, so a
/// higher number must come from an earlier node.
fn raise_incarnation(
    board: &mut Blackboard,
    now: Moment,
    earlier: Incarnation,
    out: &mut Vec<Output>,
) {
    let incarnation = earlier.saturating_add(1);
    let detail = format!("raised from an earlier incarnation {earlier} to {incarnation}");
    out.push(Output::Note(Note::warn("incarnation_raised", detail)));
    board.settings.incarnation = incarnation;
    change_own(board, now, |own| own.incarnation = incarnation);
}

/// Changes this node's own record and gossips it at once.
pub(super) fn change_own(
    board: &mut Blackboard,
    now: Moment,
    change: impl FnOnce(&mut MemberRecord),
) {
    board.members.change_own(now.monotonic, change);
    board.membership.own_changed_at = now.monotonic;
    let own = board.settings.control;
    board.membership.gossip_queue.push(own, Urgency::High);
    data_centre_relay::queue_member(board, own);
    gossip::gossip_immediately(board);
}
