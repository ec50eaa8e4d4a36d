//! Rules for operations that tests can switch off.

/// Rules for operations that tests can switch off to see what goes wrong without them.
///
/// # Examples
///
/// ```
/// use kumquatquay_core::OperationPolicy;
///
/// assert!(OperationPolicy::default().reads_claims_back);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OperationPolicy {
    /// Whether a claim must be read back as the first of its key before the operation runs.
    /// Without this rule two nodes that claim at the same time both run the operation; only tests
    /// switch it off.
    pub reads_claims_back: bool,
}

impl OperationPolicy {
    /// All rules are in force.
    pub const fn strict() -> Self {
        Self {
            reads_claims_back: true,
        }
    }
}

impl Default for OperationPolicy {
    fn default() -> Self {
        Self::strict()
    }
}
