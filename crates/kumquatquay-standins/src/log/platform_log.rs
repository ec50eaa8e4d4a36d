//! Settings, state and life of the log.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, SystemTime},
};

use bytes::Bytes;
use tokio::sync::watch;

use super::{
    LogFault, StoredRecord, http_interface,
    stream_table::{Page, StreamTable},
};
use crate::http_listener::HttpListener;

/// Appends a second unless set otherwise.
const DEFAULT_APPENDS_PER_S: u32 = 400;

/// How long records are kept unless set otherwise.
const DEFAULT_RETENTION: Duration = Duration::from_secs(3600);

/// Appends that may come at once, as a part of a second's worth.
const BURST: Duration = Duration::from_millis(250);

type LogClock = Arc<dyn Fn() -> SystemTime + Send + Sync>;

/// Settings of a stand-in for the platform's log.
///
/// # Examples
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> eyre::Result<()> {
/// use kumquatquay_standins::{LogFault, PlatformLog};
///
/// let log = PlatformLog::new().appends_per_s(300).start().await?;
/// log.set_fault(LogFault::Refusing);
/// assert_eq!(log.appends_count(), 0);
/// log.stop();
/// # Ok(())
/// # }
/// ```
#[must_use]
pub struct PlatformLog {
    retention: Duration,
    appends_per_s: u32,
    clock: LogClock,
}

impl Default for PlatformLog {
    fn default() -> Self {
        Self::new()
    }
}

/// # Settings
impl PlatformLog {
    /// A log that keeps records for an hour and takes 400 appends a second.
    pub fn new() -> Self {
        Self {
            retention: DEFAULT_RETENTION,
            appends_per_s: DEFAULT_APPENDS_PER_S,
            clock: Arc::new(SystemTime::now),
        }
    }

    /// How long records are kept.
    pub fn retention(mut self, retention: Duration) -> Self {
        self.retention = retention;
        self
    }

    /// Appends a second; what goes beyond is refused with 503.
    pub fn appends_per_s(mut self, appends_per_s: u32) -> Self {
        self.appends_per_s = appends_per_s.max(1);
        self
    }

    /// Where the log takes its time from.
    pub fn clock(mut self, clock: impl Fn() -> SystemTime + Send + Sync + 'static) -> Self {
        self.clock = Arc::new(clock);
        self
    }
}

/// # Life
impl PlatformLog {
    /// Listens on a free port on loopback.
    ///
    /// # Errors
    ///
    /// If no port is free.
    pub async fn start(self) -> eyre::Result<RunningLog> {
        let (listening, listener) = HttpListener::bind().await?;
        let state = Arc::new(LogState::new(self));
        let served = state.clone();
        listening.serve(listener, move |request| {
            http_interface::answer(served.clone(), request)
        });
        Ok(RunningLog { listening, state })
    }
}

/// A log that listens.
pub struct RunningLog {
    listening: HttpListener,
    state: Arc<LogState>,
}

impl RunningLog {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listening.address()
    }

    /// Its address as a URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Switches to another fault, or to none.
    pub fn set_fault(&self, fault: LogFault) {
        self.state.lock().fault = fault;
    }

    /// Copies all streams.
    pub fn copy(&self) -> LogCopy {
        LogCopy(self.state.lock().streams.clone())
    }

    /// Comes back from a copy in the next era: what was appended since is gone, and its offsets
    /// are given out again. Reads that it holds are answered from the copy.
    pub fn come_back_from(&self, copy: LogCopy) {
        let mut variable = self.state.lock();
        variable.streams = copy.0;
        variable.era += 1;
        drop(variable);
        self.state.changes.send_modify(|change| *change += 1);
    }

    /// Records appended since the start, over all streams.
    pub fn appends_count(&self) -> u64 {
        self.state.lock().appends_count
    }

    /// The records that a stream keeps now.
    pub fn records(&self, stream: &str) -> Vec<StoredRecord> {
        self.state.read(stream, 0, usize::MAX).records
    }

    /// Stops listening and breaks all connections.
    pub fn stop(self) {
        self.listening.break_all();
    }
}

impl Drop for RunningLog {
    fn drop(&mut self) {
        self.listening.break_all();
    }
}

/// All streams of a log at a moment.
#[derive(Clone, Debug)]
pub struct LogCopy(StreamTable);

/// What the log's connections share.
pub(crate) struct LogState {
    settings: PlatformLog,
    variable: Mutex<Variable>,
    changes: watch::Sender<u64>,
}

struct Variable {
    streams: StreamTable,
    /// One higher each time that the log comes back from a copy.
    era: u64,
    fault: LogFault,
    appends_count: u64,
    /// When the appends taken so far are paid off at the log's rate.
    paid_until: SystemTime,
}

impl LogState {
    fn new(settings: PlatformLog) -> Self {
        let variable = Variable {
            streams: StreamTable::default(),
            era: 1,
            fault: LogFault::None,
            appends_count: 0,
            paid_until: SystemTime::UNIX_EPOCH,
        };
        Self {
            settings,
            variable: Mutex::new(variable),
            changes: watch::Sender::new(0),
        }
    }

    pub(crate) fn fault(&self) -> LogFault {
        self.lock().fault
    }

    /// Tells of each append.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Appends a record, or refuses it because the log is at its limit.
    pub(crate) fn append(&self, stream: &str, bytes: Bytes) -> Option<u64> {
        let now = (self.settings.clock)();
        let mut variable = self.lock();
        if !variable.takes_append(now, self.settings.appends_per_s) {
            return None;
        }
        variable.appends_count += 1;
        let offset = variable.streams.append(stream, now, bytes);
        drop(variable);
        self.changes.send_modify(|change| *change += 1);
        Some(offset)
    }

    pub(crate) fn read(&self, stream: &str, from: u64, limit_count: usize) -> Page {
        let now = (self.settings.clock)();
        let mut variable = self.lock();
        variable.streams.expire(now, self.settings.retention);
        let era = variable.era;
        let page = variable.streams.read(stream, from, limit_count);
        Page { era, ..page }
    }

    fn lock(&self) -> MutexGuard<'_, Variable> {
        self.variable
            .lock()
            .expect("no holder of the log's state panics")
    }
}

impl Variable {
    fn takes_append(&mut self, now: SystemTime, appends_per_s: u32) -> bool {
        let paid_until = self.paid_until.max(now);
        let is_within = paid_until
            .duration_since(now)
            .is_ok_and(|debt| debt <= BURST);
        if is_within {
            self.paid_until = paid_until + Duration::from_secs(1) / appends_per_s;
        }
        is_within
    }
}
