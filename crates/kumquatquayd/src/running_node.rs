//! A node that runs, and how it stops.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use eyre::WrapErr;
use kumquatquay_core::{Input, Node, NodeSettings, StateDump};
use kumquatquay_wire::MeshKey;
use rand::Rng;
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::mpsc::UnboundedReceiver,
};

use crate::{
    clock::incarnation,
    control,
    engine::{Effect, Engine},
    health,
    http::{BackendClient, PeerClient},
    metrics,
    platform::LogClient,
    reach::Reach,
    serve::{
        BackendAddress, Listener, ListenerStop, ServerContext, serve_egress, serve_entry,
        serve_operator, serve_peer,
    },
    settings::DaemonSettings,
    tasks::Tasks,
};

/// A node that runs inside this program.
#[derive(Debug)]
pub struct RunningNode {
    engine: Arc<Engine>,
    addresses: Addresses,
    listeners: Vec<ListenerStop>,
    tasks: Tasks,
}

#[derive(Clone, Copy, Debug)]
struct Addresses {
    entry: SocketAddr,
    egress: SocketAddr,
    peer: SocketAddr,
    control: SocketAddr,
    operator: SocketAddr,
}

/// How long connections may take to close after the last flight has finished.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts a node.
///
/// # Errors
///
/// Wrong settings, all of them in one error, or an address that can't be bound.
pub async fn start(settings: DaemonSettings) -> eyre::Result<RunningNode> {
    settings.check()?;
    let entry = Listener::bind("--entry", settings.entry).await?;
    let egress = Listener::bind("--egress", settings.egress).await?;
    let peer = Listener::bind("--peer", settings.peer).await?;
    let operator = Listener::bind("--operator", settings.operator).await?;
    let (control_udp, control_tcp) = bind_control(settings.control).await?;
    let addresses = Addresses {
        entry: entry.address(),
        egress: egress.address(),
        peer: peer.address(),
        control: control_udp.local_addr()?,
        operator: operator.address(),
    };
    let key = mesh_key(&settings);
    let node = Node::new(node_settings(&settings, addresses, &key));
    let (engine, effects) = Engine::new(node);
    let tasks = Tasks::default();
    let context = Arc::new(ServerContext {
        engine: Arc::clone(&engine),
        tasks: tasks.clone(),
        settings: settings.clone(),
        key: key.clone(),
        peers: PeerClient::new(settings.reach.clone()),
        backend: BackendClient::new(),
        backend_address: BackendAddress::default(),
    });
    let listeners = vec![
        entry.serve(&context, serve_entry),
        egress.serve(&context, serve_egress),
        peer.serve(&context, serve_peer),
        operator.serve(&context, serve_operator),
    ];
    let control_udp = Arc::new(control_udp);
    let carrier = EffectCarrier {
        reach: settings.reach.clone(),
        engine: Arc::clone(&engine),
        tasks: tasks.clone(),
        socket: Arc::clone(&control_udp),
        log: LogClient::new(Arc::clone(&engine), settings.log, settings.reach.clone()),
        key: key.clone(),
    };
    tasks.spawn(health::watch(context));
    tasks.spawn(tick(Arc::clone(&engine)));
    tasks.spawn(carrier.run(effects));
    tasks.spawn(control::receive(
        Arc::clone(&engine),
        control_udp,
        key.clone(),
    ));
    tasks.spawn(control::serve_bulk(
        Arc::clone(&engine),
        tasks.clone(),
        control_tcp,
        key,
    ));
    if let Some(sink) = settings.metrics {
        tasks.spawn(send_metrics(Arc::clone(&engine), sink));
    }
    log_start(&settings, addresses);
    Ok(RunningNode {
        engine,
        addresses,
        listeners,
        tasks,
    })
}

fn log_start(settings: &DaemonSettings, addresses: Addresses) {
    log::info!(
        event = "started",
        data_centre = settings.data_centre.as_str(),
        entry:% = addresses.entry,
        egress:% = addresses.egress,
        peer:% = addresses.peer,
        control:% = addresses.control,
        operator:% = addresses.operator;
        "the node serves"
    );
    if settings.secret.is_none() {
        log::warn!(event = "no_secret";
            "without KUMQUATQUAY_SECRET the node listens on loopback addresses only and \
             believes every caller");
    }
    if settings.log.is_none() {
        log::warn!(event = "no_log";
            "no log is set: changes of configuration and keys of callers are refused");
    }
}

/// Binds the control address for UDP and TCP, on the same port.
async fn bind_control(address: SocketAddr) -> eyre::Result<(UdpSocket, TcpListener)> {
    let failed = || format!("--control: can't listen on {address}");
    let tcp = TcpListener::bind(address).await.wrap_err_with(failed)?;
    let udp = UdpSocket::bind(tcp.local_addr()?)
        .await
        .wrap_err_with(failed)?;
    Ok((udp, tcp))
}

/// The mesh key; without a secret all listeners are on loopback addresses, and
/// the key keeps only the form.
fn mesh_key(settings: &DaemonSettings) -> MeshKey {
    MeshKey::from_secret(settings.secret.as_deref().unwrap_or_default())
}

fn node_settings(settings: &DaemonSettings, addresses: Addresses, key: &MeshKey) -> NodeSettings {
    let random_seed = settings.random_seed.unwrap_or_else(|| rand::rng().random());
    NodeSettings::new(
        settings.data_centre.clone(),
        addresses.control,
        addresses.peer,
        key.clone(),
    )
    .incarnation(incarnation())
    .seeds(settings.seeds.clone())
    .random_seed(random_seed)
    .policy(settings.policy)
}

async fn tick(engine: Arc<Engine>) {
    loop {
        let wait = engine.tick();
        tokio::time::sleep(wait).await;
    }
}

async fn send_metrics(engine: Arc<Engine>, sink: SocketAddr) {
    if let Err(error) = metrics::run(engine, sink).await {
        log::warn!(event = "metrics_off"; "no metrics are sent: {error:#}");
    }
}

/// Carries out effects on other nodes and on the log.
struct EffectCarrier {
    reach: Reach,
    engine: Arc<Engine>,
    tasks: Tasks,
    socket: Arc<UdpSocket>,
    log: LogClient,
    key: MeshKey,
}

impl EffectCarrier {
    async fn run(self, mut effects: UnboundedReceiver<Effect>) {
        while let Some(effect) = effects.recv().await {
            self.carry_out(effect);
        }
    }

    fn carry_out(&self, effect: Effect) {
        match effect {
            Effect::Send { to, .. } if !self.reach.reaches(to) => {}
            Effect::Send { to, datagram } => {
                // A datagram that can't be sent is lost, as any datagram may be.
                let _ = self.socket.try_send_to(&datagram.to_bytes(&self.key), to);
            }
            Effect::BulkAsk { to, question } => {
                let exchange = control::Ask {
                    key: self.key.clone(),
                    reach: self.reach.clone(),
                    to,
                };
                self.tasks
                    .spawn(exchange.run(Arc::clone(&self.engine), question));
            }
            Effect::Append {
                append,
                stream,
                record,
            } => {
                self.tasks
                    .spawn(self.log.clone().append(append, stream, record));
            }
            Effect::Read {
                read,
                stream,
                from,
                wait,
            } => {
                self.tasks
                    .spawn(self.log.clone().read(read, stream, from, wait));
            }
        }
    }
}

impl RunningNode {
    // Addresses

    /// Where outside callers come in.
    pub fn entry_address(&self) -> SocketAddr {
        self.addresses.entry
    }

    /// Where the backend server of this host makes its calls.
    pub fn egress_address(&self) -> SocketAddr {
        self.addresses.egress
    }

    /// Where other nodes send calls.
    pub fn peer_address(&self) -> SocketAddr {
        self.addresses.peer
    }

    /// Where other nodes send control messages.
    pub fn control_address(&self) -> SocketAddr {
        self.addresses.control
    }

    /// Where operators send commands.
    pub fn operator_address(&self) -> SocketAddr {
        self.addresses.operator
    }

    // Reading

    /// What the node knows.
    pub fn state_dump(&self) -> StateDump {
        self.engine.state_dump()
    }

    // Stopping

    /// Leaves: takes no new work, finishes what is in flight, then stops.
    ///
    /// Flights that are not finished when the grace ends are cut off, which is
    /// logged with their number.
    pub async fn stop(self, grace: Duration) {
        self.engine.handle(Input::Stopping { grace });
        self.engine.stopped().await;
        let listeners = self.listeners.into_iter().map(ListenerStop::graceful);
        // Idle connections of callers that never close must not hold the stop up.
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, join_all(listeners)).await;
        self.tasks.end();
        log::info!(event = "stopped"; "the node has left");
    }

    /// Stops at once, as if its host had failed.
    pub fn kill(self) {
        self.tasks.end();
    }
}

async fn join_all(futures: impl Iterator<Item = impl Future<Output = ()>>) {
    for future in futures {
        future.await;
    }
}
