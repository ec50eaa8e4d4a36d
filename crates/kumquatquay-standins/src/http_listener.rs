//! A listener that can break all its connections and listen again.

use std::{convert::Infallible, future::Future, net::SocketAddr, sync::Mutex};

use bytes::Bytes;
use derive_more::{Display, Error};
use eyre::WrapErr;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto,
};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Answer of a stand-in.
pub(crate) type Answer = Response<Full<Bytes>>;

/// The connection is closed without an answer.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the connection is closed without an answer")]
pub(crate) struct NoAnswer;

impl From<Infallible> for NoAnswer {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// A listening address and what runs behind it.
#[derive(Debug)]
pub(crate) struct HttpListener {
    address: SocketAddr,
    generation: Mutex<CancellationToken>,
}

impl HttpListener {
    /// Binds to a free port on loopback; nothing is accepted yet.
    pub(crate) async fn bind() -> eyre::Result<(Self, TcpListener)> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
            .await
            .wrap_err("no free port on loopback")?;
        let listening = Self {
            address: listener.local_addr()?,
            generation: Mutex::new(CancellationToken::new()),
        };
        Ok((listening, listener))
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends with the listener and all its connections.
    pub(crate) fn generation(&self) -> CancellationToken {
        let generation = self.generation.lock();
        generation.expect("no holder of the token panics").clone()
    }

    /// Accepts connections until [`HttpListener::break_all`].
    pub(crate) fn serve<H, F>(&self, listener: TcpListener, handler: H)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Result<Answer, NoAnswer>> + Send + 'static,
    {
        let generation = self.generation();
        tokio::spawn(async move {
            let accepting = accept_all(&listener, &generation, handler);
            generation.run_until_cancelled(accepting).await;
        });
    }

    /// Stops listening and breaks all connections.
    pub(crate) fn break_all(&self) {
        self.generation().cancel();
    }

    /// Binds to the same address again, after [`HttpListener::break_all`].
    pub(crate) async fn bind_again(&self) -> eyre::Result<TcpListener> {
        let listener = TcpListener::bind(self.address)
            .await
            .wrap_err("the port was taken while the stand-in was down")?;
        let mut generation = self
            .generation
            .lock()
            .expect("no holder of the token panics");
        *generation = CancellationToken::new();
        Ok(listener)
    }
}

async fn accept_all<H, F>(listener: &TcpListener, generation: &CancellationToken, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Answer, NoAnswer>> + Send + 'static,
{
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            let connection = serve_connection(stream, handler.clone());
            let generation = generation.clone();
            tokio::spawn(async move { generation.run_until_cancelled(connection).await });
        }
    }
}

async fn serve_connection<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Answer, NoAnswer>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let server = auto::Builder::new(TokioExecutor::new());
    let served = server.serve_connection(TokioIo::new(stream), service_fn(handler));
    if let Err(error) = served.await {
        log::debug!("a connection of a stand-in ended: {error}");
    }
}
