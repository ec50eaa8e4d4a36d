//! Changes to intents.

use serde::{Deserialize, Serialize};

use crate::{ConfigurationVersion, Intent, ServiceName};

/// Id of a change; a change that is repeated under its id takes effect once.
pub type ChangeId = u64;

/// Formats the id of a change for operators.
pub fn change_id_text(id: ChangeId) -> String {
    format!("{id:016x}")
}

/// An atomic change to the intents of one or more services.
///
/// It is accepted if the intent of every service in it still has its base version at the offset
/// of the change in the log. The base is stated per service, not for the entire configuration:
/// at one change every 11 seconds, the intent of some other service has nearly always changed
/// between an operator's plan and its confirmation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationChange {
    /// Id of the change, the same for all repeats.
    pub id: ChangeId,
    /// Changes of the intents, one for each service.
    pub intents: Vec<IntentChange>,
    /// Operator who confirmed it.
    pub operator: String,
    /// Time of the confirmation by the clock of the confirming node, in milliseconds since the
    /// Unix epoch.
    pub confirmed_unix_ms: u64,
}

/// The change of the intent of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntentChange {
    /// The service.
    pub service: ServiceName,
    /// Base of the change: the version of the service's intent that the operator saw; `None` if
    /// the service never had one.
    pub base: Option<ConfigurationVersion>,
    /// The new intent; `None` removes it.
    pub intent: Option<Intent>,
}

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// Version that it created, which is its offset in the log.
    pub version: ConfigurationVersion,
    /// Time of the append by the clock of the log, in milliseconds since the Unix epoch.
    pub appended_unix_ms: u64,
    /// The change.
    pub change: ConfigurationChange,
    /// The intents that it replaced, in the order of the services in the change.
    pub replaced: Vec<Option<Intent>>,
}
