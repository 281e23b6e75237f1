//! Names that callers choose, in a form of bounded length.

use xxhash_rust::xxh3::xxh3_128;

/// Longest name that is kept as it is, in bytes.
const MAX_NAME_BYTES: usize = 48;

/// Form of a name that the scheduler keeps: the name itself, or a digest of a long one. Equal names have
/// equal forms.
///
/// ```
/// assert_eq!(flow::bounded_name("rack-3"), "rack-3");
/// assert!(flow::bounded_name(&"a".repeat(1_000)).len() < 48);
/// ```
pub fn bounded_name(name: &str) -> String {
    if name.len() <= MAX_NAME_BYTES {
        return name.to_owned();
    }
    format!("xxh3:{:032x}", xxh3_128(name.as_bytes()))
}

/// Whether `name` has the form `bounded`.
///
/// ```
/// let name = "a".repeat(1_000);
/// assert!(flow::has_form(&name, &flow::bounded_name(&name)));
/// assert!(!flow::has_form("rack-3", "rack-4"));
/// ```
pub fn has_form(name: &str, bounded: &str) -> bool {
    name == bounded || (name.len() > MAX_NAME_BYTES && bounded_name(name) == bounded)
}
