//! What one node owns, lends and keeps.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use kumquatquay_wire::routed::SliceSets;

use super::{Lender, Loan, QuotaExceeded, QuotaLimit, QuotaPool};

/// Stands for the node itself, as a borrower of what nobody has asked it to lend.
const UNLENT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// What one node owns, lends and keeps.
///
/// All times are of one clock that also counts while the host is suspended.
#[derive(Debug)]
pub struct NodeQuotas {
    lender: Lender,
    pool: QuotaPool,
}

impl NodeQuotas {
    /// A node that starts now.
    pub fn new(now: Duration) -> Self {
        Self {
            lender: Lender::new(now),
            pool: QuotaPool::default(),
        }
    }

    /// Lends a borrower what it asks for. `nodes_count` is among how many nodes quotas are split;
    /// while that isn't known, nothing is lent.
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

    /// What isn't lent counts for this node; to be said again before a loan's time is over.
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

    /// Another node, or this one, lends this much. A loan that was asked for in the future, or of
    /// a fleet without nodes, makes no sense and is passed over.
    pub fn on_loan(&mut self, now: Duration, lender: SocketAddr, loan: Loan) {
        if loan.asked <= now && loan.nodes_count > 0 {
            self.pool.set_loan(now, lender, loan);
        }
    }

    /// Takes a token for a request of a workspace from what is kept here.
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
        self.pool.try_take(now, workspace, limit)
    }

    /// A request for which a token was taken has not run.
    pub fn return_token(&mut self, now: Duration, workspace: &str, limit: QuotaLimit) {
        self.pool.return_token(now, workspace, limit);
    }

    /// Part of a workspace's quota that counts for this node now.
    pub fn share(&mut self, now: Duration, workspace: &str) -> f64 {
        self.pool.share(now, workspace)
    }

    /// Forgets workspaces that are no more.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.pool.retain(is_known);
    }
}
