//! How a node gets the configuration from other nodes.

use std::{net::SocketAddr, time::Duration};

use kumquatquay_wire::{
    BulkQuestion, ConfigurationAnswer, ConfigurationQuestion, ConfigurationVersion, MemberState,
};
use rand::seq::IteratorRandom;

use super::{confirmation, in_force, log_reading, peer_versions};
use crate::{Blackboard, Counter, Moment, Note, Output};

/// When a question without an answer is given up.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Time between questions of a node that knows nothing yet.
const ASK_INTERVAL: Duration = Duration::from_secs(1);

/// Failed reads in a row before a follower asks another data centre.
const FAILURES_TO_ASK_OTHER_DATA_CENTRE_COUNT: u32 = 2;

/// Time between questions to another data centre: three followers ask, so that
/// one of them does so about every second.
const ASK_OTHER_DATA_CENTRE_INTERVAL: Duration = Duration::from_secs(3);

/// Fetches from other nodes.
#[derive(Debug, Default)]
pub(crate) struct PeerFetch {
    /// Whom this node has asked, and when it gives up.
    outstanding: Option<(SocketAddr, Duration)>,
    /// A node to ask next, because it told of a later version meanwhile.
    next: Option<SocketAddr>,
    /// No question to any node before.
    ask_at: Duration,
    /// Since when a later version than this node's is known to exist.
    pub(super) behind_since: Option<Duration>,
    /// No question to another data centre before.
    ask_other_data_centre_at: Duration,
    /// The latest version heard of.
    highest: Option<ConfigurationVersion>,
    /// When the node first ticked.
    pub(super) started_at: Duration,
    has_started: bool,
}

pub(super) fn on_tick(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    let peers = &mut board.configuration.peers;
    if !peers.has_started {
        peers.has_started = true;
        peers.started_at = now.monotonic;
    }
    if peers
        .outstanding
        .is_some_and(|(_, expires_at)| now.monotonic >= expires_at)
    {
        peers.outstanding = None;
    }
    if !board.configuration.is_established() {
        ask_any_node(board, now, out);
    }
    ask_other_data_centre(board, now, out);
}

/// Asks a node of another data centre while the log does not answer a follower.
///
/// A data centre that is cut off declares the others' nodes dead, and gossip
/// takes a while to find them again. Its followers ask all the same, so that
/// the first exchange that gets through after the cut brings what was missed.
fn ask_other_data_centre(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    let configuration = &board.configuration;
    let is_log_unreachable = configuration.ranks.is_follower()
        && configuration.reader.failures_count >= FAILURES_TO_ASK_OTHER_DATA_CENTRE_COUNT
        && configuration.is_established();
    let peers = &configuration.peers;
    if !is_log_unreachable
        || peers.outstanding.is_some()
        || now.monotonic < peers.ask_other_data_centre_at
    {
        return;
    }
    board.configuration.peers.ask_other_data_centre_at =
        now.monotonic + ASK_OTHER_DATA_CENTRE_INTERVAL;
    let own = board.settings.data_centre.clone();
    let members = board.members.iter();
    let far = members.filter(|member| member.data_centre != own);
    let far = far.map(|member| member.control).choose(&mut board.random);
    if let Some(to) = far {
        ask(board, now, to, out);
    }
}

/// Another node told of a version later than this node's.
pub(super) fn on_newer_version(
    board: &mut Blackboard,
    now: Moment,
    from: SocketAddr,
    version: ConfigurationVersion,
    out: &mut Vec<Output>,
) {
    let peers = &mut board.configuration.peers;
    peers.behind_since.get_or_insert(now.monotonic);
    peers.highest = peers.highest.max(Some(version));
    match peers.outstanding {
        Some((asked, _)) if asked == from => {}
        Some(_) => peers.next = Some(from),
        None => ask(board, now, from, out),
    }
}

/// Asks some node of the data centre, or a seed where none is known.
pub(super) fn ask_any_node(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    let peers = &board.configuration.peers;
    if peers.outstanding.is_some() || now.monotonic < peers.ask_at {
        return;
    }
    if let Some(to) = random_node(board) {
        ask(board, now, to, out);
    }
}

fn random_node(board: &mut Blackboard) -> Option<SocketAddr> {
    let own = board.members.own().clone();
    let others = board.members.iter().filter(|member| {
        member.control != own.control && member.state != MemberState::Gone && !member.is_suspect
    });
    let (near, far): (Vec<_>, Vec<_>) = others
        .map(|member| (member.data_centre == own.data_centre, member.control))
        .partition(|(is_near, _)| *is_near);
    let known = if near.is_empty() { far } else { near };
    let known = known.into_iter().map(|(_, control)| control);
    let seeds = board.settings.seeds.iter().copied();
    let seed = seeds
        .filter(|seed| *seed != own.control)
        .choose(&mut board.random);
    known.choose(&mut board.random).or(seed)
}

fn ask(board: &mut Blackboard, now: Moment, to: SocketAddr, out: &mut Vec<Output>) {
    let peers = &mut board.configuration.peers;
    peers.outstanding = Some((to, now.monotonic + ANSWER_TIMEOUT));
    peers.ask_at = now.monotonic + ASK_INTERVAL;
    let through = board.configuration.state.through();
    let question = ConfigurationQuestion {
        through,
        wants_version_only: false,
    };
    send(board, to, question, out);
}

fn send(
    board: &mut Blackboard,
    to: SocketAddr,
    question: ConfigurationQuestion,
    out: &mut Vec<Output>,
) {
    let payload = question.to_bytes();
    board
        .counters
        .increment(Counter::ConfigurationPeerQuestions);
    out.push(Output::BulkAsk {
        to,
        question: BulkQuestion::Configuration { payload }.to_bytes(),
    });
}

/// Asks another node for the version that it has in force, for a status.
pub(super) fn ask_version(board: &mut Blackboard, to: SocketAddr, out: &mut Vec<Output>) {
    let question = ConfigurationQuestion {
        through: None,
        wants_version_only: true,
    };
    send(board, to, question, out);
}

/// Answers another node's question about the configuration.
pub(crate) fn on_bulk_question(board: &Blackboard, question: &[u8]) -> Vec<u8> {
    let answer = match ConfigurationQuestion::from_bytes(question) {
        Ok(question) if question.wants_version_only => {
            ConfigurationAnswer::Version(board.configuration.version())
        }
        Ok(question) => answer_to(board, question),
        Err(_) => ConfigurationAnswer::Nothing,
    };
    answer.to_bytes()
}

fn answer_to(board: &Blackboard, question: ConfigurationQuestion) -> ConfigurationAnswer {
    let state = &board.configuration.state;
    let Some(through) = state.through() else {
        return ConfigurationAnswer::Nothing;
    };
    if question.through >= Some(through) {
        return ConfigurationAnswer::Nothing;
    }
    let changes = question
        .through
        .and_then(|after| Some((after, state.changes_after(after)?)));
    match changes {
        Some((after, changes)) => ConfigurationAnswer::Changes {
            after,
            through,
            digest: state.digest(),
            changes,
        },
        None => state
            .to_snapshot()
            .map_or(ConfigurationAnswer::Nothing, ConfigurationAnswer::Snapshot),
    }
}

/// Another node answered a question about the configuration.
pub(crate) fn on_bulk_answer(
    board: &mut Blackboard,
    now: Moment,
    from: SocketAddr,
    answer: &[u8],
    out: &mut Vec<Output>,
) {
    let answer = ConfigurationAnswer::from_bytes(answer);
    if let Ok(ConfigurationAnswer::Version(version)) = answer {
        if let Some(version) = version {
            peer_versions::on_peer_version(board, now, from, version, out);
        }
        return;
    }
    board.configuration.peers.outstanding = None;
    let is_applied = match answer {
        Ok(ConfigurationAnswer::Snapshot(snapshot)) => {
            in_force::adopt_snapshot(board, now, snapshot, out)
        }
        Ok(answer @ ConfigurationAnswer::Changes { .. }) => apply_changes(board, now, answer, out),
        Ok(ConfigurationAnswer::Nothing | ConfigurationAnswer::Version(_)) => false,
        Err(error) => {
            let detail = format!("{from} answered with {error}");
            out.push(Output::Note(Note::warn(
                "configuration_answer_unreadable",
                detail,
            )));
            false
        }
    };
    if is_applied {
        log_reading::on_gap_closed(board);
        clear_behind(board, false);
        confirmation::finish_decided(board, out);
    }
    ask_next(board, now, out);
}

fn apply_changes(
    board: &mut Blackboard,
    now: Moment,
    answer: ConfigurationAnswer,
    out: &mut Vec<Output>,
) -> bool {
    let ConfigurationAnswer::Changes {
        after,
        through,
        digest,
        changes,
    } = answer
    else {
        return false;
    };
    let known = board.configuration.state.through();
    if known < Some(after) || known >= Some(through) {
        return false;
    }
    let later = changes
        .into_iter()
        .filter(|accepted| Some(accepted.version) > known);
    if !in_force::apply_peer_changes(board, now, later.collect(), out) {
        let detail = "changes from another node don't follow on what is in force here; \
                      the log decides";
        out.push(Output::Note(Note::warn(
            "configuration_contradiction",
            detail,
        )));
        return false;
    }
    board.configuration.state.advance_to(through, digest);
    true
}

/// Another node did not answer.
pub(crate) fn on_bulk_failed(
    board: &mut Blackboard,
    now: Moment,
    from: SocketAddr,
    out: &mut Vec<Output>,
) {
    let peers = &mut board.configuration.peers;
    peers.outstanding.take_if(|(asked, _)| *asked == from);
    ask_next(board, now, out);
}

fn ask_next(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    let Some(next) = board.configuration.peers.next.take() else {
        return;
    };
    if board.configuration.peers.behind_since.is_some() {
        ask(board, now, next, out);
    }
}

/// Forgets that this node was behind, if it has the latest version heard of or
/// has just read to the end of the log, which is the authority.
pub(super) fn clear_behind(board: &mut Blackboard, is_at_end_of_log: bool) {
    let version = board.configuration.version();
    let peers = &mut board.configuration.peers;
    if is_at_end_of_log || version >= peers.highest {
        peers.behind_since = None;
        peers.highest = None;
    }
}
