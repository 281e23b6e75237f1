//! TCP stream that reports its end as an error.

use actix_rt::net::{ActixStream, Ready, TcpStream};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A TCP stream that reports the end of the connection as an error.
///
/// Otherwise the HTTP client treats the end of a connection as the end of a chunked body, so that a
/// response cut off in the middle would look complete.
#[derive(Debug)]
pub(crate) struct StrictStream(pub TcpStream);

impl AsyncRead for StrictStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.0).poll_read(context, buffer))?;
        let is_end = buffer.filled().len() == before && buffer.remaining() > 0;
        Poll::Ready(if is_end {
            Err(io::ErrorKind::UnexpectedEof.into())
        } else {
            Ok(())
        })
    }
}

impl AsyncWrite for StrictStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }
}

impl ActixStream for StrictStream {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, context)
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, context)
    }
}
