//! Health checks of the backend server of this host while the node starts.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::Full;
use kumquatquay_core::routed::{AdvertisedRateLimit, LifeReport, LifeState, Mechanism};
use kumquatquay_wire::BackendLife;

use super::{node::RoutedNode, reports::on_backend_changed, server_notices::on_health_check_limit};

/// Pauses before the checks. Backend servers report every second or two, so a few checks in the
/// first second make a node operational one second earlier on average. Each is a small request.
const CHECK_PAUSES: [Duration; 4] = [
    Duration::from_millis(100),
    Duration::from_millis(150),
    Duration::from_millis(300),
    Duration::from_millis(500),
];

/// Timeout of a check, which takes a few milliseconds.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Checks the health of the backend server a few times, until the node knows its state.
///
/// A node may be restarted while its backend server keeps running, or all nodes may be killed at
/// once. Until the next report arrives, no calls reach that backend server: a service with three of
/// them loses a third of its capacity for that time.
pub(crate) async fn check_backend_at_start(node: Rc<RoutedNode>) {
    if !node.is_on(Mechanism::InitialHealthCheck) {
        return;
    }
    for pause in CHECK_PAUSES {
        tokio::time::sleep(pause).await;
        if node.lives.borrow().current().is_some() {
            return;
        }
        let healthy = tokio::time::timeout(CHECK_TIMEOUT, check(&node)).await;
        if let Ok(Some(healthy)) = healthy {
            apply(&node, healthy);
            return;
        }
    }
}

/// Result of a successful health check.
struct HealthyBackend {
    report: LifeReport,
    limit: AdvertisedRateLimit,
}

fn apply(node: &RoutedNode, healthy: HealthyBackend) {
    let mut lives = node.lives.borrow_mut();
    if lives.current().is_some() {
        return;
    }
    let life = healthy.report.life.clone();
    let applied = lives.on_report(node.now(), healthy.report);
    drop(lives);
    if applied == Ok(true) {
        node.metrics.count("report", "first_look");
        on_backend_changed(node);
        on_health_check_limit(node, &life, healthy.limit);
    }
}

/// Performs a health check. Returns `None` unless the backend server is healthy and states its
/// instance id and its slots.
async fn check(node: &RoutedNode) -> Option<HealthyBackend> {
    let routes = node.routes()?;
    let service = &node.settings.service;
    let path = routes.health_path(service)?;
    let mut request = Request::get(path).body(Full::<Bytes>::default()).ok()?;
    let host = HeaderValue::from_str(&node.settings.backend.to_string()).ok()?;
    request.headers_mut().insert(header::HOST, host);
    let answer = node.backend.send(request, true).await.ok()?;
    let metadata = (node.dialect.read_answer)(&answer.headers);
    let is_healthy = answer.status == StatusCode::OK.as_u16() && !metadata.is_leaving;
    answer.return_to_pool(metadata.keep_alive_timeout);
    let instance = metadata.instance.filter(|_| is_healthy)?;
    let report = LifeReport {
        life: BackendLife::without_start(instance),
        service: service.clone(),
        slots_count: metadata.slots_count.filter(|slots| *slots > 0)?,
        state: LifeState::Serving,
        sequence: 0,
        warm_up_left: Duration::ZERO,
    };
    Some(HealthyBackend {
        report,
        limit: metadata.limit,
    })
}
