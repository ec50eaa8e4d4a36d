//! Commands of operators, as they arrive over HTTP.

use std::{sync::Arc, time::Duration};

use http_body_util::{BodyExt, Limited};
use hyper::body::{Bytes, Incoming};
use kumquatquay_core::OperatorInput;
use kumquatquay_wire::{OperatorCommand, OperatorReply};

use crate::engine::Engine;

/// Where commands are sent.
pub(crate) const COMMAND_PATH: &str = "/operator";

/// Where the state dump is read.
pub(crate) const STATE_PATH: &str = "/state";

/// Who sends commands where no operators are set.
pub(crate) const LOCAL_OPERATOR: &str = "local";

/// The longest command, in bytes.
const COMMAND_LIMIT_BYTES: usize = 1024 * 1024;

/// How long a command may take; confirming waits for the log.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(60);

/// Reads a command.
///
/// # Errors
///
/// What is wrong with it, for the operator.
pub(crate) async fn read_command(body: Incoming) -> Result<OperatorCommand, String> {
    let body = Limited::new(body, COMMAND_LIMIT_BYTES).collect().await;
    let body = body.map_err(|error| format!("the command can't be read: {error}\n"))?;
    serde_json::from_slice(&body.to_bytes()).map_err(|error| format!("not a command: {error}\n"))
}

/// Carries out a command; the reply as JSON.
pub(crate) async fn carry_out(
    engine: &Arc<Engine>,
    operator: String,
    command: OperatorCommand,
) -> Vec<u8> {
    let (request, receiver) = engine.begin_operator();
    engine.handle(OperatorInput {
        request,
        operator,
        command,
    });
    let reply = tokio::select! {
        biased;
        reply = receiver => reply.ok(),
        () = tokio::time::sleep(COMMAND_TIMEOUT) => None,
        _ = engine.stopped() => None,
    };
    let reply = reply.unwrap_or_else(|| OperatorReply::Refused {
        message: String::from("the node gave no answer in time; ask for the status"),
    });
    encode(&reply)
}

/// A reply as JSON.
pub(crate) fn encode(reply: &OperatorReply) -> Vec<u8> {
    serde_json::to_vec(reply).expect("a reply always encodes")
}

/// The state dump of a node, as JSON.
///
/// # Errors
///
/// Why it can't be written, for the operator.
pub(crate) fn state(engine: &Engine) -> Result<Bytes, String> {
    let dump = serde_json::to_vec_pretty(&engine.state_dump());
    dump.map(Bytes::from)
        .map_err(|error| format!("the state can't be written: {error}\n"))
}
