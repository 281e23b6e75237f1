//! Stand-in for the platform's store: tables with transactions and a feed of changes.

use crate::http::{Request, Server};
use crate::json::{Json, object};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

type Path = (String, String, String);

#[derive(Default)]
struct Rows {
    /// Present rows: value in base64, and version.
    rows: BTreeMap<Path, (String, u64)>,
    /// All changes: version, row, and value unless the row was removed.
    changes: Vec<(u64, Path, Option<String>)>,
    version: u64,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
}

impl Store {
    /// Starts the store.
    pub fn start(address: SocketAddr) -> std::io::Result<(Store, Server)> {
        let store = Store {
            address,
            state: Arc::default(),
            started: Instant::now(),
        };
        let shared = store.clone();
        let server = Server::start(address, move |request| {
            // One transaction or read takes some milliseconds.
            std::thread::sleep(Duration::from_millis(3));
            shared.handle(&request)
        })?;
        Ok((store, server))
    }

    /// Writes a row as the operator does.
    pub fn write(&self, table: &str, key: &str, text: &str) {
        let path = (table.to_owned(), String::new(), key.to_owned());
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        state.put(path, Some(base64(text.as_bytes())));
        self.state.1.notify_all();
    }

    /// Text of a row; empty if there is none.
    pub fn read(&self, table: &str, part: &str, key: &str) -> String {
        let path = (table.to_owned(), part.to_owned(), key.to_owned());
        let state = self.state.0.lock().unwrap();
        let value = state.rows.get(&path).map(|(value, _)| value.clone());
        String::from_utf8_lossy(&from_base64(&value.unwrap_or_default())).into_owned()
    }

    fn now_ms(&self) -> Json {
        (self.started.elapsed().as_millis() as u64).into()
    }

    fn handle(&self, request: &Request) -> (u16, String) {
        match request.path.as_str() {
            "/-/rows-get" => self.get(request),
            "/-/rows-feed" => self.feed(request),
            "/-/rows-tx" => self.transact(request),
            _ => (404, "{}".to_owned()),
        }
    }

    fn answer(&self, rows: Vec<Json>, has_more: bool, version: u64) -> String {
        object([
            ("rows", rows.into()),
            ("hasMore", has_more.into()),
            ("versionNumber", version.into()),
            ("nowMs", self.now_ms()),
        ])
        .to_string()
    }

    fn get(&self, request: &Request) -> (u16, String) {
        let parameter = |name| request.parameter(name).unwrap_or_default();
        let (table, part, from) = (parameter("table"), parameter("part"), parameter("from"));
        let target = request.parameter("target");
        let limit = parameter("limit").parse().unwrap_or(500).min(500);
        let state = self.state.0.lock().unwrap();
        let begin = (table.clone(), part.clone(), from);
        let in_part = state.rows.range(begin..).take_while(|((own, own_part, key), _)| {
            *own == table && *own_part == part && target.as_ref().is_none_or(|target| key < target)
        });
        let mut rows: Vec<Json> = in_part
            .take(limit + 1)
            .map(|(path, row)| row_json(path, Some(&row.0), row.1))
            .collect();
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        (200, self.answer(rows, has_more, state.version))
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let parameter = |name| request.parameter(name).unwrap_or_default();
        let table = parameter("table");
        let after: u64 = parameter("after").parse().unwrap_or(0);
        let wait_ms: u64 = parameter("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state.0.lock().unwrap();
        loop {
            let newer = state
                .changes
                .iter()
                .filter(|(version, path, _)| *version > after && path.0 == table);
            let rows: Vec<Json> = newer
                .map(|(version, path, value)| row_json(path, value.as_ref(), *version))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return (200, self.answer(rows, false, state.version));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, request: &Request) -> (u16, String) {
        let Some(body) = Json::parse(&request.body) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.state.0.lock().unwrap();
        let mut conflicts = Vec::new();
        for condition in body.get("expectedRevision").list() {
            let path = path_of(condition);
            let present = state.rows.get(&path);
            if present.map_or(0, |row| row.1) != condition.get("versionNumber").number() {
                conflicts.extend(present.map(|row| row_json(&path, Some(&row.0), row.1)));
                if present.is_none() {
                    conflicts.push(row_json(&path, None, 0));
                }
            }
        }
        if !conflicts.is_empty() {
            return (412, self.answer(conflicts, false, state.version));
        }
        let is_foreign = |row: &Json| ["op", "servers"].contains(&row.get("table").text());
        if body
            .get("upserts")
            .list()
            .iter()
            .chain(body.get("deletes").list())
            .any(is_foreign)
        {
            return (403, "{}".to_owned());
        }
        state.version += 1;
        for row in body.get("upserts").list() {
            state.put(path_of(row), Some(row.get("value").text().to_owned()));
        }
        for row in body.get("deletes").list() {
            state.put(path_of(row), None);
        }
        self.state.1.notify_all();
        (200, self.answer(Vec::new(), false, state.version))
    }
}

impl Rows {
    /// Writes or removes a row at the present version.
    fn put(&mut self, path: Path, value: Option<String>) {
        let version = self.version;
        let is_known = match &value {
            Some(value) => {
                self.rows.insert(path.clone(), (value.clone(), version));
                true
            }
            None => self.rows.remove(&path).is_some(),
        };
        if is_known {
            self.changes.push((version, path, value));
        }
    }
}

fn path_of(row: &Json) -> Path {
    let text = |name| row.get(name).text().to_owned();
    (text("table"), text("part"), text("key"))
}

fn row_json((table, part, key): &Path, value: Option<&String>, version: u64) -> Json {
    object([
        ("table", table.clone().into()),
        ("part", part.clone().into()),
        ("key", key.clone().into()),
        ("value", value.map_or(Json::Null, |value| value.clone().into())),
        ("versionNumber", version.into()),
        ("removed", value.is_none().into()),
    ])
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0_u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= group.len() { digit as char } else { '=' });
        }
    }
    text
}

fn from_base64(text: &str) -> Vec<u8> {
    let (mut bytes, mut bits, mut count) = (Vec::new(), 0_u32, 0);
    for letter in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|own| *own == letter) else {
            break;
        };
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count & 255) as u8);
        }
    }
    bytes
}
