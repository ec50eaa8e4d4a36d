//! Fetches the configuration from other nodes and serves it to them.

use std::{net::SocketAddr, time::Duration};

use kumquatquay_wire::{
    BulkRequest, ConfigurationAnswer, ConfigurationRequest, ConfigurationVersion, MemberState,
};
use rand::seq::IteratorRandom;

use super::{confirmation, in_force, log_reading, peer_versions};
use crate::{Blackboard, Counter, Moment, Note, Output};

/// Timeout of a question to another node.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Minimum time between questions to arbitrary nodes, as asked by a node without a configuration or
/// with a gap in the stream.
const ASK_INTERVAL: Duration = Duration::from_secs(1);

/// Consecutive failed reads of the log after which a follower asks other data centres.
const FAILURES_TO_ASK_OTHER_DATA_CENTRE_COUNT: u32 = 2;

/// Time between questions of a follower to other data centres.
///
/// Each data centre has three followers, so one of them asks about every second.
const ASK_OTHER_DATA_CENTRE_INTERVAL: Duration = Duration::from_secs(3);

/// State of the fetches from other nodes.
#[derive(Debug, Default)]
pub(crate) struct PeerFetch {
    /// The node that was asked, and when the question times out.
    outstanding: Option<(SocketAddr, Duration)>,
    /// The node to ask next: it reported a later version while another question was outstanding.
    next_node: Option<SocketAddr>,
    /// Earliest time of the next question to an arbitrary node.
    ask_any_node_at: Duration,
    /// When this node first learnt of a version later than its own; `None` if it knows of none.
    pub(super) behind_since: Option<Duration>,
    /// Earliest time of the next question to another data centre.
    ask_other_data_centre_at: Duration,
    /// The latest version that other nodes have reported while this node was behind.
    highest_version: Option<ConfigurationVersion>,
    /// Time of the first tick.
    pub(super) started_at: Duration,
    has_started: bool,
}

pub(super) fn on_tick(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    let fetch = &mut board.configuration.peer_fetch;
    if !fetch.has_started {
        fetch.has_started = true;
        fetch.started_at = now.monotonic;
    }
    if fetch
        .outstanding
        .is_some_and(|(_, expires_at)| now.monotonic >= expires_at)
    {
        fetch.outstanding = None;
    }
    if !board.configuration.is_established() {
        ask_any_node(board, now, out);
    }
    ask_other_data_centre(board, now, out);
}

/// Asks a random node of another data centre if this node is a follower and the log does not
/// answer it.
///
/// During a network partition a data centre declares the nodes of the others dead, and gossip
/// needs a while to rediscover them. The followers ask dead nodes, too, so that the first exchange
/// after the partition brings the changes that were missed.
fn ask_other_data_centre(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    let configuration = &board.configuration;
    let is_log_unreachable = configuration.ranks.is_follower()
        && configuration.reader.failures_count >= FAILURES_TO_ASK_OTHER_DATA_CENTRE_COUNT
        && configuration.is_established();
    let fetch = &configuration.peer_fetch;
    if !is_log_unreachable
        || fetch.outstanding.is_some()
        || now.monotonic < fetch.ask_other_data_centre_at
    {
        return;
    }
    board.configuration.peer_fetch.ask_other_data_centre_at =
        now.monotonic + ASK_OTHER_DATA_CENTRE_INTERVAL;
    let own = board.settings.data_centre.clone();
    let members = board.members.iter();
    let remote = members.filter(|member| member.data_centre != own);
    let remote = remote
        .map(|member| member.control)
        .choose(&mut board.random);
    if let Some(to) = remote {
        ask(board, now, to, out);
    }
}

/// Handles a report of a version later than this node's: asks the node that reported it.
pub(super) fn on_newer_version(
    board: &mut Blackboard,
    now: Moment,
    from: SocketAddr,
    version: ConfigurationVersion,
    out: &mut Vec<Output>,
) {
    let fetch = &mut board.configuration.peer_fetch;
    fetch.behind_since.get_or_insert(now.monotonic);
    fetch.highest_version = fetch.highest_version.max(Some(version));
    match fetch.outstanding {
        Some((asked, _)) if asked == from => {}
        Some(_) => fetch.next_node = Some(from),
        None => ask(board, now, from, out),
    }
}

/// Asks a random node, preferably of the own data centre, or a seed if no node is known.
pub(super) fn ask_any_node(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    let fetch = &board.configuration.peer_fetch;
    if fetch.outstanding.is_some() || now.monotonic < fetch.ask_any_node_at {
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
    let (local, remote): (Vec<_>, Vec<_>) = others
        .map(|member| (member.data_centre == own.data_centre, member.control))
        .partition(|(is_local, _)| *is_local);
    let known = if local.is_empty() { remote } else { local };
    let known = known.into_iter().map(|(_, control)| control);
    let seeds = board.settings.seeds.iter().copied();
    let seed = seeds
        .filter(|seed| *seed != own.control)
        .choose(&mut board.random);
    known.choose(&mut board.random).or(seed)
}

fn ask(board: &mut Blackboard, now: Moment, to: SocketAddr, out: &mut Vec<Output>) {
    let fetch = &mut board.configuration.peer_fetch;
    fetch.outstanding = Some((to, now.monotonic + ANSWER_TIMEOUT));
    fetch.ask_any_node_at = now.monotonic + ASK_INTERVAL;
    let through = board.configuration.state.through();
    let question = ConfigurationRequest {
        through,
        wants_version_only: false,
    };
    send(board, to, question, out);
}

fn send(
    board: &mut Blackboard,
    to: SocketAddr,
    question: ConfigurationRequest,
    out: &mut Vec<Output>,
) {
    let payload = question.to_bytes();
    board
        .counters
        .increment(Counter::ConfigurationPeerQuestions);
    out.push(Output::BulkAsk {
        to,
        question: BulkRequest::Configuration { payload }.to_bytes(),
    });
}

/// Asks another node which version it has in force; the operator command `status` reports it.
pub(super) fn ask_version(board: &mut Blackboard, to: SocketAddr, out: &mut Vec<Output>) {
    let question = ConfigurationRequest {
        through: None,
        wants_version_only: true,
    };
    send(board, to, question, out);
}

/// Answers a question of another node about the configuration.
pub(crate) fn on_bulk_question(board: &Blackboard, question: &[u8]) -> Vec<u8> {
    let answer = match ConfigurationRequest::from_bytes(question) {
        Ok(question) if question.wants_version_only => {
            ConfigurationAnswer::Version(board.configuration.version())
        }
        Ok(question) => answer_to(board, question),
        Err(_) => ConfigurationAnswer::Nothing,
    };
    answer.to_bytes()
}

fn answer_to(board: &Blackboard, question: ConfigurationRequest) -> ConfigurationAnswer {
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

/// Handles the answer of another node to a question about the configuration.
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
    board.configuration.peer_fetch.outstanding = None;
    let is_applied = match answer {
        Ok(ConfigurationAnswer::Snapshot(snapshot)) => {
            in_force::adopt_snapshot(board, now, snapshot, out)
        }
        Ok(answer @ ConfigurationAnswer::Changes { .. }) => apply_changes(board, now, answer, out),
        Ok(ConfigurationAnswer::Nothing | ConfigurationAnswer::Version(_)) => false,
        Err(error) => {
            let detail = format!("unreadable configuration answer from {from}: {error}");
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
        let detail = "changes from another node can't be applied to the configuration in force \
                      here; the log decides";
        out.push(Output::Note(Note::warn(
            "configuration_contradiction",
            detail,
        )));
        return false;
    }
    board.configuration.state.advance_to(through, digest);
    true
}

/// Handles a question that failed or was not answered.
pub(crate) fn on_bulk_failed(
    board: &mut Blackboard,
    now: Moment,
    from: SocketAddr,
    out: &mut Vec<Output>,
) {
    let fetch = &mut board.configuration.peer_fetch;
    fetch.outstanding.take_if(|(asked, _)| *asked == from);
    ask_next(board, now, out);
}

fn ask_next(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    let Some(next) = board.configuration.peer_fetch.next_node.take() else {
        return;
    };
    if board.configuration.peer_fetch.behind_since.is_some() {
        ask(board, now, next, out);
    }
}

/// Clears `behind_since` if this node has the latest version that was reported, or has just read to
/// the end of the log, which is authoritative.
pub(super) fn clear_behind(board: &mut Blackboard, is_at_end_of_log: bool) {
    let version = board.configuration.version();
    let fetch = &mut board.configuration.peer_fetch;
    if is_at_end_of_log || version >= fetch.highest_version {
        fetch.behind_since = None;
        fetch.highest_version = None;
    }
}
