//! What the listeners of one node share.

use std::{net::SocketAddr, sync::Arc};

use arc_swap::ArcSwapOption;
use http::Response;
use hyper::body::Incoming;
use kumquatquay_core::Counter;
use kumquatquay_wire::MeshKey;

use crate::{
    engine::Engine,
    http::{BackendClient, PeerClient, RelayBody, RequestBody, plain_response},
    settings::DaemonSettings,
    tasks::Tasks,
};

/// Where the backend server of this host is, once it has announced itself.
pub(crate) type BackendAddress = ArcSwapOption<SocketAddr>;

/// What the listeners of one node share.
#[derive(Debug)]
pub(crate) struct ServerContext {
    pub(crate) engine: Arc<Engine>,
    pub(crate) tasks: Tasks,
    pub(crate) settings: DaemonSettings,
    pub(crate) key: MeshKey,
    pub(crate) peers: PeerClient,
    pub(crate) backend: BackendClient,
    pub(crate) backend_address: BackendAddress,
}

impl ServerContext {
    /// Reads a request's body as far as it is held; the answer if it is refused.
    pub(crate) async fn read_body(
        &self,
        body: Incoming,
    ) -> Result<RequestBody, Response<RelayBody>> {
        let read = RequestBody::read(body, self.settings.body_limit_bytes).await;
        read.map_err(|error| {
            self.engine.count(Counter::BodiesRefused);
            plain_response(error.status(), "text/plain", format!("{error}\n"))
        })
    }
}
