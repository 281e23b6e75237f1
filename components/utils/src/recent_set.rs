//! Bounded memory of the texts that were seen last.

use crate::{Set, hash64};
use std::collections::VecDeque;

/// The last distinct texts that were inserted, by their hashes. It tells whether a text is new, so
/// that what is read again and again is logged once.
#[derive(Debug, Clone)]
pub struct RecentSet {
    /// Hashes of the texts.
    hashes: Set<u64>,
    /// The same hashes, oldest first.
    oldest_first: VecDeque<u64>,
    /// Most texts that are kept.
    capacity: usize,
}

impl RecentSet {
    /// Creates an empty set that keeps at most `capacity` texts.
    ///
    /// ```
    /// let mut seen = utils::RecentSet::new(2);
    /// assert!(seen.insert("a") && seen.insert("b"));
    /// assert!(!seen.insert("a"));
    /// assert!(seen.insert("c") && seen.insert("a"), "the oldest text was dropped");
    /// ```
    pub fn new(capacity: usize) -> Self {
        Self {
            hashes: Set::default(),
            oldest_first: VecDeque::new(),
            capacity,
        }
    }

    /// Whether the set holds a text.
    ///
    /// ```
    /// let mut seen = utils::RecentSet::new(2);
    /// seen.insert("a");
    /// assert!(seen.contains("a") && !seen.contains("b"));
    /// ```
    pub fn contains(&self, text: &str) -> bool {
        self.hashes.contains(&hash64(text))
    }

    /// Inserts a text and returns true if the set did not hold it. Drops the oldest one if there
    /// are too many.
    pub fn insert(&mut self, text: &str) -> bool {
        let hash = hash64(text);
        if !self.hashes.insert(hash) {
            return false;
        }
        self.oldest_first.push_back(hash);
        if self.oldest_first.len() > self.capacity
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.hashes.remove(&oldest);
        }
        true
    }
}
