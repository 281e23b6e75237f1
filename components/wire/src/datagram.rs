//! Pulses and their answers as datagrams. A lost one costs a whole heartbeat over TCP.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::timeout;

use crate::{Pulse, PulseAck};

/// Largest datagram, in bytes; it fits one packet of any network.
const MAX_DATAGRAM_BYTES: usize = 1_200;

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

/// Sends a pulse and waits for its answer.
///
/// # Errors
/// The pulse does not fit a datagram, or no answer came within `limit`.
pub async fn send_pulse(entry: SocketAddr, pulse: &Pulse, limit: Duration) -> io::Result<PulseAck> {
    let unspecified = if entry.is_ipv4() {
        "0.0.0.0:0"
    } else {
        "[::]:0"
    };
    let socket = UdpSocket::bind(unspecified).await?;
    socket.connect(entry).await?;
    socket.send(&encode(pulse)?).await?;
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    let count = timeout(limit, socket.recv(&mut buffer)).await??;
    decode(&buffer[..count])
}

/// Answers pulses for ever; those that can't be read are passed over.
///
/// # Errors
/// The address can't be bound.
pub async fn serve_pulses<F>(
    address: SocketAddr,
    answer: impl Fn(Pulse) -> F + 'static,
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
            let Ok(pulse) = decode(&buffer[..count]) else {
                continue;
            };
            let Some(ack) = answer(pulse).await else {
                continue;
            };
            if let Ok(bytes) = encode(&ack) {
                drop(socket.send_to(&bytes, sender).await);
            }
        }
    });
    Ok(())
}
