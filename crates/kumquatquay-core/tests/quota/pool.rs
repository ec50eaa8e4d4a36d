//! Tokens of a keeper.

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

/// Takes all that there is.
fn take_all(pool: &mut QuotaPool, now: Duration) -> usize {
    (0..10_000)
        .take_while(|_| pool.try_take(now, "north", LIMIT).is_ok())
        .count()
}

/// Lends from all nodes, again and again, until `until`.
fn lend_all(pool: &mut QuotaPool, from_ms: u64, until_ms: u64) {
    for ms in (from_ms..=until_ms).step_by(200) {
        for lender in 0..NODES_COUNT {
            lend(pool, at_ms(ms), lender);
        }
    }
}

#[test]
fn tokens_come_at_the_rate_of_what_is_lent() {
    let mut pool = QuotaPool::default();
    for ms in (0..=800).step_by(200) {
        lend(&mut pool, at_ms(ms), 1);
    }
    // A tenth of 40 a second.
    assert_eq!(take_all(&mut pool, at_ms(1_000)), 4);
}

#[test]
fn a_bucket_holds_no_more_than_its_depth() {
    let mut pool = QuotaPool::default();
    lend_all(&mut pool, 0, 30_000);
    assert_eq!(take_all(&mut pool, at_ms(30_000)), 60);
}

/// All processes are killed and start again. A bucket that began full would let a burst in that
/// was just let in before.
#[test]
fn a_keeper_that_starts_has_no_tokens() {
    let mut pool = QuotaPool::default();
    lend_all(&mut pool, 0, 0);
    assert_eq!(take_all(&mut pool, at_ms(0)), 0);
}

/// The keeper is cut off: nobody lends any more, and what it holds counts for others now.
#[test]
fn tokens_are_gone_when_the_loans_are_over() {
    let mut pool = QuotaPool::default();
    lend_all(&mut pool, 0, 3_000);
    assert_eq!(take_all(&mut pool, at_ms(3_000) + LOAN_DURATION), 0);
}

/// The answer to a question lay in a link that was cut. The lender has counted the time of the
/// loan from its answer, and lends again.
#[test]
fn a_loan_that_comes_late_is_over() {
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
fn a_token_that_is_given_back_is_there_again() {
    let mut pool = QuotaPool::default();
    lend_all(&mut pool, 0, 3_000);
    let now = at_ms(3_000);
    take_all(&mut pool, now);
    pool.return_token(now, "north", LIMIT);
    assert_eq!(take_all(&mut pool, now), 1);
}

#[test]
fn tokens_given_back_fill_no_bucket_beyond_its_depth() {
    let mut pool = QuotaPool::default();
    lend_all(&mut pool, 0, 30_000);
    let now = at_ms(30_000);
    for _ in 0..100 {
        pool.return_token(now, "north", LIMIT);
    }
    assert_eq!(take_all(&mut pool, now), 60);
}

/// An operator lowers a quota while a bucket is full of the higher one.
#[test]
fn a_quota_that_is_lowered_binds_at_once() {
    let mut pool = QuotaPool::default();
    lend_all(&mut pool, 0, 30_000);
    let mut lower = LIMIT;
    lower.depth_count = 5.0;
    let now = at_ms(30_000);
    let taken = (0..100).filter(|_| pool.try_take(now, "north", lower).is_ok());
    assert_eq!(taken.count(), 5);
}

#[test]
fn who_is_refused_hears_when_there_is_a_token_again() {
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

/// A broken node lends as if it were alone, others beside it. The keeper lets in the whole quota
/// and no more.
#[test]
fn no_loans_add_up_to_more_than_the_quota() {
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

/// Eighty workspaces share a keeper. One that sends without end takes no token of another.
#[test]
fn a_hot_workspace_takes_nothing_of_the_others() {
    let mut pool = QuotaPool::default();
    lend_all(&mut pool, 0, 30_000);
    let now = at_ms(30_000);
    take_all(&mut pool, now);
    for workspace in 0..80 {
        let workspace = format!("calm-{workspace}");
        assert!(pool.try_take(now, &workspace, LIMIT).is_ok(), "{workspace}");
    }
}
