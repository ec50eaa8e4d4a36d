//! Finds the backend servers of a service that fail more than the others.

use std::{collections::HashSet, net::SocketAddr};

use kumquatquay_wire::ServiceName;

/// Share of failed runs, beyond that of the middle one of its service, from which on a
/// backend server is left nearly alone, and below which it is called again.
const OUT_RATIO: f64 = 0.2;
const BACK_RATIO: f64 = 0.1;

/// One of so many backend servers of a service may be left nearly alone; one of fewer, too.
const LEFT_ALONE_ONE_OF: usize = 3;

/// A backend server is left nearly alone from now on, or called again.
#[derive(Clone, Debug, PartialEq)]
pub struct OutlierChange {
    /// Its service.
    pub service: ServiceName,
    /// Control address of the node beside it.
    pub control: SocketAddr,
    /// Whether it is left nearly alone.
    pub is_ejected: bool,
    /// Share of its last runs that failed by its own doing.
    pub failed_ratio: f64,
    /// That of the middle one of its service.
    pub median_ratio: f64,
}

/// The backend servers of one service that fail far more runs than the others.
///
/// A run of eight calls needs all of them: with one server of eight failing each call, a third
/// of such runs is left. Where all fail alike the cause isn't theirs, and the others
/// couldn't carry their load: so one of three at the most is left out, and only for what it
/// fails beyond the middle one.
#[derive(Debug, Default)]
pub(super) struct OutlierDetector {
    controls: HashSet<SocketAddr>,
}

impl OutlierDetector {
    pub(super) fn contains(&self, control: SocketAddr) -> bool {
        self.controls.contains(&control)
    }

    /// Takes in the share of failed runs of each backend server of the service; what changes.
    pub(super) fn refresh(
        &mut self,
        service: &str,
        told: &[(SocketAddr, f64)],
    ) -> Vec<OutlierChange> {
        let mut worst_first = told.to_vec();
        worst_first.sort_by(|a, b| b.1.total_cmp(&a.1));
        let Some((_, middle_ratio)) = worst_first.get(told.len() / 2).copied() else {
            self.controls.clear();
            return Vec::new();
        };
        let limit_count = match told.len() {
            0 | 1 => 0,
            count => (count / LEFT_ALONE_ONE_OF).max(1),
        };
        let out = worst_first.into_iter().filter(|(control, ratio)| {
            let beyond = ratio - middle_ratio;
            beyond >= OUT_RATIO || (beyond >= BACK_RATIO && self.contains(*control))
        });
        let out: HashSet<SocketAddr> = out.take(limit_count).map(|(control, _)| control).collect();
        let changed = told
            .iter()
            .filter(|(control, _)| out.contains(control) != self.contains(*control));
        let changes = changed.map(|(control, failed_ratio)| OutlierChange {
            service: ServiceName::from(service),
            control: *control,
            is_ejected: out.contains(control),
            failed_ratio: *failed_ratio,
            median_ratio: middle_ratio,
        });
        let changes = changes.collect();
        self.controls = out;
        changes
    }
}
