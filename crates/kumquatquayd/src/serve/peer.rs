//! The listener for other nodes, and the head that all listeners share.

use std::sync::Arc;

use http::{Request, Response, StatusCode, uri::PathAndQuery};
use hyper::body::Incoming;
use kumquatquay_core::{CallArrived, CallOrigin, Counter};
use kumquatquay_wire::{RequestContext, ServiceName};

use super::{
    call_driver::{CallRequest, drive},
    request_parts::{host_of, service_of, time_allowed_of},
    server_context::ServerContext,
    work_driver,
};
use crate::http::{
    HOST_BETWEEN_NODES, IDEMPOTENCY_KEY, OPERATION, RESEND, RelayBody, forward_headers,
    header_text, plain_response,
};

/// What the head of a request says.
#[derive(Debug)]
pub(crate) struct RequestHead {
    service: Option<ServiceName>,
    path_and_query: PathAndQuery,
    host: Option<String>,
    idempotency_key: Option<String>,
    operation_id: Option<String>,
    is_resend: bool,
}

impl RequestHead {
    pub(crate) fn of<B>(request: &Request<B>) -> Self {
        let headers = request.headers();
        let uri = request.uri();
        let root = || PathAndQuery::from_static("/");
        Self {
            service: service_of(uri, headers),
            path_and_query: uri.path_and_query().cloned().unwrap_or_else(root),
            host: host_of(uri, headers),
            idempotency_key: header_text(headers, IDEMPOTENCY_KEY).map(String::from),
            operation_id: header_text(headers, OPERATION).map(String::from),
            is_resend: headers.contains_key(RESEND),
        }
    }

    /// Whether the request is for the node itself, at a path, and not for the
    /// same path of a service.
    pub(crate) fn is_for_node(&self, path: &str) -> bool {
        self.service.is_none() && self.path_and_query.path() == path
    }
}

/// Drives a call that arrived at any listener.
pub(crate) async fn serve_call(
    context: &Arc<ServerContext>,
    head: RequestHead,
    request: Request<Incoming>,
    origin: CallOrigin,
) -> Response<RelayBody> {
    let Some(service) = head.service else {
        let text = "no service is named: use the host name or kumquatquay-service\n";
        return plain_response(StatusCode::BAD_REQUEST, "text/plain", text);
    };
    let (parts, body) = request.into_parts();
    let body = match context.read_body(body).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let home_attempt = match &origin {
        CallOrigin::Home { context } => Some(context.attempt),
        CallOrigin::Outside { .. } | CallOrigin::Backend { .. } => None,
    };
    let is_operation =
        head.idempotency_key.is_some() || head.operation_id.is_some() || home_attempt.is_some();
    let call_request = CallRequest {
        method: parts.method.clone(),
        path_and_query: head.path_and_query.clone(),
        headers: forward_headers(&parts.headers),
        host: head.host,
        body,
        is_operation,
        home_attempt,
    };
    let body_digest = call_request.body_digest();
    let arrived = |call| CallArrived {
        call,
        origin,
        service,
        method: parts.method.to_string(),
        path: String::from(head.path_and_query.path()),
        query: head.path_and_query.query().map(String::from),
        body_digest,
        is_replayable: body_digest.is_some(),
        time_allowed: time_allowed_of(&parts.headers),
        idempotency_key: head.idempotency_key,
        operation_id: head.operation_id,
        is_resend: head.is_resend,
    };
    drive(context, call_request, arrived).await
}

/// Serves one call of another node.
pub(crate) async fn serve(
    context: Arc<ServerContext>,
    request: Request<Incoming>,
) -> Response<RelayBody> {
    let sealed = header_text(request.headers(), RequestContext::HEADER);
    let opened = sealed.map(|text| RequestContext::from_header(text, &context.key));
    match opened {
        Some(Ok(request_context)) => serve_authenticated(&context, request_context, request).await,
        Some(Err(error)) => {
            context.engine.count(Counter::ContextsRefused);
            log::warn!(event = "context_refused"; "a call with a bad context: {error}");
            plain_response(StatusCode::FORBIDDEN, "text/plain", format!("{error}\n"))
        }
        None => {
            let text = "this listener takes calls of other nodes only\n";
            plain_response(StatusCode::FORBIDDEN, "text/plain", text)
        }
    }
}

async fn serve_authenticated(
    context: &Arc<ServerContext>,
    request_context: RequestContext,
    request: Request<Incoming>,
) -> Response<RelayBody> {
    if request_context.operation.is_none() {
        return work_driver::drive(context, request_context, request).await;
    }
    let mut head = RequestHead::of(&request);
    head.service = Some(request_context.service.clone());
    head.host = header_text(request.headers(), HOST_BETWEEN_NODES).map(String::from);
    let origin = CallOrigin::Home {
        context: request_context,
    };
    serve_call(context, head, request, origin).await
}
