//! The listener for callers outside the mesh.

use std::sync::Arc;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use kumquatquay_core::{CallInput, CallOrigin, IssueOperation};
use kumquatquay_wire::CallerName;
use rand::Rng;
use serde::Serialize;

use super::{
    peer::{RequestHead, serve_call},
    request_parts::caller_of,
    server_context::ServerContext,
};
use crate::http::{RelayBody, TraceHeaders, plain_response};

/// Where callers get operation ids.
const OPERATIONS_PATH: &str = "/operations";

/// Serves one request of an outside caller.
///
/// The trace id that it names is kept for tracing only: ledgers are never
/// looked up here, so the id of somebody's important request inherits nothing.
pub(crate) async fn serve(
    context: Arc<ServerContext>,
    request: Request<Incoming>,
) -> Response<RelayBody> {
    let head = RequestHead::of(&request);
    if head.is_for_node(OPERATIONS_PATH) {
        return issue(&context, &request).await;
    }
    let headers = request.headers();
    let trace = TraceHeaders::read(headers).trace;
    let origin = CallOrigin::Outside {
        caller: proved_caller(&context, &request),
        trace: trace.unwrap_or_else(|| rand::rng().random()),
    };
    serve_call(&context, head, request, origin).await
}

fn proved_caller(context: &ServerContext, request: &Request<Incoming>) -> CallerName {
    let key = context.settings.secret.is_some().then_some(&context.key);
    caller_of(request.headers(), key)
}

/// An issued operation id, as JSON.
#[derive(Serialize)]
struct IssuedBody {
    operation: String,
    expires_unix_ms: u64,
}

/// Issues an operation id, under which a filing runs at most once.
async fn issue(context: &ServerContext, request: &Request<Incoming>) -> Response<RelayBody> {
    if request.method() != Method::POST {
        return plain_response(StatusCode::METHOD_NOT_ALLOWED, "text/plain", "use POST\n");
    }
    let (id, receiver) = context.engine.begin_issue();
    context
        .engine
        .handle(CallInput::IssueOperation(IssueOperation {
            request: id,
            caller: proved_caller(context, request),
        }));
    let Ok(issued) = receiver.await else {
        let text = "no id was issued\n";
        return plain_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", text);
    };
    let body = IssuedBody {
        operation: issued.operation,
        expires_unix_ms: issued.expires_unix_ms,
    };
    let text = serde_json::to_vec(&body).expect("an issued id always encodes");
    plain_response(StatusCode::CREATED, "application/json", text)
}
