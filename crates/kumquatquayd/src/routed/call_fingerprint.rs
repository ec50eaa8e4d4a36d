//! Fingerprints of calls on routes, which stay the same when a caller sends a request again.

use kumquatquay_core::RequestIdentity;
use kumquatquay_wire::{Fingerprint, routed::CallHead};

use super::outgoing_call::OutgoingCall;

/// Fingerprint of a call that arrived at the gate of this host.
pub(super) fn fingerprint_at_gate(call: &CallHead<'_>, body: &[u8]) -> Fingerprint {
    let workspace = call.workspace.unwrap_or_default();
    fingerprint(call.service, call.method, call.target, workspace, body)
}

/// Fingerprint of a call that is about to leave the entry of this host.
pub(super) fn fingerprint_at_entry(call: &OutgoingCall) -> Fingerprint {
    let workspace = call.workspace.as_ref();
    let workspace = workspace.map_or("", |workspace| workspace.name.as_str());
    let body = &call.payload.body;
    fingerprint(&call.service, &call.method, &call.target, workspace, body)
}

/// The service from whose host a request comes is left out: callers send it again at any host.
fn fingerprint(
    service: &str,
    method: &str,
    target: &str,
    workspace: &str,
    body: &[u8],
) -> Fingerprint {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let body_digest = (!body.is_empty()).then(|| *blake3::hash(body).as_bytes());
    let identity = RequestIdentity {
        service,
        method,
        path,
        query,
        caller: workspace,
        body_digest: body_digest.as_ref(),
        idempotency_key: None,
    };
    identity.fingerprint()
}
