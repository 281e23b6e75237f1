//! A blocking HTTP/1.1 server and client on loopback, as far as the stand-ins need them.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A request as a server gets it.
pub struct Request {
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    /// Header by its lower-case name; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(own, _)| own == name);
        found.map_or("", |(_, value)| value)
    }

    /// Decoded parameter of the query; `None` if there is none.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let mut values = pairs.filter(|(own, _)| *own == name);
        values.next().map(|(_, value)| decode(value))
    }
}

/// Decodes a text of a query.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// A running server; it refuses connections once it is stopped.
pub struct Server {
    is_stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    accepting: Option<std::thread::JoinHandle<()>>,
}

impl Server {
    /// Serves `address` with `handle`, which returns status and body.
    pub fn start<H>(address: SocketAddr, handle: H) -> std::io::Result<Server>
    where
        H: Fn(Request) -> (u16, String) + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let handle = Arc::new(handle);
        let is_stopped = Arc::new(AtomicBool::new(false));
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (stopped, open) = (is_stopped.clone(), connections.clone());
        let accepting = std::thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().push(copy);
                }
                let (handle, stopped) = (handle.clone(), stopped.clone());
                std::thread::spawn(move || serve(stream, &*handle, &stopped));
            }
        });
        Ok(Server {
            is_stopped,
            connections,
            accepting: Some(accepting),
        })
    }

    /// Closes the port and all connections.
    pub fn stop(mut self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        if let Some(accepting) = self.accepting.take() {
            let _ = accepting.join();
        }
        for stream in self.connections.lock().unwrap().iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves one connection until it ends.
fn serve(
    mut stream: TcpStream,
    handle: &(dyn Fn(Request) -> (u16, String) + Send + Sync),
    is_stopped: &AtomicBool,
) {
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer) {
        let (status, body) = handle(request);
        if is_stopped.load(Ordering::SeqCst) {
            return;
        }
        let answer = format!(
            "HTTP/1.1 {status} Status\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let end = read_head(stream, buffer)?;
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let mut first = lines.next()?.split(' ');
    let target = first.nth(1)?.to_owned();
    let headers = parse_headers(lines);
    let length = content_length(&headers).unwrap_or(0);
    let body = read_bytes(stream, buffer, end + 4, length)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    Some(Request {
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body,
    })
}

fn parse_headers<'a>(lines: impl Iterator<Item = &'a str>) -> Vec<(String, String)> {
    let pairs = lines.filter_map(|line| line.split_once(':'));
    pairs
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect()
}

fn content_length(headers: &[(String, String)]) -> Option<usize> {
    let found = headers.iter().find(|(name, _)| name == "content-length");
    found.and_then(|(_, value)| value.parse().ok())
}

/// Reads up to the end of a head; returns where it ends.
fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<usize> {
    loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            return Some(end);
        }
        read_more(stream, buffer)?;
    }
}

/// Reads a body of `length` bytes that begins at `begin`, and removes it with its head.
fn read_bytes(stream: &mut TcpStream, buffer: &mut Vec<u8>, begin: usize, length: usize) -> Option<String> {
    while buffer.len() < begin + length {
        read_more(stream, buffer)?;
    }
    let body = String::from_utf8_lossy(&buffer[begin..begin + length]).into_owned();
    buffer.drain(..begin + length);
    Some(body)
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut piece = [0; 16 << 10];
    match stream.read(&mut piece) {
        Ok(0) | Err(_) => None,
        Ok(count) => {
            buffer.extend_from_slice(&piece[..count]);
            Some(())
        }
    }
}

/// Sends a request on a connection of its own; `None` if there was no answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_nodelay(true).ok()?;
    let left = until.saturating_duration_since(Instant::now());
    stream
        .set_read_timeout(Some(left.max(Duration::from_millis(1))))
        .ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\n{headers}content-type: application/json\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut buffer = Vec::new();
    let end = read_head(&mut stream, &mut buffer)?;
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let headers = parse_headers(lines);
    let length = content_length(&headers).unwrap_or(0);
    let body = read_bytes(&mut stream, &mut buffer, end + 4, length)?;
    Some((status, body))
}

/// A loopback address with a free port. Its host is one of this process alone, and its port is none that
/// connections take of themselves.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(20_000);
    let id = std::process::id();
    let host = Ipv4Addr::new(127, 1 + (id / 250 % 250) as u8, 1 + (id % 250) as u8, 1);
    loop {
        let port = NEXT.fetch_add(1, Ordering::SeqCst);
        let address = SocketAddr::from((host, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
