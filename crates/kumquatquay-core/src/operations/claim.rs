//! Records of the claim streams.

use std::net::SocketAddr;

use kumquatquay_wire::{Incarnation, MeshKey, OperationRef, Sequence, StreamName, WireError};
use serde::{Deserialize, Serialize};

use super::digest::{CallerDigest, KeyDigest, RequestDigest};

/// Number of claim streams; the digest of a key selects its stream.
///
/// A claimant reads its stream back to the time of its key. With a single stream every claimant
/// would read the claims of all others; more streams cost the log more bookkeeping and make
/// batches smaller. See `docs/design/operations.md`.
pub(crate) const PARTITIONS_COUNT: u16 = 256;

/// Number of a claim stream.
pub(crate) type PartitionId = u16;

/// Returns the stream to which claims of a key are appended.
pub(crate) fn partition_of(key: &KeyDigest) -> PartitionId {
    u16::from_le_bytes([key[0], key[1]]) % PARTITIONS_COUNT
}

/// Returns the name of a claim stream in the log.
pub(crate) fn stream_name(partition: PartitionId) -> StreamName {
    format!("claims-{partition}")
}

/// Id of a claim: its claimant and the claimant's number for the operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct ClaimId {
    /// Peer address of the claimant, the home of the operation if it wins.
    pub(crate) home: SocketAddr,
    /// Incarnation of the claimant.
    pub(crate) incarnation: Incarnation,
    /// The claimant's number for the operation.
    pub(crate) sequence: Sequence,
}

impl ClaimId {
    /// Returns the operation that the claim stands for if it wins.
    pub(crate) fn operation(&self, expires_unix_ms: u64) -> OperationRef {
        OperationRef {
            home: self.home,
            home_incarnation: self.incarnation,
            sequence: self.sequence,
            expires_unix_ms,
        }
    }
}

/// A claim to run the operation of one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Claim {
    /// Id of the claim; appending a claim with the same id again has no effect.
    pub(crate) id: ClaimId,
    /// Digest of the caller and its `Idempotency-Key`.
    pub(crate) key: KeyDigest,
    /// Digest of the caller.
    pub(crate) caller: CallerDigest,
    /// Digest of route and body.
    pub(crate) request: RequestDigest,
    /// Time contained in the key, in milliseconds since the Unix epoch.
    pub(crate) key_unix_ms: u64,
}

/// One event of a claim stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ClaimEvent {
    /// A node claims a key.
    Claim(Claim),
    /// The claimant abandoned its claim: it has not dispatched the operation under it and never
    /// will. The next claim of the key wins.
    Release {
        /// Id of the abandoned claim.
        id: ClaimId,
        /// Digest of the caller and its key, as in the claim.
        key: KeyDigest,
    },
}

impl ClaimEvent {
    /// Returns the digest of the key that the event concerns.
    pub(crate) fn key(&self) -> KeyDigest {
        match self {
            Self::Claim(claim) => claim.key,
            Self::Release { key, .. } => *key,
        }
    }
}

/// Events of one append, in order.
pub(crate) type ClaimBatch = Vec<ClaimEvent>;

const PURPOSE: &str = "operation claims";

/// Encodes and authenticates a batch as a record of the log.
pub(crate) fn encode_batch(key: &MeshKey, batch: &ClaimBatch) -> Vec<u8> {
    key.seal(PURPOSE, batch)
}

/// Authenticates and decodes a record of the log.
///
/// Readers skip records for which this fails: no node with this mesh key wrote them.
pub(crate) fn decode_batch(key: &MeshKey, bytes: &[u8]) -> Result<ClaimBatch, WireError> {
    key.open(PURPOSE, bytes)
}

/// An event of a claim stream with the time of its append.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoggedEvent {
    /// When the log appended it, in milliseconds since the Unix epoch.
    pub(crate) appended_unix_ms: u64,
    /// The event.
    pub(crate) event: ClaimEvent,
}
