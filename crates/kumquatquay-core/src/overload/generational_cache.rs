//! A bounded map that evicts entries that were not used recently.

use std::{collections::HashMap, hash::Hash, mem};

/// A map of bounded size with two generations, as an approximation of an LRU cache.
///
/// When the young generation holds half of the limit, it becomes the old generation and the
/// previous old one is dropped. An entry that is used moves to the young generation, so that it
/// is dropped only after other entries numbering at least half of the limit were used. Each
/// operation takes amortised constant time even if many new keys arrive, unlike a scan for the
/// oldest entry.
#[derive(Debug)]
pub(crate) struct GenerationalCache<K, V> {
    young: HashMap<K, V>,
    old: HashMap<K, V>,
    generation_limit_count: usize,
}

impl<K: Eq + Hash + Copy, V> GenerationalCache<K, V> {
    pub(crate) fn new(limit_count: usize) -> Self {
        Self {
            young: HashMap::new(),
            old: HashMap::new(),
            generation_limit_count: limit_count / 2,
        }
    }

    /// Returns the value of a key without marking it as used.
    pub(crate) fn peek(&self, key: K) -> Option<&V> {
        self.young.get(&key).or_else(|| self.old.get(&key))
    }

    /// Returns the value of a key and marks it as used.
    pub(crate) fn get_mut(&mut self, key: K) -> Option<&mut V> {
        if let Some(value) = self.old.remove(&key) {
            self.rotate_if_full();
            self.young.insert(key, value);
        }
        self.young.get_mut(&key)
    }

    /// Returns the value of a key, inserting `new()` if there is none, and marks it as used.
    pub(crate) fn get_or_insert_with(&mut self, key: K, new: impl FnOnce() -> V) -> &mut V {
        if !self.young.contains_key(&key) {
            let value = self.old.remove(&key).unwrap_or_else(new);
            self.rotate_if_full();
            self.young.insert(key, value);
        }
        self.young
            .get_mut(&key)
            .expect("the key was inserted if it was missing")
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &V> {
        self.young.values().chain(self.old.values())
    }

    fn rotate_if_full(&mut self) {
        if self.young.len() >= self.generation_limit_count {
            self.old = mem::take(&mut self.young);
        }
    }
}
