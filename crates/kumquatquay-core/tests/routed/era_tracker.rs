//! Tests of the tracking of the era of the store.

use kumquatquay_core::routed::{EraChange, EraTracker};

#[test]
fn a_store_without_eras_is_never_seen_as_restored() {
    let mut eras = EraTracker::default();
    assert_eq!(eras.observe(None), EraChange::None);
    assert_eq!(eras.observe_from_peer(None), EraChange::None);
    assert_eq!(eras.highest(), None);
}

/// Answers arrive out of order, and some have no era.
#[test]
fn only_a_higher_era_is_a_restore() {
    let mut eras = EraTracker::default();
    assert_eq!(eras.observe(Some(0)), EraChange::First);
    assert_eq!(
        eras.observe_from_peer(Some(1)),
        EraChange::Restored { previous: Some(0) }
    );
    for era in [Some(1), Some(0), None] {
        assert_eq!(eras.observe(era), EraChange::None);
    }
    assert_eq!(eras.highest(), Some(1));
}

/// The store sends no era until it is restored for the first time.
#[test]
fn a_first_era_after_answers_without_one_is_a_restore() {
    let mut eras = EraTracker::default();
    assert_eq!(eras.observe(None), EraChange::None);
    assert_eq!(
        eras.observe(Some(1)),
        EraChange::Restored { previous: None }
    );
    assert_eq!(eras.observe(None), EraChange::None);
    assert_eq!(
        eras.observe(Some(2)),
        EraChange::Restored { previous: Some(1) }
    );
}

/// A broken node reports an era that the store will never reach. If it were accepted, it would hide
/// all later restores.
#[test]
fn an_implausibly_high_era_of_a_node_is_ignored() {
    let mut eras = EraTracker::default();
    eras.observe(Some(3));
    assert_eq!(
        eras.observe_from_peer(Some(u64::MAX)),
        EraChange::Implausible
    );
    assert_eq!(
        eras.observe_from_peer(Some(9)),
        EraChange::Restored { previous: Some(3) }
    );
    eras.observe(Some(u64::MAX));
    assert_eq!(eras.observe_from_peer(Some(u64::MAX)), EraChange::None);
}
