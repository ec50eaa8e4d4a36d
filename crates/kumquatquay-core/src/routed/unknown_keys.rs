//! Keys that no workspace holds, and that are shown all the same.

use std::{collections::HashMap, time::Duration};

use kumquatquay_wire::routed::KeyDigest;

/// Time for which a key counts as one of nobody after that was found out.
const REMEMBERED: Duration = Duration::from_secs(30);

/// Keys that are remembered; a flood of others takes their places.
const LIMIT_COUNT: usize = 1_024;

/// Keys of which it was proved that no workspace holds them.
///
/// Callers go on with a key after it was taken away, for as long as they like. If each of their
/// requests asked the store whether the key has come back, one caller would cost more reads than
/// the whole fleet.
#[derive(Debug, Default)]
pub struct UnknownKeys {
    known: HashMap<KeyDigest, Duration>,
}

impl UnknownKeys {
    /// No workspace holds a key, as was proved now.
    pub fn insert(&mut self, now: Duration, key: KeyDigest) {
        if self.known.len() >= LIMIT_COUNT && !self.known.contains_key(&key) {
            self.make_room(now);
        }
        self.known.insert(key, now);
    }

    /// Whether a key was found to be one of nobody lately.
    pub fn contains(&self, now: Duration, key: KeyDigest) -> bool {
        let found_out = self.known.get(&key);
        found_out.is_some_and(|found_out| now < *found_out + REMEMBERED)
    }

    /// Forgets those that are too old, and one more if there are none.
    fn make_room(&mut self, now: Duration) {
        self.known
            .retain(|_, found_out| now < *found_out + REMEMBERED);
        if self.known.len() >= LIMIT_COUNT {
            let oldest = self.known.iter().min_by_key(|(_, found_out)| **found_out);
            let oldest = oldest.map(|(key, _)| *key);
            self.known.retain(|key, _| Some(*key) != oldest);
        }
    }
}
