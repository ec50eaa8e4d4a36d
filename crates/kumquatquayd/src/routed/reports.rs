//! Listeners for reports of the backend server, for readiness and for metrics.

use std::{net::SocketAddr, rc::Rc};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use kumquatquay_core::routed::LifeReport;

use super::{
    http_io::{BufferedBody, local_answer},
    interface::BackendReport,
    local_run::admit_waiting,
    members::announce_backend,
    metrics_text::metrics_text,
    node::{RoutedNode, StopPhase},
};

/// The longest report, in bytes; one has some 300.
const REPORT_LIMIT_BYTES: usize = 64 * 1024;

/// Part of a backend server's slots that calls of this node fill at the same time.
///
/// Some slow down when they are nearly full, and probes and new connections take
/// slots as well; the rest waits at the gate, where it is ordered.
const SLOTS_RATIO: f64 = 0.94;

/// Serves a report of the backend server on this host.
pub(crate) async fn serve_report(
    node: Rc<RoutedNode>,
    request: Request<Incoming>,
) -> Response<BufferedBody> {
    let (parts, body) = request.into_parts();
    let body = match Limited::new(body, REPORT_LIMIT_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return bad_report(&node, format!("the body can't be read: {error}")),
    };
    let report = (node.dialect.read_report)(&parts, &body);
    match report.and_then(|report| take_report(&node, report)) {
        Ok(()) => acknowledged(),
        Err(reason) => bad_report(&node, reason),
    }
}

/// Refuses a report that can't be used; the backend server that is known holds.
///
/// Whoever writes such reports may write thousands: a line a second tells of them.
fn bad_report(node: &RoutedNode, reason: String) -> Response<BufferedBody> {
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

/// Takes in a report.
///
/// # Errors
///
/// Why it can't be of the backend server on this host.
fn take_report(node: &RoutedNode, report: BackendReport) -> Result<(), String> {
    let now = node.now();
    let is_change = match report {
        BackendReport::Life { report, address } => {
            check_origin(node, &report, address)?;
            let change = node.lives.borrow_mut().on_report(now, report);
            change.map_err(|refusal| refusal.to_string())?
        }
        BackendReport::Leave { life } => node.lives.borrow_mut().on_leave(now, &life),
    };
    node.backend_liveness.borrow_mut().on_activity(now);
    if is_change {
        on_backend_changed(node);
    }
    Ok(())
}

/// The backend server of this host is another one, or in another state.
pub(crate) fn on_backend_changed(node: &RoutedNode) {
    set_limit(node);
    announce_backend(node);
    admit_waiting(node);
}

/// Whether a report can be of the backend server on this host: it stands at the address
/// that calls go to, and belongs to a service that there is.
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

fn set_limit(node: &RoutedNode) {
    let lives = node.lives.borrow();
    let slots_count = lives.current().map_or(0, |current| current.slots_count);
    let limit_count = (slots_count as f64 * SLOTS_RATIO).floor().max(1.0) as usize;
    node.gate.borrow_mut().set_limit_count(limit_count);
}

/// Serves the question whether this node is ready for callers.
pub(crate) async fn serve_readiness(
    node: Rc<RoutedNode>,
    request: Request<Incoming>,
) -> Response<BufferedBody> {
    let (parts, _) = request.into_parts();
    if !(node.dialect.asks_readiness)(&parts) {
        return local_answer(StatusCode::NOT_FOUND, None, "not found\n");
    }
    if can_serve(&node) && node.stop_phase() == StopPhase::Serving {
        local_answer(StatusCode::OK, None, "ready\n")
    } else {
        local_answer(StatusCode::SERVICE_UNAVAILABLE, None, "not ready\n")
    }
}

/// Whether callers are served here: those with keys too, where there are any.
fn can_serve(node: &RoutedNode) -> bool {
    let Some(table) = node.routes() else {
        return false;
    };
    !table.workspaces().require_keys() || !node.lacks_valid_proof()
}

/// Serves the node's metrics as text.
pub(crate) async fn serve_metrics(
    node: Rc<RoutedNode>,
    _request: Request<Incoming>,
) -> Response<BufferedBody> {
    Response::new(Full::new(Bytes::from(metrics_text(&node))))
}
