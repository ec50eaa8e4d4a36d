//! Negative cache of keys that no workspace holds.

use std::{collections::HashMap, time::Duration};

use kumquatquay_wire::routed::KeyDigest;

/// How long a key counts as unknown after this was verified.
const ENTRY_TTL: Duration = Duration::from_secs(30);

/// Limit of the cached keys; further ones replace the oldest.
const MAX_KEYS_COUNT: usize = 1_024;

/// Keys of which it was verified that no workspace holds them.
///
/// Callers may go on using a revoked key for any time. If each of their requests made the node ask
/// the store whether the key is valid again, one caller would cause more reads than the rest of the
/// fleet.
#[derive(Debug, Default)]
pub struct UnknownKeys {
    verified_at: HashMap<KeyDigest, Duration>,
}

impl UnknownKeys {
    /// Adds a key of which it was verified now that no workspace holds it.
    pub fn insert(&mut self, now: Duration, key: KeyDigest) {
        if self.verified_at.len() >= MAX_KEYS_COUNT && !self.verified_at.contains_key(&key) {
            self.evict(now);
        }
        self.verified_at.insert(key, now);
    }

    /// Whether it was verified recently that no workspace holds a key.
    pub fn contains(&self, now: Duration, key: KeyDigest) -> bool {
        let verified = self.verified_at.get(&key);
        verified.is_some_and(|verified| now < *verified + ENTRY_TTL)
    }

    /// Removes the expired keys, or the oldest one if none has expired.
    fn evict(&mut self, now: Duration) {
        self.verified_at
            .retain(|_, verified| now < *verified + ENTRY_TTL);
        if self.verified_at.len() >= MAX_KEYS_COUNT {
            let oldest = self
                .verified_at
                .iter()
                .min_by_key(|(_, verified)| **verified);
            let oldest = oldest.map(|(key, _)| *key);
            self.verified_at.retain(|key, _| Some(*key) != oldest);
        }
    }
}
