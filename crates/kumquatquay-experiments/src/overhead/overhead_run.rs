//! Calls direct and through two nodes, in turn.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use eyre::{bail, ensure, eyre};
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use kumquatquay_standins::{BackendServer, EffectLedger, MarkedAnswer, ServiceTime, headers};
use serde::Serialize;
use tokio::time::Instant;

use super::processor_time::processor_time;
use crate::{
    engine::{NodeSpec, start_node},
    load::{LatencyReport, LatencyTable},
    scenario::Arm,
};

/// Service that is called.
const SERVICE: &str = "archive";

/// Tries until a first call passes.
const READY_TRIES_COUNT: u32 = 200;

/// Pause between them.
const READY_PAUSE: Duration = Duration::from_millis(50);

/// Pairs that are not measured, so that connections are open.
const WARM_UP_PAIRS_COUNT: usize = 300;

/// Callers side by side when processor time is measured.
const SIDE_BY_SIDE_COUNT: usize = 8;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// How much is measured.
#[derive(Clone, Copy, Debug)]
pub struct OverheadSettings {
    /// Pairs of a direct call and one through the nodes.
    pub pairs_count: usize,
    /// Calls through the nodes whose processor time is measured.
    pub calls_count: usize,
    /// Seed of the nodes.
    pub seed: u64,
}

/// What the path adds to a call.
///
/// Both kinds of calls take turns on open connections, one at a time, so that
/// whatever else the machine does hits both alike.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct OverheadReport {
    /// Calls to the backend server itself.
    pub direct_latency: LatencyReport,
    /// Calls through an egress node and an ingress node.
    pub path_latency: LatencyReport,
    /// Difference of the medians.
    pub added_p50_ms: f64,
    /// Difference of the 99th percentiles.
    pub added_p99_ms: f64,
    /// Median of the differences within the pairs.
    pub paired_added_p50_ms: f64,
    /// 99th percentile of the differences within the pairs.
    pub paired_added_p99_ms: f64,
    /// Calls through both nodes for each second of processor time that the
    /// whole process used beyond direct calls: both nodes, without the caller
    /// and the backend server.
    pub calls_per_s_a_core: Option<f64>,
}

/// Measures what the path adds.
///
/// # Errors
///
/// If the deployment doesn't start or a call fails.
pub async fn run_overhead(settings: OverheadSettings) -> eyre::Result<OverheadReport> {
    let path = Path::start(settings.seed).await?;
    for _ in 0..WARM_UP_PAIRS_COUNT {
        path.pair().await?;
    }
    let mut direct = LatencyTable::default();
    let mut through = LatencyTable::default();
    let mut added = LatencyTable::default();
    for _ in 0..settings.pairs_count {
        let pair = path.pair().await?;
        direct.add(pair.direct);
        through.add(pair.through);
        added.add(pair.through.saturating_sub(pair.direct));
    }
    let calls_per_s_a_core = path.calls_per_s_a_core(settings.calls_count).await?;
    let (direct, through, added) = (direct.report(), through.report(), added.report());
    Ok(OverheadReport {
        direct_latency: direct,
        path_latency: through,
        added_p50_ms: through.p50_ms - direct.p50_ms,
        added_p99_ms: through.p99_ms - direct.p99_ms,
        paired_added_p50_ms: added.p50_ms,
        paired_added_p99_ms: added.p99_ms,
        calls_per_s_a_core,
    })
}

/// Times of a direct call and one through the nodes.
struct Pair {
    direct: Duration,
    through: Duration,
}

/// An egress node, an ingress node and a backend server that answers at once.
struct Path {
    client: HttpClient,
    direct: SocketAddr,
    entry: SocketAddr,
    _server: kumquatquay_standins::RunningBackendServer,
    _nodes: [kumquatquayd::RunningNode; 2],
}

impl Path {
    async fn start(seed: u64) -> eyre::Result<Self> {
        let ingress = start_node(node_spec(seed, Vec::new())).await?;
        let egress = start_node(node_spec(seed + 1, vec![ingress.control_address()])).await?;
        let server = BackendServer::new(SERVICE)
            .slots_count(64)
            .service_time(ServiceTime::Fixed(Duration::ZERO))
            .egress(ingress.egress_address())
            .ledger(Arc::new(EffectLedger::default()))
            .start()
            .await?;
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let path = Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            direct: server.address(),
            entry: egress.entry_address(),
            _server: server,
            _nodes: [ingress, egress],
        };
        path.wait_until_ready().await?;
        Ok(path)
    }

    async fn wait_until_ready(&self) -> eyre::Result<()> {
        for _ in 0..READY_TRIES_COUNT {
            if self.call(self.entry).await.is_ok() {
                return Ok(());
            }
            tokio::time::sleep(READY_PAUSE).await;
        }
        bail!("no call passes through the nodes")
    }

    async fn pair(&self) -> eyre::Result<Pair> {
        Ok(Pair {
            direct: self.call(self.direct).await?,
            through: self.call(self.entry).await?,
        })
    }

    async fn call(&self, to: SocketAddr) -> eyre::Result<Duration> {
        call(&self.client, to).await
    }

    /// Processor time of calls through the nodes less that of direct calls.
    async fn calls_per_s_a_core(&self, calls_count: usize) -> eyre::Result<Option<f64>> {
        let direct = self.processor_time_of(self.direct, calls_count).await?;
        let through = self.processor_time_of(self.entry, calls_count).await?;
        let (Some(direct), Some(through)) = (direct, through) else {
            return Ok(None);
        };
        let nodes_s = through.saturating_sub(direct).as_secs_f64();
        Ok((nodes_s > 0.0).then(|| calls_count as f64 / nodes_s))
    }

    async fn processor_time_of(
        &self,
        to: SocketAddr,
        calls_count: usize,
    ) -> eyre::Result<Option<Duration>> {
        let before = processor_time();
        let callers = (0..SIDE_BY_SIDE_COUNT).map(|_| {
            let client = self.client.clone();
            tokio::spawn(async move {
                for _ in 0..calls_count / SIDE_BY_SIDE_COUNT {
                    call(&client, to).await?;
                }
                eyre::Ok(())
            })
        });
        for caller in callers.collect::<Vec<_>>() {
            caller.await??;
        }
        let after = processor_time();
        Ok(after.zip(before).map(|(after, before)| after - before))
    }
}

fn node_spec(seed: u64, seeds: Vec<SocketAddr>) -> NodeSpec {
    NodeSpec {
        data_centre: String::from("hall-a"),
        seeds,
        log: None,
        policy: Arm::All.policy(),
        random_seed: seed,
    }
}

async fn call(client: &HttpClient, to: SocketAddr) -> eyre::Result<Duration> {
    let request = Request::get(format!("http://{to}/{SERVICE}"))
        .header(headers::SERVICE, SERVICE)
        .header(headers::MARKER, "overhead")
        .body(Full::new(Bytes::new()))?;
    let start = Instant::now();
    let answer = client.request(request).await?;
    let status = answer.status();
    let body = answer.into_body().collect().await;
    let body = body.map_err(|error| eyre!("the answer broke off: {error}"))?;
    let duration = start.elapsed();
    ensure!(status.is_success(), "status {status}");
    ensure!(
        MarkedAnswer::is_own(&body.to_bytes(), "overhead"),
        "a foreign answer"
    );
    Ok(duration)
}
