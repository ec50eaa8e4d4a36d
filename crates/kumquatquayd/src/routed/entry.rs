//! The entry listener: calls of callers and of the backend server on this host.

use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode, request::Parts};
use http_body_util::{BodyExt, Either, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use kumquatquay_core::routed::{Mechanism, RetryAfter, RouteEntry, request_priority};
use kumquatquay_wire::routed::{
    LinkOutcome, NotRunReason, Payload, RouteSettings, UnknownReason, WorkspaceSettings,
};

use super::{
    admission::{Admission, PendingRequest, admit, refuse_temporarily},
    caller_identity::{Identified, IdentityRefusal, identify, identify_without_waiting},
    forwarding::{OutgoingCall, Progress, forward},
    http_io::{
        BufferedBody, CallerAddress, fields_from_headers, headers_from_fields, local_answer,
    },
    interface::RequestMetadata,
    link_answer::{LinkAnswer, MayHaveRun},
    node::{RoutedNode, StopPhase},
    quotas::{QuotaRefusal, UnspentToken, return_token, take_token},
    request_log::{
        log_over_quota, log_request_end, log_request_rate_limited, log_unidentified, not_run_label,
        unknown_label,
    },
};

/// Time after which a caller is asked to come back while no configuration is known, or none that
/// is proved to be the newest.
const NOT_CONFIGURED_RETRY: Duration = Duration::from_millis(300);

/// The longest body that is copied out of the buffer in which it came.
const COPIED_BODY_BYTES: usize = 4 * 1024;

/// The body of a caller's request: one that comes, or one that is there.
pub(crate) type CallerBody = Either<Incoming, BufferedBody>;

/// Serves one request of a caller.
pub(crate) async fn serve_entry(
    node: Rc<RoutedNode>,
    request: Request<CallerBody>,
) -> Response<BufferedBody> {
    let node = &node;
    let began = node.now();
    let (mut parts, body) = request.into_parts();
    let marks = (node.dialect.read_request)(&parts.headers);
    let identified = match identify(node, &parts, marks.key).await {
        Ok(identified) => identified,
        Err(refusal) => return refuse_unidentified(node, &marks, refusal),
    };
    let table = Arc::clone(&identified.table);
    let route = Arc::clone(&identified.route);
    if is_too_late(node, &route) {
        node.metrics.count("refused", "stopping");
        let retry = Some(retry_after(node, &route.settings));
        return local_answer(StatusCode::SERVICE_UNAVAILABLE, retry, "this node stops\n");
    }
    if table.workspaces().require_keys() {
        // Backend servers and other nodes must not come to know the key.
        (node.dialect.remove_caller_identity)(&mut parts.headers);
    }
    let body = match read_body(body, table.limits().body_limit_bytes).await {
        Ok(body) => body,
        Err(status) => {
            node.metrics.count("refused", "body");
            return local_answer(status, None, "the body is too long or broken\n");
        }
    };
    let token = match &identified.workspace {
        None => None,
        Some(workspace) => {
            let patience = node.startup_wait(&route.settings);
            match take_token(node, workspace, patience).await {
                Ok(token) => token,
                Err(refusal) => {
                    return refuse_over_quota(node, &marks, &route, workspace, refusal);
                }
            }
        }
    };
    let token = UnspentToken::new(node, token);
    let request = ReadRequest {
        parts,
        marks,
        body,
        began,
    };
    let call = match enter(node, &request, identified).await {
        Entered::Admitted(call) => call,
        Entered::Refused(refusal) => return refusal,
    };
    // The HTTP library reads on in the buffer in which its fields lie.
    drop(request);
    let token = token.spend();
    let let_in = node.now();
    let wait = call.deadline.saturating_sub(node.now());
    let carried = tokio::time::timeout(wait, forward(node, &call)).await;
    if carried.as_ref().is_ok_and(LinkAnswer::is_success) {
        let took = node.now().saturating_sub(let_in);
        let mut held = node.held_requests.borrow_mut();
        held.on_answer(&call.route.settings.name, took);
    } else {
        count_failed_call(node, &call);
    }
    let carried = match carried {
        Err(_) if !call.may_have_run.get() => Ok(LinkAnswer::not_run(NotRunReason::Late)),
        carried => carried,
    };
    match carried {
        Ok(answer) => {
            let has_not_run = matches!(answer.outcome, LinkOutcome::NotRun(_));
            if let Some(token) = token.filter(|_| has_not_run) {
                return_token(node, token);
            }
            answer_carried(node, &call, answer, began)
        }
        Err(_) => {
            node.metrics.count("failed", "deadline");
            log_request_rate_limited(node, &call, "failed", "deadline", None, began);
            local_answer(StatusCode::GATEWAY_TIMEOUT, None, "no answer in time\n")
        }
    }
}

/// Whether this node is about to end and takes no new requests.
///
/// One that is taken in the last moment of the grace is cut off when it ends. Calls
/// that backend servers make belong to requests that are under way.
fn is_too_late(node: &RoutedNode, route: &RouteEntry) -> bool {
    if node.stop_phase() == StopPhase::Ending {
        return true;
    }
    let name = &route.settings.name;
    let is_called = node
        .entry_admission
        .borrow()
        .is_from_outside(node.now(), name)
        == Some(false);
    node.stop_phase() == StopPhase::Closing && !is_called
}

/// Answers a request of which it isn't known whose it is, or for which there is no route.
fn refuse_unidentified(
    node: &RoutedNode,
    marks: &RequestMetadata,
    refusal: IdentityRefusal,
) -> Response<BufferedBody> {
    node.metrics.count("refused", refusal.name());
    log_unidentified(node, marks, refusal);
    let may_return = refusal.status() == StatusCode::SERVICE_UNAVAILABLE;
    let retry = may_return.then_some(NOT_CONFIGURED_RETRY);
    local_answer(refusal.status(), retry, refusal.text())
}

/// Answers a request that is beyond the quota of its workspace.
fn refuse_over_quota(
    node: &RoutedNode,
    marks: &RequestMetadata,
    route: &RouteEntry,
    workspace: &WorkspaceSettings,
    refusal: QuotaRefusal,
) -> Response<BufferedBody> {
    let (status, why) = match refusal {
        QuotaRefusal::Over { .. } => (StatusCode::TOO_MANY_REQUESTS, "over_quota"),
        QuotaRefusal::NoKeeper => (StatusCode::SERVICE_UNAVAILABLE, "no_keeper"),
    };
    node.metrics.count("refused", why);
    log_over_quota(node, marks, route, workspace, why, refusal);
    let wait = match refusal {
        QuotaRefusal::Over { wait_ms, .. } => wait_ms.map(u64::from).map(Duration::from_millis),
        QuotaRefusal::NoKeeper => None,
    };
    // Tokens that come sooner are taken by requests that come sooner.
    let retry = retry_after(node, &route.settings).max(wait.unwrap_or_default());
    local_answer(
        status,
        Some(retry),
        "the quota of the workspace is used up\n",
    )
}

/// A call that the backend server of this host made has failed: the run that made it
/// will end without its other calls.
fn count_failed_call(node: &RoutedNode, call: &OutgoingCall) {
    let now = node.now();
    let name = &call.route.settings.name;
    let is_called = node.entry_admission.borrow().is_from_outside(now, name) == Some(false);
    if !is_called {
        return;
    }
    node.run_failures.borrow_mut().call_failed(now);
    if node.is_on(Mechanism::KeptGraph) {
        node.call_graph.borrow_mut().call_failed(now, name);
    }
}

/// A request as it was read.
struct ReadRequest {
    parts: Parts,
    marks: RequestMetadata,
    body: Bytes,
    began: Duration,
}

/// What became of a request that was read.
enum Entered {
    Admitted(OutgoingCall),
    Refused(Response<BufferedBody>),
}

/// Lets a request in, or refuses it; if another configuration comes into force meanwhile, by that.
async fn enter(
    node: &Rc<RoutedNode>,
    request: &ReadRequest,
    mut identified: Identified,
) -> Entered {
    loop {
        let Some(call) = call_of(request, identified) else {
            node.metrics.count("refused", "no_destination");
            let retry = Some(NOT_CONFIGURED_RETRY);
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Entered::Refused(local_answer(status, retry, "no destination\n"));
        };
        let time_left = request.marks.time_left;
        let pending = PendingRequest {
            call: &call,
            began: request.began,
            caller_deadline: time_left.map(|time_left| request.began + time_left),
        };
        match admit(node, &pending).await {
            Admission::Admitted => return Entered::Admitted(call),
            Admission::Refused(refusal) => return Entered::Refused(refusal),
            Admission::ConfigurationChanged => {}
        }
        identified = match identify_without_waiting(node, &request.parts, request.marks.key) {
            Ok(identified) => identified,
            Err(refusal) => {
                // It was allowed when it came. Its caller finds out when it comes back.
                node.metrics.count("refused", refusal.name());
                let refusal = refuse_temporarily(node, &call, refusal.text());
                return Entered::Refused(refusal);
            }
        };
    }
}

/// The call that a request is for; `None` if its route leads nowhere.
fn call_of(request: &ReadRequest, identified: Identified) -> Option<OutgoingCall> {
    let Identified {
        table,
        route,
        workspace,
    } = identified;
    let service = route.split.next().cloned()?;
    let parts = &request.parts;
    let marks = &request.marks;
    let caller = parts
        .extensions
        .get::<CallerAddress>()
        .map(|caller| caller.0);
    Some(OutgoingCall {
        caller,
        service,
        version: table.version(),
        request_priority: Cell::new(request_priority(&route.settings, workspace.as_deref())),
        workspace,
        deadline: deadline_of(&route, marks, request.began),
        attempt: marks.attempt_id.clone().unwrap_or_default(),
        method: String::from(parts.method.as_str()),
        target: target_of(parts),
        payload: Payload {
            fields: fields_from_headers(&parts.headers),
            body: request.body.clone(),
        },
        route,
        progress: Cell::new(Progress::default()),
        may_have_run: MayHaveRun::default(),
    })
}

fn target_of(parts: &Parts) -> String {
    let target = parts.uri.path_and_query();
    target.map_or_else(|| String::from("/"), ToString::to_string)
}

/// The moment at which the caller has its answer or is told that there is none.
fn deadline_of(route: &RouteEntry, marks: &RequestMetadata, began: Duration) -> Duration {
    let timeout = route.settings.timeout;
    began + marks.time_left.map_or(timeout, |left| left.min(timeout))
}

async fn read_body(body: CallerBody, limit_bytes: usize) -> Result<Bytes, StatusCode> {
    match Limited::new(body, limit_bytes).collect().await {
        Ok(body) => Ok(apart(body.to_bytes())),
        Err(error) if error.is::<LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Err(_) => Err(StatusCode::BAD_REQUEST),
    }
}

/// A short body is copied, so that the buffer in which it came is free again; a connection would
/// take another one for as long as the call lasts.
fn apart(body: Bytes) -> Bytes {
    if body.len() > COPIED_BODY_BYTES {
        return body;
    }
    Bytes::copy_from_slice(&body)
}

fn answer_carried(
    node: &RoutedNode,
    call: &OutgoingCall,
    answer: LinkAnswer,
    began: Duration,
) -> Response<BufferedBody> {
    match &answer.outcome {
        LinkOutcome::Answered { status } => {
            let latency = node.now().saturating_sub(began);
            node.metrics.record_served(latency);
            if node.metrics.take_sampled_log_permit(node.now()) {
                log_request_end(node, call, &answer, "served", began);
            }
            let mut response = Response::new(Full::new(answer.payload.body));
            *response.status_mut() =
                StatusCode::from_u16(*status).unwrap_or(StatusCode::BAD_GATEWAY);
            *response.headers_mut() = headers_from_fields(&answer.payload.fields, 0);
            response
        }
        LinkOutcome::NotRun(reason) => {
            node.metrics.count("refused", not_run_label(*reason));
            log_request_end(node, call, &answer, "refused", began);
            let retry = Some(retry_after(node, &call.route.settings));
            local_answer(StatusCode::SERVICE_UNAVAILABLE, retry, "no room\n")
        }
        LinkOutcome::Unknown(UnknownReason::NoAnswer) => {
            node.metrics
                .count("failed", unknown_label(UnknownReason::NoAnswer));
            log_request_end(node, call, &answer, "failed", began);
            local_answer(StatusCode::GATEWAY_TIMEOUT, None, "no answer in time\n")
        }
        LinkOutcome::Unknown(reason) => {
            node.metrics.count("failed", unknown_label(*reason));
            log_request_end(node, call, &answer, "failed", began);
            local_answer(StatusCode::BAD_GATEWAY, None, "no whole answer\n")
        }
    }
}

/// When a caller should come back that wasn't refused for a shortage of which more is known.
pub(super) fn retry_after(node: &RoutedNode, route: &RouteSettings) -> Duration {
    let returns = RetryAfter::without_shortage(route.target_latency);
    returns.sample(&mut *node.random.borrow_mut())
}
