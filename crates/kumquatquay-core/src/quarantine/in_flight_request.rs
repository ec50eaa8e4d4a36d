//! A request that a backend server ran when it died.

use std::time::Duration;

use kumquatquay_wire::Fingerprint;

use crate::WorkId;

/// A request that a backend server ran when it died.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InFlightRequest {
    /// The work that it is at this gate.
    pub(crate) work: WorkId,
    /// What identifies it across resends.
    pub(crate) fingerprint: Fingerprint,
    /// When it was handed over, on the monotonic clock.
    pub(crate) started: Duration,
}

/// The requests, each fingerprint once, the one that started last first.
///
/// A request that crashes what runs it mostly does so soon, and not all of them
/// fit into the first datagrams.
pub(crate) fn fingerprints_latest_first(mut in_flight: Vec<InFlightRequest>) -> Vec<Fingerprint> {
    in_flight.sort_by_key(|request| (request.fingerprint, request.started));
    in_flight.reverse();
    in_flight.dedup_by_key(|request| request.fingerprint);
    in_flight.sort_by_key(|request| request.started);
    in_flight.reverse();
    let fingerprints = in_flight.into_iter().map(|request| request.fingerprint);
    fingerprints.collect()
}
