//! A proxy of TCP connections that can let all open ones go silent, without a reset, while new ones work.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// A proxy; it runs until the process ends.
#[derive(Clone)]
pub struct Proxy {
    /// Connections that were opened before this many silences pass nothing on any more.
    silences: Arc<AtomicU64>,
    /// Number of connections so far.
    opened: Arc<AtomicU64>,
    /// Whether new connections hang.
    is_dark: Arc<AtomicBool>,
}

impl Proxy {
    /// Passes connections to `listen` on to `target`.
    pub fn start(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Proxy> {
        let listener = TcpListener::bind(listen)?;
        let proxy = Proxy {
            silences: Arc::default(),
            opened: Arc::default(),
            is_dark: Arc::default(),
        };
        let shared = proxy.clone();
        std::thread::spawn(move || {
            let mut hung = Vec::new();
            for stream in listener.incoming() {
                let Ok(stream) = stream else {
                    continue;
                };
                if shared.is_dark.load(Ordering::SeqCst) {
                    hung.push(stream);
                    continue;
                }
                let Ok(other) = TcpStream::connect(target) else {
                    // Nothing listens there: the connection is reset.
                    continue;
                };
                shared.opened.fetch_add(1, Ordering::SeqCst);
                shared.pass_on(stream, other);
            }
        });
        Ok(proxy)
    }

    /// Lets all open connections go silent.
    pub fn silence(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }

    /// Lets the target be dark: open connections go silent, and new ones hang. Or ends that.
    pub fn set_dark(&self, is_dark: bool) {
        self.is_dark.store(is_dark, Ordering::SeqCst);
        if is_dark {
            self.silence();
        }
    }

    /// Number of connections so far.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::SeqCst)
    }

    fn pass_on(&self, stream: TcpStream, other: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = other.set_nodelay(true);
        let (Ok(back), Ok(other_back)) = (stream.try_clone(), other.try_clone()) else {
            return;
        };
        self.copy(stream, other);
        self.copy(other_back, back);
    }

    /// Copies one direction until it ends or the connection goes silent, which keeps it open.
    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let silences = self.silences.clone();
        let at_begin = silences.load(Ordering::SeqCst);
        std::thread::spawn(move || {
            let mut piece = [0; 16 << 10];
            loop {
                let count = from.read(&mut piece).unwrap_or(0);
                if silences.load(Ordering::SeqCst) != at_begin {
                    // Longer than any case; what the other side sends or closes is not passed on either.
                    std::thread::sleep(Duration::from_secs(150));
                    return;
                }
                if count == 0 || to.write_all(&piece[..count]).is_err() {
                    let _ = to.shutdown(Shutdown::Both);
                    let _ = from.shutdown(Shutdown::Both);
                    return;
                }
            }
        });
    }
}
