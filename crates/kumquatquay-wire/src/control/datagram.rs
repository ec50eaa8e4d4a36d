//! The UDP datagram that carries control messages.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    DataCentreName, Incarnation, MeshKey, Rumour, Sequence, TableDigest, WireError,
    size::encoded_bytes,
};

/// One control datagram, sealed by the mesh key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Control address of the sender.
    pub sender: SocketAddr,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Number of this datagram in the sender's incarnation; a receiver takes
    /// each number once, so that a recorded datagram can't be replayed.
    pub sequence: Sequence,
    /// The message.
    pub body: ControlBody,
    /// News that rides along.
    pub rumours: Vec<Rumour>,
}

/// What a control datagram asks or says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlBody {
    /// Asks the receiver to answer with [`ControlBody::Ack`].
    Ping {
        /// Names the probe; random, so that no recorded answer fits it.
        probe: Sequence,
        /// Digest of all members that the sender knows.
        digest: TableDigest,
    },
    /// Answers a [`ControlBody::Ping`].
    Ack {
        /// Repeats the name of the probe.
        probe: Sequence,
    },
    /// Asks the receiver to ping a third node and to pass on its answer.
    IndirectPing {
        /// Repeats the name of the probe.
        probe: Sequence,
        /// Control address of the node to ping.
        target: SocketAddr,
    },
    /// Says what the sender's own data centre looks like, to another one.
    Digest {
        /// Data centre of the sender.
        data_centre: DataCentreName,
        /// Digest of its members.
        digest: TableDigest,
    },
    /// Carries rumours only.
    #[serde(rename = "News")]
    Gossip,
    /// Carries the sender's own record and asks for the receiver's.
    Introduce,
}

impl Datagram {
    /// The longest datagram that is sent or read, in bytes.
    pub const LIMIT_BYTES: usize = 1_200;

    /// Bytes of the IP and UDP headers around each datagram.
    pub const NETWORK_HEADERS_BYTES: usize = 28;

    const PURPOSE: &'static str = "control datagram";

    /// Bytes of the encoded datagram, its authentication code included.
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
    /// [`WireError`] if it is too long, cut short, forged or malformed.
    pub fn from_bytes(bytes: &[u8], key: &MeshKey) -> Result<Self, WireError> {
        if bytes.len() > Self::LIMIT_BYTES {
            return Err(WireError::TooLong);
        }
        key.open(Self::PURPOSE, bytes)
    }
}
