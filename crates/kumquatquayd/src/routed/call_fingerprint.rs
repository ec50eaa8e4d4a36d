//! Fingerprints of calls on routes, which stay the same when a caller sends a request again.

use kumquatquay_core::RequestIdentity;
use kumquatquay_wire::{
    Fingerprint,
    routed::{CallHead, Fields, Payload},
};

use super::outgoing_call::OutgoingCall;

/// Name of the field that names the host in the URL of a request.
const HOST_FIELD: &str = "host";

/// Fingerprint of a call that arrived at the gate of this host.
pub(super) fn fingerprint_at_gate(call: &CallHead<'_>, payload: &Payload) -> Fingerprint {
    let workspace = call.workspace.unwrap_or_default();
    fingerprint(call.method, call.target, workspace, payload)
}

/// Fingerprint of a call that is about to leave the entry of this host.
pub(super) fn fingerprint_at_entry(call: &OutgoingCall) -> Fingerprint {
    let workspace = call.workspace.as_ref();
    let workspace = workspace.map_or("", |workspace| workspace.name.as_str());
    fingerprint(&call.method, &call.target, workspace, &call.payload)
}

/// The service and the route are left out, as is the service from whose host a request comes: a route is
/// split over services and moved between them, and callers send a request again at any host.
fn fingerprint(method: &str, target: &str, workspace: &str, payload: &Payload) -> Fingerprint {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let body = &payload.body;
    let body_digest = (!body.is_empty()).then(|| *blake3::hash(body).as_bytes());
    let identity = RequestIdentity {
        destination: &host_of(&payload.fields),
        method,
        path,
        query,
        caller: workspace,
        body_digest: body_digest.as_ref(),
        idempotency_key: None,
    };
    identity.fingerprint()
}

/// Host that a request names, as routes are matched: without its port, in lower case.
fn host_of(fields: &Fields) -> String {
    let field = fields
        .iter()
        .find(|field| field.name.eq_ignore_ascii_case(HOST_FIELD.as_bytes()));
    let value = field.map(|field| field.value).unwrap_or_default();
    let host = String::from_utf8_lossy(&value);
    let name = host.split_once(':').map_or(&*host, |(name, _port)| name);
    name.to_ascii_lowercase()
}
