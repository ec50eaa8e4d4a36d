//! Health check of the backend server of this host.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::Full;
use kumquatquay_core::routed::AdvertisedRateLimit;
use kumquatquay_wire::InstanceId;

use super::{backend_pool::PooledRequest, node::RoutedNode};

/// Timeout of a check, which takes a few milliseconds.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Answer of the backend server to a health check.
pub(crate) struct HealthAnswer {
    /// Whether it accepts calls and isn't leaving.
    pub(crate) is_healthy: bool,
    /// Its id, if it states one.
    pub(crate) instance: Option<InstanceId>,
    /// Calls that it runs concurrently, if it states that.
    pub(crate) slots_count: Option<usize>,
    /// Rate limit that it advertises.
    pub(crate) limit: AdvertisedRateLimit,
}

/// Checks the health of the backend server once. Returns `None` if it gives no answer in time, or
/// no configuration tells yet how to ask it.
pub(crate) async fn check_health(node: &RoutedNode) -> Option<HealthAnswer> {
    let asked = tokio::time::timeout(CHECK_TIMEOUT, ask(node)).await;
    asked.ok().flatten()
}

/// Whether the backend server passes a health check under this id.
pub(crate) async fn is_healthy(node: &RoutedNode, instance: &str) -> bool {
    let answer = check_health(node).await;
    let healthy = answer.filter(|answer| answer.is_healthy);
    let answered = healthy.and_then(|answer| answer.instance);
    answered.is_some_and(|answered| answered == instance)
}

async fn ask(node: &RoutedNode) -> Option<HealthAnswer> {
    let routes = node.routes()?;
    let path = routes.health_path(&node.settings.service)?;
    let mut request = Request::get(path).body(Full::<Bytes>::default()).ok()?;
    let host = HeaderValue::from_str(&node.settings.backend.to_string()).ok()?;
    request.headers_mut().insert(header::HOST, host);
    let pooled = PooledRequest {
        attempt: None,
        is_idempotent: true,
    };
    let answer = node.backend.send(request, pooled).await.ok()?;
    let metadata = (node.dialect.read_answer)(&answer.headers);
    if !metadata.is_for(pooled.attempt) {
        node.metrics.count("garbled", "other_request");
        answer.close_connection();
        return None;
    }
    let is_healthy = answer.status == StatusCode::OK.as_u16() && !metadata.is_leaving;
    answer.return_to_pool(metadata.keep_alive_timeout);
    Some(HealthAnswer {
        is_healthy,
        instance: metadata.instance,
        slots_count: metadata.slots_count,
        limit: metadata.limit,
    })
}
