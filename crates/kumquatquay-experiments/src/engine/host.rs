//! One host: its node and its backend server.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use kumquatquay_standins::{BackendServer, BackendStatistics, EffectLedger, RunningBackendServer};
use kumquatquayd::RunningNode;

use super::mesh_node::{NodeSpec, start_node};
use crate::scenario::ServiceSpec;

/// Time that a stopped node has for its flights.
const GRACE: Duration = Duration::from_secs(10);

/// How often backend servers announce themselves.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// A host, as long as it exists; a host that left keeps its counts.
pub(crate) struct Host {
    pub(crate) service: String,
    /// Number of the host within its service.
    pub(crate) index: usize,
    node: Option<RunningNode>,
    server: Option<RunningBackendServer>,
    last_statistics: BackendStatistics,
}

impl Host {
    pub(crate) async fn start(
        service: &ServiceSpec,
        index: usize,
        node: NodeSpec,
        ledger: Arc<EffectLedger>,
    ) -> eyre::Result<Self> {
        let random_seed = node.random_seed;
        let node = start_node(node).await?;
        let settings = server_settings(service, index)
            .egress(node.egress_address())
            .ledger(ledger)
            .random_seed(random_seed);
        Ok(Self {
            service: service.name.clone(),
            index,
            node: Some(node),
            server: Some(settings.start().await?),
            last_statistics: BackendStatistics::default(),
        })
    }

    pub(crate) fn node(&self) -> Option<&RunningNode> {
        self.node.as_ref()
    }

    pub(crate) fn server(&self) -> Option<&RunningBackendServer> {
        self.server.as_ref()
    }

    pub(crate) fn entry(&self) -> Option<SocketAddr> {
        self.node.as_ref().map(RunningNode::entry_address)
    }

    pub(crate) fn statistics(&self) -> BackendStatistics {
        let server = self.server.as_ref();
        server.map_or(self.last_statistics, RunningBackendServer::statistics)
    }

    /// Vanishes without a word.
    pub(crate) fn kill(&mut self) {
        self.last_statistics = self.statistics();
        self.server = None;
        if let Some(node) = self.node.take() {
            node.kill();
        }
    }

    /// Takes the node away, to be stopped while its backend server goes on.
    pub(crate) fn take_node(&mut self) -> Option<RunningNode> {
        self.node.take()
    }
}

/// Stops a node gracefully.
pub(crate) async fn stop_node(node: RunningNode) {
    node.stop(GRACE).await;
}

fn server_settings(service: &ServiceSpec, index: usize) -> BackendServer {
    let mut settings = BackendServer::new(&service.name)
        .slots_count(service.slots_count)
        .queue_count(service.queue_count)
        .connections_count(service.connections_count())
        .service_time(service.service_time)
        .announce_interval(ANNOUNCE_INTERVAL)
        .restart_pause(service.restart_pause)
        .health(report_of(&service.health_reports, index))
        .load(report_of(&service.load_reports, index));
    if let Some((duration, factor)) = service.cold_start {
        settings = settings.cold_start(duration, factor);
    }
    for call in &service.calls {
        settings = settings.call(call.clone());
    }
    settings
}

/// What the host with an index reports; the last report goes for the rest.
fn report_of<R: Copy + Default>(reports: &[R], index: usize) -> R {
    let report = reports.get(index).or(reports.last());
    report.copied().unwrap_or_default()
}
