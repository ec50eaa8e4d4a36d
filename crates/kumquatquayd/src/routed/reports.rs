//! Listeners for reports of the backend server, for readiness and for metrics.

use std::rc::Rc;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use super::{
    http_io::{WholeBody, own_answer},
    interface::BackendReport,
    members::announce,
    metrics_text::metrics_text,
    node::{RoutedNode, StopPhase},
    run_here::admit_waiting,
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
) -> Response<WholeBody> {
    let (parts, body) = request.into_parts();
    let body = match Limited::new(body, REPORT_LIMIT_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return bad_report(format!("the body can't be read: {error}")),
    };
    match (node.dialect.read_report)(&parts, &body) {
        Ok(report) => take_report(&node, report),
        Err(reason) => bad_report(reason),
    }
}

fn bad_report(reason: String) -> Response<WholeBody> {
    log::warn!(event = "report_refused"; "{reason}");
    let mut answer = Response::new(Full::new(Bytes::from(reason)));
    *answer.status_mut() = StatusCode::BAD_REQUEST;
    answer
}

fn take_report(node: &RoutedNode, report: BackendReport) -> Response<WholeBody> {
    let now = node.now();
    node.pulse.borrow_mut().sign(now);
    let is_change = match report {
        BackendReport::Life(life) => node.lives.borrow_mut().on_report(now, life),
        BackendReport::Leave { instance } => node.lives.borrow_mut().on_leave(now, &instance),
    };
    if is_change {
        set_limit(node);
        announce(node);
        admit_waiting(node);
    }
    let mut answer = own_answer(StatusCode::OK, None, "{}");
    let json = http::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    answer
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
) -> Response<WholeBody> {
    let (parts, _) = request.into_parts();
    if !(node.dialect.asks_readiness)(&parts) {
        return own_answer(StatusCode::NOT_FOUND, None, "not found\n");
    }
    let is_configured = node.routes.borrow().is_some();
    if is_configured && node.stop_phase() == StopPhase::Serving {
        own_answer(StatusCode::OK, None, "ready\n")
    } else {
        own_answer(StatusCode::SERVICE_UNAVAILABLE, None, "not ready\n")
    }
}

/// Serves the node's metrics as text.
pub(crate) async fn serve_metrics(
    node: Rc<RoutedNode>,
    _request: Request<Incoming>,
) -> Response<WholeBody> {
    Response::new(Full::new(Bytes::from(metrics_text(&node))))
}
