//! Changing intents and asking every node what is in force there.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use kumquatquay_standins::LogFault;
use kumquatquay_wire::{
    ConfigurationVersion, Intent, IntentEdit, OperatorCommand, OperatorReply, Priority,
};
use serde::Serialize;
use tokio::time::Instant;

use crate::{
    catalogue::association,
    engine::{Deployment, ask, confirm},
    scenario::{Arm, Event},
};

/// Changes that are made, one after the other.
const CHANGES_COUNT: u32 = 10;

/// Service whose intent changes.
const SERVICE: &str = "pitwatch";

/// Limit of a caller, to which each change adds.
const LIMIT_PER_S: u32 = 1000;

/// Pause between two rounds of questions.
const PAUSE: Duration = Duration::from_millis(10);

/// How long a change may take before the measurement ends.
const LIMIT: Duration = Duration::from_secs(60);

/// How changes spread in one state of the log.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SpreadReport {
    /// Nodes.
    pub nodes_count: usize,
    /// Changes that were confirmed.
    pub changes_count: u32,
    /// Time from the start of a confirmation to its acceptance: the median.
    pub accepted_p50_s: f64,
    /// Time from the start of a confirmation until the change was in force at
    /// the last node: the median.
    pub in_force_everywhere_p50_s: f64,
    /// The longest of these times.
    pub in_force_everywhere_max_s: f64,
    /// Times that a node named a lower version than before.
    pub reverts: u32,
}

/// Measures how changes spread while the log is in some state.
///
/// Nodes are asked in turn every 10 ms, which the times include.
///
/// # Errors
///
/// If the deployment doesn't start or a change isn't accepted.
pub async fn run_spread(seed: u64, log: LogFault) -> eyre::Result<SpreadReport> {
    let scenario = association("config-spread").data_centres(&["hall-a", "hall-b"]);
    let mut deployment = Deployment::start(&scenario, Arm::All.policy(), seed).await?;
    let operators = deployment.operators();
    let Some(first) = operators.first().copied() else {
        eyre::bail!("there are no nodes");
    };
    // The first change waits until the nodes have read the log and know each
    // other; it isn't counted.
    confirm(first, edits(0)).await?;
    deployment.apply(&Event::Log(log), Duration::ZERO).await?;
    let mut watch = Watch::new(operators);
    let mut accepted = Vec::new();
    let mut everywhere = Vec::new();
    for change in 1..=CHANGES_COUNT {
        let confirmed = confirm(first, edits(change)).await?;
        accepted.push((confirmed.accepted - confirmed.start).as_secs_f64());
        watch.wait_for(confirmed.version).await?;
        everywhere.push(confirmed.start.elapsed().as_secs_f64());
    }
    let report = SpreadReport {
        nodes_count: watch.operators.len(),
        changes_count: CHANGES_COUNT,
        accepted_p50_s: median(&mut accepted),
        in_force_everywhere_p50_s: median(&mut everywhere),
        in_force_everywhere_max_s: everywhere.iter().copied().fold(0.0, f64::max),
        reverts: watch.reverts,
    };
    deployment.stop().await;
    Ok(report)
}

fn edits(change: u32) -> Vec<IntentEdit> {
    let intent = Intent::new(SERVICE)
        .priority(Priority::caller("inspector"))
        .limit("member", LIMIT_PER_S + change);
    vec![IntentEdit {
        service: String::from(SERVICE),
        intent: Some(intent),
    }]
}

fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}

/// What each node said last.
struct Watch {
    operators: Vec<SocketAddr>,
    versions: BTreeMap<SocketAddr, Option<ConfigurationVersion>>,
    reverts: u32,
}

impl Watch {
    fn new(operators: Vec<SocketAddr>) -> Self {
        Self {
            operators,
            versions: BTreeMap::new(),
            reverts: 0,
        }
    }

    async fn wait_for(&mut self, version: ConfigurationVersion) -> eyre::Result<()> {
        let end = Instant::now() + LIMIT;
        while Instant::now() < end {
            if self.ask_all().await? >= Some(version) {
                return Ok(());
            }
            tokio::time::sleep(PAUSE).await;
        }
        eyre::bail!("version {version} is not in force everywhere")
    }

    /// Asks every node and returns the lowest version in force.
    async fn ask_all(&mut self) -> eyre::Result<Option<ConfigurationVersion>> {
        for operator in self.operators.clone() {
            let command = OperatorCommand::Status { version: None };
            let OperatorReply::Status(status) = ask(operator, &command).await? else {
                eyre::bail!("{operator} does not tell its status");
            };
            let earlier = self.versions.insert(operator, status.version);
            self.reverts += u32::from(earlier.is_some_and(|earlier| earlier > status.version));
        }
        Ok(self.versions.values().copied().min().flatten())
    }
}
