//! Rendezvous hashing (Thaler and Ravishankar, 1998).

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns a 64-bit hash of `text` that is the same in every process.
///
/// ```
/// assert_eq!(utils::hash64("a"), utils::hash64("a"));
/// ```
pub fn hash64(text: &str) -> u64 {
    xxh3_64_with_seed(text.as_bytes(), 0)
}

/// Orders `members` by their hashed weight for `key`, highest first; `name` identifies a member.
///
/// Removing a member does not change the order of the others.
///
/// ```
/// let all = utils::rank("key", ["a", "b", "c"].into_iter(), |member| member);
/// let fewer = utils::rank("key", all[1..].iter().copied(), |member| member);
/// assert_eq!(all[1..], fewer);
/// ```
pub fn rank<T>(key: &str, members: impl Iterator<Item = T>, name: impl Fn(&T) -> &str) -> Vec<T> {
    let seed = hash64(key);
    let mut weighted: Vec<(u64, T)> = members
        .map(|member| (xxh3_64_with_seed(name(&member).as_bytes(), seed), member))
        .collect();
    weighted.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    weighted.into_iter().map(|(_, member)| member).collect()
}
