//! Which controls of a node are switched on.

use crate::{AllowanceSplit, OperationPolicy};

/// Retries that the entry grants to one whole request.
const DEFAULT_ALLOWANCE_COUNT: u16 = 3;

/// Tries that a node without a retry allowance makes for each call.
const UNCONTROLLED_ATTEMPTS_COUNT: u16 = 3;

/// Controls of a node, for experiments that run arms side by side.
///
/// A node in production runs with [`Policy::all`], the default.
///
/// # Examples
///
/// ```
/// use kumquatquay_core::Policy;
///
/// assert_eq!(Policy::default(), Policy::all());
/// assert!(!Policy::none().has_gate);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Whether the gate limits what its backend server runs and queues the
    /// rest by importance; otherwise all work is handed over at once.
    pub has_gate: bool,
    /// Whether levels are set, told and obeyed.
    pub has_levels: bool,
    /// Whether retries are bounded by the allowance of the whole request;
    /// otherwise each layer tries up to [`Policy::attempts_count`] times.
    pub has_retry_allowance: bool,
    /// Retries granted to one whole request at its entry.
    pub allowance_count: u16,
    /// How much of the retries goes with each call.
    pub allowance_split: AllowanceSplit,
    /// Tries of one call where there is no retry allowance.
    pub attempts_count: u16,
    /// How strictly operations are decided.
    pub operations: OperationPolicy,
}

impl Policy {
    /// No control: no limit, no levels, each layer tries three times.
    pub const fn none() -> Self {
        Self {
            has_gate: false,
            has_levels: false,
            has_retry_allowance: false,
            allowance_count: DEFAULT_ALLOWANCE_COUNT,
            allowance_split: AllowanceSplit::Half,
            attempts_count: UNCONTROLLED_ATTEMPTS_COUNT,
            operations: OperationPolicy::strict(),
        }
    }

    /// The gate alone.
    pub const fn gate() -> Self {
        Self {
            has_gate: true,
            ..Self::none()
        }
    }

    /// The gate and levels.
    pub const fn gate_levels() -> Self {
        Self {
            has_levels: true,
            ..Self::gate()
        }
    }

    /// Every control.
    pub const fn all() -> Self {
        Self {
            has_retry_allowance: true,
            ..Self::gate_levels()
        }
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self::all()
    }
}
