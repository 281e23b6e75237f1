//! Hash collections with a fast hasher, for keys that callers do not choose freely.

/// Hash map with a fast hasher.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with a fast hasher.
pub type Set<K> = rustc_hash::FxHashSet<K>;
