//! The operator interface of a node, over HTTP.

use std::{net::SocketAddr, time::Duration};

use eyre::{Result, WrapErr};
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use kumquatquay_wire::{OperatorCommand, OperatorReply};

use crate::{ExitStatus, exit_status::Failure};

/// How long a node may take; a confirmation waits for the log.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(65);

/// How long a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// The longest answer that is read, in bytes.
const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// The longest part of an answer that is shown in an error.
const SHOWN_LIMIT_COUNT: usize = 200;

/// Sends commands to one node.
#[derive(Clone, Debug)]
pub(crate) struct OperatorClient {
    node: SocketAddr,
    token: Option<String>,
    http: Client<HttpConnector, Full<Bytes>>,
}

impl OperatorClient {
    pub(crate) fn new(node: SocketAddr, token: Option<String>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Self {
            node,
            token,
            http: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Sends a command and waits for its reply.
    pub(crate) async fn send(&self, command: &OperatorCommand) -> Result<OperatorReply> {
        let body = serde_json::to_vec(command)?;
        let answer = self.exchange(Method::POST, "/operator", body).await?;
        serde_json::from_slice(&answer).wrap_err("the node's answer is not one of this version")
    }

    /// The state dump of the node, as JSON text.
    pub(crate) async fn state(&self) -> Result<String> {
        let answer = self.exchange(Method::GET, "/state", Vec::new()).await?;
        String::from_utf8(answer.to_vec()).wrap_err("the state is not text")
    }

    async fn exchange(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Bytes> {
        let uri = format!("http://{}{path}", self.node);
        let mut request = Request::builder().method(method).uri(uri);
        if let Some(token) = &self.token {
            request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
        }
        let request = request.header(header::CONTENT_TYPE, "application/json");
        let request = request
            .body(Full::new(Bytes::from(body)))
            .wrap_err("the token is not text")?;
        let exchange = tokio::time::timeout(ANSWER_TIMEOUT, self.http.request(request));
        let response = match exchange.await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => return Err(self.unreachable(&chain(&error)).into()),
            Err(_) => return Err(self.unreachable("no answer in time").into()),
        };
        let status = response.status();
        let body = Limited::new(response.into_body(), ANSWER_LIMIT_BYTES)
            .collect()
            .await;
        let body = match body {
            Ok(body) => body.to_bytes(),
            Err(error) => return Err(self.unreachable(&error.to_string()).into()),
        };
        match status {
            StatusCode::OK => Ok(body),
            StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => Err(Failure::new(
                ExitStatus::Unauthorized,
                format!(
                    "{} does not take the token; give --token or set KUMQUATQUAY_TOKEN",
                    self.node
                ),
            )
            .into()),
            other => {
                let text = String::from_utf8_lossy(&body);
                let text: String = text.trim().chars().take(SHOWN_LIMIT_COUNT).collect();
                let message = format!("{} answered {other}: {text}", self.node);
                Err(Failure::new(ExitStatus::Failed, message).into())
            }
        }
    }

    fn unreachable(&self, why: &str) -> Failure {
        let message = format!("can't reach a node at {}: {why}", self.node);
        Failure::new(ExitStatus::Unreachable, message)
    }
}

/// An error and its causes in one line.
fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text = format!("{text}: {error}");
        cause = error.source();
    }
    text
}
