//! Interfaces that a platform implements for a node with configured routes.

use std::{fmt, future::Future, net::SocketAddr, pin::Pin, sync::Arc, time::Duration};

use derive_more::{Display, Error};
use http::HeaderMap;
use kumquatquay_core::routed::{
    AdvertisedRateLimit, BackendLoad, LifeReport, PresentedKey, RegisterPosition,
};
use kumquatquay_wire::{
    BackendLife, CrashId, CrashReport, InstanceId,
    routed::{RouteConfiguration, RouteVersion, StoreEra},
};

/// Platform-specific format of requests, answers and reports.
///
/// The functions keep all header names and paths of a platform out of this crate; tests pass
/// their own.
#[derive(Clone, Copy)]
pub struct Dialect {
    /// Reads the metadata of a request.
    pub read_request: fn(&HeaderMap) -> RequestMetadata,
    /// Removes the headers that present a key or name a workspace of the caller.
    pub remove_caller_identity: fn(&mut HeaderMap),
    /// Writes the metadata that a backend server gets in addition to the headers of the caller.
    pub write_forwarded_metadata: fn(&mut HeaderMap, &ForwardedMetadata<'_>),
    /// Reads the metadata of an answer.
    pub read_answer: fn(&HeaderMap) -> AnswerMetadata,
    /// Parses a report of the backend server on this host; the error says what is wrong with
    /// it.
    pub read_report: fn(&http::request::Parts, &[u8]) -> Result<BackendReport, String>,
    /// Whether a request is a readiness check.
    pub asks_readiness: fn(&http::request::Parts) -> bool,
}

impl fmt::Debug for Dialect {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Dialect").finish_non_exhaustive()
    }
}

/// Metadata that a caller sends with a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Opaque id; a caller gives each attempt a new one.
    pub attempt_id: Option<String>,
    /// Time until the caller stops waiting.
    pub time_left: Option<Duration>,
    /// Key that the caller presents.
    pub key: PresentedKey,
}

/// Metadata that a node adds to a request that it forwards to the backend server.
#[derive(Clone, Copy, Debug)]
pub struct ForwardedMetadata<'a> {
    /// Time until the caller stops waiting.
    pub time_left: Duration,
    /// Life of the backend server that the request is meant for; any other life rejects it.
    pub instance: Option<&'a InstanceId>,
    /// Service on the host where the request entered.
    pub caller_service: &'a str,
    /// Workspace to which the caller's key belongs.
    pub workspace: Option<&'a str>,
}

/// Metadata that a backend server sends with an answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerMetadata {
    /// Id of the request that this answers.
    pub attempt_id: Option<String>,
    /// Whether the answer carries the signature of a backend server. Only signed answers are
    /// passed on as a success.
    pub is_signed: bool,
    /// Whether the answer states that the request has not run.
    pub is_not_run: bool,
    /// Life of the backend server that answered.
    pub instance: Option<InstanceId>,
    /// How long the backend server keeps an idle connection open; `None` means less than a
    /// second.
    pub keep_alive_timeout: Option<Duration>,
    /// Requests that the backend server can run at the same time, if it reports that.
    pub slots_count: Option<usize>,
    /// How busy the backend server is, if it reports that.
    pub load: Option<BackendLoad>,
    /// Current duration of work on the backend server's machine, divided by the usual duration,
    /// if it reports that.
    pub slowdown_ratio: Option<f64>,
    /// Requests a second that the backend server accepts from all callers together, if it
    /// advertises such a limit.
    pub limit: AdvertisedRateLimit,
    /// Whether the backend server is leaving.
    pub is_leaving: bool,
}

impl AnswerMetadata {
    /// Whether the answer belongs to a request with this id; `None` for one without an id.
    pub fn is_for(&self, attempt: Option<&str>) -> bool {
        self.attempt_id.as_deref().unwrap_or_default() == attempt.unwrap_or_default()
    }
}

/// Report of the backend server on this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendReport {
    /// The backend server reports its state.
    Life {
        /// State of this life of the backend server.
        report: LifeReport,
        /// Address at which the backend server accepts requests.
        address: SocketAddr,
    },
    /// The backend server is leaving.
    Leave {
        /// Life that is leaving.
        life: BackendLife,
    },
}

/// Future of a call to the platform's store.
pub type StoreFuture<T> = Pin<Box<dyn Future<Output = Result<T, StoreError>>>>;

/// Access to the platform's durable store.
#[derive(Clone)]
pub struct PlatformStore {
    /// Reads configurations newer than the last one read through this value. The store may hold
    /// the read for up to the given time until there is one.
    pub read_routes: Arc<dyn Fn(Duration) -> StoreFuture<ConfigurationRead>>,
    /// Reads one page of the register of nodes, starting at a position.
    pub register_page: Arc<dyn Fn(RegisterPosition) -> StoreFuture<RegisterPage>>,
    /// Writes this node's control address into the register at a position.
    pub register_node: Arc<dyn Fn(SocketAddr, RegisterPosition) -> StoreFuture<()>>,
    /// Lists the crashes of backend servers that the store keeps, in one call where it keeps few.
    pub list_crashes: Arc<dyn Fn() -> StoreFuture<CrashesRead>>,
    /// Reads crashes newer than the last ones read through this value. The store may hold the read for
    /// up to the given time until there is one.
    pub read_crashes: Arc<dyn Fn(Duration) -> StoreFuture<CrashesRead>>,
    /// Writes a crash, in place of what was kept of it before.
    pub write_crash: Arc<dyn Fn(StoredCrash) -> StoreFuture<()>>,
    /// Removes a crash.
    pub remove_crash: Arc<dyn Fn(CrashId) -> StoreFuture<()>>,
    /// Writes which lives of the backend server beside the node with this control address leave, the
    /// last one first, in place of what was kept for that node before.
    pub write_shutdowns: Arc<dyn Fn(SocketAddr, Vec<BackendLife>) -> StoreFuture<()>>,
    /// Reads the lives that were last written for the node with this control address.
    pub read_shutdowns: Arc<dyn Fn(SocketAddr) -> StoreFuture<Vec<BackendLife>>>,
    /// Writes the era in which operators have written again what the store lost before it.
    pub write_settled_era: Arc<dyn Fn(StoreEra) -> StoreFuture<()>>,
    /// Reads the era that was last written so, if any.
    pub read_settled_era: Arc<dyn Fn() -> StoreFuture<Option<StoreEra>>>,
    /// Eras that the store's answers have carried so far; refusals count as answers.
    pub eras: Arc<dyn Fn() -> ObservedEras>,
}

/// Eras that the answers of a store have carried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ObservedEras {
    /// Highest era; `None` if no answer carried one.
    pub highest: Option<StoreEra>,
    /// Whether an answer carried no era.
    pub has_answer_without_era: bool,
    /// Count of answers with an unreadable era.
    pub malformed_count: u64,
}

/// Page of the register of nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegisterPage {
    /// Control addresses, without duplicates, sorted by position. Invalid entries are left out.
    pub nodes: Vec<SocketAddr>,
    /// Position of the last entry of the page; `None` for an empty page.
    pub last_position: Option<RegisterPosition>,
    /// Whether this is the last page of the register.
    pub is_last: bool,
}

impl fmt::Debug for PlatformStore {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("PlatformStore")
            .finish_non_exhaustive()
    }
}

/// Result of a read of configurations.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigurationRead {
    /// Configuration with the highest version; `None` if none was read.
    pub newest: Option<Box<RouteConfiguration>>,
    /// For each configuration that can't be read, all of its errors with their places.
    pub malformed: Vec<Vec<String>>,
    /// Whether everything that the store had when it was asked has been read.
    pub is_complete: bool,
    /// Era of the store in which the read was answered; `None` if the store reports none.
    pub era: Option<StoreEra>,
    /// Whether that era is over. Then the configurations that were read were confirmed once,
    /// but say nothing about the present state of the store.
    pub is_outdated: bool,
    /// Highest version that was read in that era; 0 if there was none.
    pub stored_version: RouteVersion,
}

impl ConfigurationRead {
    /// Whether any configuration was read, valid or malformed.
    pub fn has_configurations(&self) -> bool {
        self.newest.is_some() || !self.malformed.is_empty()
    }
}

/// A crash of a backend server, as the store keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredCrash {
    /// The crash; its `remaining_ms` doesn't count.
    pub report: CrashReport,
    /// When it no longer counts, in milliseconds since 1970.
    pub expires_unix_ms: u64,
}

/// Result of a read of crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashesRead {
    /// Crashes, each as it was written last.
    pub crashes: Vec<StoredCrash>,
    /// Crashes that were removed.
    pub removed: Vec<CrashId>,
    /// Records that can't be read.
    pub malformed_count: u64,
}

/// Error of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum StoreError {
    /// The store refused the call and did nothing.
    #[display("the store refused: {detail}")]
    Refused {
        /// Status and reason.
        detail: String,
    },
    /// The store did not answer; the call may have taken effect, or still may.
    #[display("the store did not answer: {detail}")]
    Unsure {
        /// How the call failed.
        detail: String,
    },
}
