//! Free ports on loopback.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Addresses on loopback whose ports were free a moment ago, all different.
///
/// # Errors
/// No port is free.
///
/// ```
/// assert_eq!(cluster::free_ports(3).unwrap().len(), 3);
/// ```
pub fn free_ports(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let bind = |_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
    let listeners: Vec<TcpListener> = (0..count).map(bind).collect::<Result<_, _>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}
