//! Answers that a node gives itself.

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode, header};
use kumquatquay_core::{Refusal, RefusalReason};
use kumquatquay_wire::Outcome;
use serde::Serialize;

use super::{
    body::{RelayBody, whole},
    headers::OUTCOME,
};

/// Names the reason of a refusal.
const REASON: &str = "kumquatquay-reason";

/// When to come back, in milliseconds.
const RETRY_AFTER_MS: &str = "kumquatquay-retry-after-ms";

/// Copies what another node said of its refusal; headers of the same names in
/// a backend server's answer were taken out by the node on its host.
pub(crate) fn copy_refusal_headers(from: &HeaderMap, to: &mut HeaderMap) {
    for name in [REASON, RETRY_AFTER_MS] {
        if let Some(value) = from.get(name) {
            to.insert(name, value.clone());
        }
    }
}

/// Body of a refusal, as JSON.
#[derive(Serialize)]
struct RefusalBody<'a> {
    reason: RefusalReason,
    outcome: Outcome,
    detail: &'a str,
    retry_after_ms: Option<u64>,
}

/// The answer for a refusal.
pub(crate) fn refusal_response(refusal: &Refusal) -> Response<RelayBody> {
    let retry_after_ms = refusal.retry_after.map(|after| after.as_millis() as u64);
    let body = RefusalBody {
        reason: refusal.reason,
        outcome: refusal.outcome,
        detail: &refusal.detail,
        retry_after_ms,
    };
    let mut builder = Response::builder()
        .status(status_of(refusal.reason))
        .header(header::CONTENT_TYPE, "application/json")
        .header(OUTCOME, refusal.outcome.to_string())
        .header(REASON, refusal.reason.to_string());
    if let Some(after_ms) = retry_after_ms {
        builder = builder
            .header(header::RETRY_AFTER, after_ms.div_ceil(1_000).to_string())
            .header(RETRY_AFTER_MS, after_ms.to_string());
    }
    let text = serde_json::to_vec(&body).expect("a refusal always encodes");
    builder
        .body(whole(Bytes::from(text)))
        .expect("the headers of a refusal are valid")
}

/// The HTTP status for a reason.
fn status_of(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::CallerLimit => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        RefusalReason::Broken => StatusCode::BAD_GATEWAY,
        RefusalReason::OperationInvalid => StatusCode::BAD_REQUEST,
        RefusalReason::OperationConflict => StatusCode::UNPROCESSABLE_ENTITY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// A short answer in JSON or plain text to a request that has not run.
pub(crate) fn plain_response(
    status: StatusCode,
    content_type: &'static str,
    text: impl Into<Bytes>,
) -> Response<RelayBody> {
    own_response(status, content_type, text, Outcome::NotRun)
}

/// A short answer in plain text to a request that may have run.
pub(crate) fn lost_response(status: StatusCode, text: &'static str) -> Response<RelayBody> {
    own_response(status, "text/plain", text, Outcome::Unknown)
}

fn own_response(
    status: StatusCode,
    content_type: &'static str,
    text: impl Into<Bytes>,
    outcome: Outcome,
) -> Response<RelayBody> {
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, content_type)
        .header(OUTCOME, outcome.to_string())
        .body(whole(text.into()))
        .expect("the headers of an own answer are valid")
}
