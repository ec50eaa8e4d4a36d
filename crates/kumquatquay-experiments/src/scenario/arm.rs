//! Variants of the control that are compared.

use derive_more::{Display, FromStr};
use kumquatquay_core::Policy;

/// A variant of the control; its text is its key in reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, FromStr)]
#[from_str(rename_all = "kebab-case")]
pub enum Arm {
    /// No control: nodes forward, and each layer retries.
    #[display("none")]
    None,
    /// The gate alone.
    #[display("gate")]
    Gate,
    /// The gate and levels.
    #[display("gate-levels")]
    GateLevels,
    /// Everything.
    #[display("all")]
    All,
}

impl Arm {
    /// All arms, from no control to everything.
    pub const ALL: [Arm; 4] = [Arm::None, Arm::Gate, Arm::GateLevels, Arm::All];

    /// The policy of the nodes in this arm.
    pub fn policy(self) -> Policy {
        match self {
            Self::None => Policy::none(),
            Self::Gate => Policy::gate(),
            Self::GateLevels => Policy::gate_levels(),
            Self::All => Policy::all(),
        }
    }
}
