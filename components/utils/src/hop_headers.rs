//! HTTP headers that concern one connection only (RFC 9110, section 7.6.1).

/// Whether a header must not be passed on; `name` is in lower case.
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
