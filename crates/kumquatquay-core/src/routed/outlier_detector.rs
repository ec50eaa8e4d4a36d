//! Outlier detection: finds the backend servers of a service that fail more than their peers.

use std::{collections::HashSet, net::SocketAddr};

use kumquatquay_wire::ServiceName;

/// Excess of the share of failed runs over the median of the service from which on a backend server
/// is ejected, and below which it is readmitted.
const EJECTION_RATIO: f64 = 0.2;
const READMISSION_RATIO: f64 = 0.1;

/// One of this many backend servers of a service may be ejected, and one of two.
const EJECTED_ONE_OF_COUNT: usize = 3;

/// The ejection or readmission of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct OutlierChange {
    /// Its service.
    pub service: ServiceName,
    /// Control address of the node of its host.
    pub control: SocketAddr,
    /// Whether it is ejected from now on.
    pub is_ejected: bool,
    /// Share of its recent runs that failed by its own fault.
    pub failed_ratio: f64,
    /// Median of these shares over the backend servers of the service; of an even number, the
    /// lower of the two middle values.
    pub median_ratio: f64,
}

/// Ejected backend servers of one service: those that fail far more runs than their peers.
///
/// A run of eight calls needs all of them: if one of eight backend servers fails every call, only a
/// third of such runs succeeds. If all fail alike, the cause lies elsewhere, and the rest couldn't
/// take over their load. So at most one of three is ejected, and only for its excess over the
/// median.
#[derive(Debug, Default)]
pub(super) struct OutlierDetector {
    ejected_controls: HashSet<SocketAddr>,
}

impl OutlierDetector {
    pub(super) fn contains(&self, control: SocketAddr) -> bool {
        self.ejected_controls.contains(&control)
    }

    /// Updates the ejected backend servers from the share of failed runs of each backend server of
    /// the service, and returns the changes.
    pub(super) fn refresh(
        &mut self,
        service: &str,
        failed_ratios: &[(SocketAddr, f64)],
    ) -> Vec<OutlierChange> {
        let mut worst_first = failed_ratios.to_vec();
        worst_first.sort_by(|a, b| b.1.total_cmp(&a.1));
        let Some((_, median_ratio)) = worst_first.get(failed_ratios.len() / 2).copied() else {
            self.ejected_controls.clear();
            return Vec::new();
        };
        let max_ejected_count = match failed_ratios.len() {
            0 | 1 => 0,
            count => (count / EJECTED_ONE_OF_COUNT).max(1),
        };
        let ejected = worst_first.into_iter().filter(|(control, ratio)| {
            let excess_ratio = ratio - median_ratio;
            excess_ratio >= EJECTION_RATIO
                || (excess_ratio >= READMISSION_RATIO && self.contains(*control))
        });
        let ejected: HashSet<SocketAddr> = ejected
            .take(max_ejected_count)
            .map(|(control, _)| control)
            .collect();
        let changed = failed_ratios
            .iter()
            .filter(|(control, _)| ejected.contains(control) != self.contains(*control));
        let changes = changed.map(|(control, failed_ratio)| OutlierChange {
            service: ServiceName::from(service),
            control: *control,
            is_ejected: ejected.contains(control),
            failed_ratio: *failed_ratio,
            median_ratio,
        });
        let changes = changes.collect();
        self.ejected_controls = ejected;
        changes
    }
}
