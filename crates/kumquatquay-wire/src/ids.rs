//! Aliases for the identifiers and names that cross between processes.

/// Name of a service, as operators and callers write it.
pub type ServiceName = String;

/// Name of a caller: a person's or program's account outside the mesh.
pub type CallerName = String;

/// Id of a backend server, as it names itself.
pub type InstanceId = String;

/// Name of a data centre.
pub type DataCentreName = String;

/// Name of a stream on the platform's log.
pub type StreamName = String;

/// W3C trace id of a request.
pub type TraceId = u128;

/// A whole request, as its entry node named it.
pub type RequestId = u64;

/// Life of one process at one address; a replacement has a higher one.
pub type Incarnation = u64;

/// Number of a datagram, call or operation within one incarnation.
pub type Sequence = u64;

/// Unguessable id by which a node finds the ledger of a request on its host.
pub type LedgerToken = u64;

/// What identifies a request across resends under new trace ids.
pub type Fingerprint = u64;

/// BLAKE3 digest of a request body.
pub type BodyDigest = [u8; 32];

/// Place of a record in a stream of the platform's log.
pub type LogOffset = u64;

/// Offset of the change that made a configuration current.
pub type ConfigurationVersion = LogOffset;

/// Digest of a set of member records; the order of the members has no part in it.
pub type TableDigest = u64;
