//! Control datagrams over UDP.

use std::sync::Arc;

use kumquatquay_core::Counter;
use kumquatquay_wire::{Datagram, MeshKey};
use tokio::net::UdpSocket;

use crate::engine::Engine;

/// One byte more than a datagram may have, so that a longer one is noticed.
const BUFFER_BYTES: usize = Datagram::LIMIT_BYTES + 1;

/// Receives datagrams until the task is dropped.
pub(crate) async fn receive(engine: Arc<Engine>, socket: Arc<UdpSocket>, key: MeshKey) {
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        // An error is a port that answered an earlier datagram as unreachable.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        match Datagram::from_bytes(&buffer[..length], &key) {
            Ok(datagram) => engine.handle(datagram),
            Err(error) => {
                engine.count(Counter::DatagramsRefused);
                log::debug!(event = "datagram_refused", from:% = from; "{error}");
            }
        }
    }
}
