//! Recent call rates, for the estimates in plans.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use kumquatquay_wire::{CallerName, ServiceName};

use crate::{Blackboard, Moment};

/// Length of the window in which calls are counted.
const WINDOW: Duration = Duration::from_secs(10);

/// Limit of the pairs of service and caller that are counted in a window; further ones are not.
const PAIRS_LIMIT_COUNT: usize = 1_024;

/// Number of calls that entered at this node in the current and the last window, by service and
/// caller.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    window: BTreeMap<ServiceName, BTreeMap<CallerName, u32>>,
    last_window: BTreeMap<ServiceName, BTreeMap<CallerName, u32>>,
    pairs_count: usize,
    window_ends_at: Duration,
}

/// Counts a call that enters at this node.
pub(crate) fn observe_call(board: &mut Blackboard, caller: &str, service: &str) {
    let demand = &mut board.configuration.demand;
    if let Some(count) = demand
        .window
        .get_mut(service)
        .and_then(|callers| callers.get_mut(caller))
    {
        *count += 1;
        return;
    }
    if demand.pairs_count >= PAIRS_LIMIT_COUNT {
        return;
    }
    demand.pairs_count += 1;
    let callers = demand.window.entry(String::from(service)).or_default();
    callers.insert(String::from(caller), 1);
}

impl Demand {
    pub(super) fn on_tick(&mut self, now: Moment) {
        if now.monotonic >= self.window_ends_at {
            self.last_window = std::mem::take(&mut self.window);
            self.pairs_count = 0;
            self.window_ends_at = now.monotonic + WINDOW;
        }
    }

    /// Calls per second of one caller to a service, in the last complete window.
    pub(super) fn calls_per_s(&self, service: &str, caller: &str) -> Option<f64> {
        let count = self.last_window.get(service)?.get(caller)?;
        Some(f64::from(*count) / WINDOW.as_secs_f64())
    }

    /// Calls per second of all callers to a service, in the last complete window.
    pub(super) fn service_calls_per_s(&self, service: &str) -> Option<f64> {
        let callers = self.last_window.get(service)?;
        let count: u32 = callers.values().sum();
        Some(f64::from(count) / WINDOW.as_secs_f64())
    }

    /// The callers of a service and their calls per second, in the last complete window.
    pub(super) fn callers_of(&self, service: &str) -> impl Iterator<Item = (&CallerName, f64)> {
        let callers = self.last_window.get(service).into_iter().flatten();
        callers.map(|(caller, count)| (caller, f64::from(*count) / WINDOW.as_secs_f64()))
    }

    /// The named callers of the current and the last window.
    pub(super) fn callers(&self) -> BTreeSet<&CallerName> {
        let windows = self.window.values().chain(self.last_window.values());
        let callers = windows.flat_map(BTreeMap::keys);
        callers.filter(|caller| !caller.is_empty()).collect()
    }
}
