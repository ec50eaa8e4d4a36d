//! Ids of calls, work and exchanges between a node and its host.
//!
//! The host assigns the ids of calls, work and operator requests; the node assigns those of
//! attempts, appends and reads. An id is never reused before the node restarts.

/// A call that leaves through this node.
pub type CallId = u64;

/// An attempt of a call.
pub type AttemptId = u64;

/// A piece of work: a call that arrived for the backend server of this host.
pub type WorkId = u64;

/// An append to the platform's log.
pub type AppendId = u64;

/// A read from the platform's log.
pub type ReadId = u64;

/// A command of an operator.
pub type OperatorRequestId = u64;
