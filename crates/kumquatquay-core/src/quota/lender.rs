//! What a node owns of each quota, and to whom it is lent.

use std::{net::SocketAddr, time::Duration};

use kumquatquay_wire::routed::{HALVES_COUNT, SLICES_COUNT, SliceSets};

/// How long a loan lasts. A borrower asks again well before its end; one that is gone takes what
/// was lent to it along for so long.
pub const LOAN_DURATION: Duration = Duration::from_millis(600);

/// Time after a node's start in which it owns nothing: what it lent in its life before may
/// still be used.
const OWNS_NOTHING_DURATION: Duration = LOAN_DURATION;

/// What a node owns of each quota, and to whom it is lent.
///
/// Each part is lent to one borrower at a time. Nodes that see other members may name other
/// keepers, and a borrower that is taken for dead may still let requests in; what it lets them in
/// by is its alone until its loan is over.
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
    /// A node that starts now.
    pub fn new(now: Duration) -> Self {
        Self {
            owns_from: now + OWNS_NOTHING_DURATION,
            lent: [[None; SLICES_COUNT]; HALVES_COUNT],
        }
    }

    /// Lends a borrower what it asks for, as far as that isn't lent to another one.
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

    /// What isn't lent now.
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
