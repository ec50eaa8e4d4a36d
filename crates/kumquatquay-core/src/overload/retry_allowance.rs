//! Retry allowance of a root request, whose total is conserved across all nodes.

use crate::AllowanceSplit;

/// The part of the retry allowance of a root request that one node holds.
///
/// The entry grants a number of retries for the root request. A node spends one for each
/// attempt beyond those of a run without retries, lends a part with each attempt and gets back
/// what the callee reports as unspent. Retries are never added, so that all nodes together
/// spend no more than were granted, however deep or wide the call graph is.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RetryAllowance {
    remaining_count: u16,
    granted_count: u16,
}

impl RetryAllowance {
    pub(crate) fn new(granted_count: u16) -> Self {
        Self {
            remaining_count: granted_count,
            granted_count,
        }
    }

    /// Number of retries left.
    pub(crate) fn remaining_count(&self) -> u16 {
        self.remaining_count
    }

    /// Spends retries; returns false, and spends none, if too few are left.
    pub(crate) fn try_spend(&mut self, count: u16) -> bool {
        let Some(remaining_count) = self.remaining_count.checked_sub(count) else {
            return false;
        };
        self.remaining_count = remaining_count;
        true
    }

    /// Takes out the part that is lent to the callee of an attempt, and returns it.
    pub(crate) fn lend(&mut self, split: AllowanceSplit) -> u16 {
        let lent_count = split.lent_count(self.remaining_count);
        self.remaining_count -= lent_count;
        lent_count
    }

    /// Takes back the retries that a callee did not spend.
    ///
    /// The claim is limited to the loan: a callee that reports more than it was lent, by
    /// mistake or on purpose, would create additional retries.
    pub(crate) fn reclaim(&mut self, claimed_count: u16, lent_count: u16) {
        let returned_count = claimed_count.min(lent_count);
        let remaining_count = self.remaining_count.saturating_add(returned_count);
        self.remaining_count = remaining_count.min(self.granted_count);
    }

    /// Takes out all retries that are left, to return them to the lender.
    pub(crate) fn take_unspent(&mut self) -> u16 {
        std::mem::take(&mut self.remaining_count)
    }
}
