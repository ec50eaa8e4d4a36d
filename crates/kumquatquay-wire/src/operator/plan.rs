//! Plans: the predicted effects of a change, for operators.

use serde::{Deserialize, Serialize};

use crate::{CallerName, ConfigurationVersion, DataCentreName, Intent, ServiceName};

/// The predicted effects of a change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Id of the plan at the node that made it.
    pub id: String,
    /// The plan as sealed text, which any node can confirm.
    pub sealed: String,
    /// Version in force when the plan was made.
    pub version: Option<ConfigurationVersion>,
    /// Whether the plan changes nothing.
    pub is_empty: bool,
    /// The effects at each service in the plan.
    pub services: Vec<ServicePlan>,
    /// Problems that the change would cause, one sentence each.
    pub warnings: Vec<String>,
    /// What the node couldn't determine, one sentence each.
    pub unknowns: Vec<String>,
}

/// The predicted effects of a change at one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServicePlan {
    /// The service.
    pub service: ServiceName,
    /// The intent in force.
    pub before: Option<Intent>,
    /// The desired intent.
    pub after: Option<Intent>,
    /// Differences between the intents, one line each; empty if there are none.
    pub differences: Vec<String>,
    /// The data centres of its backend servers.
    #[serde(rename = "places")]
    pub data_centres: Vec<DataCentrePlan>,
    /// The load of each caller that the node saw in the last 10 s, in the order in which they
    /// would be refused.
    pub load: Vec<CallerLoad>,
    /// Present order of refusals in an overload, first refused first.
    pub refusal_order_before: Vec<String>,
    /// Order of refusals in an overload under the plan, first refused first.
    pub refusal_order_after: Vec<String>,
}

/// The backend servers of one service in one data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentrePlan {
    /// The data centre.
    pub data_centre: DataCentreName,
    /// Control addresses of the hosts that apply the change.
    pub hosts: Vec<String>,
    /// Known hosts that are unreachable now; they apply the change once they are reachable.
    pub unreachable_hosts: Vec<String>,
    /// Number of requests that its serving backend servers can run concurrently.
    pub slots_count: u32,
}

/// Load of one caller at one service, as seen by the node that made the plan.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CallerLoad {
    /// The caller; empty for callers that aren't authenticated.
    pub caller: CallerName,
    /// Calls per second that entered at this node.
    pub calls_per_s: f64,
    /// Present rank of its most important requests, from 1; `None` if unprotected.
    pub rank_before: Option<usize>,
    /// Their rank under the plan.
    pub rank_after: Option<usize>,
}
