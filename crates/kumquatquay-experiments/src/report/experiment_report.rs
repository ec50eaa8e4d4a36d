//! The JSON of one experiment.

use std::{collections::BTreeMap, path::Path};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{Curve, merge, write_plot};
use crate::measure::ArmReport;

/// What `kumquatquay experiment NAME --json` prints on its last line.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExperimentReport {
    /// Name of the experiment.
    pub experiment: String,
    /// Seed of the first run.
    pub seed: u64,
    /// Runs, with seeds that follow each other.
    pub seeds_count: u64,
    /// Measures by arm: of the one run, or medians.
    pub arms: BTreeMap<String, Value>,
    /// Least and greatest values by arm, if there are several runs.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub ranges: BTreeMap<String, Value>,
    /// Whether no run of any arm broke a promise.
    pub is_kept: bool,
}

impl ExperimentReport {
    /// A report without arms.
    pub fn new(experiment: impl Into<String>, seed: u64, seeds_count: u64) -> Self {
        Self {
            experiment: experiment.into(),
            seed,
            seeds_count,
            arms: BTreeMap::new(),
            ranges: BTreeMap::new(),
            is_kept: true,
        }
    }

    /// Adds an arm with the measures of all its runs.
    pub fn add_arm(&mut self, arm: impl Into<String>, runs: &[ArmReport]) {
        self.is_kept &= runs.iter().all(ArmReport::is_kept);
        let values = runs.iter().map(|run| {
            serde_json::to_value(run).expect("measures are plain numbers and always JSON")
        });
        self.add_values(arm, &values.collect::<Vec<_>>());
    }

    /// Adds an arm whose runs are JSON objects of the same shape.
    pub fn add_values(&mut self, arm: impl Into<String>, runs: &[Value]) {
        let arm = arm.into();
        let merged = merge(runs);
        self.arms.insert(arm.clone(), merged.medians);
        if runs.len() > 1 {
            self.ranges.insert(arm, merged.ranges);
        }
    }

    /// The report as one line of JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a report is always JSON")
    }

    /// Draws the goodput of all arms over time.
    ///
    /// # Errors
    ///
    /// If the file can't be written.
    pub fn write_plot(&self, path: &Path) -> eyre::Result<()> {
        let curves = self.arms.iter().map(|(arm, value)| Curve {
            name: arm.clone(),
            points: serde_json::from_value(value["series"].clone()).unwrap_or_default(),
        });
        write_plot(path, &self.experiment, &curves.collect::<Vec<_>>())
    }
}
