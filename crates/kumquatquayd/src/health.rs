//! Asks the backend server of this host how it is.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use kumquatquay_core::BackendInput;

use crate::{http::whole_body, serve::ServerContext};

/// How often the backend server is asked; a probe costs it about 6 ms.
const INTERVAL: Duration = Duration::from_secs(2);

/// How long the backend server may take to answer.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Where a backend server says how it is.
const HEALTH_PATH: &str = "/health";

/// Asks until the task is dropped; a backend server that doesn't answer in time
/// counts as ill, one that has no such endpoint as healthy.
pub(crate) async fn watch(context: Arc<ServerContext>) {
    let mut interval = tokio::time::interval(INTERVAL);
    loop {
        interval.tick().await;
        let address = context.backend_address.load();
        let Some(address) = address.as_deref().copied() else {
            continue;
        };
        let is_healthy = is_healthy(&context, address).await;
        let reported = BackendInput::HealthReported { is_healthy };
        context.engine.handle(reported);
    }
}

async fn is_healthy(context: &ServerContext, address: SocketAddr) -> bool {
    let request = Request::get(format!("http://{address}{HEALTH_PATH}"));
    let Ok(request) = request.body(whole_body(Bytes::new())) else {
        return true;
    };
    let answer = tokio::time::timeout(TIMEOUT, context.backend.send(request, true)).await;
    match answer {
        Ok(Ok(answer)) => {
            let status = answer.status();
            status.is_success() || status == StatusCode::NOT_FOUND
        }
        Ok(Err(_)) | Err(_) => false,
    }
}
