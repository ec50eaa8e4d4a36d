//! Table of the ledgers at this node.

use std::{collections::HashMap, time::Duration};

use kumquatquay_wire::{LedgerToken, TraceId};

use super::Ledger;

/// Maximum number of ledgers; when it is reached, calls are refused.
pub(crate) const MAX_LEDGERS_COUNT: usize = 65_536;

/// Maximum number of ledgers with the same trace id that can be found by trace.
const MAX_SAME_TRACE_COUNT: usize = 16;

/// Time after its deadline at which a ledger expires, if the host has not reported the end of
/// the work.
const EXPIRY_GRACE: Duration = Duration::from_secs(30);

/// Ledgers by token, and by trace id for calls that arrive without a token.
#[derive(Debug, Default)]
pub(crate) struct LedgerTable {
    ledgers: HashMap<LedgerToken, Ledger>,
    by_trace: HashMap<TraceId, Vec<LedgerToken>>,
}

impl LedgerTable {
    pub(crate) fn len(&self) -> usize {
        self.ledgers.len()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.ledgers.len() >= MAX_LEDGERS_COUNT
    }

    /// Inserts the ledger of work for the backend server, whose calls find it by token or trace
    /// id.
    pub(crate) fn insert_for_work(&mut self, token: LedgerToken, ledger: Ledger) {
        let same_trace = self.by_trace.entry(ledger.trace).or_default();
        if same_trace.len() < MAX_SAME_TRACE_COUNT {
            same_trace.push(token);
        }
        self.ledgers.insert(token, ledger);
    }

    /// Inserts the ledger that belongs to a single call.
    ///
    /// It can't be found by trace id: a caller who uses the trace id of another request must
    /// not inherit anything from that request.
    pub(crate) fn insert_for_call(&mut self, token: LedgerToken, ledger: Ledger) {
        self.ledgers.insert(token, ledger);
    }

    pub(crate) fn get(&self, token: LedgerToken) -> Option<&Ledger> {
        self.ledgers.get(&token)
    }

    pub(crate) fn get_mut(&mut self, token: LedgerToken) -> Option<&mut Ledger> {
        self.ledgers.get_mut(&token)
    }

    /// Finds the ledger of a call of the backend server, by the token that it propagated or
    /// else by trace id.
    ///
    /// Several parts of one request, or several requests to which callers gave the same trace
    /// id, may run here at the same time. The least important one is chosen then, so that
    /// sharing a trace id has no advantage.
    pub(crate) fn find(
        &self,
        token: Option<LedgerToken>,
        trace: Option<TraceId>,
    ) -> Option<LedgerToken> {
        let by_token = token.filter(|token| self.is_work(*token));
        by_token.or_else(|| self.find_by_trace(trace?))
    }

    fn is_work(&self, token: LedgerToken) -> bool {
        let Some(ledger) = self.ledgers.get(&token) else {
            return false;
        };
        let same_trace = self.by_trace.get(&ledger.trace);
        same_trace.is_some_and(|tokens| tokens.contains(&token))
    }

    fn find_by_trace(&self, trace: TraceId) -> Option<LedgerToken> {
        let tokens = self.by_trace.get(&trace)?;
        let open = tokens
            .iter()
            .filter_map(|token| Some((*token, self.ledgers.get(token)?)));
        let least_important = open.min_by_key(|(_, ledger)| (ledger.importance, ledger.deadline));
        least_important.map(|(token, _)| token)
    }

    /// Removes a ledger; later calls can't find it.
    pub(crate) fn remove(&mut self, token: LedgerToken) -> Option<Ledger> {
        let ledger = self.ledgers.remove(&token)?;
        if let Some(same_trace) = self.by_trace.get_mut(&ledger.trace) {
            same_trace.retain(|other| *other != token);
            if same_trace.is_empty() {
                self.by_trace.remove(&ledger.trace);
            }
        }
        Some(ledger)
    }

    /// Removes the ledgers whose deadline passed more than [`EXPIRY_GRACE`] ago.
    pub(crate) fn remove_expired(&mut self, now: Duration) {
        let expired: Vec<_> = self
            .ledgers
            .iter()
            .filter(|(_, ledger)| ledger.deadline + EXPIRY_GRACE < now)
            .map(|(token, _)| *token)
            .collect();
        for token in expired {
            self.remove(token);
        }
    }
}
