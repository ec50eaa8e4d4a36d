//! Tokens of a keeper.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use kumquatquay_wire::routed::{SLICES_COUNT, SliceSets, WorkspaceName};

use super::{
    lender::LOAN_DURATION,
    limit::QuotaLimit,
    slices::{part_of, slice_of},
};

/// Parts of a quota that add up to a whole token miss it by less.
const ROUNDING: f64 = 1e-6;

/// What another node lends.
#[derive(Clone, Copy, Debug)]
pub struct Loan {
    /// What it has granted.
    pub granted: SliceSets,
    /// When it was asked, by the clock of the keeper.
    pub asked: Duration,
    /// Nodes among which quotas are split, as the lender knows them.
    pub nodes_count: usize,
}

/// A request is beyond the quota of its workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaExceeded {
    /// When there is a token again; `None` while nothing is lent.
    pub wait: Option<Duration>,
    /// Part of the quota that is lent to this keeper.
    pub share: f64,
}

/// Tokens for requests of all workspaces, as far as other nodes lend what they own.
///
/// A bucket exists from the first request of its workspace on, and holds what it would hold had
/// it been there, empty, from the keeper's start.
#[derive(Debug, Default)]
pub struct QuotaPool {
    /// What is lent, with the end of the loan.
    loans: BTreeMap<SocketAddr, (Loan, Duration)>,
    slices: [SliceShare; SLICES_COUNT],
    /// Until when the shares of the slices hold.
    shares_until: Duration,
    advanced: Duration,
    buckets: HashMap<WorkspaceName, Bucket>,
}

/// What is lent of a slice.
#[derive(Clone, Copy, Debug, Default)]
struct SliceShare {
    /// Part of each quota.
    share: f64,
    /// Its sum over time, in shares times seconds.
    sum_s: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    tokens_count: f64,
    /// The slice's sum at which it was filled last.
    refilled_at_sum_s: f64,
}

impl QuotaPool {
    /// A node lends this much, in place of what it lent before.
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
    /// [`QuotaExceeded`] if there is none.
    pub fn try_take(
        &mut self,
        now: Duration,
        workspace: &str,
        limit: QuotaLimit,
    ) -> Result<(), QuotaExceeded> {
        self.advance(now);
        let share = self.slices[slice_of(workspace)].share;
        let bucket = self.refilled_bucket(workspace, limit);
        if bucket.tokens_count >= 1.0 - ROUNDING {
            bucket.tokens_count -= 1.0;
            return Ok(());
        }
        let rate_per_s = limit.rate_per_s * share;
        let wait_s = (1.0 - bucket.tokens_count) / rate_per_s;
        let wait = Duration::try_from_secs_f64(wait_s).ok();
        Err(QuotaExceeded { wait, share })
    }

    /// A request for which a token was taken has not run.
    pub fn return_token(&mut self, now: Duration, workspace: &str, limit: QuotaLimit) {
        self.advance(now);
        let depth_count = limit.depth_count * self.slices[slice_of(workspace)].share;
        let bucket = self.refilled_bucket(workspace, limit);
        bucket.tokens_count = (bucket.tokens_count + 1.0).min(depth_count);
    }

    /// Part of a workspace's quota that is lent to this keeper now.
    pub fn share(&mut self, now: Duration, workspace: &str) -> f64 {
        self.advance(now);
        self.slices[slice_of(workspace)].share
    }

    /// Forgets workspaces that are no more.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.buckets.retain(|workspace, _| is_known(workspace));
    }

    fn refilled_bucket(&mut self, workspace: &str, limit: QuotaLimit) -> &mut Bucket {
        let slice = self.slices[slice_of(workspace)];
        if !self.buckets.contains_key(workspace) {
            let name = WorkspaceName::from(workspace);
            self.buckets.insert(name, Bucket::default());
        }
        let bucket = self.buckets.get_mut(workspace);
        let bucket = bucket.expect("it was put in just now");
        let added = limit.rate_per_s * (slice.sum_s - bucket.refilled_at_sum_s);
        bucket.refilled_at_sum_s = slice.sum_s;
        // What a smaller share holds is all that is left when loans have ended.
        let depth_count = limit.depth_count * slice.share;
        bucket.tokens_count = (bucket.tokens_count + added).min(depth_count);
        bucket
    }

    /// Lets time pass: shares hold until the first loan ends.
    fn advance(&mut self, now: Duration) {
        while self.advanced < now {
            let until = self.shares_until.min(now).max(self.advanced);
            let passed_s = (until - self.advanced).as_secs_f64();
            for slice in &mut self.slices {
                slice.sum_s += slice.share * passed_s;
            }
            self.advanced = until;
            if until < now || self.shares_until <= now {
                self.loans.retain(|_, (_, end)| *end > until);
                self.recompute_shares(until);
            }
        }
    }

    fn recompute_shares(&mut self, now: Duration) {
        self.slices.iter_mut().for_each(|slice| slice.share = 0.0);
        self.shares_until = Duration::MAX;
        for (loan, until) in self.loans.values().filter(|(_, until)| *until > now) {
            self.shares_until = self.shares_until.min(*until);
            let owned = 1.0 / loan.nodes_count.max(1) as f64;
            for (number, slice) in self.slices.iter_mut().enumerate() {
                slice.share += owned * part_of(loan.granted, number);
            }
        }
        // Lenders that know too few nodes lend more than there is.
        for slice in &mut self.slices {
            slice.share = slice.share.min(1.0);
        }
    }
}
