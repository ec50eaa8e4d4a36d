//! Looks whether the backend server of this host is there when the node starts.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::Full;
use kumquatquay_core::routed::{AdvertisedRateLimit, LifeReport, LifeState, Mechanism};
use kumquatquay_wire::BackendLife;

use super::{node::RoutedNode, reports::on_backend_changed, server_notices::on_health_check_limit};

/// Pauses before the looks. Reports come every second or two, so a few looks in the first
/// second bring a node back to work a second earlier on the mean; each is a small request.
const PAUSES: [Duration; 4] = [
    Duration::from_millis(100),
    Duration::from_millis(150),
    Duration::from_millis(300),
    Duration::from_millis(500),
];

/// How long a look may take; a health check takes some milliseconds.
const LOOK_TIMEOUT: Duration = Duration::from_millis(300);

/// Asks the backend server of this host how it is, until it has told.
///
/// A node is stopped and started again while its backend server goes on, or all nodes are
/// killed at once. Until the next report comes nobody can call that backend server: a
/// service with three of them loses a third of its room for that time, each time.
pub(crate) async fn check_backend_at_start(node: Rc<RoutedNode>) {
    if !node.is_on(Mechanism::InitialHealthCheck) {
        return;
    }
    for pause in PAUSES {
        tokio::time::sleep(pause).await;
        if node.lives.borrow().current().is_some() {
            return;
        }
        let found = tokio::time::timeout(LOOK_TIMEOUT, look(&node)).await;
        if let Ok(Some(found)) = found {
            take(&node, found);
            return;
        }
    }
}

/// What a health check tells of the backend server.
struct Found {
    report: LifeReport,
    limit: AdvertisedRateLimit,
}

fn take(node: &RoutedNode, found: Found) {
    let mut lives = node.lives.borrow_mut();
    if lives.current().is_some() {
        return;
    }
    let life = found.report.life.clone();
    let taken = lives.on_report(node.now(), found.report);
    drop(lives);
    if taken == Ok(true) {
        node.metrics.count("report", "first_look");
        on_backend_changed(node);
        on_health_check_limit(node, &life, found.limit);
    }
}

/// What the backend server's health check tells of it; `None` unless it is well and names
/// itself and its slots.
async fn look(node: &RoutedNode) -> Option<Found> {
    let routes = node.routes()?;
    let service = &node.settings.service;
    let path = routes.health_path(service)?;
    let mut request = Request::get(path).body(Full::<Bytes>::default()).ok()?;
    let host = HeaderValue::from_str(&node.settings.backend.to_string()).ok()?;
    request.headers_mut().insert(header::HOST, host);
    let answer = node.backend.send(request, true).await.ok()?;
    let metadata = (node.dialect.read_answer)(&answer.headers);
    let is_well = answer.status == StatusCode::OK.as_u16() && !metadata.is_leaving;
    answer.return_to_pool(metadata.keep_alive_timeout);
    let instance = metadata.instance.filter(|_| is_well)?;
    let report = LifeReport {
        life: BackendLife::untold(instance),
        service: service.clone(),
        slots_count: metadata.slots_count.filter(|slots| *slots > 0)?,
        state: LifeState::Serving,
        sequence: 0,
        warm_up_left: Duration::ZERO,
    };
    Some(Found {
        report,
        limit: metadata.limit,
    })
}
