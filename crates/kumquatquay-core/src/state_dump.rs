//! What a node knows, for people and their tools.

use kumquatquay_wire::{DataCentreName, MemberRecord, MemberState, QuarantineRecord};
use serde::Serialize;

use crate::{
    Blackboard, ConfigurationDump, Counters, Moment, OperationDump, membership::DataCentreView,
    quarantine,
};

/// A dump of one node's state, written as JSON.
#[derive(Clone, Debug, Serialize)]
pub struct StateDump {
    /// Control address, which identifies the node.
    pub control: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Life of the node.
    pub incarnation: u64,
    /// Time since the node's start, in milliseconds.
    pub uptime_ms: u64,
    /// Calls under way.
    pub calls_count: usize,
    /// Work that the backend server runs.
    pub running_count: usize,
    /// Work that waits at the gate.
    pub queued_count: usize,
    /// Work that the gate lets run at the same time.
    pub gate_limit_count: usize,
    /// The least importance that this host's gate asks for.
    pub gate_level: String,
    /// Requests of which a part runs here or that entered here.
    pub ledgers_count: usize,
    /// Levels of services, as this node learnt them.
    pub levels: Vec<LevelDump>,
    /// Kinds of call and the services that they usually reach.
    pub routes: Vec<RouteDump>,
    /// How this node sees the mesh.
    pub membership: MembershipDump,
    /// Nodes that this one knows of.
    pub members: Vec<MemberDump>,
    /// Non-idempotent operations.
    pub operations: OperationDump,
    /// Requests that are suspected of crashing backend servers or refused.
    pub quarantine: Vec<QuarantineRecord>,
    /// Intents in force.
    pub configuration: ConfigurationDump,
    /// What the node did.
    pub counters: Counters,
}

/// How a node sees the mesh, in a [`StateDump`].
#[derive(Clone, Debug, Serialize)]
pub struct MembershipDump {
    /// Whether the node has had a whole table from another one, or is the first.
    pub is_joined: bool,
    /// Whether the host takes no new work.
    pub is_leaving: bool,
    /// Whether the view is held because many members went silent at once.
    pub is_holding: bool,
    /// Members that are not gone.
    pub live_count: usize,
    /// Members that are gone and still remembered.
    pub gone_count: usize,
    /// Members of the own data centre that do not answer.
    pub suspects_count: usize,
    /// Members whose news is still to be spread.
    pub pending_news_count: usize,
    /// Other data centres that the node tells of its own.
    pub carries_to: Vec<String>,
    /// What is known of each data centre.
    pub data_centres: Vec<DataCentreDump>,
}

/// One data centre in a [`MembershipDump`].
#[derive(Clone, Debug, Serialize)]
pub struct DataCentreDump {
    /// Its name.
    pub data_centre: String,
    /// Members that are not gone.
    pub live_count: usize,
    /// Digest of these members, in hexadecimal; nodes that agree have the same.
    pub digest: String,
}

/// One member in a [`StateDump`].
#[derive(Clone, Debug, Serialize)]
pub struct MemberDump {
    /// Control address, which identifies the node.
    pub control: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Service of its backend server.
    pub service: Option<String>,
    /// State of its backend server.
    pub state: MemberState,
    /// Whether a prober doubts that it is alive.
    pub is_suspect: bool,
    /// Life of the node.
    pub incarnation: u64,
    /// Number of the last change within that life.
    pub revision: u32,
    /// Since when it takes calls, on this node's clock, if it does; 0 if it did
    /// so before this node knew it. Slow start counts from here.
    pub takes_calls_since_ms: Option<u64>,
}

/// Level of one service in one data centre, in a [`StateDump`].
#[derive(Clone, Debug, Serialize)]
pub struct LevelDump {
    /// The service.
    pub service: String,
    /// Where its backend servers are.
    pub data_centre: String,
    /// Requests below it are refused; written as class and cohort.
    pub least_admitted: String,
    /// Time since somebody confirmed it, in milliseconds.
    pub age_ms: u64,
    /// Backend servers of the service that get no calls from this node.
    pub ejected: Vec<String>,
}

/// One kind of call in a [`StateDump`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct RouteDump {
    /// Method, service and an example of a path.
    pub example: String,
    /// Services that calls of this kind usually reach.
    pub services: Vec<String>,
}

/// Routes that a dump shows.
const ROUTES_SHOWN_COUNT: usize = 256;

impl LevelDump {
    fn all(board: &Blackboard, now: Moment) -> Vec<Self> {
        let mut dumps = Vec::new();
        for service in board.overload.services.iter() {
            let ejected = service.ejected.iter().map(|(peer, _)| peer.to_string());
            let ejected: Vec<_> = ejected.collect();
            dumps.extend(service.levels.iter().map(|level| Self {
                service: service.name.clone(),
                data_centre: level.data_centre.clone(),
                least_admitted: level.least_admitted().to_string(),
                age_ms: level.age(now.monotonic).as_millis() as u64,
                ejected: ejected.clone(),
            }));
        }
        dumps
    }
}

impl RouteDump {
    fn some(board: &Blackboard) -> Vec<Self> {
        let name = |id| board.overload.services.get(id).name.clone();
        let routes = board.overload.routes.values();
        let mut dumps: Vec<_> = routes
            .map(|route| Self {
                example: route.label.clone(),
                services: route.reached().map(name).collect(),
            })
            .collect();
        dumps.sort();
        dumps.truncate(ROUTES_SHOWN_COUNT);
        dumps
    }
}

impl StateDump {
    pub(crate) fn of(board: &Blackboard, now: Moment) -> Self {
        Self {
            control: board.settings.control.to_string(),
            data_centre: board.settings.data_centre.clone(),
            incarnation: board.settings.incarnation,
            uptime_ms: now.monotonic.as_millis() as u64,
            calls_count: board.calls.len(),
            running_count: board.gate.running_count(),
            queued_count: board.gate.queued_count(),
            gate_limit_count: board.gate.limit.limit_count(),
            gate_level: board.gate.level_controller.level().to_string(),
            ledgers_count: board.overload.ledgers.len(),
            levels: LevelDump::all(board, now),
            routes: RouteDump::some(board),
            membership: MembershipDump::of(board),
            members: MemberDump::all(board),
            operations: OperationDump::of(board, now),
            quarantine: quarantine::active_records(board, now),
            configuration: ConfigurationDump::of(board),
            counters: board.counters.clone(),
        }
    }
}

impl MembershipDump {
    fn of(board: &Blackboard) -> Self {
        let membership = &board.membership;
        Self {
            is_joined: membership.sync.is_joined(),
            is_leaving: board.members.is_leaving(),
            is_holding: membership.suspicions.is_holding(),
            live_count: board.members.live_count(),
            gone_count: board.members.gone_count(),
            suspects_count: membership.suspicions.len(),
            pending_news_count: membership.gossip.len(),
            carries_to: membership.carrier.carried().cloned().collect(),
            data_centres: board.members.views().map(DataCentreDump::of).collect(),
        }
    }
}

impl DataCentreDump {
    fn of((name, view): (&DataCentreName, &DataCentreView)) -> Self {
        Self {
            data_centre: name.clone(),
            live_count: view.live().len(),
            digest: format!("{:016x}", view.digest()),
        }
    }
}

impl MemberDump {
    fn all(board: &Blackboard) -> Vec<Self> {
        let members = board.members.iter();
        members.map(|record| Self::of(board, record)).collect()
    }

    fn of(board: &Blackboard, record: &MemberRecord) -> Self {
        let since = board.members.takes_calls_since(record.control);
        Self {
            control: record.control.to_string(),
            data_centre: record.data_centre.clone(),
            service: record.service.clone(),
            state: record.state,
            is_suspect: record.is_suspect,
            incarnation: record.incarnation,
            revision: record.revision,
            takes_calls_since_ms: since.map(|since| since.as_millis() as u64),
        }
    }
}
