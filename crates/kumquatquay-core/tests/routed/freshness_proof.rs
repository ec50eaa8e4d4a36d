//! Until when a configuration was the newest for sure.

use std::time::Duration;

use kumquatquay_core::routed::{FreshnessProof, PeerProof};
use kumquatquay_wire::routed::StoreEra;

use crate::at_ms;

/// Time of the clocks before anything happens here.
const START_MS: u64 = 60_000;

fn at(ms: u64) -> Duration {
    at_ms(START_MS + ms)
}

fn told(asked: Duration, version: u64, age: Option<Duration>) -> PeerProof {
    PeerProof {
        asked,
        version,
        age,
        era: None,
    }
}

fn age_ms(proof: &FreshnessProof, now_ms: u64) -> Option<u128> {
    proof.age(at(now_ms)).map(|age| age.as_millis())
}

#[test]
fn without_a_read_nothing_is_proved() {
    let mut proof = FreshnessProof::default();
    proof.on_applied(7);
    assert_eq!(age_ms(&proof, 100), None);
}

/// A read is held for a second. A key is taken away meanwhile, and the news is lost with the
/// connection that it was written to. The answer says what was true when the read was sent.
#[test]
fn a_read_proves_what_was_true_when_it_was_sent() {
    let mut proof = FreshnessProof::default();
    proof.on_applied(7);
    proof.on_store_read(at(100), None);
    assert_eq!(age_ms(&proof, 1_200), Some(1_100));
}

#[test]
fn a_peers_age_counts_from_the_question() {
    let mut proof = FreshnessProof::default();
    proof.on_applied(7);
    proof.on_peer_proof(at(900), told(at(500), 7, Some(at_ms(300))));
    assert_eq!(age_ms(&proof, 1_000), Some(800));
}

/// A node is suspended for a minute between its question and the answer, and its peer's answer
/// lay in the connection all the while.
#[test]
fn an_answer_that_lay_about_is_as_old_as_its_question() {
    let mut proof = FreshnessProof::default();
    proof.on_applied(7);
    proof.on_peer_proof(at(60_500), told(at(500), 7, Some(at_ms(0))));
    assert_eq!(age_ms(&proof, 60_500), Some(60_000));
}

/// A reader is cut off from the store and still answers its peers: all that it tells is how old
/// its last read is, and asked again it tells the same moment.
#[test]
fn a_reader_that_is_cut_off_makes_nobody_younger() {
    let mut proof = FreshnessProof::default();
    proof.on_applied(7);
    for asked_ms in (1_000..9_000).step_by(500) {
        let reader_age = at_ms(asked_ms);
        proof.on_peer_proof(at(asked_ms + 5), told(at(asked_ms), 7, Some(reader_age)));
    }
    assert_eq!(age_ms(&proof, 9_000), Some(9_000));
}

/// Two nodes that are cut off from all others ask each other for ever.
#[test]
fn two_nodes_do_not_keep_each_other_young() {
    let mut nodes = [FreshnessProof::default(), FreshnessProof::default()];
    for node in &mut nodes {
        node.on_applied(7);
    }
    nodes[0].on_store_read(at(0), None);
    for ms in (10..8_000).step_by(10) {
        let [asker, asked] = if ms % 20 == 0 { [0, 1] } else { [1, 0] };
        let age = nodes[asked].age(at(ms + 1));
        nodes[asker].on_peer_proof(at(ms + 2), told(at(ms), 7, age));
    }
    assert!(nodes.iter().all(|node| age_ms(node, 8_000) >= Some(8_000)));
}

/// A peer has a newer configuration, in which a key is taken away, and vouches for that one.
#[test]
fn a_proof_of_a_newer_configuration_counts_once_that_is_in_force() {
    let mut proof = FreshnessProof::default();
    proof.on_applied(7);
    proof.on_store_read(at(100), None);
    proof.on_peer_proof(at(900), told(at(800), 8, Some(at_ms(50))));
    assert_eq!(age_ms(&proof, 1_000), Some(900));
    proof.on_applied(8);
    assert_eq!(age_ms(&proof, 1_000), Some(250));
}

#[test]
fn proofs_that_come_out_of_order_change_nothing() {
    let mut proof = FreshnessProof::default();
    proof.on_applied(7);
    proof.on_store_read(at(700), None);
    proof.on_store_read(at(100), None);
    proof.on_peer_proof(at(900), told(at(800), 7, Some(at_ms(600))));
    assert_eq!(age_ms(&proof, 1_000), Some(300));
}

/// Bytes of a broken peer: a question that will be asked tomorrow, a proof from before time began.
#[test]
fn senseless_ages_are_passed_over() {
    let mut proof = FreshnessProof::default();
    proof.on_applied(7);
    proof.on_peer_proof(at(100), told(at(86_400_000), 7, Some(at_ms(0))));
    proof.on_peer_proof(at(100), told(at(50), 7, Some(Duration::MAX)));
    proof.on_peer_proof(at(100), told(at(50), 7, None));
    assert_eq!(age_ms(&proof, 1_000), None);
}

#[test]
fn a_moment_is_covered_from_the_proof_on() {
    let mut proof = FreshnessProof::default();
    proof.on_applied(7);
    proof.on_store_read(at(700), None);
    assert!(proof.covers(at(700)) && !proof.covers(at(701)));
}

const OLD: Option<StoreEra> = Some(4);
const NEW: Option<StoreEra> = Some(5);

/// A node that has version 8 in force; the store came back without it at 1 s.
fn returned() -> FreshnessProof {
    let mut proof = FreshnessProof::default();
    proof.on_applied(8);
    proof.on_store_read(at(800), OLD);
    proof.on_store_restored(at(1_000), 5);
    proof
}

/// Version 8 takes a key away and was confirmed just before the return, which lost it. A node
/// that only has version 7 reads at once and finds nothing newer.
#[test]
fn a_read_right_after_a_return_proves_nothing() {
    let mut proof = FreshnessProof::default();
    proof.on_applied(7);
    proof.on_store_read(at(800), OLD);
    proof.on_store_restored(at(1_000), 5);
    proof.on_store_version(NEW, 7);
    proof.on_store_read(at(1_100), NEW);
    assert_eq!(age_ms(&proof, 1_200), Some(400));
}

/// The operator is slow to write version 8 again. What else the store lacks isn't known.
#[test]
fn a_read_of_a_store_that_lacks_the_version_in_force_proves_nothing() {
    let mut proof = returned();
    proof.on_store_version(NEW, 7);
    proof.on_store_read(at(9_000), NEW);
    assert!(proof.is_store_behind());
    assert_eq!(age_ms(&proof, 9_100), Some(8_300));
    proof.on_store_version(NEW, 8);
    proof.on_store_read(at(9_200), NEW);
    assert!(!proof.is_store_behind());
    assert_eq!(age_ms(&proof, 9_300), Some(100));
}

/// A read that began before the return is answered after it: what it says was true then.
#[test]
fn a_late_answer_of_the_era_before_proves_no_more_than_it_did() {
    let mut proof = returned();
    proof.on_store_version(OLD, 8);
    proof.on_store_read(at(900), OLD);
    assert_eq!(age_ms(&proof, 1_100), Some(200));
    proof.on_store_version(NEW, 7);
    assert!(proof.is_store_behind());
}

/// Names what a node tells of its proof beside a return at 1 s, and the age that counts then.
macro_rules! told_beside_a_return {
    ($($name:ident: ($version:expr, $era:expr, $moment_ms:expr) => $age_ms:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut proof = returned();
            let answer = PeerProof {
                era: $era,
                ..told(at($moment_ms), $version, Some(at_ms(0)))
            };
            proof.on_peer_proof(at(4_900), answer);
            assert_eq!(age_ms(&proof, 5_000), Some($age_ms));
        }
    )*};
}

told_beside_a_return! {
    // By a node that has started since, and knows of no return.
    while_operators_write_again: (8, NEW, 1_500) => 4_200;
    once_they_have_written_again: (8, NEW, 2_500) => 2_500;
    by_one_that_lacks_what_was_lost: (7, NEW, 4_500) => 4_200;
    by_one_that_has_not_heard_of_it: (8, OLD, 900) => 4_100;
}

/// Most nodes never read the store; they know nothing of what it lacks. A configuration that is
/// newer than the return is no loss either.
#[test]
fn a_store_is_behind_only_if_it_was_seen_to_be() {
    let mut proof = returned();
    assert!(!proof.is_store_behind());
    proof.on_store_version(NEW, 0);
    assert!(proof.is_store_behind());
    proof.on_store_version(NEW, 8);
    proof.on_applied(9);
    assert!(!proof.is_store_behind());
}

#[test]
fn an_older_return_changes_nothing() {
    let mut proof = returned();
    proof.on_store_version(NEW, 8);
    proof.on_store_restored(at(3_000), 5);
    proof.on_store_restored(at(3_000), 4);
    proof.on_store_read(at(3_100), NEW);
    assert_eq!(age_ms(&proof, 3_200), Some(100));
}
