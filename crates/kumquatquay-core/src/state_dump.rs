//! State of a node, for operators and their tools.

use kumquatquay_wire::{DataCentreName, MemberRecord, MemberState, QuarantineRecord};
use serde::Serialize;

use crate::{
    Blackboard, ConfigurationDump, Counters, Moment, OperationDump, membership::DataCentreView,
    quarantine,
};

/// State of one node, serialised as JSON.
#[derive(Clone, Debug, Serialize)]
pub struct StateDump {
    /// Control address, which identifies the node.
    pub control: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Incarnation of the node.
    pub incarnation: u64,
    /// Time since the program that hosts the node started.
    pub uptime_ms: u64,
    /// Calls under way.
    pub calls_count: usize,
    /// Work that the backend server is running.
    pub running_count: usize,
    /// Work in the queue of the gate.
    pub queued_count: usize,
    /// Concurrency limit of the gate.
    pub gate_limit_count: usize,
    /// Admission level of the gate: the lowest importance that it admits.
    pub gate_level: String,
    /// Ledgers: requests that entered at this node or of which a part runs here.
    pub ledgers_count: usize,
    /// Admission levels of services, as observed by this node.
    pub levels: Vec<LevelDump>,
    /// Kinds of call and the services that they usually reach, up to a limit.
    pub routes: Vec<RouteDump>,
    /// State of the membership.
    pub membership: MembershipDump,
    /// All known members, including this node and members that are gone.
    pub members: Vec<MemberDump>,
    /// Non-idempotent operations.
    pub operations: OperationDump,
    /// Requests that are quarantined or suspected of crashing backend servers.
    pub quarantine: Vec<QuarantineRecord>,
    /// Intents in force.
    pub configuration: ConfigurationDump,
    /// Event counters since the node's start.
    pub counters: Counters,
}

/// State of the membership at a node, in a [`StateDump`].
#[derive(Clone, Debug, Serialize)]
pub struct MembershipDump {
    /// Whether the node has received a complete member table, or is the first node.
    pub is_joined: bool,
    /// Whether the host accepts no new work because it is drained or shuts down.
    pub is_leaving: bool,
    /// Whether no member is declared gone at present, because many went silent at once.
    pub is_holding: bool,
    /// Members that are not gone.
    pub live_count: usize,
    /// Members that are gone and not forgotten yet.
    pub gone_count: usize,
    /// Members of this node's data centre that are suspected because they do not answer.
    pub suspects_count: usize,
    /// Members with changes that this node still has to gossip.
    pub pending_news_count: usize,
    /// Other data centres to which this node sends the changes of its own.
    pub carries_to: Vec<String>,
    /// Members of each data centre.
    pub data_centres: Vec<DataCentreDump>,
}

/// One data centre in a [`MembershipDump`].
#[derive(Clone, Debug, Serialize)]
pub struct DataCentreDump {
    /// Name of the data centre.
    pub data_centre: String,
    /// Members that are not gone.
    pub live_count: usize,
    /// Digest of these members, in hexadecimal; equal at nodes with the same view.
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
    /// Whether it is suspected of having failed because it did not answer a probe.
    pub is_suspect: bool,
    /// Incarnation of the node.
    pub incarnation: u64,
    /// Number of the last change within the incarnation.
    pub revision: u32,
    /// Since when it accepts calls, on this node's monotonic clock; none if it accepts none,
    /// 0 if it accepted calls before this node knew it. Slow start begins at this time.
    pub takes_calls_since_ms: Option<u64>,
}

/// Admission level of one service in one data centre, in a [`StateDump`].
#[derive(Clone, Debug, Serialize)]
pub struct LevelDump {
    /// The service.
    pub service: String,
    /// Data centre of its backend servers.
    pub data_centre: String,
    /// Lowest importance that is admitted, written as class and cohort.
    pub least_admitted: String,
    /// Time since the level was last observed in an answer or in gossip.
    pub age_ms: u64,
    /// Backend servers of the service that are ejected from this node's load balancing.
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

/// Most routes in a dump.
const ROUTES_LIMIT_COUNT: usize = 256;

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
    fn up_to_limit(board: &Blackboard) -> Vec<Self> {
        let name = |id| board.overload.services.get(id).name.clone();
        let routes = board.overload.routes.values();
        let mut dumps: Vec<_> = routes
            .map(|route| Self {
                example: route.label.clone(),
                services: route.reached().map(name).collect(),
            })
            .collect();
        dumps.sort();
        dumps.truncate(ROUTES_LIMIT_COUNT);
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
            routes: RouteDump::up_to_limit(board),
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
            pending_news_count: membership.gossip_queue.len(),
            carries_to: membership.relay.relayed_to().cloned().collect(),
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
