//! A backend server that listens.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use kumquatquay_core::Announcement;
use kumquatquay_wire::MemberState;
use rand::{SeedableRng, rngs::StdRng};
use tokio::{
    net::TcpListener,
    sync::{Notify, Semaphore},
    time::Instant,
};
use tokio_util::sync::CancellationToken;

use super::{
    BackendServer, BackendStatistics, HealthReport, LoadReportMode, announcer,
    egress_client::EgressClient, handler,
};
use crate::http_listener::HttpListener;

/// Tries to listen on the old port after a crash.
const REBIND_TRIES: u32 = 50;

/// Pause between them.
const REBIND_PAUSE: Duration = Duration::from_millis(20);

/// A backend server that listens; dropping it stops it.
#[derive(Debug)]
pub struct RunningBackendServer {
    state: Arc<BackendState>,
}

impl RunningBackendServer {
    pub(crate) async fn start(settings: BackendServer) -> eyre::Result<Self> {
        let (listening, listener) = HttpListener::bind().await?;
        let state = Arc::new(BackendState::new(settings, listening));
        serve(&state, listener);
        tokio::spawn(announcer::announce_until_stop(state.clone()));
        Ok(Self { state })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.state.listening.address()
    }

    /// Its service.
    pub fn service(&self) -> &str {
        &self.state.settings.service
    }

    /// What it did so far.
    pub fn statistics(&self) -> BackendStatistics {
        self.state.lock().statistics
    }

    /// Multiplies its service time from now on.
    pub fn set_slowdown(&self, factor: f64) {
        self.state.lock().slowdown = factor;
    }

    /// Changes what `GET /health` says.
    pub fn set_health(&self, health: HealthReport) {
        self.state.lock().health = health;
    }

    /// Changes what `GET /load` says.
    pub fn set_load(&self, load: LoadReportMode) {
        self.state.lock().load = load;
    }

    /// Announces that it takes no new work; what arrives still runs.
    pub fn drain(&self) {
        self.state.lock().drained = Some(Instant::now());
        self.state.announce_now.notify_one();
    }

    /// Announces that it takes work again.
    pub fn undrain(&self) {
        self.state.lock().drained = None;
        self.state.announce_now.notify_one();
    }

    /// Breaks all connections, and listens again after the restart pause.
    pub fn crash(&self) {
        crash(&self.state);
    }

    /// Stops for good.
    pub fn stop(self) {}
}

impl Drop for RunningBackendServer {
    fn drop(&mut self) {
        self.state.life.cancel();
        self.state.listening.break_all();
    }
}

/// What a backend server's connections share.
#[derive(Debug)]
pub(crate) struct BackendState {
    pub(crate) settings: BackendServer,
    pub(crate) listening: HttpListener,
    pub(crate) client: EgressClient,
    pub(crate) announce_now: Notify,
    pub(crate) life: CancellationToken,
    variable: Mutex<Variable>,
}

/// What changes while it runs.
#[derive(Debug)]
pub(crate) struct Variable {
    pub(crate) slots: Arc<Semaphore>,
    pub(crate) waiting_count: u32,
    pub(crate) slowdown: f64,
    pub(crate) started: Instant,
    pub(crate) drained: Option<Instant>,
    pub(crate) health: HealthReport,
    pub(crate) load: LoadReportMode,
    pub(crate) statistics: BackendStatistics,
    pub(crate) last_marker: String,
    pub(crate) random: StdRng,
}

impl BackendState {
    fn new(settings: BackendServer, listening: HttpListener) -> Self {
        let variable = Variable {
            slots: Arc::new(Semaphore::new(settings.slots_count as usize)),
            waiting_count: 0,
            slowdown: 1.0,
            started: Instant::now(),
            drained: None,
            health: settings.health,
            load: settings.load,
            statistics: BackendStatistics::default(),
            last_marker: String::new(),
            random: StdRng::seed_from_u64(settings.random_seed),
        };
        Self {
            client: EgressClient::new(settings.egress),
            settings,
            listening,
            announce_now: Notify::new(),
            life: CancellationToken::new(),
            variable: Mutex::new(variable),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Variable> {
        self.variable
            .lock()
            .expect("no holder of a backend server's state panics")
    }

    /// What it says of itself; nothing while it is down.
    pub(crate) fn announcement(&self) -> Option<Announcement> {
        if self.listening.generation().is_cancelled() {
            return None;
        }
        let is_drained = self.lock().drained.is_some();
        Some(Announcement {
            life: None,
            service: self.settings.service.clone(),
            address: self.listening.address(),
            slots_count: self.settings.slots_count,
            connections_count: self.settings.connections_count,
            state: if is_drained {
                MemberState::Draining
            } else {
                MemberState::Serving
            },
        })
    }

    /// Draws the time that a request will take.
    pub(crate) fn draw_service_time(&self) -> Duration {
        let mut variable = self.lock();
        let time = self.settings.service_time.draw(&mut variable.random);
        let is_cold = variable.started.elapsed() < self.settings.cold_start;
        let cold_factor = if is_cold {
            self.settings.cold_factor
        } else {
            1.0
        };
        time.mul_f64(variable.slowdown * cold_factor)
    }
}

fn serve(state: &Arc<BackendState>, listener: TcpListener) {
    let served = state.clone();
    state.listening.serve(listener, move |request| {
        handler::answer(served.clone(), request)
    });
}

/// Breaks everything that is in flight; a new process starts after a pause.
pub(crate) fn crash(state: &Arc<BackendState>) {
    let generation = state.listening.generation();
    if generation.is_cancelled() {
        return;
    }
    generation.cancel();
    state.lock().statistics.crashes_count += 1;
    let state = state.clone();
    tokio::spawn(async move {
        let restarting = restart(&state);
        state.life.run_until_cancelled(restarting).await;
    });
}

async fn restart(state: &Arc<BackendState>) {
    tokio::time::sleep(state.settings.restart_pause).await;
    for _ in 0..REBIND_TRIES {
        if let Ok(listener) = state.listening.bind_again().await {
            state.lock().start_again(state.settings.slots_count);
            serve(state, listener);
            state.announce_now.notify_one();
            return;
        }
        tokio::time::sleep(REBIND_PAUSE).await;
    }
    log::error!("a backend server could not listen again after its crash");
}

impl Variable {
    /// A new process has free slots and is cold.
    fn start_again(&mut self, slots_count: u32) {
        self.slots = Arc::new(Semaphore::new(slots_count as usize));
        self.waiting_count = 0;
        self.statistics.running_count = 0;
        self.started = Instant::now();
    }
}
