//! Commands of operators and the replies of a node.

mod explanation;
mod finding;
mod operator_command;
mod operator_reply;
mod plan;
mod status;

pub use explanation::{Explanation, RefusalRecord};
pub use finding::Finding;
pub use operator_command::{IntentEdit, OperatorCommand};
pub use operator_reply::{Conflict, OperatorReply};
pub use plan::{CallerLoad, DataCentrePlan, Plan, ServicePlan};
pub use status::{ConfigurationStatus, Laggard};
