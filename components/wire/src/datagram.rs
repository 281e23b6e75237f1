//! Small periodic messages over UDP: pulses of agents and digests of entries.
//!
//! After a lost pulse the agent sends a whole heartbeat over TCP. A lost digest needs no
//! repetition, as the next one replaces it.

use crate::{Digest, Meter, Pulse, PulseAck};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::timeout;

/// Largest datagram, in bytes; fits into one packet of any network, without fragmentation.
const MAX_DATAGRAM_BYTES: usize = 1_200;

/// A message to an entry in one datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// A pulse that the entry acknowledges.
    Pulse(Pulse),
    /// A pulse that the entry doesn't acknowledge.
    #[serde(rename = "QuietPulse")]
    UnacknowledgedPulse(Pulse),
    /// A digest of another entry; not acknowledged.
    Digest(Digest),
}

/// Encodes a message; fails if it exceeds [`MAX_DATAGRAM_BYTES`].
fn encode<T: Serialize>(message: &T) -> io::Result<Vec<u8>> {
    let bytes = postcard::to_stdvec(message).map_err(io::Error::other)?;
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(io::Error::other(format!(
            "the message has {} bytes and a datagram at most {MAX_DATAGRAM_BYTES}",
            bytes.len()
        )));
    }
    Ok(bytes)
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> io::Result<T> {
    postcard::from_bytes(bytes).map_err(io::Error::other)
}

/// Sends a message from a new socket, which is returned to receive the acknowledgement.
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

/// Sends a pulse and waits for its acknowledgement.
///
/// # Errors
/// The pulse does not fit into a datagram, or no acknowledgement arrived within `limit`.
pub async fn send_pulse(entry: SocketAddr, pulse: &Pulse, limit: Duration) -> io::Result<PulseAck> {
    let socket = send(entry, &Datagram::Pulse(pulse.clone())).await?;
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    let count = timeout(limit, socket.recv(&mut buffer)).await??;
    decode(&buffer[..count])
}

/// Sends a pulse that is not acknowledged.
///
/// # Errors
/// The pulse does not fit into a datagram, or can't be sent.
pub async fn send_unacknowledged_pulse(entry: SocketAddr, pulse: &Pulse) -> io::Result<()> {
    send(entry, &Datagram::UnacknowledgedPulse(pulse.clone()))
        .await
        .map(drop)
}

/// Sends a digest to another entry and counts it in `meter`; digests are not acknowledged.
///
/// # Errors
/// The digest can't be sent.
pub async fn send_digest(peer: SocketAddr, digest: Digest, meter: &Meter) -> io::Result<()> {
    let message = Datagram::Digest(digest);
    meter.record_sent(encode(&message)?.len());
    send(peer, &message).await.map(drop)
}

/// Starts a task that receives datagrams and sends back the acknowledgement that `answer` returns.
///
/// Datagrams that can't be decoded are ignored. All are counted in `meter`. The task runs until the
/// process ends.
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
            meter.record_received(count);
            let Ok(message) = decode(&buffer[..count]) else {
                continue;
            };
            let Some(ack) = answer(message).await else {
                continue;
            };
            if let Ok(bytes) = encode(&ack) {
                meter.record_sent(bytes.len());
                drop(socket.send_to(&bytes, sender).await);
            }
        }
    });
    Ok(())
}
