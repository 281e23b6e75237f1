//! Free ports on loopback.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Mutex, PoisonError};

/// First port that is tried. The range ends below the ports that systems give to outgoing
/// connections, so that none of those takes a port between its choice and its use.
const FIRST_PORT: u16 = 10_000;
/// Ports of a block; a process takes whole blocks.
const BLOCK_PORTS: u16 = 100;
/// Number of blocks.
const BLOCKS: u16 = 220;

/// Blocks that this process has taken.
static TAKEN: Mutex<Vec<Block>> = Mutex::new(Vec::new());

/// Ports that no other process chooses from while this one lives.
#[derive(Debug)]
struct Block {
    /// Listens on the block's first port, which tells other processes that it is taken.
    _claim: TcpListener,
    /// Next port to try.
    next: u16,
    /// Port after the last one.
    end: u16,
}

impl Block {
    fn take(index: u16) -> Option<Self> {
        let first = FIRST_PORT + index * BLOCK_PORTS;
        let claim = TcpListener::bind(local(first)).ok()?;
        Some(Self {
            _claim: claim,
            next: first + 1,
            end: first + BLOCK_PORTS,
        })
    }

    fn next_free(&mut self) -> Option<SocketAddr> {
        let address = (self.next..self.end).map(local).find(|a| is_free(*a));
        self.next = address.map_or(self.end, |address| address.port() + 1);
        address
    }
}

fn local(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Whether nobody listens. Binding would tell more, but a process that another thread starts at
/// that moment would hold the port on for an instant.
fn is_free(address: SocketAddr) -> bool {
    TcpStream::connect(address).is_err()
}

/// Addresses on loopback whose ports are free, all different, and not chosen by another process
/// that chooses in this way.
///
/// # Errors
/// Too few ports are free.
///
/// ```
/// assert_eq!(cluster::free_ports(3).unwrap().len(), 3);
/// ```
pub fn free_ports(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let mut taken = TAKEN.lock().unwrap_or_else(PoisonError::into_inner);
    let mut free = Vec::with_capacity(count);
    while free.len() < count {
        match taken.last_mut().and_then(Block::next_free) {
            Some(address) => free.push(address),
            None => taken.push(another_block()?),
        }
    }
    Ok(free)
}

/// Takes a block that no process has; processes start their search at different ones.
fn another_block() -> std::io::Result<Block> {
    let start = std::process::id() % u32::from(BLOCKS);
    let order = (0..BLOCKS).map(|offset| (start as u16 + offset) % BLOCKS);
    let mut found = order.filter_map(Block::take);
    found
        .next()
        .ok_or_else(|| std::io::Error::other("too few ports are free on loopback"))
}
