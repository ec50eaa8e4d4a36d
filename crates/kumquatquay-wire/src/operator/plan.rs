//! What a change would do, for people.

use serde::{Deserialize, Serialize};

use crate::{CallerName, ConfigurationVersion, DataCentreName, Intent, ServiceName};

/// What a change would do and where.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Names the plan at the node that made it.
    pub id: String,
    /// The same plan as text that any node can confirm.
    pub sealed: String,
    /// Version in force when it was made.
    pub version: Option<ConfigurationVersion>,
    /// Whether it would change nothing.
    pub is_empty: bool,
    /// The services that it names.
    pub services: Vec<ServicePlan>,
    /// What would go wrong, a sentence each.
    pub warnings: Vec<String>,
    /// What the node could not find out, a sentence each.
    pub unknowns: Vec<String>,
}

/// What a change would do at one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServicePlan {
    /// The service.
    pub service: ServiceName,
    /// The intent in force.
    pub before: Option<Intent>,
    /// The intent wanted.
    pub after: Option<Intent>,
    /// What changes, a line each; empty if nothing does.
    pub differences: Vec<String>,
    /// Where its backend servers are.
    #[serde(rename = "places")]
    pub data_centres: Vec<DataCentrePlan>,
    /// The callers that the node saw in the last 10 s, in the order in which
    /// they would be refused.
    pub load: Vec<CallerLoad>,
    /// Who is refused first in an overload now, first to last.
    pub refusal_order_before: Vec<String>,
    /// Who would be refused first, first to last.
    pub refusal_order_after: Vec<String>,
}

/// The backend servers of one service in one data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentrePlan {
    /// The data centre.
    pub data_centre: DataCentreName,
    /// Hosts that take the change, by control address.
    pub hosts: Vec<String>,
    /// Hosts that are known and not reachable now; they take it when they are.
    pub unreachable_hosts: Vec<String>,
    /// Requests that its serving backend servers can run at the same time.
    pub slots_count: u32,
}

/// What one caller asks of one service at the node that made the plan.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CallerLoad {
    /// The caller; empty for those that prove no name.
    pub caller: CallerName,
    /// Calls a second that entered at this node alone.
    pub calls_per_s: f64,
    /// Place of its most important requests now, from 1; `None` if unprotected.
    pub rank_before: Option<usize>,
    /// The same once the plan is in force.
    pub rank_after: Option<usize>,
}
