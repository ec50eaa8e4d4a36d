//! The listener for the backend server of this host.

use std::{net::SocketAddr, sync::Arc};

use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use kumquatquay_core::{Announcement, BackendInput, CallOrigin};

use super::{
    peer::{RequestHead, serve_call},
    server_context::ServerContext,
};
use crate::http::{RelayBody, TraceHeaders, plain_response};

/// Where a backend server announces itself.
const ANNOUNCEMENTS_PATH: &str = "/announcements";

/// The longest announcement, in bytes.
const ANNOUNCEMENT_LIMIT_BYTES: usize = 4 * 1024;

/// Serves one request of the backend server of this host.
pub(crate) async fn serve(
    context: Arc<ServerContext>,
    request: Request<Incoming>,
) -> Response<RelayBody> {
    let head = RequestHead::of(&request);
    if head.is_for_node(ANNOUNCEMENTS_PATH) {
        return announce(&context, request).await;
    }
    let trace = TraceHeaders::read(request.headers());
    let origin = CallOrigin::Backend {
        token: trace.token,
        trace: trace.trace,
    };
    serve_call(&context, head, request, origin).await
}

async fn announce(context: &ServerContext, request: Request<Incoming>) -> Response<RelayBody> {
    if request.method() != Method::POST {
        return plain_response(StatusCode::METHOD_NOT_ALLOWED, "text/plain", "use POST\n");
    }
    match read_announcement(request).await {
        Ok(announcement) => {
            note_address(context, announcement.address);
            context.engine.handle(BackendInput::Announced(announcement));
            plain_response(StatusCode::NO_CONTENT, "text/plain", "")
        }
        Err(message) => plain_response(StatusCode::BAD_REQUEST, "text/plain", message),
    }
}

async fn read_announcement(request: Request<Incoming>) -> Result<Announcement, String> {
    let body = Limited::new(request.into_body(), ANNOUNCEMENT_LIMIT_BYTES);
    let body = body
        .collect()
        .await
        .map_err(|error| format!("the announcement can't be read: {error}\n"))?;
    serde_json::from_slice(&body.to_bytes())
        .map_err(|error| format!("not an announcement: {error}\n"))
}

fn note_address(context: &ServerContext, address: SocketAddr) {
    context.backend_address.store(Some(Arc::new(address)));
}
