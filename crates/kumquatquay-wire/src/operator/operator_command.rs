//! Commands of operators.

use serde::{Deserialize, Serialize};

use crate::{ConfigurationVersion, Fingerprint, Intent, ServiceName};

/// A command, sent as JSON to the operator interface of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "command")]
pub enum OperatorCommand {
    /// Stop accepting new work for the backend server of this host.
    Drain,
    /// Accept new work again.
    Undrain,
    /// List suspected and quarantined requests.
    QuarantineList,
    /// Allow requests with a fingerprint to run again.
    QuarantineRelease {
        /// Service that refuses them.
        service: ServiceName,
        /// Fingerprint of the requests.
        fingerprint: Fingerprint,
    },
    /// List the intents in force.
    IntentList,
    /// List the most recent changes, newest first.
    IntentHistory {
        /// Only changes to this service; all changes if `None`.
        service: Option<ServiceName>,
    },
    /// Show what would change, without changing anything.
    Plan {
        /// The desired intents.
        edits: Vec<IntentEdit>,
        /// Whether services that no backend server has announced are allowed.
        allows_unknown: bool,
    },
    /// Plan to restore the intents that a change replaced.
    PlanRevert {
        /// Version of the change to revert; the last change if `None`.
        version: Option<ConfigurationVersion>,
    },
    /// Confirm a plan, so that it comes in force.
    Confirm {
        /// Id of the plan at the node that made it, or its sealed text.
        plan: String,
    },
    /// Show where a version is in force.
    Status {
        /// The version; the one in force at the node if `None`.
        version: Option<ConfigurationVersion>,
    },
    /// Explain why a request or the requests of a caller were refused.
    Explain {
        /// A trace id in hexadecimal, or the name of a caller.
        subject: String,
    },
    /// List the names of services and callers that the node knows.
    Names,
    /// Restart the configuration from the state of this node, if the log has deleted changes
    /// that no node knows any more.
    StartOver,
}

/// The desired intent of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntentEdit {
    /// The service.
    pub service: ServiceName,
    /// The complete intent; `None` removes it.
    pub intent: Option<Intent>,
}
