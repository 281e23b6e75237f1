//! Small messages as datagrams: pulses of agents and digests of entries.
//!
//! A lost pulse costs a whole heartbeat over TCP; a lost digest is made up for by the next.

use crate::{Digest, Meter, Pulse, PulseAck};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::timeout;

/// Largest datagram, in bytes; it fits one packet of any network.
const MAX_DATAGRAM_BYTES: usize = 1_200;

/// A message to an entry in one datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// A pulse that is answered.
    Pulse(Pulse),
    /// A pulse that is not answered.
    QuietPulse(Pulse),
    /// A digest of another entry; not answered.
    Digest(Digest),
}

fn encode<T: Serialize>(message: &T) -> io::Result<Vec<u8>> {
    let bytes = postcard::to_stdvec(message).map_err(io::Error::other)?;
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(io::Error::other("the message is larger than a datagram"));
    }
    Ok(bytes)
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> io::Result<T> {
    postcard::from_bytes(bytes).map_err(io::Error::other)
}

/// Sends a message from a socket of its own, for its answer.
async fn send(entry: SocketAddr, message: &Datagram) -> io::Result<UdpSocket> {
    let unspecified = if entry.is_ipv4() {
        "0.0.0.0:0"
    } else {
        "[::]:0"
    };
    let socket = UdpSocket::bind(unspecified).await?;
    socket.connect(entry).await?;
    socket.send(&encode(message)?).await?;
    Ok(socket)
}

/// Sends a pulse and waits for its answer.
///
/// # Errors
/// The pulse does not fit a datagram, or no answer came within `limit`.
pub async fn send_pulse(entry: SocketAddr, pulse: &Pulse, limit: Duration) -> io::Result<PulseAck> {
    let socket = send(entry, &Datagram::Pulse(pulse.clone())).await?;
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    let count = timeout(limit, socket.recv(&mut buffer)).await??;
    decode(&buffer[..count])
}

/// Sends a pulse without waiting for anything.
///
/// # Errors
/// The pulse does not fit a datagram, or can't be sent.
pub async fn send_quiet_pulse(entry: SocketAddr, pulse: &Pulse) -> io::Result<()> {
    send(entry, &Datagram::QuietPulse(pulse.clone()))
        .await
        .map(drop)
}

/// Sends a digest to another entry, without waiting for anything, and counts it in `meter`.
///
/// # Errors
/// The digest can't be sent.
pub async fn send_digest(peer: SocketAddr, digest: Digest, meter: &Meter) -> io::Result<()> {
    let message = Datagram::Digest(digest);
    meter.sent(encode(&message)?.len());
    send(peer, &message).await.map(drop)
}

/// Takes datagrams for ever and sends back what `answer` gives; those that can't be read are
/// passed over. All are counted in `meter`.
///
/// # Errors
/// The address can't be bound.
pub async fn serve_datagrams<F>(
    address: SocketAddr,
    meter: Meter,
    answer: impl Fn(Datagram) -> F + 'static,
) -> io::Result<()>
where
    F: Future<Output = Option<PulseAck>> + 'static,
{
    let socket = UdpSocket::bind(address).await?;
    actix_rt::spawn(async move {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((count, sender)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            meter.received(count);
            let Ok(message) = decode(&buffer[..count]) else {
                continue;
            };
            let Some(ack) = answer(message).await else {
                continue;
            };
            if let Ok(bytes) = encode(&ack) {
                meter.sent(bytes.len());
                drop(socket.send_to(&bytes, sender).await);
            }
        }
    });
    Ok(())
}
