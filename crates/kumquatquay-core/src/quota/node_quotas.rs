//! Quotas of one node, as lender and as borrower.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use kumquatquay_wire::routed::SliceSets;

use super::{Lender, Loan, QuotaExceeded, QuotaLimit, QuotaPool};

/// Lender address that stands for what this node owns and hasn't lent.
const UNLENT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Quotas of one node: what it owns and lends, and what others lend to it.
///
/// All times are of one clock that also advances while the host is suspended.
#[derive(Debug)]
pub struct NodeQuotas {
    lender: Lender,
    pool: QuotaPool,
}

impl NodeQuotas {
    /// Creates the quotas of a node that starts now.
    pub fn new(now: Duration) -> Self {
        Self {
            lender: Lender::new(now),
            pool: QuotaPool::default(),
        }
    }

    /// Lends a borrower what it wants, as far as possible. Returns what was lent.
    ///
    /// `nodes_count` is the number of nodes among which quotas are split; while it isn't known,
    /// nothing is lent.
    pub fn lend(
        &mut self,
        now: Duration,
        borrower: SocketAddr,
        wanted: SliceSets,
        nodes_count: Option<usize>,
    ) -> SliceSets {
        if nodes_count.is_none() {
            return SliceSets::default();
        }
        let granted = self.lender.lend(now, borrower, wanted);
        self.use_unlent(now, nodes_count);
        granted
    }

    /// Lets this node use what it doesn't lend. To be repeated before
    /// [`LOAN_DURATION`](super::LOAN_DURATION) has passed.
    pub fn use_unlent(&mut self, now: Duration, nodes_count: Option<usize>) {
        let granted = match nodes_count {
            Some(_) => self.lender.unlent(now),
            None => SliceSets::default(),
        };
        let loan = Loan {
            granted,
            asked: now,
            nodes_count: nodes_count.unwrap_or(usize::MAX),
        };
        self.pool.set_loan(now, UNLENT, loan);
    }

    /// Another node, or this one, has granted a loan to this node.
    ///
    /// An implausible loan is ignored: one that was asked for in the future, or in a fleet without
    /// nodes.
    pub fn on_loan(&mut self, now: Duration, lender: SocketAddr, loan: Loan) {
        if loan.asked <= now && loan.nodes_count > 0 {
            self.pool.set_loan(now, lender, loan);
        }
    }

    /// Takes a token for a request of a workspace from the pool of this node.
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
        self.pool.try_take(now, workspace, limit)
    }

    /// Returns a token of a request that hasn't run.
    pub fn return_token(&mut self, now: Duration, workspace: &str, limit: QuotaLimit) {
        self.pool.return_token(now, workspace, limit);
    }

    /// Share of a workspace's quota that this node may use now.
    pub fn share(&mut self, now: Duration, workspace: &str) -> f64 {
        self.pool.share(now, workspace)
    }

    /// Removes workspaces that no longer exist.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.pool.retain(is_known);
    }
}
