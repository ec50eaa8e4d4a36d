//! Replies to operators.

use serde::{Deserialize, Serialize};

use crate::{
    AcceptedChange, CallerName, ConfigurationStatus, ConfigurationVersion, Explanation, Finding,
    IntentEntry, Plan, QuarantineRecord, ServiceName,
};

/// Reply to an [`OperatorCommand`](crate::OperatorCommand), sent as JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum OperatorReply {
    /// The command was executed.
    Done {
        /// Describes the effect, for operators.
        message: String,
    },
    /// The command was refused.
    Refused {
        /// The reason and the remedy, for operators.
        message: String,
    },
    /// The suspected and quarantined requests.
    Quarantine {
        /// One record for each service and fingerprint.
        records: Vec<QuarantineRecord>,
    },
    /// The intents in force at the replying node.
    Intents {
        /// Version in force at that node.
        version: Option<ConfigurationVersion>,
        /// Reasons why the version may not be the latest, for operators; empty if there are
        /// none.
        doubts: Vec<String>,
        /// The entries, ordered by service name.
        entries: Vec<IntentEntry>,
    },
    /// The most recent changes, newest first.
    History {
        /// The changes.
        changes: Vec<AcceptedChange>,
    },
    /// The plan: what would change.
    Plan(Plan),
    /// Errors in the command; nothing was planned.
    Findings {
        /// All errors.
        findings: Vec<Finding>,
    },
    /// The change was accepted and is in force at the replying node.
    Accepted {
        /// Version of the change.
        version: ConfigurationVersion,
        /// Whether an earlier confirmation had already brought it in force.
        is_repeat: bool,
        /// A sentence for people.
        message: String,
    },
    /// Another change was accepted first; nothing was changed.
    Conflict {
        /// Each service that has changed since the plan.
        conflicts: Vec<Conflict>,
        /// A sentence for people.
        message: String,
    },
    /// It isn't known whether the change comes in force; confirming the same plan again
    /// determines this and is harmless.
    Undecided {
        /// A sentence for people.
        message: String,
    },
    /// Where a version is in force.
    Status(ConfigurationStatus),
    /// Why requests were refused.
    Explanation(Explanation),
    /// Names that the replying node knows.
    Names {
        /// Services that were announced or have intents.
        services: Vec<ServiceName>,
        /// Callers that were seen at the node or are named in intents.
        callers: Vec<CallerName>,
    },
}

/// A service whose intent has changed since a plan was made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The service.
    pub service: ServiceName,
    /// Version on which the plan was based.
    pub base: Option<ConfigurationVersion>,
    /// Version in force.
    pub version: Option<ConfigurationVersion>,
    /// Operator who confirmed the change in force.
    pub operator: String,
    /// Time of that confirmation, in milliseconds since the Unix epoch.
    pub confirmed_unix_ms: u64,
    /// Differences between the plan and the intent in force, one line each.
    pub differences: Vec<String>,
}
