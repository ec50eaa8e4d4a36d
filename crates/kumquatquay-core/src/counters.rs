//! Counts of what a node did, for metrics and the state dump.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Serialize, Serializer, ser::SerializeStruct};

/// What is counted; the text is the metric's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Counter {
    /// Calls that arrived at the entry or egress.
    #[display("calls_arrived")]
    CallsArrived,
    /// Calls that ended with an answer.
    #[display("calls_answered")]
    CallsAnswered,
    /// Calls that were refused here.
    #[display("calls_refused")]
    CallsRefused,
    /// Attempts after the first of a call.
    #[display("retries")]
    Retries,
    /// Work that arrived at the gate.
    #[display("work_arrived")]
    WorkArrived,
    /// Headers of other nodes that were forged, cut short or malformed.
    #[display("contexts_refused")]
    ContextsRefused,
    /// Control datagrams that were forged, cut short, oversized or malformed.
    #[display("datagrams_refused")]
    DatagramsRefused,
    /// Bulk questions that were forged, cut short, oversized or late.
    #[display("bulk_questions_refused")]
    BulkQuestionsRefused,
    /// Bodies that were too long, too slow or broke off.
    #[display("bodies_refused")]
    BodiesRefused,
    /// Connections closed because a listener held as many as it may.
    #[display("connections_refused")]
    ConnectionsRefused,
    /// Calls refused at their entry, for a service that they would reach.
    #[display("calls_refused_at_entry")]
    CallsRefusedAtEntry,
    /// Calls whose caller went away.
    #[display("calls_abandoned")]
    CallsAbandoned,
    /// Calls of the backend server that belong to no request under way.
    #[display("orphan_calls")]
    OrphanCalls,
    /// Answers that came twice, or after their attempt was given up.
    #[display("answers_ignored")]
    AnswersIgnored,
    /// Backend servers that were left out for looking bad.
    #[display("backend_servers_ejected")]
    BackendServersEjected,
    /// Work that the gate refused.
    #[display("work_refused")]
    WorkRefused,
    /// Operation ids issued.
    #[display("operations_issued")]
    OperationsIssued,
    /// Operations handed over by this node as their home.
    #[display("operations_handed_over")]
    OperationsHandedOver,
    /// Operations sent to their home.
    #[display("operations_forwarded")]
    OperationsForwarded,
    /// Resends answered with a stored answer.
    #[display("operations_replayed")]
    OperationsReplayed,
    /// Appends to claim streams.
    #[display("claim_appends")]
    ClaimAppends,
    /// Claims given up before anything was handed over.
    #[display("claims_given_up")]
    ClaimsGivenUp,
    /// Deaths of the backend server of this host.
    #[display("backend_deaths")]
    BackendDeaths,
    /// Work refused because it is suspected of crashing or quarantined.
    #[display("quarantine_refusals")]
    QuarantineRefusals,
    /// Work whose time ran out while it waited.
    #[display("work_expired")]
    WorkExpired,
    /// Work whose sender went away.
    #[display("work_cancelled")]
    WorkCancelled,
    /// Changes of the configuration that came in force here.
    #[display("configuration_changes_applied")]
    ConfigurationChangesApplied,
    /// Changes read from the log that were not the first on their base.
    #[display("configuration_changes_lost")]
    ConfigurationChangesLost,
    /// Changes read from the log that had won before.
    #[display("configuration_repeats")]
    ConfigurationRepeats,
    /// Reads of the configuration that the log did not answer.
    #[display("configuration_reads_failed")]
    ConfigurationReadsFailed,
    /// Times that the log was found to be another or set back.
    #[display("configuration_log_doubts")]
    ConfigurationLogDoubts,
    /// Times that the log came back from an older copy.
    #[display("configuration_log_returns")]
    ConfigurationLogReturns,
    /// Times that the log had forgotten what this node had not read.
    #[display("configuration_gaps")]
    ConfigurationGaps,
    /// Questions to other nodes about the configuration.
    #[display("configuration_peer_questions")]
    ConfigurationPeerQuestions,
    /// Snapshots appended to the log.
    #[display("configuration_snapshots_appended")]
    ConfigurationSnapshotsAppended,
    /// Appends of changes whose answer was lost.
    #[display("configuration_appends_unsure")]
    ConfigurationAppendsUnsure,
    /// Members that did not answer a probe, directly or through others.
    #[display("probes_failed")]
    ProbesFailed,
    /// Doubts about this node that it refuted.
    #[display("suspicions_refuted")]
    SuspicionsRefuted,
    /// Members that this node declared gone.
    #[display("members_declared_gone")]
    MembersDeclaredGone,
    /// Times that many members went silent at once.
    #[display("mass_silences")]
    MassSilences,
    /// Datagrams that came twice or too late to tell.
    #[display("datagrams_replayed")]
    DatagramsReplayed,
    /// Datagrams of an earlier life of their sender.
    #[display("datagrams_old")]
    DatagramsOld,
    /// Tables that this node asked another one for.
    #[display("tables_asked")]
    TablesAsked,
    /// Bulk questions and answers that could not be decoded.
    #[display("bulk_malformed")]
    BulkMalformed,
}

/// The counts since the node's start.
///
/// Several are counted for each call, so a count is found by its place.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    counts: Vec<Option<(Counter, u64)>>,
}

impl Counters {
    /// Counts one more.
    pub fn increment(&mut self, counter: Counter) {
        let place = counter as usize;
        if self.counts.len() <= place {
            self.counts.resize(place + 1, None);
        }
        let (_, count) = self.counts[place].get_or_insert((counter, 0));
        *count += 1;
    }

    /// The count of one counter.
    pub fn get(&self, counter: Counter) -> u64 {
        let count = self.counts.get(counter as usize).copied().flatten();
        count.map_or(0, |(_, count)| count)
    }

    /// All counts that are not zero.
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
