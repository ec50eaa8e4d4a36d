//! Explanations of refused requests.

use serde::{Deserialize, Serialize};

use crate::{CallerName, Class, ConfigurationVersion, ServiceName};

/// Explains why the requests of a caller, or one request, were refused at a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The subject of the question: a trace id or the name of a caller.
    pub subject: String,
    /// The refusals that the node has recorded, newest first.
    pub refusals: Vec<RefusalRecord>,
    /// What the intents in force state about the subject, one line each.
    pub intents: Vec<String>,
}

/// A refusal of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalRecord {
    /// Time of the refusal, in milliseconds since the Unix epoch.
    pub refused_unix_ms: u64,
    /// Trace id of the request, in hexadecimal.
    pub trace: String,
    /// The caller; empty if it wasn't authenticated.
    pub caller: CallerName,
    /// The service that was called.
    pub service: ServiceName,
    /// Method and path of the request.
    pub route: String,
    /// Class of the call.
    pub class: Class,
    /// Kind of refusal.
    pub reason: String,
    /// Whether the request ran.
    pub outcome: String,
    /// The explanation that was sent to the caller.
    pub detail: String,
    /// Version of the configuration that was in force.
    pub version: Option<ConfigurationVersion>,
}
