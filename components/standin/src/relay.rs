//! Network relay that can cut or silence connections, for tests of network faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

/// Largest number of bytes forwarded in one step.
const CHUNK_BYTES: usize = 16 << 10;
/// Largest datagram that is forwarded whole, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1_500;
/// Bytes that IPv4 and UDP add to each datagram.
const DATAGRAM_HEADER_BYTES: usize = 28;
/// Longest wait for the answer to a datagram.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which a connection checks for a change of the mode.
const MODE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How the relay treats connections and datagrams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum RelayMode {
    /// Forwards everything.
    Pass = 0,
    /// Connections that are open at the change stay open but forward nothing while the mode lasts;
    /// new ones work.
    SilenceOpen = 1,
    /// Closes the connections that are open at the change; new ones work.
    CutOpen = 2,
    /// Forwards nothing; new connections are closed and datagrams dropped.
    Block = 3,
}

/// Relay of TCP connections and UDP datagrams to one address.
pub struct Relay {
    /// Address on which it listens, for both TCP and UDP.
    pub address: SocketAddr,
    /// State shared with the tasks of its connections.
    shared: Arc<Shared>,
}

/// State shared by a relay and its connections.
struct Shared {
    /// Current [`RelayMode`].
    mode: AtomicU8,
    /// Number of changes of the mode, wrapping; distinguishes older connections from newer ones.
    generation: AtomicU8,
    /// Address to which it forwards.
    target: SocketAddr,
    /// Bytes forwarded in both directions.
    passed_bytes: AtomicU64,
}

impl Relay {
    /// Starts a relay to `target` on this thread's runtime.
    ///
    /// # Errors
    /// The address can't be bound.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            mode: AtomicU8::new(0),
            generation: AtomicU8::new(0),
            target,
            passed_bytes: AtomicU64::new(0),
        });
        let datagrams = UdpSocket::bind(address).await?;
        actix_rt::spawn(accept(listener, shared.clone()));
        actix_rt::spawn(relay_datagrams(Arc::new(datagrams), shared.clone()));
        Ok(Self { address, shared })
    }

    /// Bytes forwarded so far, in both directions. Datagrams count with their IPv4 and UDP headers
    /// and only once they are answered.
    pub fn passed_bytes(&self) -> u64 {
        self.shared.passed_bytes.load(Ordering::Relaxed)
    }

    /// Changes the mode; `SilenceOpen` and `CutOpen` affect only connections that are open now.
    pub fn set_mode(&self, mode: RelayMode) {
        self.shared.generation.fetch_add(1, Ordering::SeqCst);
        self.shared.mode.store(mode as u8, Ordering::SeqCst);
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((caller, _)) = listener.accept().await else {
            continue;
        };
        if shared.mode.load(Ordering::SeqCst) == RelayMode::Block as u8 {
            continue;
        }
        let Ok(target) = TcpStream::connect(shared.target).await else {
            continue;
        };
        let generation = shared.generation.load(Ordering::SeqCst);
        let (caller_read, caller_write) = caller.into_split();
        let (target_read, target_write) = target.into_split();
        actix_rt::spawn(forward(
            caller_read,
            target_write,
            shared.clone(),
            generation,
        ));
        actix_rt::spawn(forward(
            target_read,
            caller_write,
            shared.clone(),
            generation,
        ));
    }
}

/// Forwards datagrams, and the answer to each if it arrives within [`ANSWER_TIMEOUT`].
async fn relay_datagrams(socket: Arc<UdpSocket>, shared: Arc<Shared>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((count, caller)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if shared.mode.load(Ordering::SeqCst) == RelayMode::Block as u8 {
            continue;
        }
        let (socket, shared) = (socket.clone(), shared.clone());
        let datagram = buffer[..count].to_vec();
        actix_rt::spawn(async move {
            drop(relay_datagram(&socket, &shared, &datagram, caller).await);
        });
    }
}

async fn relay_datagram(
    socket: &UdpSocket,
    shared: &Shared,
    datagram: &[u8],
    caller: SocketAddr,
) -> std::io::Result<()> {
    let onward = UdpSocket::bind("127.0.0.1:0").await?;
    onward.connect(shared.target).await?;
    onward.send(datagram).await?;
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    let count = tokio::time::timeout(ANSWER_TIMEOUT, onward.recv(&mut buffer)).await??;
    socket.send_to(&buffer[..count], caller).await?;
    let passed = datagram.len() + count + 2 * DATAGRAM_HEADER_BYTES;
    shared
        .passed_bytes
        .fetch_add(passed as u64, Ordering::Relaxed);
    Ok(())
}

/// Forwards one direction of a connection until either side closes or the mode cuts it.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    shared: Arc<Shared>,
    generation: u8,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let is_old = shared.generation.load(Ordering::SeqCst) != generation;
        let mode = shared.mode.load(Ordering::SeqCst);
        if is_old && mode == RelayMode::CutOpen as u8 {
            return;
        }
        let is_silent =
            mode == RelayMode::Block as u8 || (is_old && mode == RelayMode::SilenceOpen as u8);
        if is_silent {
            tokio::time::sleep(MODE_POLL_INTERVAL).await;
            continue;
        }
        let read = tokio::time::timeout(MODE_POLL_INTERVAL, from.read(&mut buffer)).await;
        match read {
            Err(_) => {}
            Ok(Ok(0) | Err(_)) => return,
            Ok(Ok(count)) => {
                // The mode may have changed during the read.
                let is_old = shared.generation.load(Ordering::SeqCst) != generation;
                let mode = shared.mode.load(Ordering::SeqCst);
                if is_old && mode != RelayMode::Pass as u8 {
                    continue;
                }
                shared
                    .passed_bytes
                    .fetch_add(count as u64, Ordering::Relaxed);
                if to.write_all(&buffer[..count]).await.is_err() {
                    return;
                }
            }
        }
    }
}
