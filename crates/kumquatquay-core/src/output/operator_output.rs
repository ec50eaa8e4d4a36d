//! Answers to operators.

use kumquatquay_wire::OperatorReply;

use crate::OperatorRequestId;

/// Answer to an [`OperatorInput`](crate::OperatorInput).
#[derive(Clone, Debug)]
pub struct OperatorOutput {
    /// Id of the command that is answered.
    pub request: OperatorRequestId,
    /// The answer.
    pub reply: OperatorReply,
}
