//! State of a node, shared by its controllers.

use rand::{SeedableRng, rngs::StdRng};

use crate::{
    Counters, NodeSettings,
    call::CallTable,
    configuration::ConfigurationTable,
    explain::RefusalTable,
    gate::GateTable,
    membership::{MemberTable, Membership},
    operations::OperationTable,
    overload::OverloadTable,
    quarantine::QuarantineTable,
};

/// Complete state of a node, one table for each concern.
///
/// Each controller writes its own table and reads the others.
#[derive(Debug)]
pub struct Blackboard {
    /// Settings of the node, fixed at its start.
    pub(crate) settings: NodeSettings,
    /// Source of the random choices.
    pub(crate) random: StdRng,
    /// Counts of events, for metrics.
    pub(crate) counters: Counters,
    /// Calls that leave through this node.
    pub(crate) calls: CallTable,
    /// Work for the backend server of this host.
    pub(crate) gate: GateTable,
    /// Ledgers, retry allowances, admission levels and routes.
    pub(crate) overload: OverloadTable,
    /// Non-idempotent operations.
    pub(crate) operations: OperationTable,
    /// Requests that are suspected of crashing backend servers.
    pub(crate) quarantine: QuarantineTable,
    /// Members of the mesh, as this node knows them.
    pub(crate) members: MemberTable,
    /// State of the membership protocol.
    pub(crate) membership: Membership,
    /// Intents in force.
    pub(crate) configuration: ConfigurationTable,
    /// Recent refusals.
    pub(crate) refusals: RefusalTable,
    last_id: u64,
}

impl Blackboard {
    pub(crate) fn new(settings: NodeSettings) -> Self {
        let mut random = StdRng::seed_from_u64(settings.random_seed);
        Self {
            counters: Counters::default(),
            calls: CallTable::default(),
            gate: GateTable::new(&mut random),
            overload: OverloadTable::new(&mut random),
            operations: OperationTable::default(),
            quarantine: QuarantineTable::default(),
            members: MemberTable::new(&settings),
            membership: Membership::default(),
            configuration: ConfigurationTable::default(),
            refusals: RefusalTable::default(),
            last_id: 0,
            random,
            settings,
        }
    }

    /// A new id, unique since the node's start.
    pub(crate) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}
