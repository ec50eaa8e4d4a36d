//! Aliases for identifiers and names that are exchanged between processes.

/// Name of a service, as operators and callers write it.
pub type ServiceName = String;

/// Name of a caller: a person's or program's account outside the mesh.
pub type CallerName = String;

/// Id that a backend server reports.
pub type InstanceId = String;

/// Name of a data centre.
pub type DataCentreName = String;

/// Name of a stream on the platform's log.
pub type StreamName = String;

/// W3C trace id of a request.
pub type TraceId = u128;

/// Id of a root request, assigned by the node at which it enters.
pub type RequestId = u64;

/// Incarnation of the process at an address; a replacement has a higher one.
pub type Incarnation = u64;

/// Sequence number of a datagram, call or operation within one incarnation.
pub type Sequence = u64;

/// Unguessable id by which a node finds the ledger of a request on its host.
pub type LedgerToken = u64;

/// Identifies a request across resends under new trace ids.
pub type Fingerprint = u64;

/// Id of a crash of a backend server: a hash of its node, that node's incarnation and a number.
pub type CrashId = u64;

/// BLAKE3 digest of a request body.
pub type BodyDigest = [u8; 32];

/// Offset of a record in a stream of the platform's log.
pub type LogOffset = u64;

/// Offset of the change that made a configuration current.
pub type ConfigurationVersion = LogOffset;

/// Digest of a set of member records, independent of their order.
pub type TableDigest = u64;
