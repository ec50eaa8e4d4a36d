//! Which era of the store counts.

use kumquatquay_core::routed::{EraChange, EraTracker};

#[test]
fn a_store_without_eras_never_returns() {
    let mut eras = EraTracker::default();
    assert_eq!(eras.observe(None), EraChange::None);
    assert_eq!(eras.observe_from_peer(None), EraChange::None);
    assert_eq!(eras.highest(), None);
}

/// Answers come out of order, some without an era.
#[test]
fn only_a_higher_era_is_a_return() {
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

/// The store tells no era until it comes back for the first time.
#[test]
fn an_era_behind_answers_without_one_is_a_return() {
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

/// A broken node tells of an era that will never be. Taken for true, it would hide each return
/// that follows.
#[test]
fn a_node_that_is_far_ahead_is_passed_over() {
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
