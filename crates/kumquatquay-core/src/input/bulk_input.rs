//! Inputs from bulk exchanges with other nodes.

use std::net::SocketAddr;

/// An event of a bulk exchange over TCP.
///
/// The frames are a protocol between nodes, see `docs/PROTOCOL.md`.
#[derive(Clone, Debug)]
pub enum BulkInput {
    /// Another node asked for state; answered by
    /// [`Output::BulkAnswer`](crate::Output::BulkAnswer).
    Asked {
        /// Id of the exchange, which the answer repeats.
        exchange: u64,
        /// The authenticated question.
        question: Vec<u8>,
    },
    /// Another node answered an [`Output::BulkAsk`](crate::Output::BulkAsk).
    Answered {
        /// Control address of the other node.
        from: SocketAddr,
        /// The authenticated answer.
        answer: Vec<u8>,
    },
    /// The other node did not answer an [`Output::BulkAsk`](crate::Output::BulkAsk).
    Failed {
        /// Control address of the other node.
        from: SocketAddr,
    },
}
