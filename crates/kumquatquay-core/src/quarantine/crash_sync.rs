//! Learns the crashes before the start of this node.

use std::net::SocketAddr;

use kumquatquay_wire::{BulkAnswer, BulkRequest, CrashReport};

use super::records::{known_crashes, on_crash_report};
use crate::{Blackboard, Moment, Output};

/// What this node knows of the crashes before its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CrashSync {
    /// Nobody has told it yet.
    #[default]
    Unanswered,
    /// A node that was asked doesn't know them either: all may have started anew.
    PeersAreNew,
    /// It knows them.
    Complete,
}

/// Asks another node for the crashes that it knows.
pub(crate) fn ask_for_crashes(to: SocketAddr, out: &mut Vec<Output>) {
    out.push(Output::BulkAsk {
        to,
        question: BulkRequest::Crashes.to_bytes(),
    });
}

/// Records that the host has read what the platform's store keeps, or that there is nothing to know.
pub(crate) fn on_crashes_read(board: &mut Blackboard) {
    board.quarantine.crash_sync = CrashSync::Complete;
}

/// Answers another node that has started.
pub(crate) fn crashes_answer(board: &Blackboard, now: Moment) -> BulkAnswer {
    let known = known_crashes(board, now).into_iter();
    let reports = known.map(|crash| crash.report);
    BulkAnswer::Crashes {
        reports: reports
            .filter(|report| !report.suspects.is_empty())
            .collect(),
        is_complete: board.quarantine.crash_sync == CrashSync::Complete,
    }
}

/// Merges the crashes that another node knows.
pub(crate) fn on_crashes_answer(
    board: &mut Blackboard,
    now: Moment,
    reports: &[CrashReport],
    is_complete: bool,
    out: &mut Vec<Output>,
) {
    for report in reports {
        on_crash_report(board, now, report, out);
    }
    let sync = &mut board.quarantine.crash_sync;
    if is_complete {
        *sync = CrashSync::Complete;
    } else if *sync == CrashSync::Unanswered {
        *sync = CrashSync::PeersAreNew;
    }
}
