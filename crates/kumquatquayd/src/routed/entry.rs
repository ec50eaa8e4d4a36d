//! Serves the entry listener: requests of callers and calls of the backend server on this host.

use std::{
    cell::{Cell, OnceCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, StatusCode, request::Parts};
use http_body_util::{Either, Full};
use kumquatquay_core::routed::{BodyKind, Mechanism, RetryAfter, RouteEntry, request_priority};
use kumquatquay_wire::routed::{
    LinkOutcome, NotRunReason, Payload, RouteSettings, UnknownReason, WorkspaceSettings,
};
use tokio::time::timeout;

use super::{
    admission::{Admission, PendingRequest, admit, is_internal, refuse_temporarily, trace},
    body_reader::{BodyReadError, read_whole_body},
    caller_identity::{Identified, IdentityRefusal, identify, identify_without_waiting},
    crash_guard::{QUARANTINE_RETRY_AFTER, is_quarantined, may_run_elsewhere, quarantined},
    forwarding::forward,
    http_io::{
        BufferedBody, CallerAddress, fields_from_headers, headers_from_fields, local_answer,
    },
    interface::RequestMetadata,
    link_answer::{LinkAnswer, MayHaveRun},
    node::{RoutedNode, StopPhase},
    outgoing_call::{OutgoingCall, Progress},
    quotas::{QuotaRefusal, UnspentToken, return_token, take_token},
    received_body::ReceivedBody,
    request_log::{
        log_over_quota, log_request_end, log_request_rate_limited, log_unidentified, not_run_label,
        unknown_label,
    },
};

/// Retry-After of a refusal for which no route gives one: while no configuration is known, or none that is
/// proved to be the newest, and at the end of a shutdown.
const UNROUTED_RETRY: Duration = Duration::from_millis(300);

/// The body of a caller's request: still being received, or already in memory.
pub(crate) type CallerBody = Either<ReceivedBody, BufferedBody>;

/// Serves one request: admits it, forwards it and returns the response. Whatever the request waits for, it gets
/// its final answer when the grace period of a shutdown is used up.
pub(crate) async fn serve_entry(
    node: Rc<RoutedNode>,
    request: Request<CallerBody>,
) -> Response<BufferedBody> {
    let may_have_run = MayHaveRun::default();
    tokio::select! {
        biased;
        answer = serve_request(&node, request, &may_have_run) => answer,
        () = node.grace_used_up() => final_answer(&node, &may_have_run),
    }
}

/// The answer to a request that is still in progress when the grace period of a shutdown is used up.
fn final_answer(node: &RoutedNode, may_have_run: &MayHaveRun) -> Response<BufferedBody> {
    if may_have_run.get() {
        node.metrics.count("failed", "stopping");
        let text = "no answer before this node stops\n";
        return local_answer(StatusCode::GATEWAY_TIMEOUT, None, text);
    }
    node.metrics.count("refused", "stopping");
    let status = StatusCode::SERVICE_UNAVAILABLE;
    local_answer(status, Some(UNROUTED_RETRY), "this node stops\n")
}

async fn serve_request(
    node: &Rc<RoutedNode>,
    request: Request<CallerBody>,
    may_have_run: &MayHaveRun,
) -> Response<BufferedBody> {
    let received_at = node.now();
    let (mut parts, body) = request.into_parts();
    let metadata = (node.dialect.read_request)(&parts.headers);
    let may_be_of_repeated_run = on_received(node, &metadata);
    let identified = match identify(node, &parts, metadata.key).await {
        Ok(identified) => identified,
        Err(refusal) => return refuse_unidentified(node, &metadata, refusal),
    };
    let table = Arc::clone(&identified.table);
    let route = Arc::clone(&identified.route);
    if is_refused_for_shutdown(node, &route) {
        node.metrics.count("refused", "stopping");
        let retry = Some(retry_after(node, &route.settings));
        return local_answer(StatusCode::SERVICE_UNAVAILABLE, retry, "this node stops\n");
    }
    if table.workspaces().require_keys() {
        // Backend servers and other nodes must not see the key.
        (node.dialect.remove_caller_identity)(&mut parts.headers);
    }
    let limit_bytes = table.limits().body_limit_bytes;
    let body = read_whole_body(body, BodyKind::Request, limit_bytes, &node.memory);
    // Otherwise a caller who stops in the middle of a body has the node keep its memory.
    let deadline = deadline_of(&route, &metadata, received_at);
    let body = match timeout(deadline.saturating_sub(node.now()), body).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => return refuse_body(node, &route, error),
        Err(_elapsed) => return refuse_late_body(node),
    };
    let request = ReadRequest {
        parts,
        metadata,
        body,
        received_at,
        may_be_of_repeated_run,
        may_have_run: may_have_run.clone(),
    };
    // It takes much more memory than a request may whose body is still to come.
    Box::pin(serve_read_request(node, request, identified)).await
}

/// Admits a request that was received completely, forwards it and returns the response.
async fn serve_read_request(
    node: &Rc<RoutedNode>,
    request: ReadRequest,
    identified: Identified,
) -> Response<BufferedBody> {
    let received_at = request.received_at;
    let route = Arc::clone(&identified.route);
    let token = match &identified.workspace {
        None => None,
        Some(workspace) => {
            let max_wait = node.startup_wait(&route.settings);
            match take_token(node, workspace, max_wait).await {
                Ok(token) => token,
                Err(refusal) => {
                    let metadata = &request.metadata;
                    return refuse_over_quota(node, metadata, &route, workspace, refusal);
                }
            }
        }
    };
    let token = UnspentToken::new(node, token);
    let call = match admit_request(node, &request, identified).await {
        RequestAdmission::Admitted(call) => call,
        RequestAdmission::Refused(refusal) => return refusal,
    };
    // Its headers share the receive buffer, which the HTTP library reuses once they are dropped.
    drop(request);
    let token = token.spend();
    let admitted_at = node.now();
    let forwarded = tokio::select! {
        biased;
        answer = forward(node, &call) => Some(answer),
        () = node.deadline_reached(call.deadline) => None,
    };
    if forwarded.as_ref().is_some_and(LinkAnswer::is_success) {
        let took = node.now().saturating_sub(admitted_at);
        let mut held = node.held_requests.borrow_mut();
        held.on_answer(&call.route.settings.name, took);
    } else {
        count_failed_call(node, &call);
    }
    let forwarded = match forwarded {
        None if !call.may_have_run.get() => Some(LinkAnswer::not_run(NotRunReason::Late)),
        forwarded => forwarded,
    };
    match forwarded {
        Some(answer) => {
            let has_not_run = matches!(answer.outcome, LinkOutcome::NotRun(_));
            if let Some(token) = token.filter(|_| has_not_run) {
                return_token(node, token);
            }
            build_response(node, &call, answer, received_at)
        }
        None => {
            node.metrics.count("failed", "deadline");
            log_request_rate_limited(node, &call, "failed", "deadline", None, received_at);
            local_answer(StatusCode::GATEWAY_TIMEOUT, None, "no answer in time\n")
        }
    }
}

/// Records a request, which may be a call of the backend server of this host; whether it may be one of
/// a repeated run, and so a repeat where it arrives.
fn on_received(node: &RoutedNode, metadata: &RequestMetadata) -> bool {
    node.call_free_routes.borrow_mut().on_request();
    let mut repeated_runs = node.repeated_runs.borrow_mut();
    let may_be_of_repeated_run = repeated_runs.may_have_made(node.now(), metadata.time_left);
    if may_be_of_repeated_run {
        node.metrics.count("request", "may_be_of_repeated_run");
    }
    may_be_of_repeated_run
}

/// Whether this node takes no new requests since it is shutting down.
///
/// A request accepted at the end of the grace period would be cut off when the node exits. Calls of
/// the backend server are accepted until the last phase: they belong to requests in progress.
fn is_refused_for_shutdown(node: &RoutedNode, route: &RouteEntry) -> bool {
    if node.stop_phase() >= StopPhase::Ending {
        return true;
    }
    let name = &route.settings.name;
    let is_internal = node
        .entry_admission
        .borrow()
        .is_from_outside(node.now(), name)
        == Some(false);
    node.stop_phase() == StopPhase::Closing && !is_internal
}

/// Refuses a request whose caller or route is not identified.
fn refuse_unidentified(
    node: &RoutedNode,
    metadata: &RequestMetadata,
    refusal: IdentityRefusal,
) -> Response<BufferedBody> {
    node.metrics.count("refused", refusal.name());
    log_unidentified(node, metadata, refusal);
    let may_return = refusal.status() == StatusCode::SERVICE_UNAVAILABLE;
    let retry = may_return.then_some(UNROUTED_RETRY);
    local_answer(refusal.status(), retry, refusal.text())
}

/// Refuses a request that exceeds the quota of its workspace.
fn refuse_over_quota(
    node: &RoutedNode,
    metadata: &RequestMetadata,
    route: &RouteEntry,
    workspace: &WorkspaceSettings,
    refusal: QuotaRefusal,
) -> Response<BufferedBody> {
    let (status, why) = match refusal {
        QuotaRefusal::Exceeded { .. } => (StatusCode::TOO_MANY_REQUESTS, "over_quota"),
        QuotaRefusal::NoBorrower => (StatusCode::SERVICE_UNAVAILABLE, "no_keeper"),
    };
    node.metrics.count("refused", why);
    log_over_quota(node, metadata, route, workspace, why, refusal);
    let wait = match refusal {
        QuotaRefusal::Exceeded { wait_ms, .. } => wait_ms.map(u64::from).map(Duration::from_millis),
        QuotaRefusal::NoBorrower => None,
    };
    // Tokens that become available earlier are used up by requests that arrive earlier.
    let retry = retry_after(node, &route.settings).max(wait.unwrap_or_default());
    local_answer(
        status,
        Some(retry),
        "the quota of the workspace is used up\n",
    )
}

/// Refuses a request whose body was not read; it has not run.
fn refuse_body(
    node: &RoutedNode,
    route: &RouteEntry,
    error: BodyReadError,
) -> Response<BufferedBody> {
    let (status, why) = match error {
        BodyReadError::TooLong => (StatusCode::PAYLOAD_TOO_LARGE, "body"),
        BodyReadError::Broken => (StatusCode::BAD_REQUEST, "body"),
        BodyReadError::NoMemory => (StatusCode::SERVICE_UNAVAILABLE, "no_memory"),
    };
    node.metrics.count("refused", why);
    if error != BodyReadError::NoMemory {
        return local_answer(status, None, "the body is too long or broken\n");
    }
    if node.metrics.take_log_permit(node.now()) {
        log::warn!(event = "no_memory", held_bytes = node.memory.held_bytes(),
            route = route.settings.name.as_str();
            "a request was refused: there is no memory for its body now");
    }
    let retry = Some(retry_after(node, &route.settings));
    local_answer(status, retry, "no memory for the body now\n")
}

/// Refuses a request whose body didn't come before its deadline; it has not run.
fn refuse_late_body(node: &RoutedNode) -> Response<BufferedBody> {
    node.metrics.count("refused", "body_late");
    let text = "the body didn't come in time\n";
    local_answer(StatusCode::REQUEST_TIMEOUT, None, text)
}

/// Counts a failed call of the backend server of this host. The run that made it is expected to
/// fail as well and to make no further calls.
fn count_failed_call(node: &RoutedNode, call: &OutgoingCall) {
    if !call.is_of_local_run.get() {
        return;
    }
    let now = node.now();
    node.run_failures.borrow_mut().call_failed(now);
    if is_internal(node, call) && node.is_on(Mechanism::KeptGraph) {
        let name = &call.route.settings.name;
        node.call_graph.borrow_mut().call_failed(now, name);
    }
}

/// A request that was received completely.
struct ReadRequest {
    parts: Parts,
    metadata: RequestMetadata,
    body: Bytes,
    received_at: Duration,
    may_be_of_repeated_run: bool,
    may_have_run: MayHaveRun,
}

/// Result of the admission of a received request.
enum RequestAdmission {
    Admitted(OutgoingCall),
    Refused(Response<BufferedBody>),
}

/// Admits or refuses a request. If another configuration comes into force meanwhile, it is
/// identified and checked again by the new one.
async fn admit_request(
    node: &Rc<RoutedNode>,
    request: &ReadRequest,
    mut identified: Identified,
) -> RequestAdmission {
    loop {
        let Some(call) = build_call(request, identified) else {
            node.metrics.count("refused", "no_destination");
            let retry = Some(UNROUTED_RETRY);
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return RequestAdmission::Refused(local_answer(status, retry, "no destination\n"));
        };
        let time_left = request.metadata.time_left;
        let pending = PendingRequest {
            call: &call,
            received_at: request.received_at,
            caller_deadline: time_left.map(|time_left| request.received_at + time_left),
        };
        trace(node, &pending);
        if is_quarantined(node, &call) {
            count_failed_call(node, &call);
            let refusal = build_response(node, &call, quarantined(), request.received_at);
            return RequestAdmission::Refused(refusal);
        }
        match admit(node, &pending).await {
            Admission::Admitted => return RequestAdmission::Admitted(call),
            Admission::Refused(refusal) => {
                count_failed_call(node, &call);
                return RequestAdmission::Refused(refusal);
            }
            Admission::ConfigurationChanged => {}
        }
        identified = match identify_without_waiting(node, &request.parts, request.metadata.key) {
            Ok(identified) => identified,
            Err(refusal) => {
                // The request was allowed when it arrived, so it gets a temporary refusal. A retry
                // gets the final one.
                node.metrics.count("refused", refusal.name());
                let refusal = refuse_temporarily(node, &call, refusal.text());
                return RequestAdmission::Refused(refusal);
            }
        };
    }
}

/// Builds the call for a request; `None` if its route has no destination.
fn build_call(request: &ReadRequest, identified: Identified) -> Option<OutgoingCall> {
    let Identified {
        table,
        route,
        workspace,
    } = identified;
    let service = route.split.next().cloned()?;
    let parts = &request.parts;
    let metadata = &request.metadata;
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
        deadline: deadline_of(&route, metadata, request.received_at),
        attempt_id: metadata.attempt_id.clone().unwrap_or_default(),
        method: String::from(parts.method.as_str()),
        target: request_target(parts),
        payload: Payload {
            fields: fields_from_headers(&parts.headers),
            body: request.body.clone(),
        },
        route,
        is_of_local_run: Cell::default(),
        may_be_of_repeated_run: request.may_be_of_repeated_run,
        progress: Cell::new(Progress::default()),
        may_have_run: request.may_have_run.clone(),
        known_fingerprint: OnceCell::new(),
    })
}

fn request_target(parts: &Parts) -> String {
    let target = parts.uri.path_and_query();
    target.map_or_else(|| String::from("/"), ToString::to_string)
}

/// Time by which the caller gets a response: the earlier of its own deadline and the timeout of
/// the route.
fn deadline_of(route: &RouteEntry, metadata: &RequestMetadata, received_at: Duration) -> Duration {
    let timeout = route.settings.timeout;
    received_at + metadata.time_left.map_or(timeout, |left| left.min(timeout))
}

fn build_response(
    node: &RoutedNode,
    call: &OutgoingCall,
    answer: LinkAnswer,
    received_at: Duration,
) -> Response<BufferedBody> {
    match &answer.outcome {
        LinkOutcome::Answered { status } => {
            let latency = node.now().saturating_sub(received_at);
            node.metrics.record_served(latency);
            if node.metrics.take_sampled_log_permit(node.now()) {
                log_request_end(node, call, &answer, "served", received_at);
            }
            let mut response = Response::new(Full::new(answer.payload.body));
            *response.status_mut() =
                StatusCode::from_u16(*status).unwrap_or(StatusCode::BAD_GATEWAY);
            *response.headers_mut() = headers_from_fields(&answer.payload.fields, 0);
            response
        }
        LinkOutcome::NotRun(reason) => {
            node.metrics.count("refused", not_run_label(*reason));
            log_request_end(node, call, &answer, "refused", received_at);
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let retry = retry_after(node, &call.route.settings);
            if *reason != NotRunReason::Quarantined {
                return local_answer(status, Some(retry), "no room\n");
            }
            let retry = if may_run_elsewhere(node, call) {
                retry
            } else {
                QUARANTINE_RETRY_AFTER
            };
            let text = "it crashes the backend servers that run it\n";
            local_answer(status, Some(retry), text)
        }
        LinkOutcome::Unknown(UnknownReason::NoAnswer) => {
            node.metrics
                .count("failed", unknown_label(UnknownReason::NoAnswer));
            log_request_end(node, call, &answer, "failed", received_at);
            local_answer(StatusCode::GATEWAY_TIMEOUT, None, "no answer in time\n")
        }
        LinkOutcome::Unknown(reason) => {
            node.metrics.count("failed", unknown_label(*reason));
            log_request_end(node, call, &answer, "failed", received_at);
            local_answer(StatusCode::BAD_GATEWAY, None, "no whole answer\n")
        }
    }
}

/// Retry-After for a refusal that isn't due to a known shortage.
pub(super) fn retry_after(node: &RoutedNode, route: &RouteSettings) -> Duration {
    let retry = RetryAfter::without_shortage(route.target_latency);
    retry.sample(&mut *node.random.borrow_mut())
}
