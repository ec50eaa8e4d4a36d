//! Counters sent to a statsd sink, off unless a sink is set.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use cadence::{Counted, Gauged, QueuingMetricSink, StatsdClient, UdpMetricSink};
use kumquatquay_core::Counter;
use std::net::UdpSocket;

use crate::engine::Engine;

/// How often counts are sent.
const INTERVAL: Duration = Duration::from_secs(5);

/// Metrics that wait for the sink; more are dropped, never waited for.
const QUEUE_LIMIT_COUNT: usize = 4_096;

/// Sends the counters of a node until the task is dropped.
pub(crate) async fn run(engine: Arc<Engine>, sink: SocketAddr) -> eyre::Result<()> {
    let client = client(sink)?;
    let mut sent: BTreeMap<Counter, u64> = BTreeMap::new();
    let mut interval = tokio::time::interval(INTERVAL);
    loop {
        interval.tick().await;
        let counters = engine.counters();
        for (counter, count) in counters.iter() {
            let before = sent.insert(counter, count).unwrap_or_default();
            let name = counter.to_string();
            // A sink that is gone must not disturb the node.
            let _ = client.count(&name, (count - before) as i64);
        }
        let _ = client.gauge("connections", engine.connections_count() as u64);
    }
}

fn client(sink: SocketAddr) -> eyre::Result<StatsdClient> {
    let local = if sink.is_ipv4() {
        "0.0.0.0:0"
    } else {
        "[::]:0"
    };
    let socket = UdpSocket::bind(local)?;
    socket.set_nonblocking(true)?;
    let udp = UdpMetricSink::from(sink, socket)?;
    let queue = QueuingMetricSink::with_capacity(udp, QUEUE_LIMIT_COUNT);
    Ok(StatsdClient::from_sink("kumquatquay", queue))
}
