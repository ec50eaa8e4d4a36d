//! The listener for operators of a node with configured routes.
//!
//! Operators change routes in the platform's store. Here they read the state of the node, and list and
//! release requests that crash backend servers.

use std::rc::Rc;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use kumquatquay_wire::{OperatorCommand, OperatorReply};

use super::{http_io::BufferedBody, node::RoutedNode};
use crate::operator_commands::{
    COMMAND_PATH, LOCAL_OPERATOR, STATE_PATH, carry_out, encode, read_command, state,
};

/// Serves one request of an operator.
pub(crate) async fn serve_operator(
    node: Rc<RoutedNode>,
    request: Request<Incoming>,
) -> Response<BufferedBody> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, STATE_PATH) => match state(&node.engine) {
            Ok(dump) => answer(StatusCode::OK, "application/json", dump),
            Err(reason) => text(StatusCode::INTERNAL_SERVER_ERROR, reason),
        },
        (&Method::POST, COMMAND_PATH) => match read_command(request.into_body()).await {
            Ok(command) => {
                let reply = command_reply(&node, command).await;
                answer(StatusCode::OK, "application/json", Bytes::from(reply))
            }
            Err(reason) => text(StatusCode::BAD_REQUEST, reason),
        },
        _ => {
            let reason = "GET /state and POST /operator are served here\n";
            text(StatusCode::NOT_FOUND, String::from(reason))
        }
    }
}

async fn command_reply(node: &RoutedNode, command: OperatorCommand) -> Vec<u8> {
    let is_served = matches!(
        command,
        OperatorCommand::QuarantineList | OperatorCommand::QuarantineRelease { .. }
    );
    if !is_served {
        return encode(&OperatorReply::Refused {
            message: String::from(
                "this node carries calls on routes, which are set in the platform's store; it \
                 serves `quarantine` and `state`",
            ),
        });
    }
    if let OperatorCommand::QuarantineRelease {
        service,
        fingerprint,
    } = &command
    {
        log::info!(event = "quarantine_release", service = service.as_str(),
            fingerprint:% = format_args!("{fingerprint:016x}");
            "an operator releases a request that crashed backend servers");
    }
    let reply = carry_out(&node.engine, String::from(LOCAL_OPERATOR), command).await;
    node.crash_recorded.notify_one();
    reply
}

fn text(status: StatusCode, reason: String) -> Response<BufferedBody> {
    answer(status, "text/plain", Bytes::from(reason))
}

fn answer(status: StatusCode, kind: &'static str, body: Bytes) -> Response<BufferedBody> {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    let kind = HeaderValue::from_static(kind);
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    answer
}
