//! Refusal of connections beyond the limit.

use crate::counters::CountGuard;
use actix_rt::net::TcpStream;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Answer to the first request of a connection beyond the limit.
const ANSWER: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n\
    Connection: close\r\nContent-Length: 20\r\n\r\ntoo many connections";
/// Time for which the client may take the answer before the connection is closed.
const LINGER: Duration = Duration::from_secs(1);
/// Bytes of the client that are read at once, and discarded.
const PIECE_BYTES: usize = 1 << 10;

/// Answers that there are too many connections, and closes the connection.
pub(crate) async fn refuse(mut io: TcpStream, _count: CountGuard) {
    let exchange = async {
        io.write_all(ANSWER).await?;
        io.shutdown().await?;
        // Closing before the request is read would discard the answer at the client.
        let mut piece = [0_u8; PIECE_BYTES];
        while io.read(&mut piece).await? > 0 {}
        std::io::Result::Ok(())
    };
    // A client that has gone needs no answer.
    let _ = tokio::time::timeout(LINGER, exchange).await;
}
