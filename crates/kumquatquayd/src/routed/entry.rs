//! The entry listener: calls of callers and of the backend server on this host.

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode, request::Parts};
use http_body_util::{BodyExt, Either, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use kumquatquay_core::routed::{EntryRequest, Mechanism, ReturnTime, TableRoute, whole_rank};
use kumquatquay_wire::routed::{
    LinkOutcome, NotRunReason, Payload, RouteSettings, UnknownReason, WorkspaceSettings,
};
use rand::Rng;

use super::{
    caller_identity::{Identified, IdentityRefusal, identify},
    carry::{OutgoingCall, Progress, carry},
    http_io::{Caller, WholeBody, fields_of, headers_of, own_answer},
    interface::RequestMarks,
    link_answer::{HandedOver, LinkAnswer},
    node::{RoutedNode, StopPhase},
    quotas::{QuotaRefusal, give_back, take_token},
    request_log::{
        log_ended, log_line, log_over_quota, log_unidentified, log_unless_many, not_run_name,
        unknown_name,
    },
};

/// Time after which a caller is asked to come back while no configuration is known, or none that
/// is proved to be the newest.
const NOT_CONFIGURED_RETRY: Duration = Duration::from_millis(300);

/// The longest body that is copied out of the buffer in which it came.
const COPIED_BODY_BYTES: usize = 4 * 1024;

/// The body of a caller's request: one that comes, or one that is there.
pub(crate) type CallerBody = Either<Incoming, WholeBody>;

/// Serves one request of a caller.
pub(crate) async fn serve_entry(
    node: Rc<RoutedNode>,
    request: Request<CallerBody>,
) -> Response<WholeBody> {
    answer_entry(&node, request).await
}

/// Whether this node is about to end and takes no new requests.
///
/// One that is taken in the last moment of the grace is cut off when it ends. Calls
/// that backend servers make belong to requests that are under way.
fn is_too_late(node: &RoutedNode, route: &TableRoute) -> bool {
    if node.stop_phase() == StopPhase::Ending {
        return true;
    }
    let name = &route.settings.name;
    let is_called = node.levels.borrow().is_from_outside(node.now(), name) == Some(false);
    node.stop_phase() == StopPhase::Closing && !is_called
}

async fn answer_entry(node: &Rc<RoutedNode>, request: Request<CallerBody>) -> Response<WholeBody> {
    let began = node.now();
    let (mut parts, body) = request.into_parts();
    let marks = (node.dialect.read_request)(&parts.headers);
    let identified = match identify(node, &parts, marks.key).await {
        Ok(identified) => identified,
        Err(refusal) => return refuse_unidentified(node, &marks, refusal),
    };
    let Identified {
        table,
        route,
        workspace,
    } = identified;
    if is_too_late(node, &route) {
        node.decisions.count("refused", "stopping");
        let retry = Some(retry_after(node, &route.settings));
        return own_answer(StatusCode::SERVICE_UNAVAILABLE, retry, "this node stops\n");
    }
    if table.workspaces().ask_for_keys() {
        // Backend servers and other nodes must not come to know the key.
        (node.dialect.remove_claims)(&mut parts.headers);
    }
    let body = match read_body(body, table.limits().body_limit_bytes).await {
        Ok(body) => body,
        Err(status) => {
            node.decisions.count("refused", "body");
            return own_answer(status, None, "the body is too long or broken\n");
        }
    };
    let Some(service) = route.split.next().cloned() else {
        node.decisions.count("refused", "no_destination");
        let retry = Some(NOT_CONFIGURED_RETRY);
        return own_answer(StatusCode::SERVICE_UNAVAILABLE, retry, "no destination\n");
    };
    let token = match &workspace {
        None => None,
        Some(workspace) => {
            let patience = node.starting_patience(&route.settings);
            match take_token(node, workspace, patience).await {
                Ok(token) => token,
                Err(refusal) => {
                    return refuse_over_quota(node, &marks, &route, workspace, refusal);
                }
            }
        }
    };
    let expires = marks.time_left.map(|time_left| began + time_left);
    let caller = parts.extensions.get::<Caller>().map(|caller| caller.0);
    let call = OutgoingCall {
        caller,
        service,
        version: table.version(),
        whole_priority: Cell::new(whole_rank(&route.settings, workspace.as_deref())),
        workspace,
        deadline: deadline_of(&route, &marks, began),
        attempt: marks.attempt.unwrap_or_default(),
        method: String::from(parts.method.as_str()),
        target: target_of(&parts),
        payload: Payload {
            fields: fields_of(&parts.headers),
            body,
        },
        route,
        progress: Cell::new(Progress::default()),
        handed_over: HandedOver::default(),
    };
    // The HTTP library reads on in the buffer in which they lie.
    drop(parts);
    if let Some(refusal) = refuse_for_shortage(node, &call, began, expires) {
        if let Some(token) = token {
            give_back(node, token);
        }
        return refusal;
    }
    let wait = call.deadline.saturating_sub(node.now());
    let carried = tokio::time::timeout(wait, carry(node, &call)).await;
    if !carried.as_ref().is_ok_and(LinkAnswer::is_success) {
        count_failed_call(node, &call);
    }
    let carried = match carried {
        Err(_) if !call.handed_over.get() => Ok(LinkAnswer::not_run(NotRunReason::Late)),
        carried => carried,
    };
    match carried {
        Ok(answer) => {
            let has_not_run = matches!(answer.outcome, LinkOutcome::NotRun(_));
            if let Some(token) = token.filter(|_| has_not_run) {
                give_back(node, token);
            }
            answer_carried(node, &call, answer, began)
        }
        Err(_) => {
            node.decisions.count("failed", "deadline");
            log_unless_many(node, &call, "failed", "deadline", None, began);
            own_answer(StatusCode::GATEWAY_TIMEOUT, None, "no answer in time\n")
        }
    }
}

/// Answers a request of which it isn't known whose it is, or for which there is no route.
fn refuse_unidentified(
    node: &RoutedNode,
    marks: &RequestMarks,
    refusal: IdentityRefusal,
) -> Response<WholeBody> {
    node.decisions.count("refused", refusal.name());
    log_unidentified(node, marks, refusal);
    let may_return = refusal.status() == StatusCode::SERVICE_UNAVAILABLE;
    let retry = may_return.then_some(NOT_CONFIGURED_RETRY);
    own_answer(refusal.status(), retry, refusal.text())
}

/// Answers a request that is beyond the quota of its workspace.
fn refuse_over_quota(
    node: &RoutedNode,
    marks: &RequestMarks,
    route: &TableRoute,
    workspace: &WorkspaceSettings,
    refusal: QuotaRefusal,
) -> Response<WholeBody> {
    let (status, why) = match refusal {
        QuotaRefusal::Over { .. } => (StatusCode::TOO_MANY_REQUESTS, "over_quota"),
        QuotaRefusal::NoKeeper => (StatusCode::SERVICE_UNAVAILABLE, "no_keeper"),
    };
    node.decisions.count("refused", why);
    log_over_quota(node, marks, route, workspace, why, refusal);
    let wait = match refusal {
        QuotaRefusal::Over { wait_ms, .. } => wait_ms.map(u64::from).map(Duration::from_millis),
        QuotaRefusal::NoKeeper => None,
    };
    // Tokens that come sooner are taken by requests that come sooner.
    let retry = retry_after(node, &route.settings).max(wait.unwrap_or_default());
    own_answer(
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
    let is_called = node.levels.borrow().is_from_outside(now, name) == Some(false);
    if !is_called {
        return;
    }
    node.failures.borrow_mut().call_lost(now);
    if node.is_on(Mechanism::KeptGraph) {
        node.graph.borrow_mut().call_failed(now, name);
    }
}

/// Refuses a whole request that a service on its way has no room for, before
/// anything was done for it.
fn refuse_for_shortage(
    node: &RoutedNode,
    call: &OutgoingCall,
    began: Duration,
    expires: Option<Duration>,
) -> Option<Response<WholeBody>> {
    let now = node.now();
    let route = &call.route.settings;
    if node.levels.borrow().is_from_outside(now, &route.name) == Some(false) {
        node.graph.borrow_mut().called(now, &route.name);
        if let Some(expires) = expires {
            let whole_priority = node.tracer.borrow_mut().called(&route.name, expires);
            if let Some(priority) = whole_priority.filter(|_| node.is_on(Mechanism::WholeOrder)) {
                call.whole_priority.set(priority);
            }
        }
        return None;
    }
    if !node.is_on(Mechanism::EntryLevels) {
        return None;
    }
    let table = node.routes()?;
    let place = node.random.borrow_mut().random();
    let request = EntryRequest {
        route: &route.name,
        service: &call.service,
        priority: call.whole_priority.get(),
        place,
    };
    let admitted = node
        .levels
        .borrow_mut()
        .admit(now, &request, table.priorities());
    let shortage = admitted.err()?;
    let returns = ReturnTime {
        target_latency: route.target_latency,
        time_left: expires.map(|expires| expires.saturating_sub(now)),
        short_for: if node.is_on(Mechanism::LateReturn) {
            shortage.lasts
        } else {
            Duration::ZERO
        },
    };
    let wait = returns.draw(&mut *node.random.borrow_mut());
    node.decisions.count("refused", "shortage");
    if node.decisions.has_line(now) {
        let why = format!(
            "{} has room for {:.2} of the offered load, told {} ms ago, short for {} ms; \
             {:.2} of this rank are let in",
            shortage.service,
            shortage.level,
            shortage.age.as_millis(),
            shortage.lasts.as_millis(),
            shortage.chance
        );
        log_line(node, call, "refused", &why, None, began);
    }
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Some(own_answer(
        status,
        Some(wait),
        "no room for the whole request\n",
    ))
}

fn target_of(parts: &Parts) -> String {
    let target = parts.uri.path_and_query();
    target.map_or_else(|| String::from("/"), ToString::to_string)
}

/// The moment at which the caller has its answer or is told that there is none.
fn deadline_of(route: &TableRoute, marks: &RequestMarks, began: Duration) -> Duration {
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
) -> Response<WholeBody> {
    match &answer.outcome {
        LinkOutcome::Answered { status } => {
            let latency = node.now().saturating_sub(began);
            node.decisions.served(latency);
            if node.decisions.samples_served(node.now()) {
                log_ended(node, call, &answer, "served", began);
            }
            let mut response = Response::new(Full::new(answer.payload.body));
            *response.status_mut() =
                StatusCode::from_u16(*status).unwrap_or(StatusCode::BAD_GATEWAY);
            *response.headers_mut() = headers_of(&answer.payload.fields, 0);
            response
        }
        LinkOutcome::NotRun(reason) => {
            node.decisions.count("refused", not_run_name(*reason));
            log_ended(node, call, &answer, "refused", began);
            let retry = Some(retry_after(node, &call.route.settings));
            own_answer(StatusCode::SERVICE_UNAVAILABLE, retry, "no room\n")
        }
        LinkOutcome::Unknown(UnknownReason::NoAnswer) => {
            node.decisions
                .count("failed", unknown_name(UnknownReason::NoAnswer));
            log_ended(node, call, &answer, "failed", began);
            own_answer(StatusCode::GATEWAY_TIMEOUT, None, "no answer in time\n")
        }
        LinkOutcome::Unknown(reason) => {
            node.decisions.count("failed", unknown_name(*reason));
            log_ended(node, call, &answer, "failed", began);
            own_answer(StatusCode::BAD_GATEWAY, None, "no whole answer\n")
        }
    }
}

/// When a caller should come back that wasn't refused for a shortage of which more is known.
fn retry_after(node: &RoutedNode, route: &RouteSettings) -> Duration {
    let returns = ReturnTime {
        target_latency: route.target_latency,
        time_left: None,
        short_for: Duration::ZERO,
    };
    returns.draw(&mut *node.random.borrow_mut())
}
