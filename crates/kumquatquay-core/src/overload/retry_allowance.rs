//! Retries of one request, conserved across all nodes that it reaches.

use crate::AllowanceSplit;

/// Retries that one node holds of one request.
///
/// The entry grants a number for the whole request. A node pays for each extra
/// attempt, lends a part with each attempt and gets back what the callee says
/// it did not spend. Nothing is ever added, so however deep or wide the call
/// graph is, all nodes together pay for no more attempts than were granted.
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

    /// Retries left.
    pub(crate) fn remaining_count(&self) -> u16 {
        self.remaining_count
    }

    /// Pays for a number of attempts; `false` if too little is left.
    pub(crate) fn try_spend(&mut self, count: u16) -> bool {
        let Some(remaining_count) = self.remaining_count.checked_sub(count) else {
            return false;
        };
        self.remaining_count = remaining_count;
        true
    }

    /// Takes out the part that goes with an attempt.
    pub(crate) fn lend(&mut self, split: AllowanceSplit) -> u16 {
        let lent_count = split.lent_count(self.remaining_count);
        self.remaining_count -= lent_count;
        lent_count
    }

    /// Takes back what a callee did not spend.
    ///
    /// A callee that claims more than it was lent, by a fault or on purpose,
    /// would create retries out of nothing; the claim is cut to the loan.
    pub(crate) fn reclaim(&mut self, claimed_count: u16, lent_count: u16) {
        let returned_count = claimed_count.min(lent_count);
        let remaining_count = self.remaining_count.saturating_add(returned_count);
        self.remaining_count = remaining_count.min(self.granted_count);
    }

    /// Ends the loan: what is left goes back to who granted it.
    pub(crate) fn take_unspent(&mut self) -> u16 {
        std::mem::take(&mut self.remaining_count)
    }
}
