//! What the platform fills in for a node on configured routes.

use std::{fmt, future::Future, net::SocketAddr, pin::Pin, sync::Arc, time::Duration};

use derive_more::{Display, Error};
use http::HeaderMap;
use kumquatquay_core::routed::{
    AdvertisedRateLimit, BackendLoad, LifeReport, PresentedKey, RegisterPosition,
};
use kumquatquay_wire::{
    BackendLife, InstanceId,
    routed::{RouteConfiguration, RouteVersion, StoreEra},
};

/// How requests, answers and reports are written on this platform.
///
/// Plain functions, so that a node's library knows no header and no path of any
/// platform; tests fill in their own.
#[derive(Clone, Copy)]
pub struct Dialect {
    /// Reads what a request says of itself.
    pub read_request: fn(&HeaderMap) -> RequestMetadata,
    /// Takes out what a caller shows or says of the workspace that it belongs to.
    pub remove_caller_identity: fn(&mut HeaderMap),
    /// Writes what a backend server is told beside the request as the caller sent it.
    pub write_forwarded_metadata: fn(&mut HeaderMap, &ForwardedMetadata<'_>),
    /// Reads what an answer says of itself.
    pub read_answer: fn(&HeaderMap) -> AnswerMetadata,
    /// Reads a report of the backend server on this host.
    pub read_report: fn(&http::request::Parts, &[u8]) -> Result<BackendReport, String>,
    /// Whether a request asks if the node is ready.
    pub asks_readiness: fn(&http::request::Parts) -> bool,
}

impl fmt::Debug for Dialect {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Dialect").finish_non_exhaustive()
    }
}

/// What a request says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Its id; opaque. Each time that a caller sends a request it gives a new one.
    pub attempt_id: Option<String>,
    /// How long the caller waits.
    pub time_left: Option<Duration>,
    /// The key that it shows.
    pub key: PresentedKey,
}

/// What a backend server is told beside the request.
#[derive(Clone, Copy, Debug)]
pub struct ForwardedMetadata<'a> {
    /// Time in which the answer is still wanted.
    pub time_left: Duration,
    /// The life of the backend server that is meant; any other declines.
    pub instance: Option<&'a InstanceId>,
    /// Service on the host where the request began.
    pub caller_service: &'a str,
    /// Workspace that holds the caller's key.
    pub workspace: Option<&'a str>,
}

/// What an answer says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerMetadata {
    /// Id of the request that it answers.
    pub attempt_id: Option<String>,
    /// Whether a backend server vouches for it; only such answers are passed on as
    /// a success.
    pub is_signed: bool,
    /// Whether it says that the request has not run.
    pub is_not_run: bool,
    /// The life of the backend server that gave it.
    pub instance: Option<InstanceId>,
    /// Time for which the backend server keeps the connection open without a
    /// request; an answer that doesn't say means less than a second.
    pub keep_alive_timeout: Option<Duration>,
    /// Calls that the backend server can run at the same time; not all tell it.
    pub slots_count: Option<usize>,
    /// How busy the backend server is; not all tell it.
    pub load: Option<BackendLoad>,
    /// Time that work takes on its machine at this moment over its usual one; not all tell
    /// it.
    pub pace_ratio: Option<f64>,
    /// Calls a second that the backend server takes of all callers together, while it names
    /// them.
    pub limit: AdvertisedRateLimit,
    /// Whether the backend server leaves.
    pub is_leaving: bool,
}

/// A report of the backend server on this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendReport {
    /// How it is.
    Life {
        /// What it says.
        report: LifeReport,
        /// Where it takes calls.
        address: SocketAddr,
    },
    /// It leaves.
    Leave {
        /// The life that leaves.
        life: BackendLife,
    },
}

/// What a call of the platform's store answers.
pub type StoreFuture<T> = Pin<Box<dyn Future<Output = Result<T, StoreError>>>>;

/// Where what lasts is kept.
#[derive(Clone)]
pub struct PlatformStore {
    /// Reads configurations newer than what was read with this value last. The store may
    /// hold the read for the given time until there is one.
    pub read_routes: Arc<dyn Fn(Duration) -> StoreFuture<ConfigurationRead>>,
    /// Some of the nodes that have entered themselves: one page, from a place on.
    pub register_page: Arc<dyn Fn(RegisterPosition) -> StoreFuture<RegisterPage>>,
    /// Enters this node, by its control address, at its place.
    pub register_node: Arc<dyn Fn(SocketAddr, RegisterPosition) -> StoreFuture<()>>,
    /// What answers of the store, refusals included, have told of its era so far.
    pub eras: Arc<dyn Fn() -> ObservedEras>,
}

/// What answers of a store have told of its era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ObservedEras {
    /// The highest one; `None` if none was told.
    pub highest: Option<StoreEra>,
    /// Whether there was an answer without one.
    pub has_answer_without_era: bool,
    /// Answers whose era can't be read.
    pub malformed_count: u64,
}

/// A page of the register of nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegisterPage {
    /// Control addresses of nodes, each once, in the order of their places. Entries that make
    /// no sense are left out.
    pub nodes: Vec<SocketAddr>,
    /// Place of the last entry on it, where there is one.
    pub last_place: Option<RegisterPosition>,
    /// Whether the register ends with it.
    pub is_last: bool,
}

impl fmt::Debug for PlatformStore {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("PlatformStore")
            .finish_non_exhaustive()
    }
}

/// What a read of configurations brought.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigurationRead {
    /// The one with the highest version, if there were any.
    pub newest: Option<Box<RouteConfiguration>>,
    /// For each one that can't be read all that is wrong about it, with its place.
    pub malformed: Vec<Vec<String>>,
    /// Whether all that the store had when it was asked has been read by now.
    pub is_complete: bool,
    /// Era of the store that the read belongs to; `None` if the store tells none.
    pub era: Option<StoreEra>,
    /// Whether that era is over: what was read was confirmed once and says nothing of the store
    /// as it is now.
    pub is_outdated: bool,
    /// The highest version that was read in that era; 0 without one.
    pub stored_version: RouteVersion,
}

impl ConfigurationRead {
    /// Whether there was anything.
    pub fn has_configurations(&self) -> bool {
        self.newest.is_some() || !self.malformed.is_empty()
    }
}

/// Why a call of the store brought nothing.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum StoreError {
    /// Nothing was done.
    #[display("the store refused: {detail}")]
    Refused {
        /// Status and reason.
        detail: String,
    },
    /// No answer; it may have been done, or may still be.
    #[display("the store did not answer: {detail}")]
    Unsure {
        /// What happened to the call.
        detail: String,
    },
}
