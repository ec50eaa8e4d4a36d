//! Retries of this node, within the retry budgets that all nodes share.

use std::collections::HashMap;

use kumquatquay_core::routed::RetryBudget;
use kumquatquay_wire::ServiceName;

use super::node::RoutedNode;

/// Parts of a retry budget: for calls that nodes retry, for calls that retried runs make, and for
/// calls that a gate forwards again. The first kind is known to the sender of the call, the second
/// to the sender of the call whose run is retried, the third to the gate, so none of them can count
/// the others. A tenth is left for calls that are counted differently elsewhere.
const DIRECT_RATIO: f64 = 0.35;
const NESTED_RATIO: f64 = 0.25;
pub(super) const GATE_RETRY_RATIO: f64 = 0.3;

/// Retry budgets of this node, by service.
#[derive(Debug, Default)]
pub(crate) struct RetryBudgets {
    direct: HashMap<ServiceName, RetryBudget>,
    nested: HashMap<ServiceName, RetryBudget>,
}

#[derive(Clone, Copy, Debug)]
enum RetryKind {
    /// Calls that this node retries.
    Direct,
    /// Calls that backend servers make in retried runs.
    Nested,
}

impl RoutedNode {
    /// Counts a call for the retry budgets of its service and of the services that its run calls.
    pub(crate) fn deposit_retry_budget(&self, route: &str, service: &str) {
        let now = self.now();
        self.with_budget(service, RetryKind::Direct, |budget| {
            budget.on_requests(now, 1.0);
        });
        for (nested_service, calls_count) in self.nested_calls(route, service) {
            self.with_budget(&nested_service, RetryKind::Nested, |budget| {
                budget.on_requests(now, calls_count);
            });
        }
    }

    /// Withdraws a retry of a call from the retry budgets, if all of them have room.
    ///
    /// The calls that the retried run makes count as retries at their services.
    pub(crate) fn withdraw_retry_budget(&self, route: &str, service: &str) -> bool {
        let now = self.now();
        let nested_calls = self.nested_calls(route, service);
        let mut has_room = self.with_budget(service, RetryKind::Direct, |budget| {
            budget.has_room(now, 1.0)
        });
        for (service, calls_count) in &nested_calls {
            has_room &= self.with_budget(service, RetryKind::Nested, |budget| {
                budget.has_room(now, *calls_count)
            });
        }
        if !has_room {
            return false;
        }
        self.with_budget(service, RetryKind::Direct, |budget| {
            budget.on_retries(now, 1.0);
        });
        for (service, calls_count) in &nested_calls {
            self.with_budget(service, RetryKind::Nested, |budget| {
                budget.on_retries(now, *calls_count);
            });
        }
        true
    }

    /// Calls that one run of a route makes at services other than its own.
    fn nested_calls(&self, route: &str, service: &str) -> Vec<(ServiceName, f64)> {
        let entry_admission = self.entry_admission.borrow();
        let demands = entry_admission.demands(self.now(), route, service).iter();
        let nested_calls = demands.filter(|demand| demand.service != service);
        nested_calls
            .map(|demand| (demand.service.clone(), f64::from(demand.calls)))
            .collect()
    }

    fn with_budget<T>(
        &self,
        service: &str,
        kind: RetryKind,
        operation: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let budget_settings = self.settings.retry_budget;
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let (budgets, ratio_part) = match kind {
            RetryKind::Direct => (&mut retry_budgets.direct, DIRECT_RATIO),
            RetryKind::Nested => (&mut retry_budgets.nested, NESTED_RATIO),
        };
        let extra_count = budget_settings.extra_count * ratio_part / self.nodes_count.get() as f64;
        if !budgets.contains_key(service) {
            let ratio = budget_settings.ratio * ratio_part;
            let budget = RetryBudget::new(budget_settings.window, ratio, extra_count);
            budgets.insert(ServiceName::from(service), budget);
        }
        let budget = budgets
            .get_mut(service)
            .expect("the budget was inserted above");
        budget.set_extra_count(extra_count);
        operation(budget)
    }
}
