//! What a request says about itself in its head.

use std::time::Duration;

use http::{HeaderMap, Uri, header};
use kumquatquay_wire::{CallerProof, MeshKey, ServiceName};

use crate::http::{CALLER, SERVICE, TIMEOUT_MS, header_text};

/// The longest time that a caller can ask for.
const TIME_ALLOWED_LIMIT: Duration = Duration::from_secs(600);

/// Host names that mean the node itself.
const NODE_HOSTS: [&str; 2] = ["localhost", "kumquatquay"];

/// The service that is called: named by header, else the first label of the host.
pub(crate) fn service_of(uri: &Uri, headers: &HeaderMap) -> Option<ServiceName> {
    if let Some(name) = header_text(headers, SERVICE) {
        return Some(String::from(name));
    }
    let host = uri
        .host()
        .or_else(|| header_text(headers, header::HOST.as_str()))?;
    let label = host.split(['.', ':']).next()?;
    let is_name = label.starts_with(|first: char| first.is_ascii_alphabetic());
    let is_service = is_name && !NODE_HOSTS.contains(&label);
    is_service.then(|| String::from(label))
}

/// The host that the caller asked for, for the backend server.
pub(crate) fn host_of(uri: &Uri, headers: &HeaderMap) -> Option<String> {
    let authority = uri.authority().map(http::uri::Authority::as_str);
    authority
        .or_else(|| header_text(headers, header::HOST.as_str()))
        .map(String::from)
}

/// The caller's name; empty if it is not proved where a proof is needed.
pub(crate) fn caller_of(headers: &HeaderMap, key: Option<&MeshKey>) -> String {
    let text = header_text(headers, CALLER).unwrap_or_default();
    let Some(key) = key else {
        return String::from(text);
    };
    match CallerProof::split(text) {
        Some((name, proof)) if CallerProof::check(key, name, proof) => String::from(name),
        _ => String::new(),
    }
}

/// Time that the caller allows.
pub(crate) fn time_allowed_of(headers: &HeaderMap) -> Option<Duration> {
    let allowed_ms = header_text(headers, TIMEOUT_MS)?.parse().ok()?;
    Some(Duration::from_millis(allowed_ms).min(TIME_ALLOWED_LIMIT))
}
