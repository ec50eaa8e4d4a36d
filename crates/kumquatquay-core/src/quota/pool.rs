//! Token buckets of a borrower.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use kumquatquay_wire::routed::{SLICES_COUNT, SliceSets, WorkspaceName};

use super::{
    lender::LOAN_DURATION,
    limit::QuotaLimit,
    slices::{share_of, slice_of},
};

/// Tolerance for rounding: parts of a quota that add up to one token may fall short of it by less.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Loan of a part of each quota from one node to another.
#[derive(Clone, Copy, Debug)]
pub struct Loan {
    /// What is lent.
    pub granted: SliceSets,
    /// When the borrower asked for it, by the borrower's clock.
    pub asked: Duration,
    /// Number of nodes among which quotas are split, as known to the lender.
    pub nodes_count: usize,
}

/// The quota of a request's workspace is exceeded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaExceeded {
    /// Time until there is a token; `None` while nothing is lent.
    pub wait: Option<Duration>,
    /// Share of the quota that is lent to this borrower.
    pub share: f64,
}

/// Token buckets of all workspaces, fed by what other nodes lend.
///
/// A bucket is created with the first request of its workspace, and holds the tokens that it would
/// hold if it had existed, initially empty, since the borrower's start.
#[derive(Debug, Default)]
pub struct QuotaPool {
    /// Loans by lender, each with its end.
    loans: BTreeMap<SocketAddr, (Loan, Duration)>,
    slices: [SliceShare; SLICES_COUNT],
    /// Until when the shares of the slices are valid: the end of the first loan that ends.
    shares_until: Duration,
    /// Until when the integrals of the shares are computed.
    advanced_until: Duration,
    buckets: HashMap<WorkspaceName, Bucket>,
}

/// Share of the quotas of a slice that is lent to this borrower.
#[derive(Clone, Copy, Debug, Default)]
struct SliceShare {
    share: f64,
    /// Integral of the share over time, in seconds.
    integral_s: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    tokens_count: f64,
    /// Integral of the slice's share when the bucket was last refilled.
    refilled_at_s: f64,
}

impl QuotaPool {
    /// Sets the loan of a lender, in place of its previous one.
    pub fn set_loan(&mut self, now: Duration, lender: SocketAddr, loan: Loan) {
        self.advance(now);
        let until = loan.asked + LOAN_DURATION;
        if until > now && !loan.granted.is_empty() {
            self.loans.insert(lender, (loan, until));
        } else {
            self.loans.remove(&lender);
        }
        self.recompute_shares(now);
    }

    /// Takes a token for a request of a workspace.
    ///
    /// # Errors
    ///
    /// [`QuotaExceeded`] if there is no token.
    pub fn try_take(
        &mut self,
        now: Duration,
        workspace: &str,
        limit: QuotaLimit,
    ) -> Result<(), QuotaExceeded> {
        self.advance(now);
        let share = self.slices[slice_of(workspace)].share;
        let bucket = self.refilled_bucket(workspace, limit);
        if bucket.tokens_count >= 1.0 - ROUNDING_TOLERANCE {
            bucket.tokens_count -= 1.0;
            return Ok(());
        }
        let rate_per_s = limit.rate_per_s * share;
        let wait_s = (1.0 - bucket.tokens_count) / rate_per_s;
        let wait = Duration::try_from_secs_f64(wait_s).ok();
        Err(QuotaExceeded { wait, share })
    }

    /// Returns a token of a request that hasn't run.
    pub fn return_token(&mut self, now: Duration, workspace: &str, limit: QuotaLimit) {
        self.advance(now);
        let depth_count = limit.depth_count * self.slices[slice_of(workspace)].share;
        let bucket = self.refilled_bucket(workspace, limit);
        bucket.tokens_count = (bucket.tokens_count + 1.0).min(depth_count);
    }

    /// Share of a workspace's quota that is lent to this borrower now.
    pub fn share(&mut self, now: Duration, workspace: &str) -> f64 {
        self.advance(now);
        self.slices[slice_of(workspace)].share
    }

    /// Removes workspaces that no longer exist.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.buckets.retain(|workspace, _| is_known(workspace));
    }

    /// The bucket of a workspace, refilled up to now.
    fn refilled_bucket(&mut self, workspace: &str, limit: QuotaLimit) -> &mut Bucket {
        let slice = self.slices[slice_of(workspace)];
        if !self.buckets.contains_key(workspace) {
            let name = WorkspaceName::from(workspace);
            self.buckets.insert(name, Bucket::default());
        }
        let bucket = self.buckets.get_mut(workspace);
        let bucket = bucket.expect("the bucket was inserted above");
        let added = limit.rate_per_s * (slice.integral_s - bucket.refilled_at_s);
        bucket.refilled_at_s = slice.integral_s;
        // When loans have ended, the capacity shrinks with the share, and excess tokens are lost.
        let depth_count = limit.depth_count * slice.share;
        bucket.tokens_count = (bucket.tokens_count + added).min(depth_count);
        bucket
    }

    /// Advances the integrals of the shares to `now`, in steps that end with a loan.
    fn advance(&mut self, now: Duration) {
        while self.advanced_until < now {
            let until = self.shares_until.min(now).max(self.advanced_until);
            let elapsed_s = (until - self.advanced_until).as_secs_f64();
            for slice in &mut self.slices {
                slice.integral_s += slice.share * elapsed_s;
            }
            self.advanced_until = until;
            if until < now || self.shares_until <= now {
                self.loans.retain(|_, (_, end)| *end > until);
                self.recompute_shares(until);
            }
        }
    }

    /// Recomputes the shares from the loans that haven't ended.
    fn recompute_shares(&mut self, now: Duration) {
        self.slices.iter_mut().for_each(|slice| slice.share = 0.0);
        self.shares_until = Duration::MAX;
        for (loan, until) in self.loans.values().filter(|(_, until)| *until > now) {
            self.shares_until = self.shares_until.min(*until);
            let owned = 1.0 / loan.nodes_count.max(1) as f64;
            for (number, slice) in self.slices.iter_mut().enumerate() {
                slice.share += owned * share_of(loan.granted, number);
            }
        }
        // Lenders that know too few nodes lend more than the quota.
        for slice in &mut self.slices {
            slice.share = slice.share.min(1.0);
        }
    }
}
