//! The ledgers of requests of which a part runs on this host or enters here.

use std::{collections::HashMap, time::Duration};

use kumquatquay_wire::{LedgerToken, TraceId};

use super::Ledger;

/// Ledgers that a node keeps; work and calls beyond it are refused.
pub(crate) const LEDGERS_LIMIT_COUNT: usize = 65_536;

/// Ledgers under one trace id that a lookup by trace considers.
const SAME_TRACE_LIMIT_COUNT: usize = 16;

/// How long after its deadline a ledger is forgotten if its host never said
/// that the work ended.
const LAPSE_GRACE: Duration = Duration::from_secs(30);

/// Ledgers by token, and by trace for calls that come without their token.
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
        self.ledgers.len() >= LEDGERS_LIMIT_COUNT
    }

    /// Opens the ledger of work for the backend server; calls find it.
    pub(crate) fn insert_for_work(&mut self, token: LedgerToken, ledger: Ledger) {
        let same_trace = self.by_trace.entry(ledger.trace).or_default();
        if same_trace.len() < SAME_TRACE_LIMIT_COUNT {
            same_trace.push(token);
        }
        self.ledgers.insert(token, ledger);
    }

    /// Opens the ledger of a call that entered here; only that call has it.
    ///
    /// It is not found by trace: whoever sends the trace id of somebody else's
    /// request from outside must not inherit anything from it.
    pub(crate) fn insert_for_call(&mut self, token: LedgerToken, ledger: Ledger) {
        self.ledgers.insert(token, ledger);
    }

    pub(crate) fn get(&self, token: LedgerToken) -> Option<&Ledger> {
        self.ledgers.get(&token)
    }

    pub(crate) fn get_mut(&mut self, token: LedgerToken) -> Option<&mut Ledger> {
        self.ledgers.get_mut(&token)
    }

    /// The ledger of a call of the backend server: by the token that it passed
    /// on, else by the trace.
    ///
    /// Several parts of one request, or of requests that share a trace id by a
    /// caller's choice, may run here at once. The least important one is taken
    /// then, so that sharing a trace id gains nobody anything.
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
        let least = open.min_by_key(|(_, ledger)| (ledger.importance, ledger.deadline));
        least.map(|(token, _)| token)
    }

    /// Ends a ledger; calls that come later find none.
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

    /// Ends ledgers whose deadline passed long ago.
    pub(crate) fn remove_expired(&mut self, now: Duration) {
        let expired: Vec<_> = self
            .ledgers
            .iter()
            .filter(|(_, ledger)| ledger.deadline + LAPSE_GRACE < now)
            .map(|(token, _)| *token)
            .collect();
        for token in expired {
            self.remove(token);
        }
    }
}
