//! Requests that a backend server was running when it died.

use std::time::Duration;

use kumquatquay_wire::Fingerprint;

use crate::WorkId;

/// A request that a backend server was running when it died.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InFlightRequest {
    /// Its id at this gate.
    pub(crate) work: WorkId,
    /// Its fingerprint, the same for resends.
    pub(crate) fingerprint: Fingerprint,
    /// When it was sent to the backend server, on the monotonic clock.
    pub(crate) started: Duration,
    /// Whether it ran as the only one of a suspect there.
    pub(crate) is_isolated: bool,
}

/// Distinct fingerprints of the requests, the one that started last first.
///
/// A request that crashes its backend server mostly does so soon after its start, and not all
/// fingerprints fit into the first datagrams.
pub(crate) fn fingerprints_latest_first(mut in_flight: Vec<InFlightRequest>) -> Vec<Fingerprint> {
    in_flight.sort_by_key(|request| (request.fingerprint, request.started));
    in_flight.reverse();
    in_flight.dedup_by_key(|request| request.fingerprint);
    in_flight.sort_by_key(|request| request.started);
    in_flight.reverse();
    let fingerprints = in_flight.into_iter().map(|request| request.fingerprint);
    fingerprints.collect()
}
