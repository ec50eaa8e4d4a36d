//! What an experiment consists of.

mod arm;
mod event;
mod phase;
mod scenario_settings;
mod service_spec;

pub use arm::Arm;
pub use event::{Event, HostChoice, TimedEvent};
pub use phase::{Phase, PhaseKind};
pub use scenario_settings::Scenario;
pub use service_spec::ServiceSpec;
