//! Running a scenario.

mod deployment;
mod experiment_run;
mod gate_watch;
mod host;
mod mesh_node;
mod protection;
mod readiness;

pub use deployment::Deployment;
pub use experiment_run::{ArmRun, Watch, run_arm};
pub use gate_watch::GateSample;
pub(crate) use mesh_node::{NodeSpec, start_node};
pub(crate) use protection::{ask, confirm};
