//! Tests of the token buckets of a borrower.

use std::time::Duration;

use kumquatquay_core::quota::{LOAN_DURATION, Loan, QuotaPool};
use kumquatquay_wire::routed::SliceSets;

use crate::{LIMIT, at_ms, node};

/// Nodes among which the quota is split.
const NODES_COUNT: usize = 10;

fn lend(pool: &mut QuotaPool, now: Duration, lender: usize) {
    let loan = Loan {
        granted: SliceSets::ALL,
        asked: now,
        nodes_count: NODES_COUNT,
    };
    pool.set_loan(now, node(lender), loan);
}

/// Takes all tokens of a workspace. Returns their number.
fn take_all(pool: &mut QuotaPool, now: Duration) -> usize {
    (0..10_000)
        .take_while(|_| pool.try_take(now, "north", LIMIT).is_ok())
        .count()
}

/// Lends from all nodes, and renews the loans every 200 ms until `until_ms`.
fn lend_all(pool: &mut QuotaPool, from_ms: u64, until_ms: u64) {
    for ms in (from_ms..=until_ms).step_by(200) {
        for lender in 0..NODES_COUNT {
            lend(pool, at_ms(ms), lender);
        }
    }
}

#[test]
fn tokens_are_added_in_proportion_to_the_loans() {
    let mut pool = QuotaPool::default();
    for ms in (0..=800).step_by(200) {
        lend(&mut pool, at_ms(ms), 1);
    }
    // A tenth of 40 tokens a second, over one second.
    assert_eq!(take_all(&mut pool, at_ms(1_000)), 4);
}

#[test]
fn a_bucket_holds_no_more_than_its_depth() {
    let mut pool = QuotaPool::default();
    lend_all(&mut pool, 0, 30_000);
    assert_eq!(take_all(&mut pool, at_ms(30_000)), 60);
}

/// All processes are killed and restart. If a bucket started full, a burst that was admitted just
/// before the restart would be admitted again.
#[test]
fn a_borrower_that_starts_has_no_tokens() {
    let mut pool = QuotaPool::default();
    lend_all(&mut pool, 0, 0);
    assert_eq!(take_all(&mut pool, at_ms(0)), 0);
}

/// The borrower is cut off, so no loan is renewed. Its tokens are now available to the other
/// borrowers, to which the lenders lend the same part of the quota.
#[test]
fn tokens_are_lost_when_the_loans_end() {
    let mut pool = QuotaPool::default();
    lend_all(&mut pool, 0, 3_000);
    assert_eq!(take_all(&mut pool, at_ms(3_000) + LOAN_DURATION), 0);
}

/// The answer to a request for a loan is delayed by a network partition for longer than the loan
/// lasts. The lender counts the duration from its answer, and lends to others after that.
#[test]
fn a_loan_that_arrives_after_its_end_gives_no_tokens() {
    let mut pool = QuotaPool::default();
    let loan = Loan {
        granted: SliceSets::ALL,
        asked: at_ms(0),
        nodes_count: 1,
    };
    let late = LOAN_DURATION + at_ms(1);
    pool.set_loan(late, node(1), loan);
    assert_eq!(take_all(&mut pool, late + at_ms(500)), 0);
}

#[test]
fn a_returned_token_is_available_again() {
    let mut pool = QuotaPool::default();
    lend_all(&mut pool, 0, 3_000);
    let now = at_ms(3_000);
    take_all(&mut pool, now);
    pool.return_token(now, "north", LIMIT);
    assert_eq!(take_all(&mut pool, now), 1);
}

#[test]
fn returned_tokens_fill_no_bucket_beyond_its_depth() {
    let mut pool = QuotaPool::default();
    lend_all(&mut pool, 0, 30_000);
    let now = at_ms(30_000);
    for _ in 0..100 {
        pool.return_token(now, "north", LIMIT);
    }
    assert_eq!(take_all(&mut pool, now), 60);
}

/// An operator lowers a quota while a bucket holds as many tokens as the higher quota allows.
#[test]
fn a_lowered_quota_applies_at_once() {
    let mut pool = QuotaPool::default();
    lend_all(&mut pool, 0, 30_000);
    let mut lower = LIMIT;
    lower.depth_count = 5.0;
    let now = at_ms(30_000);
    let taken = (0..100).filter(|_| pool.try_take(now, "north", lower).is_ok());
    assert_eq!(taken.count(), 5);
}

#[test]
fn a_refusal_states_the_time_until_the_next_token() {
    let mut pool = QuotaPool::default();
    lend_all(&mut pool, 0, 3_000);
    let now = at_ms(3_000);
    take_all(&mut pool, now);
    let wait = pool
        .try_take(now, "north", LIMIT)
        .unwrap_err()
        .wait
        .unwrap();
    assert!(wait <= at_ms(25), "{wait:?}");
    assert_eq!(take_all(&mut pool, now + wait + at_ms(1)), 1);
}

/// Five nodes lend as if each were the only node, as a node does that knows too few others. The
/// borrower admits the whole quota and no more.
#[test]
fn loans_never_add_up_to_more_than_the_quota() {
    let mut pool = QuotaPool::default();
    for lender in 0..5 {
        let loan = Loan {
            granted: SliceSets::ALL,
            asked: at_ms(0),
            nodes_count: 1,
        };
        pool.set_loan(at_ms(0), node(lender), loan);
    }
    assert_eq!(take_all(&mut pool, at_ms(500)), 20);
}

/// Eighty-one workspaces use the same borrower. One that sends far more than its quota takes no
/// tokens of the other eighty.
#[test]
fn a_busy_workspace_takes_no_tokens_of_others() {
    let mut pool = QuotaPool::default();
    lend_all(&mut pool, 0, 30_000);
    let now = at_ms(30_000);
    take_all(&mut pool, now);
    for workspace in 0..80 {
        let workspace = format!("calm-{workspace}");
        assert!(pool.try_take(now, &workspace, LIMIT).is_ok(), "{workspace}");
    }
}
