//! The named experiments.

mod association;
mod faults;
mod overload;
mod thesis_archive;

pub(crate) use association::association;
pub(crate) use thesis_archive::thesis_archive;

use crate::scenario::Scenario;

/// Name of the experiment that measures the time added to a call; it has no
/// scenario.
pub const OVERHEAD: &str = "overhead";

/// Name of the experiment that measures how changes of the configuration
/// spread; it has no scenario.
pub const CONFIG_SPREAD: &str = "config-spread";

/// All scenarios, in the order in which they are listed.
pub fn scenarios() -> Vec<Scenario> {
    vec![
        overload::deep_slowdown(),
        overload::deadline_rush(),
        overload::retry_storm(),
        overload::surge_end(),
        overload::lying_load(),
        overload::cold_start(),
        overload::slow_backend(),
        faults::double_filing(),
        faults::crashing_request(),
        faults::drain(),
        faults::host_loss(),
        faults::log_outage(),
    ]
}

/// The scenario with a name.
pub fn get_scenario(name: &str) -> Option<Scenario> {
    scenarios()
        .into_iter()
        .find(|scenario| scenario.name == name)
}
