//! Records of the claim streams.

use std::net::SocketAddr;

use kumquatquay_wire::{Incarnation, MeshKey, OperationRef, Sequence, StreamName, WireError};
use serde::{Deserialize, Serialize};

use super::digest::{CallerDigest, KeyDigest, RequestDigest};

/// Streams over which the claims are spread.
///
/// A claimant reads its stream back to the time of its key. With one stream
/// every claimant would read the claims of all; with many the streams cost the
/// log bookkeeping and batches get smaller. See `docs/design/operations.md`.
pub(crate) const PARTITIONS_COUNT: u16 = 256;

/// Number of a claim stream.
pub(crate) type PartitionId = u16;

/// Stream that the claims of a key go to.
pub(crate) fn partition_of(key: &KeyDigest) -> PartitionId {
    u16::from_le_bytes([key[0], key[1]]) % PARTITIONS_COUNT
}

/// Name of a claim stream.
pub(crate) fn stream_name(partition: PartitionId) -> StreamName {
    format!("claims-{partition}")
}

/// Names one claim: its claimant and the claimant's number for the operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct ClaimId {
    /// Peer address of the claimant, the home of the operation if it wins.
    pub(crate) home: SocketAddr,
    /// Life of the claimant.
    pub(crate) incarnation: Incarnation,
    /// The claimant's number for the operation.
    pub(crate) sequence: Sequence,
}

impl ClaimId {
    /// The operation that the claim names, if it wins.
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
    /// Names the claim; appending the same id again changes nothing.
    pub(crate) id: ClaimId,
    /// Digest of the caller and its key.
    pub(crate) key: KeyDigest,
    /// Digest of the caller.
    pub(crate) caller: CallerDigest,
    /// Digest of route and body.
    pub(crate) request: RequestDigest,
    /// Time of the key, in milliseconds since the Unix epoch.
    pub(crate) key_unix_ms: u64,
}

/// One event of a claim stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ClaimEvent {
    /// A node claims a key.
    Claim(Claim),
    /// The claimant gave up before it handed anything over and never will; the
    /// next claim of the key wins.
    Release {
        /// The claim.
        id: ClaimId,
        /// Its key.
        key: KeyDigest,
    },
}

impl ClaimEvent {
    /// The key that the event is about.
    pub(crate) fn key(&self) -> KeyDigest {
        match self {
            Self::Claim(claim) => claim.key,
            Self::Release { key, .. } => *key,
        }
    }
}

/// Events that one append carries, in their order.
pub(crate) type ClaimBatch = Vec<ClaimEvent>;

const PURPOSE: &str = "operation claims";

/// Encodes and authenticates a batch as a record of the log.
pub(crate) fn encode_batch(key: &MeshKey, batch: &ClaimBatch) -> Vec<u8> {
    key.seal(PURPOSE, batch)
}

/// Decodes a record of the log; it is skipped if it isn't one of ours.
pub(crate) fn decode_batch(key: &MeshKey, bytes: &[u8]) -> Result<ClaimBatch, WireError> {
    key.open(PURPOSE, bytes)
}

/// An event with its place in the stream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoggedEvent {
    /// When the log took it, in milliseconds since the Unix epoch.
    pub(crate) appended_unix_ms: u64,
    /// The event.
    pub(crate) event: ClaimEvent,
}
