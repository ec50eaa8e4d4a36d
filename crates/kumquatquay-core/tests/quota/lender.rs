//! Tests of the lender of quotas.

use kumquatquay_core::quota::{LOAN_DURATION, Lender};
use kumquatquay_wire::routed::SliceSets;

use crate::{at_ms, node};

/// A lender of a node that started at time 0.
fn lender() -> Lender {
    Lender::new(at_ms(0))
}

#[test]
fn a_slice_is_lent_to_one_borrower_at_a_time() {
    let mut lender = lender();
    let now = at_ms(5_000);
    assert_eq!(lender.lend(now, node(1), SliceSets::ALL), SliceSets::ALL);
    assert!(lender.lend(now, node(2), SliceSets::ALL).is_empty());
    assert!(lender.unlent(now).is_empty());
}

#[test]
fn a_loan_ends_unless_its_borrower_renews_it() {
    let mut lender = lender();
    lender.lend(at_ms(5_000), node(1), SliceSets::ALL);
    let renewed = at_ms(5_500);
    assert_eq!(
        lender.lend(renewed, node(1), SliceSets::ALL),
        SliceSets::ALL
    );
    let before = renewed + LOAN_DURATION - at_ms(1);
    assert!(lender.lend(before, node(2), SliceSets::ALL).is_empty());
    let after = renewed + LOAN_DURATION;
    assert_eq!(lender.lend(after, node(2), SliceSets::ALL), SliceSets::ALL);
}

/// A node is killed and restarts at once. What it lent before is still in use; if it lent that
/// again, the same part of the quota would be used twice.
#[test]
fn a_node_that_starts_lends_nothing_for_the_duration_of_a_loan() {
    let mut lender = lender();
    let before = LOAN_DURATION - at_ms(1);
    assert!(lender.lend(before, node(1), SliceSets::ALL).is_empty());
    assert!(lender.unlent(before).is_empty());
    assert_eq!(lender.unlent(LOAN_DURATION), SliceSets::ALL);
}

#[test]
fn unlent_slices_remain_with_the_lender() {
    let mut lender = lender();
    let now = at_ms(5_000);
    let first_half = SliceSets::ALL.of_half(0);
    lender.lend(now, node(1), first_half);
    assert_eq!(lender.unlent(now), SliceSets::ALL.of_half(1));
}
