//! Admission level of a service: the least importance that it admits.

use serde::{Deserialize, Serialize};

use crate::{DataCentreName, Importance, ServiceName};

/// Admission level of a service in one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLevel {
    /// The service.
    pub service: ServiceName,
    /// Data centre of its backend servers.
    pub data_centre: DataCentreName,
    /// Least importance that is admitted; less important requests are refused.
    pub least_admitted: Importance,
    /// Time since the level was observed, in milliseconds.
    pub age_ms: u32,
}
