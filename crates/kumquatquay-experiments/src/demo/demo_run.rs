//! Running the demonstration.

use crate::{
    catalogue::{association, thesis_archive},
    engine::{ArmRun, Watch, run_arm},
    measure::ArmReport,
    scenario::{Arm, Phase, PhaseKind, Scenario},
};

/// One deployment in one arm.
#[derive(Clone, Debug)]
pub struct DemoArm {
    /// Name of the deployment.
    pub deployment: String,
    /// The arm.
    pub arm: Arm,
    /// Its measures.
    pub report: ArmReport,
}

/// What the demonstration showed.
#[derive(Clone, Debug)]
pub struct DemoResult {
    /// All deployments in all arms.
    pub arms: Vec<DemoArm>,
}

impl DemoResult {
    /// Whether no promise was broken.
    pub fn is_kept(&self) -> bool {
        self.arms.iter().all(|arm| arm.report.is_kept())
    }
}

/// Arms of the demonstration.
const ARMS: [Arm; 2] = [Arm::None, Arm::All];

fn with_phases(scenario: Scenario, surge_factor: f64) -> Scenario {
    scenario
        .phase(Phase::new(PhaseKind::WarmUp, 1, 1.0))
        .phase(Phase::new(PhaseKind::Normal, 3, 1.0))
        .phase(Phase::new(PhaseKind::Trigger, 6, surge_factor))
        .phase(Phase::new(PhaseKind::After, 6, 1.0))
}

/// Runs both deployments side by side, first without control, then with it.
///
/// # Errors
///
/// If a deployment doesn't start.
pub async fn run_demo(seed: u64, watch: Watch<'_>) -> eyre::Result<DemoResult> {
    let association = with_phases(association("association"), 4.5);
    let theses = with_phases(thesis_archive("thesis archive"), 3.67);
    let silent: Watch<'_> = &|_, _| {};
    let mut arms = Vec::new();
    for arm in ARMS {
        let (first, second) = tokio::join!(
            run_arm(&association, arm, seed, watch),
            run_arm(&theses, arm, seed + 1, silent),
        );
        arms.push(demo_arm(&association, arm, first?));
        arms.push(demo_arm(&theses, arm, second?));
    }
    arms.sort_by(|left, right| left.deployment.cmp(&right.deployment));
    Ok(DemoResult { arms })
}

fn demo_arm(scenario: &Scenario, arm: Arm, run: ArmRun) -> DemoArm {
    DemoArm {
        deployment: scenario.name.clone(),
        arm,
        report: run.report,
    }
}
