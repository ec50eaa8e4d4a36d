//! Recent calls of this node whose connection broke after the request was sent.

use std::{collections::BTreeMap, time::Duration};

use kumquatquay_wire::{Fingerprint, ServiceName};

/// How long a broken call makes its fingerprint suspect at this node.
///
/// It covers the time until the backend server's node has detected the death and its report
/// has reached this node.
const RETENTION: Duration = Duration::from_secs(5);

/// Most fingerprints in the table.
const FINGERPRINTS_LIMIT_COUNT: usize = 1_024;

/// Fingerprints of a service with broken calls up to which each of them is a suspect. With more, their
/// backend server has died under many requests, which says little of each.
const FEW_FINGERPRINTS_COUNT: usize = 2;

/// Which connection of a call broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionBreak {
    /// The one between a node and its backend server, as the node's answer says.
    Backend,
    /// The one to the node: its host or the network failed.
    Host,
}

/// Recent calls of this node whose connection broke, by service and fingerprint.
#[derive(Clone, Debug, Default)]
pub(crate) struct BrokenCalls {
    broken: BTreeMap<(ServiceName, Fingerprint), BrokenCall>,
}

#[derive(Clone, Copy, Debug, Default)]
struct BrokenCall {
    backend_count: u32,
    host_count: u32,
    expires: Duration,
}

impl BrokenCalls {
    pub(crate) fn add(
        &mut self,
        now: Duration,
        service: &ServiceName,
        fingerprint: Fingerprint,
        kind: ConnectionBreak,
    ) {
        let key = (service.clone(), fingerprint);
        if self.broken.len() >= FINGERPRINTS_LIMIT_COUNT && !self.broken.contains_key(&key) {
            self.broken.pop_first();
        }
        let broken = self.broken.entry(key).or_default();
        match kind {
            ConnectionBreak::Backend => broken.backend_count += 1,
            ConnectionBreak::Host => broken.host_count += 1,
        }
        broken.expires = now + RETENTION;
    }

    /// Forgets the broken calls of a fingerprint, after a call with it has run.
    pub(crate) fn remove(&mut self, service: &ServiceName, fingerprint: Fingerprint) {
        if !self.broken.is_empty() {
            self.broken.remove(&(service.clone(), fingerprint));
        }
    }

    /// Whether a backend server broke the connection of a call with the fingerprint, and of few
    /// others.
    pub(crate) fn is_suspect(
        &self,
        now: Duration,
        service: &str,
        fingerprint: Fingerprint,
    ) -> bool {
        let broken = self.get(now, service, fingerprint);
        broken.is_some_and(|broken| broken.backend_count > 0)
            && self.count_of(now, service) <= FEW_FINGERPRINTS_COUNT
    }

    /// Fingerprints of a service with calls whose connection a backend server broke.
    fn count_of(&self, now: Duration, service: &str) -> usize {
        let broken = self.broken.iter().filter(|((name, _), broken)| {
            name == service && broken.backend_count > 0 && broken.expires > now
        });
        broken.count()
    }

    /// Whether this node may retry a call automatically: not after a backend server broke its
    /// connection, and only once after the connection to a node broke.
    pub(crate) fn allows_retry(
        &self,
        now: Duration,
        service: &str,
        fingerprint: Fingerprint,
    ) -> bool {
        let broken = self.get(now, service, fingerprint);
        broken.is_none_or(|broken| broken.backend_count == 0 && broken.host_count < 2)
    }

    fn get(&self, now: Duration, service: &str, fingerprint: Fingerprint) -> Option<&BrokenCall> {
        if self.broken.is_empty() {
            return None;
        }
        let broken = self.broken.get(&(String::from(service), fingerprint))?;
        (broken.expires > now).then_some(broken)
    }

    pub(crate) fn remove_expired(&mut self, now: Duration) {
        self.broken.retain(|_, broken| broken.expires > now);
    }
}
