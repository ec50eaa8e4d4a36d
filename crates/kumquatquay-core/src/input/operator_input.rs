//! Inputs from operators.

use kumquatquay_wire::OperatorCommand;

use crate::OperatorRequestId;

/// A command from an authenticated operator.
#[derive(Clone, Debug)]
pub struct OperatorInput {
    /// Id assigned by the host, which the answer repeats.
    pub request: OperatorRequestId,
    /// Name of the operator, authenticated by a token.
    pub operator: String,
    /// The command.
    pub command: OperatorCommand,
}
