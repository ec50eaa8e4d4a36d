//! Event counters of a node, for metrics and the state dump.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Serialize, Serializer, ser::SerializeStruct};

/// An event that is counted; its text is the name of the metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Counter {
    /// Calls that arrived at the entry or egress listener.
    #[display("calls_arrived")]
    CallsArrived,
    /// Calls that ended with an answer.
    #[display("calls_answered")]
    CallsAnswered,
    /// Calls that this node refused.
    #[display("calls_refused")]
    CallsRefused,
    /// Attempts of a call after the first one.
    #[display("retries")]
    Retries,
    /// Work that arrived at the gate.
    #[display("work_arrived")]
    WorkArrived,
    /// Headers of other nodes that were forged, truncated or malformed.
    #[display("contexts_refused")]
    ContextsRefused,
    /// Control datagrams that were forged, truncated, oversized or malformed.
    #[display("datagrams_refused")]
    DatagramsRefused,
    /// Bulk questions that were forged, truncated, oversized or too slow.
    #[display("bulk_questions_refused")]
    BulkQuestionsRefused,
    /// Request bodies that were too long, too slow or truncated.
    #[display("bodies_refused")]
    BodiesRefused,
    /// Connections closed because a listener was at its connection limit.
    #[display("connections_refused")]
    ConnectionsRefused,
    /// Calls refused at the entry because a service that they usually reach is overloaded.
    #[display("calls_refused_at_entry")]
    CallsRefusedAtEntry,
    /// Calls whose caller no longer waits for the answer.
    #[display("calls_abandoned")]
    CallsAbandoned,
    /// Calls of the backend server that can't be attributed to a request under way.
    #[display("orphan_calls")]
    OrphanCalls,
    /// Answers that arrived a second time, or after their attempt was cancelled.
    #[display("answers_ignored")]
    AnswersIgnored,
    /// Backend servers that outlier detection ejected from load balancing.
    #[display("backend_servers_ejected")]
    BackendServersEjected,
    /// Work that the gate refused.
    #[display("work_refused")]
    WorkRefused,
    /// Operation ids issued.
    #[display("operations_issued")]
    OperationsIssued,
    /// Operations that this node, as their home, sent to a backend server.
    #[display("operations_handed_over")]
    OperationsHandedOver,
    /// Operations forwarded to their home, the node that decides whether they run.
    #[display("operations_forwarded")]
    OperationsForwarded,
    /// Resends of operations that were answered with a stored answer.
    #[display("operations_replayed")]
    OperationsReplayed,
    /// Appends to claim streams.
    #[display("claim_appends")]
    ClaimAppends,
    /// Claims given up before the operation was sent to a backend server.
    #[display("claims_given_up")]
    ClaimsGivenUp,
    /// Deaths of the backend server of this host.
    #[display("backend_deaths")]
    BackendDeaths,
    /// Work refused because its fingerprint is quarantined, or is suspect and can't run now.
    #[display("quarantine_refusals")]
    QuarantineRefusals,
    /// Work refused by the gate because its deadline had passed, or would before it ended.
    #[display("work_expired")]
    WorkExpired,
    /// Work that its sender cancelled.
    #[display("work_cancelled")]
    WorkCancelled,
    /// Configuration changes that were put in force.
    #[display("configuration_changes_applied")]
    ConfigurationChangesApplied,
    /// Configuration changes read from the log that were rejected: their base was no longer
    /// current, or they could not be applied.
    #[display("configuration_changes_lost")]
    ConfigurationChangesLost,
    /// Configuration changes read from the log that had been put in force before.
    #[display("configuration_repeats")]
    ConfigurationRepeats,
    /// Reads of the configuration log that were not answered.
    #[display("configuration_reads_failed")]
    ConfigurationReadsFailed,
    /// Times that the log was found to have gone backwards, to be another one, or to lack
    /// records that this node needs.
    #[display("configuration_log_doubts")]
    ConfigurationLogDoubts,
    /// Times that the log was restored from a backup.
    #[display("configuration_log_returns")]
    ConfigurationLogReturns,
    /// Times that the log had dropped records that this node had not read yet.
    #[display("configuration_gaps")]
    ConfigurationGaps,
    /// Configuration questions sent to other nodes.
    #[display("configuration_peer_questions")]
    ConfigurationPeerQuestions,
    /// Configuration snapshots appended to the log.
    #[display("configuration_snapshots_appended")]
    ConfigurationSnapshotsAppended,
    /// Appends of configuration changes whose answer was lost.
    #[display("configuration_appends_unsure")]
    ConfigurationAppendsUnsure,
    /// Probes that a member answered neither directly nor through other members.
    #[display("probes_failed")]
    ProbesFailed,
    /// Suspicions about this node that it refuted.
    #[display("suspicions_refuted")]
    SuspicionsRefuted,
    /// Members that this node declared gone after an unrefuted suspicion.
    #[display("members_declared_gone")]
    MembersDeclaredGone,
    /// Times that many members went silent at once, so that this node stopped declaring
    /// members gone for a while.
    #[display("mass_silences")]
    MassSilences,
    /// Datagrams that arrived a second time, or too late to check whether they had.
    #[display("datagrams_replayed")]
    DatagramsReplayed,
    /// Datagrams of an earlier incarnation of their sender.
    #[display("datagrams_old")]
    DatagramsOld,
    /// Member tables that this node requested from another one.
    #[display("tables_asked")]
    TablesAsked,
    /// Bulk questions and answers that could not be decoded.
    #[display("bulk_malformed")]
    BulkMalformed,
}

/// Values of all counters since the node's start.
///
/// Each call increments several counters, so a counter is found by its index.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    counts: Vec<Option<(Counter, u64)>>,
}

impl Counters {
    /// Adds one to a counter.
    pub fn increment(&mut self, counter: Counter) {
        let index = counter as usize;
        if self.counts.len() <= index {
            self.counts.resize(index + 1, None);
        }
        let (_, count) = self.counts[index].get_or_insert((counter, 0));
        *count += 1;
    }

    /// Value of a counter.
    pub fn get(&self, counter: Counter) -> u64 {
        let count = self.counts.get(counter as usize).copied().flatten();
        count.map_or(0, |(_, count)| count)
    }

    /// All counters that are not zero.
    pub fn iter(&self) -> impl Iterator<Item = (Counter, u64)> + '_ {
        self.counts.iter().copied().flatten()
    }
}

impl Serialize for Counters {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let counts: BTreeMap<_, _> = self.iter().collect();
        let mut fields = serializer.serialize_struct("Counters", 1)?;
        fields.serialize_field("counts", &counts)?;
        fields.end()
    }
}
