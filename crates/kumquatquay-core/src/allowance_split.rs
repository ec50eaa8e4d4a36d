//! How a retry allowance is split between a node and the callee.

/// How many of the retries that a node holds it lends with each attempt of a call.
///
/// See `docs/design/overload.md` for the comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllowanceSplit {
    /// All of it.
    All,
    /// Half of it, rounded up.
    Half,
    /// All but one, or the only one that is left.
    AllButOne,
    /// A quarter of it, rounded up.
    Quarter,
    /// None: only the entry retries.
    Nothing,
}

impl AllowanceSplit {
    /// Number of retries to lend if a node holds `held_count`.
    pub fn lent_count(self, held_count: u16) -> u16 {
        match self {
            Self::All => held_count,
            Self::Half => held_count.div_ceil(2),
            Self::AllButOne => held_count.saturating_sub(1).max(held_count.min(1)),
            Self::Quarter => held_count.div_ceil(4),
            Self::Nothing => 0,
        }
    }
}
