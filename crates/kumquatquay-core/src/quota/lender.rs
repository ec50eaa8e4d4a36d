//! Lends a node's part of each quota.

use std::{net::SocketAddr, time::Duration};

use kumquatquay_wire::routed::{HALVES_COUNT, SLICES_COUNT, SliceSets};

/// Duration of a loan. A borrower renews it well before its end; what was lent to a borrower that
/// has failed is unusable until then.
pub const LOAN_DURATION: Duration = Duration::from_millis(600);

/// Time after a node's start in which it owns nothing: what it lent before the restart may still
/// be in use.
const OWNS_NOTHING_DURATION: Duration = LOAN_DURATION;

/// The part of each quota that a node owns, and the loans of it. It is divided into halves, and
/// each half into slices of the workspaces.
///
/// Each slice is lent to one borrower at a time. Nodes that see different members may select
/// different borrowers, and a borrower that is considered dead may still admit requests; what it
/// admits them with is lent to nobody else until its loan ends.
#[derive(Debug)]
pub struct Lender {
    owns_from: Duration,
    lent: [[Option<LentSlice>; SLICES_COUNT]; HALVES_COUNT],
}

#[derive(Clone, Copy, Debug)]
struct LentSlice {
    borrower: SocketAddr,
    until: Duration,
}

impl Lender {
    /// Creates the lender of a node that starts now.
    pub fn new(now: Duration) -> Self {
        Self {
            owns_from: now + OWNS_NOTHING_DURATION,
            lent: [[None; SLICES_COUNT]; HALVES_COUNT],
        }
    }

    /// Lends a borrower what it wants, unless that is lent to another one. Returns what was lent.
    pub fn lend(&mut self, now: Duration, borrower: SocketAddr, wanted: SliceSets) -> SliceSets {
        let mut granted = SliceSets::default();
        if now < self.owns_from {
            return granted;
        }
        for (half, slices) in self.lent.iter_mut().enumerate() {
            for (slice, lent) in slices.iter_mut().enumerate() {
                let is_taken =
                    lent.is_some_and(|lent| lent.borrower != borrower && now < lent.until);
                if wanted.has(half, slice) && !is_taken {
                    let until = now + LOAN_DURATION;
                    *lent = Some(LentSlice { borrower, until });
                    granted.add(half, slice);
                }
            }
        }
        granted
    }

    /// What isn't lent now; nothing while the node owns nothing.
    pub fn unlent(&self, now: Duration) -> SliceSets {
        let mut unlent = SliceSets::default();
        if now < self.owns_from {
            return unlent;
        }
        for (half, slices) in self.lent.iter().enumerate() {
            for (slice, lent) in slices.iter().enumerate() {
                if lent.is_none_or(|lent| now >= lent.until) {
                    unlent.add(half, slice);
                }
            }
        }
        unlent
    }
}
