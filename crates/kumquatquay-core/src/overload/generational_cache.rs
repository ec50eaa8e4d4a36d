//! A bounded map that forgets what was not used lately.

use std::{collections::HashMap, hash::Hash, mem};

/// A map of bounded size, in two generations.
///
/// When the young generation holds half of the limit, it becomes the old one
/// and the old one is dropped. What is used moves to the young generation, so
/// an entry is dropped only after at least half the limit of other entries was
/// used since. Each operation takes constant time, also under a flood of new
/// keys, which a scan for the oldest entry would not.
#[derive(Debug)]
pub(crate) struct GenerationalCache<K, V> {
    young: HashMap<K, V>,
    old: HashMap<K, V>,
    half_limit_count: usize,
}

impl<K: Eq + Hash + Copy, V> GenerationalCache<K, V> {
    pub(crate) fn new(limit_count: usize) -> Self {
        Self {
            young: HashMap::new(),
            old: HashMap::new(),
            half_limit_count: limit_count / 2,
        }
    }

    /// The value of a key, without counting as use.
    pub(crate) fn peek(&self, key: K) -> Option<&V> {
        self.young.get(&key).or_else(|| self.old.get(&key))
    }

    /// The value of a key, as use.
    pub(crate) fn get_mut(&mut self, key: K) -> Option<&mut V> {
        if let Some(value) = self.old.remove(&key) {
            self.make_room();
            self.young.insert(key, value);
        }
        self.young.get_mut(&key)
    }

    /// The value of a key, made anew if it is not known.
    pub(crate) fn get_or_insert_with(&mut self, key: K, new: impl FnOnce() -> V) -> &mut V {
        if !self.young.contains_key(&key) {
            let value = self.old.remove(&key).unwrap_or_else(new);
            self.make_room();
            self.young.insert(key, value);
        }
        self.young
            .get_mut(&key)
            .expect("the key was inserted if it was missing")
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &V> {
        self.young.values().chain(self.old.values())
    }

    fn make_room(&mut self) {
        if self.young.len() >= self.half_limit_count {
            self.old = mem::take(&mut self.young);
        }
    }
}
