//! Asking the system for the id of an operation.

use std::net::SocketAddr;

use bytes::Bytes;
use eyre::ensure;
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use kumquatquay_standins::headers;
use serde::Deserialize;

use super::caller::HttpClient;

/// Longest answer that is read.
const ANSWER_LIMIT_BYTES: usize = 16 * 1024;

#[derive(Deserialize)]
struct IssuedOperation {
    operation: String,
}

/// Asks an entry for an id.
pub(crate) async fn issue_operation(
    client: &HttpClient,
    entry: SocketAddr,
    caller: &str,
) -> eyre::Result<String> {
    let request = Request::post(format!("http://{entry}/operations"))
        .header(headers::CALLER, caller)
        .body(Full::new(Bytes::new()))?;
    let answer = client.request(request).await?;
    ensure!(answer.status().is_success(), "status {}", answer.status());
    let body = Limited::new(answer.into_body(), ANSWER_LIMIT_BYTES);
    let body = body.collect().await.map_err(|error| eyre::eyre!(error))?;
    let issued: IssuedOperation = serde_json::from_slice(&body.to_bytes())?;
    Ok(issued.operation)
}
