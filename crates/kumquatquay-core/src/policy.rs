//! Controls of a node that can be switched off.

use crate::{AllowanceSplit, OperationPolicy};

/// Retries that the entry grants to a root request.
const DEFAULT_ALLOWANCE_COUNT: u16 = 3;

/// Attempts that a node makes for each call if there is no retry allowance.
const UNCONTROLLED_ATTEMPTS_COUNT: u16 = 3;

/// Controls of a node, for experiments that compare nodes with and without them.
///
/// In production, nodes run with [`Policy::all`], the default.
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
    /// Whether the gate limits the concurrency of its backend server and queues other work by
    /// importance; otherwise all work is sent to the backend server at once.
    pub has_gate: bool,
    /// Whether admission levels are set, sent to other nodes and enforced.
    pub has_levels: bool,
    /// Whether the retry allowance of the root request bounds all retries; otherwise each node
    /// makes up to [`Policy::attempts_count`] attempts of each call.
    pub has_retry_allowance: bool,
    /// Retries that the entry grants to a root request.
    pub allowance_count: u16,
    /// How many of the retries are lent with each attempt of a call.
    pub allowance_split: AllowanceSplit,
    /// Most attempts of a call if there is no retry allowance.
    pub attempts_count: u16,
    /// How strictly non-idempotent operations are kept from running twice.
    pub operations: OperationPolicy,
}

impl Policy {
    /// No control: no gate, no levels, and three attempts of each call at each node.
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

    /// Only the gate.
    pub const fn gate() -> Self {
        Self {
            has_gate: true,
            ..Self::none()
        }
    }

    /// The gate and admission levels.
    pub const fn gate_levels() -> Self {
        Self {
            has_levels: true,
            ..Self::gate()
        }
    }

    /// All controls.
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
