//! Accepts connections, within limits, and serves HTTP on them.

use std::{
    convert::Infallible,
    future::Future,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use eyre::WrapErr;
use http::{Request, Response};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto::Builder, graceful::GracefulShutdown},
};
use kumquatquay_core::Counter;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, oneshot, watch},
};

use super::server_context::ServerContext;
use crate::http::RelayBody;

/// How long a sender may take for the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The longest head of a request, in bytes.
const HEAD_LIMIT_BYTES: usize = 64 * 1024;

/// Requests at the same time on one HTTP/2 connection.
const STREAMS_LIMIT_COUNT: u32 = 1_024;

/// How long to wait after the operating system refuses to accept, such as when
/// no file descriptor is free; without the pause the loop would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A bound address that is not served yet.
#[derive(Debug)]
pub(crate) struct Listener {
    name: &'static str,
    socket: TcpListener,
    address: SocketAddr,
}

/// Stops a listener that is served.
#[derive(Debug)]
pub(crate) struct ListenerStop {
    stop: watch::Sender<bool>,
    has_ended: oneshot::Receiver<()>,
}

impl Listener {
    /// Binds an address; the flag's name goes into the error.
    pub(crate) async fn bind(name: &'static str, address: SocketAddr) -> eyre::Result<Self> {
        let socket = TcpListener::bind(address)
            .await
            .wrap_err_with(|| format!("{name}: can't listen on {address}"))?;
        let address = socket.local_addr()?;
        Ok(Self {
            name,
            socket,
            address,
        })
    }

    /// The address, with the port that was chosen if port 0 was asked for.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves connections until the stop.
    pub(crate) fn serve<F, S>(self, context: &Arc<ServerContext>, service: S) -> ListenerStop
    where
        S: Fn(Arc<ServerContext>, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<RelayBody>> + Send + 'static,
    {
        let (stop, stopped) = watch::channel(false);
        let (ended, has_ended) = oneshot::channel();
        let shared = Arc::clone(context);
        context.tasks.spawn(async move {
            self.accept(shared, service, stopped).await;
            // Nobody waits for the end of a listener that is not being stopped.
            let _ = ended.send(());
        });
        ListenerStop { stop, has_ended }
    }

    async fn accept<F, S>(
        self,
        context: Arc<ServerContext>,
        service: S,
        mut stopped: watch::Receiver<bool>,
    ) where
        S: Fn(Arc<ServerContext>, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<RelayBody>> + Send + 'static,
    {
        let limit = Arc::new(Semaphore::new(context.settings.connections_limit_count));
        let graceful = GracefulShutdown::new();
        loop {
            let accepted = tokio::select! {
                accepted = self.socket.accept() => accepted,
                _ = stopped.changed() => break,
            };
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let Ok(permit) = Arc::clone(&limit).try_acquire_owned() else {
                context.engine.count(Counter::ConnectionsRefused);
                log::warn!(event = "connections_limit", listener = self.name;
                    "a connection was closed because the listener holds as many as it may");
                continue;
            };
            let context = Arc::clone(&context);
            let service = service.clone();
            let connection = serve_connection(stream, Arc::clone(&context), service, &graceful);
            let tasks = context.tasks.clone();
            tasks.spawn(async move {
                context.engine.connections().fetch_add(1, Ordering::Relaxed);
                connection.await;
                context.engine.connections().fetch_sub(1, Ordering::Relaxed);
                drop(permit);
            });
        }
        drop(self.socket);
        graceful.shutdown().await;
    }
}

fn serve_connection<F, S>(
    stream: TcpStream,
    context: Arc<ServerContext>,
    service: S,
    graceful: &GracefulShutdown,
) -> impl Future<Output = ()> + Send + 'static
where
    S: Fn(Arc<ServerContext>, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<RelayBody>> + Send + 'static,
{
    // Small answers must not wait for the acknowledgement of earlier ones; a
    // stream on which this fails is only slower.
    let _ = stream.set_nodelay(true);
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(HEAD_LIMIT_BYTES)
        .half_close(false);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(HEAD_LIMIT_BYTES as u32)
        .max_concurrent_streams(STREAMS_LIMIT_COUNT);
    let service = service_fn(move |request| {
        let answer = service(Arc::clone(&context), request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let watched = graceful.watch(connection.into_owned());
    async move {
        // A connection ends with an error whenever the other side drops it.
        if let Err(error) = watched.await {
            log::debug!(event = "connection_ended"; "{error}");
        }
    }
}

impl ListenerStop {
    /// Takes no new connection and waits for those that are open.
    pub(crate) async fn graceful(self) {
        let _ = self.stop.send(true);
        // The listener's task is gone if this fails; there is nothing to wait for.
        let _ = self.has_ended.await;
    }
}
