//! Where a version is in force, as far as this node knows.

use std::net::SocketAddr;

use kumquatquay_wire::{
    ConfigurationStatus, ConfigurationVersion, Laggard, MemberRecord, MemberState, OperatorReply,
};
use rand::seq::IteratorRandom;

use super::peer_fetch;
use crate::{Blackboard, Moment, Output};

/// Limit of the nodes that one status command asks for their versions.
///
/// Gossip reports versions, too, but only when a node gossips with this one; while an operator
/// waits for a version, the command is repeated.
const QUESTIONS_LIMIT_COUNT: usize = 32;

/// Reports where a version is in force.
///
/// Also asks some of the nodes that are not known to have it, so that the next status is more
/// complete.
pub(super) fn status(
    board: &mut Blackboard,
    now: Moment,
    wanted: Option<ConfigurationVersion>,
    out: &mut Vec<Output>,
) -> OperatorReply {
    let wanted = wanted.or(board.configuration.version());
    let own = board.settings.control;
    let lagging = board.members.iter().filter(|member| {
        member.control != own
            && member.state != MemberState::Gone
            && known_version(board, member) < wanted
    });
    let lagging: Vec<SocketAddr> = lagging.map(|member| member.control).collect();
    let asked = lagging
        .into_iter()
        .choose_multiple(&mut board.random, QUESTIONS_LIMIT_COUNT);
    for to in asked {
        peer_fetch::ask_version(board, to, out);
    }
    build_status(board, now, wanted)
}

fn build_status(
    board: &Blackboard,
    now: Moment,
    wanted: Option<ConfigurationVersion>,
) -> OperatorReply {
    let version = board.configuration.version();
    let mut status = ConfigurationStatus {
        wanted,
        version,
        doubts: board.configuration.doubts(),
        ..ConfigurationStatus::default()
    };
    for member in board.members.iter() {
        if member.state == MemberState::Gone {
            continue;
        }
        status.members_count += 1;
        if known_version(board, member) >= wanted {
            status.in_force_count += 1;
        } else if status.laggards.len() < ConfigurationStatus::LAGGARDS_LIMIT_COUNT {
            status.laggards.push(laggard(board, now, member));
        }
    }
    OperatorReply::Status(status)
}

fn known_version(board: &Blackboard, member: &MemberRecord) -> Option<ConfigurationVersion> {
    if member.control == board.settings.control {
        return board.configuration.version();
    }
    let report = board.configuration.peer_versions.get(&member.control);
    report.map(|report| report.version)
}

fn laggard(board: &Blackboard, now: Moment, member: &MemberRecord) -> Laggard {
    let report = board.configuration.peer_versions.get(&member.control);
    let ms_since = |at| now.monotonic.saturating_sub(at).as_millis() as u64;
    Laggard {
        control: member.control.to_string(),
        data_centre: member.data_centre.clone(),
        version: known_version(board, member),
        last_report_age_ms: report.map(|report| ms_since(report.reported_at)),
        behind_ms: ms_since(board.configuration.in_force_since),
        is_unreachable: member.is_suspect,
    }
}
