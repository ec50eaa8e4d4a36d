//! The listener for operators.

use std::sync::Arc;

use http::{Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use subtle::ConstantTimeEq;

use super::server_context::ServerContext;
use crate::{
    http::{RelayBody, header_text, plain_response},
    operator_commands::{COMMAND_PATH, LOCAL_OPERATOR, STATE_PATH, carry_out, read_command, state},
};

/// Serves one request of an operator.
pub(crate) async fn serve(
    context: Arc<ServerContext>,
    request: Request<Incoming>,
) -> Response<RelayBody> {
    let Some(operator) = operator_of(&context, &request) else {
        let text = "a bearer token of an operator is needed\n";
        return plain_response(StatusCode::UNAUTHORIZED, "text/plain", text);
    };
    match (request.method(), request.uri().path()) {
        (&Method::GET, STATE_PATH) => state_response(&context),
        (&Method::POST, COMMAND_PATH) => command_response(&context, operator, request).await,
        _ => {
            let text = "GET /state and POST /operator are served here\n";
            plain_response(StatusCode::NOT_FOUND, "text/plain", text)
        }
    }
}

/// Name of the operator that the bearer token proves.
fn operator_of(context: &ServerContext, request: &Request<Incoming>) -> Option<String> {
    let operators = &context.settings.operators;
    if operators.is_empty() {
        return Some(String::from(LOCAL_OPERATOR));
    }
    let text = header_text(request.headers(), header::AUTHORIZATION.as_str())?;
    let token = text.strip_prefix("Bearer ")?;
    let account = operators
        .iter()
        .find(|account| bool::from(account.token.as_bytes().ct_eq(token.as_bytes())))?;
    Some(account.name.clone())
}

fn state_response(context: &ServerContext) -> Response<RelayBody> {
    match state(&context.engine) {
        Ok(dump) => plain_response(StatusCode::OK, "application/json", dump),
        Err(reason) => plain_response(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", reason),
    }
}

async fn command_response(
    context: &ServerContext,
    operator: String,
    request: Request<Incoming>,
) -> Response<RelayBody> {
    let command = match read_command(request.into_body()).await {
        Ok(command) => command,
        Err(reason) => return plain_response(StatusCode::BAD_REQUEST, "text/plain", reason),
    };
    let reply = carry_out(&context.engine, operator, command).await;
    plain_response(StatusCode::OK, "application/json", reply)
}
