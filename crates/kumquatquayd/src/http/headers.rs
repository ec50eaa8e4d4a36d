//! Names of headers, and which of them pass through.

use http::{HeaderMap, HeaderName, HeaderValue, header};

/// Names the service that is called.
pub(crate) const SERVICE: &str = "kumquatquay-service";
/// Names the caller, with a proof where the mesh has a secret.
pub(crate) const CALLER: &str = "kumquatquay-caller";
/// Time that the caller allows, in milliseconds.
pub(crate) const TIMEOUT_MS: &str = "kumquatquay-timeout-ms";
/// The caller's own key of a non-idempotent operation.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// An operation id issued by a node.
pub(crate) const OPERATION: &str = "kumquatquay-operation";
/// Marks a resend by the caller.
pub(crate) const RESEND: &str = "kumquatquay-resend";
/// Says whether a request ran.
pub(crate) const OUTCOME: &str = "kumquatquay-outcome";
/// A backend server's statement that it did not run a request.
pub(crate) const NOT_RUN: &str = "kumquatquay-not-run";
/// Carries the caller's `Host` from node to node.
pub(crate) const HOST_BETWEEN_NODES: &str = "kumquatquay-host";

/// What all headers of the system begin with.
const OWN_PREFIX: &str = "kumquatquay-";

/// Headers that concern one connection only (RFC 9110, section 7.6.1).
const CONNECTION_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Whether a header belongs to the system.
fn is_own_header(name: &HeaderName) -> bool {
    name.as_str().starts_with(OWN_PREFIX)
}

/// The headers that pass through: all but the system's and the connection's.
///
/// Headers of the system from outside would be believed by the next node, and
/// those in a backend server's answer may be its child's: a parent that ran and
/// passes on its child's `not-run` must not look as if it had not run.
pub(crate) fn forward_headers(headers: &HeaderMap) -> HeaderMap {
    let options = connection_options(headers);
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !is_for_connection(name, &options) && !is_own_header(name) && name != header::HOST {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Whether a header concerns one connection only; `options` are those that the message
/// names as such.
pub(crate) fn is_for_connection(name: &HeaderName, options: &[String]) -> bool {
    CONNECTION_HEADERS.contains(name)
        || name.as_str() == "keep-alive"
        || name.as_str() == "proxy-connection"
        || options.iter().any(|option| option == name.as_str())
}

/// The headers that a message names as those of its connection.
pub(crate) fn connection_options(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|option| option.trim().to_ascii_lowercase())
        .collect()
}

/// A header's value, if it is text.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).map(HeaderValue::to_str)?.ok()
}
