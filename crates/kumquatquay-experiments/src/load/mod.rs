//! Open-loop load: arrivals are planned beforehand and never wait for answers.

mod arrival;
mod arrival_plan;
mod caller;
mod generator;
mod latency;
mod load_class;
mod operation_client;
mod sample;

pub use arrival::Arrival;
pub use arrival_plan::{ArrivalPlan, LoadPhase};
pub use caller::Caller;
pub use generator::{Generator, Progress};
pub use latency::{LatencyReport, LatencyTable};
pub use load_class::{CallKind, LoadClass, OperationNaming, ResendPolicy};
pub use sample::{Ending, Sample};
