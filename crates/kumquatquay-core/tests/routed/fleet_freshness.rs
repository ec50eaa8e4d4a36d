//! Tests of the freshness proofs of a fleet whose store, or network, is partly unavailable.
//!
//! Each node decides when it reads the store and which nodes it asks; it accepts keys while its
//! proof is younger than the bound. No node, wherever it is cut off, may accept a key that was
//! revoked longer ago than the bound. And no node that reaches a peer whose reads the store answers
//! should refuse keys.

use std::time::Duration;

use kumquatquay_core::routed::{
    FreshnessProof, PeerProof, PollStep, PollerFleet, StorePoller, StoreReaders,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::at_ms;

/// Time for which a key may be accepted after it was revoked.
const BOUND: Duration = Duration::from_secs(5);

/// Time before the end of that at which a node stops accepting keys.
const MARGIN: Duration = Duration::from_millis(100);

/// Time in which the store and peers answer.
const ANSWER_MS: u64 = 4;

/// Time after the end of its hold at which a call to the store times out.
const CALL_TIMEOUT_MS: u64 = 1_500;

/// Time within which a node has a proof once it reaches other nodes again.
const RETURN_MS: u64 = 1_000;

const TICK_MS: u64 = 4;

/// A fleet, and the faults in it within a span of time.
#[derive(Clone, Copy, Debug, Default)]
struct Scene {
    nodes_count: usize,
    /// Nodes, from the first one on, that the store doesn't answer in the time of the faults.
    unanswered_count: usize,
    /// Nodes, from the last one backwards, that reach neither the store nor other nodes in that
    /// time.
    isolated_count: usize,
    from_ms: u64,
    until_ms: u64,
    /// Whether the last node is suspended in that time.
    is_suspended: bool,
    /// Whether nodes call each other, and report their proofs with the calls.
    has_calls: bool,
}

const READERS_COUNT: usize = 6;

struct Node {
    poller: StorePoller,
    proof: FreshnessProof,
    /// Reads in progress: when they started, and for how long the store may hold them.
    reads: Vec<(u64, u64)>,
    waits_until: Duration,
    reads_count: usize,
}

#[derive(Debug, Default)]
struct Outcome {
    /// Maximum age of a proof by which keys were accepted.
    max_accepted_age: Duration,
    /// Total time in which nodes refused keys, without nodes that are isolated, or were until less
    /// than [`RETURN_MS`] ago.
    refused_ms: u64,
    reads_count: usize,
}

impl Scene {
    fn is_faulty(&self, now_ms: u64) -> bool {
        (self.from_ms..self.until_ms).contains(&now_ms)
    }

    fn is_isolated(&self, index: usize, now_ms: u64) -> bool {
        self.is_faulty(now_ms) && index + self.isolated_count >= self.nodes_count
    }

    fn is_unanswered(&self, index: usize, now_ms: u64) -> bool {
        self.is_isolated(index, now_ms) || (self.is_faulty(now_ms) && index < self.unanswered_count)
    }

    fn is_stopped(&self, index: usize, now_ms: u64) -> bool {
        self.is_suspended && self.is_faulty(now_ms) && index + 1 == self.nodes_count
    }

    fn fleet(&self, index: usize) -> PollerFleet {
        PollerFleet {
            nodes_count: self.nodes_count,
            readers: StoreReaders {
                is_reader: index < READERS_COUNT,
                count: READERS_COUNT,
            },
        }
    }
}

/// Simulates a scene up to `end_ms`.
///
/// The store is assumed to get a new version at each moment, so the configuration by which a node
/// accepts keys is as old as its proof.
fn simulate(scene: &Scene, seed: u64, end_ms: u64) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let mut outcome = Outcome::default();
    let mut nodes: Vec<Node> = (0..scene.nodes_count)
        .map(|_| Node {
            poller: StorePoller::new(Duration::ZERO, random.random()).with_proof_bound(BOUND),
            proof: FreshnessProof::default(),
            reads: Vec::new(),
            waits_until: Duration::ZERO,
            reads_count: 0,
        })
        .collect();
    for now_ms in (0..end_ms).step_by(TICK_MS as usize) {
        for index in 0..nodes.len() {
            if scene.is_stopped(index, now_ms) {
                continue;
            }
            end_reads(scene, index, now_ms, &mut nodes[index]);
            let asked = run_poller(scene, index, now_ms, &mut nodes[index]);
            if asked {
                let readers: Vec<usize> = (0..2)
                    .map(|_| random.random_range(0..READERS_COUNT))
                    .collect();
                let any_node = random.random_range(0..nodes.len());
                for peer in readers.into_iter().chain([any_node]) {
                    ask_peer(scene, index, peer, now_ms, &mut nodes);
                }
            }
            if scene.has_calls && random.random_bool(0.02) {
                let peer = random.random_range(0..nodes.len());
                ask_peer(scene, index, peer, now_ms, &mut nodes);
            }
            check_node(scene, index, now_ms, &nodes[index], &mut outcome);
        }
    }
    outcome.reads_count = nodes.iter().map(|node| node.reads_count).sum();
    outcome
}

/// A moment by the clocks of the nodes, which started a minute before the scene.
fn moment(ms: u64) -> Duration {
    at_ms(60_000 + ms)
}

fn end_reads(scene: &Scene, index: usize, now_ms: u64, node: &mut Node) {
    let now = at_ms(now_ms);
    let mut kept = Vec::new();
    for (started_ms, hold_ms) in std::mem::take(&mut node.reads) {
        let is_lost = scene.is_unanswered(index, started_ms) || scene.is_unanswered(index, now_ms);
        if !is_lost && now_ms >= started_ms + hold_ms + ANSWER_MS {
            node.poller.on_answer(now, false);
            node.proof.on_store_read(moment(started_ms), None);
            on_new_proof(node, now_ms);
            node.waits_until = now;
        } else if now_ms >= started_ms + hold_ms + CALL_TIMEOUT_MS {
            node.poller.on_failure(now);
            node.waits_until = now;
        } else {
            kept.push((started_ms, hold_ms));
        }
    }
    node.reads = kept;
}

fn on_new_proof(node: &mut Node, now_ms: u64) {
    if let Some(age) = node.proof.age(moment(now_ms)) {
        node.poller.on_proof(at_ms(now_ms).saturating_sub(age));
        node.waits_until = node.waits_until.min(at_ms(now_ms));
    }
}

/// Lets a node do what its poller decides. Returns whether it asks other nodes.
fn run_poller(scene: &Scene, index: usize, now_ms: u64, node: &mut Node) -> bool {
    let mut asks_peers = false;
    while node.waits_until <= at_ms(now_ms) {
        match node.poller.step(at_ms(now_ms), scene.fleet(index)) {
            PollStep::Wait { until } => node.waits_until = until,
            PollStep::AskReader => asks_peers = true,
            PollStep::Read { hold } => {
                asks_peers |= node.poller.is_proof_due(at_ms(now_ms));
                node.reads_count += 1;
                node.reads.push((now_ms, hold.as_millis() as u64));
            }
        }
    }
    asks_peers
}

fn ask_peer(scene: &Scene, index: usize, peer: usize, now_ms: u64, nodes: &mut [Node]) {
    let is_unreachable =
        |index| scene.is_isolated(index, now_ms) || scene.is_stopped(index, now_ms);
    if index == peer || is_unreachable(index) || is_unreachable(peer) {
        return;
    }
    let age = nodes[peer].proof.age(moment(now_ms));
    let count = nodes[peer].poller.answers_count();
    let asked = moment(now_ms.saturating_sub(ANSWER_MS));
    let node = &mut nodes[index];
    node.poller.on_peer_state(at_ms(now_ms), None, count);
    let answer = PeerProof {
        asked,
        version: 0,
        age,
        era: None,
    };
    node.proof.on_peer_proof(moment(now_ms), answer);
    on_new_proof(node, now_ms);
}

fn check_node(scene: &Scene, index: usize, now_ms: u64, node: &Node, outcome: &mut Outcome) {
    let age = node.proof.age(moment(now_ms));
    let accepted = age.filter(|age| *age + MARGIN < BOUND);
    if let Some(age) = accepted {
        outcome.max_accepted_age = outcome.max_accepted_age.max(age);
    } else if now_ms > 2_000 && !may_refuse(scene, index, now_ms) {
        outcome.refused_ms += TICK_MS;
    }
}

/// Whether a node is isolated, or was until less than a second ago.
fn may_refuse(scene: &Scene, index: usize, now_ms: u64) -> bool {
    let before_ms = now_ms.saturating_sub(RETURN_MS);
    scene.is_isolated(index, now_ms) || scene.is_isolated(index, before_ms)
}

const NO_FAULTS: Scene = Scene {
    nodes_count: 78,
    unanswered_count: 0,
    isolated_count: 0,
    from_ms: 6_000,
    until_ms: 16_000,
    is_suspended: false,
    has_calls: true,
};

/// Defines a test for each scene: no node accepts keys by a proof older than the bound, and none
/// refuses keys while it reaches peers.
macro_rules! proofs_stay_fresh {
    ($($name:ident: $scene:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..5 {
                let outcome = simulate(&$scene, seed, 20_000);
                assert!(outcome.max_accepted_age < BOUND, "seed {seed}: {outcome:?}");
                assert_eq!(outcome.refused_ms, 0, "seed {seed}: {outcome:?}");
            }
        }
    )*};
}

proofs_stay_fresh! {
    without_faults: NO_FAULTS;
    in_a_fleet_without_calls: Scene { has_calls: false, ..NO_FAULTS };
    while_a_third_of_the_nodes_with_all_readers_gets_no_answers:
        Scene { unanswered_count: 26, ..NO_FAULTS };
    while_a_third_gets_no_answers_and_there_are_no_calls:
        Scene { unanswered_count: 26, has_calls: false, ..NO_FAULTS };
    while_some_nodes_are_isolated: Scene { isolated_count: 20, ..NO_FAULTS };
    in_a_small_fleet: Scene { nodes_count: 8, unanswered_count: 3, ..NO_FAULTS };
}

/// The store answers no node. Keys are accepted until the last proof is too old, and again soon
/// after the store has recovered.
#[test]
fn without_a_store_keys_are_accepted_up_to_the_bound() {
    let scene = Scene {
        unanswered_count: 78,
        ..NO_FAULTS
    };
    for seed in 0..5 {
        let outcome = simulate(&scene, seed, 20_000);
        assert!(outcome.max_accepted_age < BOUND, "seed {seed}: {outcome:?}");
        // The store is unavailable for ten seconds. Proofs from before last for three at least.
        let refused_s = outcome.refused_ms as f64 / 1_000.0 / scene.nodes_count as f64;
        assert!(refused_s < 7.0 + 1.0, "seed {seed}: {refused_s}");
    }
}

/// A host is suspended for ten seconds. To its process no time seems to have passed, except by the
/// clock that advances while the host is suspended.
#[test]
fn a_node_that_was_suspended_accepts_no_revoked_key() {
    let scene = Scene {
        is_suspended: true,
        ..NO_FAULTS
    };
    for seed in 0..5 {
        let outcome = simulate(&scene, seed, 20_000);
        assert!(outcome.max_accepted_age < BOUND, "seed {seed}: {outcome:?}");
    }
}

/// Without faults, all nodes together start few reads a second, since the store has to handle them
/// all.
#[test]
fn proofs_cost_few_reads() {
    let outcome = simulate(&NO_FAULTS, 1, 30_000);
    let reads_per_s = outcome.reads_count as f64 / 30.0;
    assert!(reads_per_s <= 7.5, "{reads_per_s}");
}

/// Ten thousand requests a second present unknown keys. Together they cause at most four
/// requested reads a second, in addition to those that the store holds.
#[test]
fn a_flood_of_unknown_keys_causes_few_reads() {
    let mut poller = StorePoller::new(Duration::ZERO, 1);
    let mut requested_count = 0;
    let mut held_until = None;
    let fleet = NO_FAULTS.fleet(0);
    for ms in 0..10_000 {
        for _ in 0..10 {
            poller.request_read(at_ms(ms), NO_FAULTS.nodes_count);
        }
        let now = at_ms(ms);
        if held_until.is_some_and(|until| now >= until) {
            held_until = None;
            poller.on_answer(now, false);
        }
        match poller.step(now, fleet) {
            PollStep::Read { hold } if hold.is_zero() => {
                requested_count += 1;
                held_until = None;
                poller.on_answer(now, false);
            }
            PollStep::Read { hold } => held_until = Some(now + hold),
            PollStep::AskReader | PollStep::Wait { .. } => {}
        }
    }
    assert!(requested_count <= 4 * 10 + 1, "{requested_count}");
}
