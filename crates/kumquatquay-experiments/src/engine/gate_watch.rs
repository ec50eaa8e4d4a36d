//! What the gates of the bottleneck do while the load runs.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::Mutex,
    time::{Instant, MissedTickBehavior},
};

use super::Deployment;

/// How often the gates are looked at.
const INTERVAL: Duration = Duration::from_millis(100);

/// The gates of all hosts of one service at one time, added up.
#[derive(Clone, Copy, Debug, Default)]
pub struct GateSample {
    /// Time since the start of the load.
    pub at: Duration,
    /// Requests that the gates let run at the same time.
    pub limit_count: usize,
    /// Requests that run.
    pub running_count: usize,
    /// Requests that wait.
    pub queued_count: usize,
}

/// Samples of the gates of one service.
pub(crate) type GateSamples = Arc<Mutex<Vec<GateSample>>>;

/// Looks at the gates of a service until it is aborted.
pub(crate) async fn watch_gates(
    deployment: Arc<Mutex<Deployment>>,
    service: String,
    samples: GateSamples,
) {
    let start = Instant::now();
    let mut interval = tokio::time::interval(INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        interval.tick().await;
        let mut sample = GateSample {
            at: start.elapsed(),
            ..GateSample::default()
        };
        for dump in deployment.lock().await.dumps_of(&service) {
            sample.limit_count += dump.gate_limit_count;
            sample.running_count += dump.running_count;
            sample.queued_count += dump.queued_count;
        }
        samples.lock().await.push(sample);
    }
}
