//! HTTP headers that apply to a single connection (RFC 9110, section 7.6.1).

/// Returns whether a proxy must not forward the header `name`, which is in lower case.
///
/// ```
/// assert!(utils::is_hop_header("transfer-encoding"));
/// assert!(!utils::is_hop_header("content-type"));
/// ```
pub fn is_hop_header(name: &str) -> bool {
    matches!(
        name,
        "connection"
            | "keep-alive"
            | "proxy-authenticate"
            | "proxy-authorization"
            | "proxy-connection"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | "host"
            | "content-length"
            | "expect"
    )
}
