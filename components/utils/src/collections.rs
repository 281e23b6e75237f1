//! Hash collections with a fast hasher that does not resist chosen collisions: only for keys that
//! callers can't choose freely.

/// Hash map for keys that callers can't choose freely.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set for keys that callers can't choose freely.
pub type Set<K> = rustc_hash::FxHashSet<K>;
