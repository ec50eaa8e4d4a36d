//! Tests of the proof that the configuration in force was the newest at some moment.

use std::time::Duration;

use kumquatquay_core::routed::{FreshnessProof, PeerProof};
use kumquatquay_wire::routed::StoreEra;

use crate::at_ms;

/// Time that all clocks show at the start of a test.
const START_MS: u64 = 60_000;

fn at(ms: u64) -> Duration {
    at_ms(START_MS + ms)
}

fn peer_proof(asked: Duration, version: u64, age: Option<Duration>) -> PeerProof {
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
fn without_a_read_there_is_no_proof() {
    let mut proof = FreshnessProof::default();
    proof.on_applied(7);
    assert_eq!(age_ms(&proof, 100), None);
}

/// The store holds a read for a second. A key is revoked meanwhile, and the configuration without
/// it is lost with the connection to which it was written. So the answer proves only what was true
/// when the read was sent.
#[test]
fn a_read_proves_what_was_true_when_it_was_sent() {
    let mut proof = FreshnessProof::default();
    proof.on_applied(7);
    proof.on_store_read(at(100), None);
    assert_eq!(age_ms(&proof, 1_200), Some(1_100));
}

#[test]
fn the_age_of_a_peers_proof_counts_from_the_question() {
    let mut proof = FreshnessProof::default();
    proof.on_applied(7);
    proof.on_peer_proof(at(900), peer_proof(at(500), 7, Some(at_ms(300))));
    assert_eq!(age_ms(&proof, 1_000), Some(800));
}

/// A node is suspended for a minute after its question to a peer; the answer is in the buffer of
/// the connection until then.
#[test]
fn a_delayed_answer_is_as_old_as_its_question() {
    let mut proof = FreshnessProof::default();
    proof.on_applied(7);
    proof.on_peer_proof(at(60_500), peer_proof(at(500), 7, Some(at_ms(0))));
    assert_eq!(age_ms(&proof, 60_500), Some(60_000));
}

/// A reader is cut off from the store and still answers its peers. It reports the age of its last
/// read, so each answer stands for the same moment.
#[test]
fn a_reader_that_is_cut_off_renews_no_proof() {
    let mut proof = FreshnessProof::default();
    proof.on_applied(7);
    for asked_ms in (1_000..9_000).step_by(500) {
        let reader_age = at_ms(asked_ms);
        proof.on_peer_proof(
            at(asked_ms + 5),
            peer_proof(at(asked_ms), 7, Some(reader_age)),
        );
    }
    assert_eq!(age_ms(&proof, 9_000), Some(9_000));
}

/// Two nodes that are cut off from all others go on asking each other for proofs.
#[test]
fn two_nodes_do_not_renew_each_others_proof() {
    let mut nodes = [FreshnessProof::default(), FreshnessProof::default()];
    for node in &mut nodes {
        node.on_applied(7);
    }
    nodes[0].on_store_read(at(0), None);
    for ms in (10..8_000).step_by(10) {
        let [asker, asked] = if ms % 20 == 0 { [0, 1] } else { [1, 0] };
        let age = nodes[asked].age(at(ms + 1));
        nodes[asker].on_peer_proof(at(ms + 2), peer_proof(at(ms), 7, age));
    }
    assert!(nodes.iter().all(|node| age_ms(node, 8_000) >= Some(8_000)));
}

/// A peer has a newer configuration, which revokes a key, and reports a proof for that one.
#[test]
fn a_proof_for_a_newer_configuration_counts_once_that_is_in_force() {
    let mut proof = FreshnessProof::default();
    proof.on_applied(7);
    proof.on_store_read(at(100), None);
    proof.on_peer_proof(at(900), peer_proof(at(800), 8, Some(at_ms(50))));
    assert_eq!(age_ms(&proof, 1_000), Some(900));
    proof.on_applied(8);
    assert_eq!(age_ms(&proof, 1_000), Some(250));
}

#[test]
fn older_proofs_that_arrive_late_change_nothing() {
    let mut proof = FreshnessProof::default();
    proof.on_applied(7);
    proof.on_store_read(at(700), None);
    proof.on_store_read(at(100), None);
    proof.on_peer_proof(at(900), peer_proof(at(800), 7, Some(at_ms(600))));
    assert_eq!(age_ms(&proof, 1_000), Some(300));
}

/// A broken peer causes reports with a question from tomorrow, with a proof from before the clock
/// started, or without a proof.
#[test]
fn implausible_ages_are_ignored() {
    let mut proof = FreshnessProof::default();
    proof.on_applied(7);
    proof.on_peer_proof(at(100), peer_proof(at(86_400_000), 7, Some(at_ms(0))));
    proof.on_peer_proof(at(100), peer_proof(at(50), 7, Some(Duration::MAX)));
    proof.on_peer_proof(at(100), peer_proof(at(50), 7, None));
    assert_eq!(age_ms(&proof, 1_000), None);
}

#[test]
fn moments_up_to_that_of_the_proof_are_covered() {
    let mut proof = FreshnessProof::default();
    proof.on_applied(7);
    proof.on_store_read(at(700), None);
    assert!(proof.covers(at(700)) && !proof.covers(at(701)));
}

const OLD_ERA: Option<StoreEra> = Some(4);
const NEW_ERA: Option<StoreEra> = Some(5);

/// A node that has version 8 in force when the store is restored without it at 1 s.
fn restored() -> FreshnessProof {
    let mut proof = FreshnessProof::default();
    proof.on_applied(8);
    proof.on_store_read(at(800), OLD_ERA);
    proof.on_store_restored(at(1_000), 5);
    proof
}

/// Version 8, which revokes a key, was confirmed just before the store was restored, and is lost. A
/// node with version 7 in force reads right after the restore and finds nothing newer.
#[test]
fn a_read_right_after_a_restore_proves_nothing() {
    let mut proof = FreshnessProof::default();
    proof.on_applied(7);
    proof.on_store_read(at(800), OLD_ERA);
    proof.on_store_restored(at(1_000), 5);
    proof.on_store_version(NEW_ERA, 7);
    proof.on_store_read(at(1_100), NEW_ERA);
    assert_eq!(age_ms(&proof, 1_200), Some(400));
}

/// The operator is slow to write version 8 again. Until then it isn't known what else the store
/// lacks.
#[test]
fn a_read_of_a_store_that_lacks_the_version_in_force_proves_nothing() {
    let mut proof = restored();
    proof.on_store_version(NEW_ERA, 7);
    proof.on_store_read(at(9_000), NEW_ERA);
    assert!(proof.is_store_behind());
    assert_eq!(age_ms(&proof, 9_100), Some(8_300));
    proof.on_store_version(NEW_ERA, 8);
    proof.on_store_read(at(9_200), NEW_ERA);
    assert!(!proof.is_store_behind());
    assert_eq!(age_ms(&proof, 9_300), Some(100));
}

/// A read that started before the restore is answered after it. It still proves what was true when
/// it started.
#[test]
fn a_late_answer_of_the_previous_era_proves_no_more_than_before() {
    let mut proof = restored();
    proof.on_store_version(OLD_ERA, 8);
    proof.on_store_read(at(900), OLD_ERA);
    assert_eq!(age_ms(&proof, 1_100), Some(200));
    proof.on_store_version(NEW_ERA, 7);
    assert!(proof.is_store_behind());
}

/// Defines a test for each report of a peer's proof after a restore of the store at 1 s, with the
/// age that the proof of this node has then.
macro_rules! peer_proof_after_a_restore {
    ($($name:ident: ($version:expr, $era:expr, $moment_ms:expr) => $age_ms:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut proof = restored();
            let report = PeerProof {
                era: $era,
                ..peer_proof(at($moment_ms), $version, Some(at_ms(0)))
            };
            proof.on_peer_proof(at(4_900), report);
            assert_eq!(age_ms(&proof, 5_000), Some($age_ms));
        }
    )*};
}

peer_proof_after_a_restore! {
    // By a node that has started since, and doesn't know of the restore.
    while_operators_write_again: (8, NEW_ERA, 1_500) => 4_200;
    once_they_have_written_again: (8, NEW_ERA, 2_500) => 2_500;
    by_a_node_that_lacks_what_was_lost: (7, NEW_ERA, 4_500) => 4_200;
    by_a_node_that_does_not_know_of_it: (8, OLD_ERA, 900) => 4_100;
}

/// Most nodes never read the store, so they don't know what it lacks. A configuration that was
/// confirmed after the restore isn't lost either.
#[test]
fn a_store_is_behind_only_if_a_read_showed_it() {
    let mut proof = restored();
    assert!(!proof.is_store_behind());
    proof.on_store_version(NEW_ERA, 0);
    assert!(proof.is_store_behind());
    proof.on_store_version(NEW_ERA, 8);
    proof.on_applied(9);
    assert!(!proof.is_store_behind());
}

#[test]
fn an_older_restore_changes_nothing() {
    let mut proof = restored();
    proof.on_store_version(NEW_ERA, 8);
    proof.on_store_restored(at(3_000), 5);
    proof.on_store_restored(at(3_000), 4);
    proof.on_store_read(at(3_100), NEW_ERA);
    assert_eq!(age_ms(&proof, 3_200), Some(100));
}

/// A node that has started learned of the era at 1 s, and has read version 8 from the store.
fn started() -> FreshnessProof {
    let mut proof = FreshnessProof::default();
    proof.on_first_era(at(1_000), 5);
    proof.on_applied(8);
    proof.on_store_version(NEW_ERA, 8);
    proof
}

/// Guards against keys that come back with a backup while nobody is left that knew of them.
#[test]
fn first_reads_after_a_start_prove_nothing() {
    let mut proof = started();
    assert!(!proof.is_era_settled(at(3_900)));
    proof.on_store_read(at(3_900), NEW_ERA);
    assert_eq!(age_ms(&proof, 4_000), None);
    proof.on_store_read(at(4_000), NEW_ERA);
    assert_eq!(age_ms(&proof, 4_100), Some(100));
}

/// Guards against the same where the node heard of the era before from others, which were cut off from the store.
#[test]
fn first_reads_after_a_start_before_a_restore_prove_nothing() {
    let mut proof = FreshnessProof::default();
    proof.on_first_era(at(500), 4);
    proof.on_store_restored(at(1_000), 5);
    proof.on_applied(7);
    proof.on_store_version(NEW_ERA, 7);
    proof.on_store_read(at(3_900), NEW_ERA);
    assert_eq!(age_ms(&proof, 4_000), None);
}

#[test]
fn reads_after_a_start_prove_something_once_the_era_is_settled() {
    let mut proof = started();
    proof.on_era_settled(at(1_200), 4);
    proof.on_store_read(at(1_300), NEW_ERA);
    assert_eq!(age_ms(&proof, 1_400), None);
    proof.on_era_settled(at(1_500), 5);
    proof.on_store_read(at(1_400), NEW_ERA);
    assert_eq!(age_ms(&proof, 1_600), None);
    proof.on_store_read(at(1_500), NEW_ERA);
    assert_eq!(age_ms(&proof, 1_600), Some(100));
}

/// Guards against a record of the store that names a settled era beyond all others: with it, keys that were taken
/// away would work after each restore.
#[test]
fn an_era_that_is_not_the_stores_settles_none() {
    for first in [true, false] {
        let mut proof = FreshnessProof::default();
        if first {
            proof.on_era_settled(at(900), u64::MAX);
        }
        proof.on_first_era(at(1_000), 5);
        if !first {
            proof.on_era_settled(at(1_100), u64::MAX);
        }
        assert!(!proof.is_era_settled(at(1_200)));
        proof.on_era_settled(at(1_300), 5);
        assert!(proof.is_era_settled(at(1_400)));
    }
}

#[test]
fn an_era_may_be_settled_before_a_node_learns_of_it() {
    let mut proof = FreshnessProof::default();
    proof.on_era_settled(at(900), 5);
    proof.on_first_era(at(1_000), 5);
    assert!(proof.is_era_settled(at(1_000)));
}

#[test]
fn other_nodes_vouch_at_once_for_one_that_has_started() {
    let mut proof = started();
    let mut report = peer_proof(at(1_100), 8, Some(at_ms(100)));
    report.era = NEW_ERA;
    proof.on_peer_proof(at(1_200), report);
    assert_eq!(age_ms(&proof, 1_200), Some(200));
}
