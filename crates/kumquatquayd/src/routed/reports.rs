//! Handlers for reports of the backend server, readiness checks and metrics.

use std::{net::SocketAddr, rc::Rc};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use kumquatquay_core::routed::{LifeReport, LifeState};

use super::{
    backend_death::on_reported_life,
    doubtful_lives::ask_if_doubtful,
    gate_slot::admit_waiting,
    http_io::{BufferedBody, local_answer},
    interface::BackendReport,
    members::announce_backend,
    metrics_text::metrics_text,
    node::RoutedNode,
    reported_shutdowns::{ask_if_other_start, on_own_shutdown, on_reported_shutdown},
};

/// Size limit of a report, in bytes; a report has about 300.
const REPORT_LIMIT_BYTES: usize = 64 * 1024;

/// Part of a backend server's slots that calls of this node may occupy at the same time.
///
/// Some servers slow down when they are nearly full, and health checks and new connections take
/// slots as well. Further calls wait at the gate, where they are ordered.
const USABLE_SLOTS_RATIO: f64 = 0.94;

/// Handles a report of the backend server on this host.
pub(crate) async fn serve_report(
    node: Rc<RoutedNode>,
    request: Request<Incoming>,
) -> Response<BufferedBody> {
    let (parts, body) = request.into_parts();
    let body = match Limited::new(body, REPORT_LIMIT_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return reject_report(&node, format!("the body can't be read: {error}")),
    };
    let report = (node.dialect.read_report)(&parts, &body);
    let applied = match report {
        Ok(report) => apply_report(&node, report).await,
        Err(reason) => Err(ReportRejection::Invalid(reason)),
    };
    match applied {
        Ok(()) => acknowledged(),
        Err(ReportRejection::Invalid(reason)) => reject_report(&node, reason),
        Err(ReportRejection::Unheard) => local_answer(
            StatusCode::SERVICE_UNAVAILABLE,
            None,
            "the host of this backend server is not known\n",
        ),
    }
}

/// Why a report isn't acknowledged.
enum ReportRejection {
    /// It can't come from the backend server on this host.
    Invalid(String),
    /// It is a shutdown notice, and the node that it concerns has not heard of it.
    Unheard,
}

/// Rejects an invalid report, which leaves the known state of the backend server unchanged.
///
/// Only one such report per second is logged, since a sender of invalid reports may send thousands.
fn reject_report(node: &RoutedNode, reason: String) -> Response<BufferedBody> {
    node.metrics.count("report", "refused");
    let second = node.now().as_secs();
    if node.refused_report_second.replace(Some(second)) != Some(second) {
        log::warn!(event = "report_refused"; "{reason}");
    }
    let mut answer = Response::new(Full::new(Bytes::from(reason)));
    *answer.status_mut() = StatusCode::BAD_REQUEST;
    answer
}

fn acknowledged() -> Response<BufferedBody> {
    let mut answer = local_answer(StatusCode::OK, None, "{}");
    let json = http::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    answer
}

/// Applies a report of the state of the backend server; if it leaves, once others keep that.
async fn apply_life_report(
    node: &Rc<RoutedNode>,
    report: LifeReport,
    address: SocketAddr,
) -> Result<(), String> {
    check_origin(node, &report, address)?;
    let (life, is_serving) = (report.life.clone(), report.state == LifeState::Serving);
    if !is_serving {
        on_own_shutdown(node, &life).await;
    }
    let applied = node.lives.borrow_mut().on_report(node.now(), report);
    if applied.map_err(|refusal| refusal.to_string())? {
        on_backend_changed(node);
    }
    if is_serving {
        ask_if_doubtful(node, life);
    } else {
        ask_if_other_start(node, &life);
    }
    Ok(())
}

/// Applies a report.
async fn apply_report(node: &Rc<RoutedNode>, report: BackendReport) -> Result<(), ReportRejection> {
    match report {
        BackendReport::Life { report, address } => {
            let applied = apply_life_report(node, report, address).await;
            applied.map_err(ReportRejection::Invalid)?;
            node.backend_liveness.borrow_mut().on_activity(node.now());
        }
        BackendReport::Leave { life } => {
            if !on_reported_shutdown(node, &life).await {
                return Err(ReportRejection::Unheard);
            }
        }
    }
    Ok(())
}

/// Updates gate and membership after the backend server of this host or its state has changed.
pub(crate) fn on_backend_changed(node: &RoutedNode) {
    on_reported_life(node);
    update_gate_limit(node);
    announce_backend(node);
    admit_waiting(node);
}

/// Checks that a report can come from the backend server on this host: its address is the one to
/// which calls are sent, and its service exists.
fn check_origin(node: &RoutedNode, report: &LifeReport, address: SocketAddr) -> Result<(), String> {
    let own = node.settings.backend;
    if address != own {
        return Err(format!(
            "address: {address} is not {own}, that of this host"
        ));
    }
    let routes = node.routes();
    let is_known = routes.is_none_or(|routes| routes.has_service(&report.service));
    if !is_known && report.service != node.settings.service {
        return Err(format!("service: {:?} is not known", report.service));
    }
    Ok(())
}

fn update_gate_limit(node: &RoutedNode) {
    let lives = node.lives.borrow();
    let slots_count = lives.current().map_or(0, |current| current.slots_count);
    let limit_count = (slots_count as f64 * USABLE_SLOTS_RATIO).floor().max(1.0) as usize;
    node.gate.borrow_mut().set_limit_count(limit_count);
}

/// Handles a readiness check.
pub(crate) async fn serve_readiness(
    node: Rc<RoutedNode>,
    request: Request<Incoming>,
) -> Response<BufferedBody> {
    let (parts, _) = request.into_parts();
    if !(node.dialect.asks_readiness)(&parts) {
        return local_answer(StatusCode::NOT_FOUND, None, "not found\n");
    }
    if can_serve(&node) && !node.is_stopping() {
        local_answer(StatusCode::OK, None, "ready\n")
    } else {
        local_answer(StatusCode::SERVICE_UNAVAILABLE, None, "not ready\n")
    }
}

/// Whether this node can serve callers, including those with keys if any route requires keys.
fn can_serve(node: &RoutedNode) -> bool {
    let Some(table) = node.routes() else {
        return false;
    };
    !table.workspaces().require_keys() || !node.lacks_valid_proof()
}

/// Handles a request for the metrics of the node.
pub(crate) async fn serve_metrics(
    node: Rc<RoutedNode>,
    _request: Request<Incoming>,
) -> Response<BufferedBody> {
    Response::new(Full::new(Bytes::from(metrics_text(&node))))
}
