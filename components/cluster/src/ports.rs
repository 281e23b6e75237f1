//! Free ports on loopback.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// First port that is tried. The range ends below the ports that systems give to outgoing
/// connections, so that none of those takes a port between its choice and its use.
const FIRST_PORT: u32 = 10_000;
/// Number of ports that are tried.
const PORTS: u32 = 22_000;
/// Distance between the first ports of two processes.
const STRIDE: u32 = 509;

/// Ports that this process has tried.
static TRIED: AtomicU32 = AtomicU32::new(0);

/// Addresses on loopback whose ports are free, all different.
///
/// # Errors
/// Too few ports are free.
///
/// ```
/// assert_eq!(cluster::free_ports(3).unwrap().len(), 3);
/// ```
pub fn free_ports(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let mut free = Vec::with_capacity(count);
    let start = std::process::id().wrapping_mul(STRIDE);
    for _ in 0..PORTS {
        if free.len() == count {
            return Ok(free);
        }
        let tried = TRIED.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + start.wrapping_add(tried) % PORTS;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port as u16));
        if TcpListener::bind(address).is_ok() {
            free.push(address);
        }
    }
    Err(std::io::Error::other("too few ports are free on loopback"))
}
