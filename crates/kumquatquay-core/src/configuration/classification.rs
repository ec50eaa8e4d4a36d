//! Classification of a call by the intents in force.

use kumquatquay_wire::{Class, ServiceName};

use crate::Blackboard;

/// Class of calls that match no priority of an intent.
pub(crate) const DEFAULT_CLASS: Class = 1;

/// Methods that RFC 9110 (9.2.2) defines as idempotent.
const IDEMPOTENT_METHODS: [&str; 6] = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"];

/// Classification of a call by the intents in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Classification {
    /// Class of the call; in an overload, higher classes are refused later.
    pub(crate) class: Class,
    /// Whether the call is idempotent, so that it may run more than once.
    pub(crate) is_idempotent: bool,
    /// Limit of the caller at this service, for all nodes together.
    pub(crate) caller_limit: Option<CallerLimit>,
}

/// Limit of one caller at one service, for all nodes together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallerLimit {
    /// Calls per second that the caller may make.
    pub(crate) calls_per_s: u32,
}

/// Classifies one call by the intents in force.
pub(crate) fn classify(
    board: &Blackboard,
    caller: &str,
    service: &ServiceName,
    method: &str,
    path: &str,
) -> Classification {
    board.configuration.classify(caller, service, method, path)
}

/// Whether RFC 9110 defines the method as idempotent; method names are case-sensitive.
pub(crate) fn is_idempotent_method(method: &str) -> bool {
    IDEMPOTENT_METHODS.contains(&method)
}
