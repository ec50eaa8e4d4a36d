//! UDP datagrams of the control protocol.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    DataCentreName, Incarnation, MeshKey, Rumour, Sequence, TableDigest, WireError,
    size::encoded_bytes,
};

/// A control datagram, authenticated with the mesh key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Control address of the sender.
    pub sender: SocketAddr,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Sequence number within the sender's incarnation. A receiver accepts each number once, so
    /// that a recorded datagram can't be replayed.
    pub sequence: Sequence,
    /// The message.
    pub body: ControlBody,
    /// Rumours that are piggybacked on the message.
    pub rumours: Vec<Rumour>,
}

/// Message of a control datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlBody {
    /// Requests a [`ControlBody::Ack`] from the receiver.
    Ping {
        /// Id of the probe; random, so that no recorded answer matches it.
        probe: Sequence,
        /// Digest of all members that the sender knows.
        digest: TableDigest,
    },
    /// Answers a [`ControlBody::Ping`].
    Ack {
        /// Repeats the id of the probe.
        probe: Sequence,
    },
    /// Asks the receiver to ping another node and to relay its answer.
    IndirectPing {
        /// Id of the probe.
        probe: Sequence,
        /// Control address of the node to ping.
        target: SocketAddr,
    },
    /// Reports the digest of the sender's data centre to a node of another one.
    Digest {
        /// Data centre of the sender.
        data_centre: DataCentreName,
        /// Digest of the members of that data centre.
        digest: TableDigest,
    },
    /// Carries only rumours.
    #[serde(rename = "News")]
    Gossip,
    /// Carries the record of the sender and requests that of the receiver.
    Introduce,
}

impl Datagram {
    /// Maximum size of a datagram that is sent or accepted, in bytes.
    pub const LIMIT_BYTES: usize = 1_200;

    /// Size of the IP and UDP headers of a datagram, in bytes.
    pub const NETWORK_HEADERS_BYTES: usize = 28;

    const PURPOSE: &'static str = "control datagram";

    /// Encoded size in bytes, including the authentication code.
    pub fn size_bytes(&self) -> usize {
        MeshKey::CODE_BYTES + encoded_bytes(self)
    }

    /// Encodes and authenticates the datagram.
    pub fn to_bytes(&self, key: &MeshKey) -> Vec<u8> {
        key.seal(Self::PURPOSE, self)
    }

    /// Checks and decodes a datagram.
    ///
    /// # Errors
    ///
    /// [`WireError`] if it is too long, truncated, forged or malformed.
    pub fn from_bytes(bytes: &[u8], key: &MeshKey) -> Result<Self, WireError> {
        if bytes.len() > Self::LIMIT_BYTES {
            return Err(WireError::TooLong);
        }
        key.open(Self::PURPOSE, bytes)
    }
}
