//! Allocates free ports on loopback to concurrent processes.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Mutex, PoisonError};

/// First port of the range. The range ends below the ephemeral ports of common systems, so that no
/// outgoing connection can take a port between its allocation and its use.
const FIRST_PORT: u16 = 10_000;
/// Number of ports in a block; a process claims whole blocks.
const PORTS_PER_BLOCK: u16 = 100;
/// Number of blocks in the range.
const BLOCK_COUNT: u16 = 220;

/// Blocks claimed by this process; ports are allocated from the last one.
static CLAIMED_BLOCKS: Mutex<Vec<Block>> = Mutex::new(Vec::new());

/// A range of ports from which no other process allocates while this one is running.
#[derive(Debug)]
struct Block {
    /// Listener on the first port of the block, which stops other processes from claiming it.
    _claim: TcpListener,
    /// Next port to check.
    next: u16,
    /// End of the block, exclusive.
    end: u16,
}

impl Block {
    /// Claims a block; `None` if its first port is in use.
    fn claim(index: u16) -> Option<Self> {
        let first = FIRST_PORT + index * PORTS_PER_BLOCK;
        let claim = TcpListener::bind(loopback(first)).ok()?;
        Some(Self {
            _claim: claim,
            next: first + 1,
            end: first + PORTS_PER_BLOCK,
        })
    }

    /// Allocates the next free port; `None` if the block has none left.
    fn allocate(&mut self) -> Option<SocketAddr> {
        let address = (self.next..self.end).map(loopback).find(|a| is_free(*a));
        self.next = address.map_or(self.end, |address| address.port() + 1);
        address
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Whether nothing listens on the address. Binding would be a stricter check, but a child process
/// that another thread spawns at that moment would inherit the socket and keep the port in use for an
/// instant.
fn is_free(address: SocketAddr) -> bool {
    TcpStream::connect(address).is_err()
}

/// Allocates `count` different loopback addresses with free ports. No other process that uses this
/// function gets the same ports while this one is running.
///
/// # Errors
/// Returns an error if no block of ports is left that this process could claim.
///
/// ```
/// assert_eq!(cluster::free_ports(3).unwrap().len(), 3);
/// ```
pub fn free_ports(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let mut blocks = CLAIMED_BLOCKS
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let mut free = Vec::with_capacity(count);
    while free.len() < count {
        match blocks.last_mut().and_then(Block::allocate) {
            Some(address) => free.push(address),
            None => blocks.push(claim_block()?),
        }
    }
    Ok(free)
}

/// Claims a block that no process has claimed. The search starts at a block that depends on the
/// process id, so that concurrent processes rarely compete for the same one.
fn claim_block() -> std::io::Result<Block> {
    let start = std::process::id() % u32::from(BLOCK_COUNT);
    let order = (0..BLOCK_COUNT).map(|offset| (start as u16 + offset) % BLOCK_COUNT);
    let mut claimed = order.filter_map(Block::claim);
    claimed
        .next()
        .ok_or_else(|| std::io::Error::other("no free block of ports is left on loopback"))
}
