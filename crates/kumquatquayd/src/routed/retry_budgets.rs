//! What this node sends once more, within the budget that all nodes share.

use std::collections::HashMap;

use kumquatquay_core::routed::RetryBudget;
use kumquatquay_wire::ServiceName;

use super::node::RoutedNode;

/// Parts of a retry budget: for calls that nodes send once more, for calls that
/// repeated runs make, and for calls that a gate hands over once more. The first kind
/// is known where a call is sent, the second where its cause is sent again, the third
/// at the gate, so none can count the others. A tenth is left for what is counted
/// differently elsewhere.
const OWN_RATIO: f64 = 0.35;
const CAUSED_RATIO: f64 = 0.25;
pub(super) const GATE_RETRY_RATIO: f64 = 0.3;

/// Repeats of this node, by service.
#[derive(Debug, Default)]
pub(crate) struct RetryBudgets {
    own: HashMap<ServiceName, RetryBudget>,
    caused: HashMap<ServiceName, RetryBudget>,
}

#[derive(Clone, Copy, Debug)]
enum Repeats {
    /// Calls that this node sends once more.
    Own,
    /// Calls that backend servers make in runs that are repeats.
    Caused,
}

impl RoutedNode {
    /// Counts a call for the retry budgets of its service and of those behind it.
    pub(crate) fn deposit_retry_budget(&self, route: &str, service: &str) {
        let now = self.now();
        self.with_window(service, Repeats::Own, |window| window.on_requests(now, 1.0));
        for (behind, calls_count) in self.calls_behind(route, service) {
            self.with_window(&behind, Repeats::Caused, |window| {
                window.on_requests(now, calls_count);
            });
        }
    }

    /// Takes a repeat of a call out of the retry budgets, if there is room in all.
    ///
    /// The calls that a repeated run makes are repeats too, at the services behind.
    pub(crate) fn withdraw_retry_budget(&self, route: &str, service: &str) -> bool {
        let now = self.now();
        let behind = self.calls_behind(route, service);
        let mut has_room =
            self.with_window(service, Repeats::Own, |window| window.has_room(now, 1.0));
        for (service, calls_count) in &behind {
            has_room &= self.with_window(service, Repeats::Caused, |window| {
                window.has_room(now, *calls_count)
            });
        }
        if !has_room {
            return false;
        }
        self.with_window(service, Repeats::Own, |window| window.on_retries(now, 1.0));
        for (service, calls_count) in &behind {
            self.with_window(service, Repeats::Caused, |window| {
                window.on_retries(now, *calls_count);
            });
        }
        true
    }

    /// Calls that one run of a route makes at services other than its own.
    fn calls_behind(&self, route: &str, service: &str) -> Vec<(ServiceName, f64)> {
        let levels = self.entry_admission.borrow();
        let leads_to = levels.demands(self.now(), route, service).iter();
        let behind = leads_to.filter(|demand| demand.service != service);
        behind
            .map(|demand| (demand.service.clone(), f64::from(demand.calls)))
            .collect()
    }

    fn with_window<T>(
        &self,
        service: &str,
        kind: Repeats,
        act: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let budget = self.settings.retry_budget;
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let (windows, part) = match kind {
            Repeats::Own => (&mut retry_budgets.own, OWN_RATIO),
            Repeats::Caused => (&mut retry_budgets.caused, CAUSED_RATIO),
        };
        let extra_count = budget.extra_count * part / self.nodes_count.get() as f64;
        if !windows.contains_key(service) {
            let ratio = budget.ratio * part;
            let window = RetryBudget::new(budget.window, ratio, extra_count);
            windows.insert(ServiceName::from(service), window);
        }
        let window = windows.get_mut(service).expect("it was put in just now");
        window.set_extra_count(extra_count);
        act(window)
    }
}
