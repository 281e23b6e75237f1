//! Stand-ins for the users' platform (store, workers, callers) and the driver of the scripted cases of the
//! third review. It uses the standard library only and starts the project's own programs as processes.
//!
//! Usage: `standins-3 CASE FOLDER`; see `main` for the cases. `TROUBLE=0` leaves the disruption out.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

static NULL: Json = Json::Null;

impl Json {
    fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        skip_space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }
    fn get(&self, name: &str) -> &Json {
        match self {
            Json::Obj(fields) => fields.iter().find(|f| f.0 == name).map_or(&NULL, |f| &f.1),
            _ => &NULL,
        }
    }
    fn text(&self) -> &str {
        match self {
            Json::Str(text) => text,
            _ => "",
        }
    }
    fn num(&self) -> u64 {
        match self {
            Json::Num(number) => *number as u64,
            _ => 0,
        }
    }
    fn list(&self) -> &[Json] {
        match self {
            Json::Arr(items) => items,
            _ => &[],
        }
    }
}

impl std::fmt::Display for Json {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Json::Null => write!(out, "null"),
            Json::Bool(value) => write!(out, "{value}"),
            Json::Num(number) if number.fract() == 0.0 => write!(out, "{}", *number as i64),
            Json::Num(number) => write!(out, "{number}"),
            Json::Str(text) => write!(out, "{}", quote(text)),
            Json::Arr(items) => {
                let items: Vec<String> = items.iter().map(Json::to_string).collect();
                write!(out, "[{}]", items.join(","))
            }
            Json::Obj(fields) => {
                let fields: Vec<String> = fields
                    .iter()
                    .map(|(name, value)| format!("{}:{value}", quote(name)))
                    .collect();
                write!(out, "{{{}}}", fields.join(","))
            }
        }
    }
}

fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            c if (c as u32) < 0x20 => quoted.push_str(&format!("\\u{:04x}", c as u32)),
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(bytes, at);
                match bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Obj(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Json::Str(name) = parse_value(bytes, at)? else {
                            return None;
                        };
                        skip_space(bytes, at);
                        if *bytes.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((name, parse_value(bytes, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(bytes, at);
                match bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::Arr(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(bytes, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut text: Vec<u8> = Vec::new();
            loop {
                let byte = *bytes.get(*at)?;
                *at += 1;
                match byte {
                    b'"' => return Some(Json::Str(String::from_utf8(text).ok()?)),
                    b'\\' => {
                        let escaped = *bytes.get(*at)?;
                        *at += 1;
                        match escaped {
                            b'n' => text.push(b'\n'),
                            b't' => text.push(b'\t'),
                            b'r' => text.push(b'\r'),
                            b'u' => {
                                let hex = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                                *at += 4;
                                let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                                text.extend(c.to_string().bytes());
                            }
                            other => text.push(other),
                        }
                    }
                    other => text.push(other),
                }
            }
        }
        b't' => word(bytes, at, "true", Json::Bool(true)),
        b'f' => word(bytes, at, "false", Json::Bool(false)),
        b'n' => word(bytes, at, "null", Json::Null),
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[start..*at]).ok()?;
            text.parse().ok().map(Json::Num)
        }
    }
}

fn word(bytes: &[u8], at: &mut usize, text: &str, value: Json) -> Option<Json> {
    let found = bytes.get(*at..*at + text.len())? == text.as_bytes();
    *at += text.len();
    found.then_some(value)
}

// ---------------------------------------------------------------------------------------------- HTTP

struct Request {
    path: String,
    query: HashMap<String, String>,
    headers: HashMap<String, String>,
    body: String,
}

/// What a handler does with a request.
enum Reply {
    Answer(u16, String),
    /// The connection ends without an answer.
    Nothing,
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() + 0 {
            let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("20");
            decoded.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
            at += 3;
        } else {
            decoded.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
            at += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    words.next()?;
    let target = words.next()?.to_owned();
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length: usize = headers
        .get("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(Request {
        path: decode_percent(path),
        query: pairs
            .map(|(name, value)| (name.to_owned(), decode_percent(value)))
            .collect(),
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

fn reason_of(status: u16) -> &'static str {
    match status {
        200 => "OK",
        _ => "Other",
    }
}

/// HTTP server that can be stopped: then its port refuses connections, and open ones end.
#[derive(Clone)]
struct Server {
    is_stopped: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    fn start(
        address: SocketAddr,
        handler: impl Fn(&Request) -> Reply + Send + Sync + 'static,
    ) -> Server {
        let mut tries = 0;
        let listener = loop {
            match TcpListener::bind(address) {
                Ok(listener) => break listener,
                Err(error) if tries > 100 => cannot_run(&format!("{address}: {error}")),
                Err(_) => sleep(Duration::from_millis(5)),
            }
            tries += 1;
        };
        listener.set_nonblocking(true).ok();
        let server = Server {
            is_stopped: Arc::default(),
            open: Arc::default(),
        };
        let own = server.clone();
        let handler = Arc::new(handler);
        spawn(move || {
            while !own.is_stopped.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).ok();
                        stream.set_nodelay(true).ok();
                        if let Ok(copy) = stream.try_clone() {
                            own.open.lock().unwrap().push(copy);
                        }
                        let (server, handler) = (own.clone(), handler.clone());
                        spawn(move || server.serve(stream, handler.as_ref()));
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        sleep(Duration::from_millis(1));
                    }
                    Err(_) => sleep(Duration::from_millis(1)),
                }
            }
            drop(listener);
            for stream in own.open.lock().unwrap().drain(..) {
                stream.shutdown(Shutdown::Both).ok();
            }
        });
        server
    }

    fn serve(&self, stream: TcpStream, handler: &(impl Fn(&Request) -> Reply + Send + Sync)) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let reply = handler(&request);
            if self.is_stopped.load(Ordering::SeqCst) {
                break;
            }
            let Reply::Answer(status, body) = reply else {
                break;
            };
            let head = format!(
                "HTTP/1.1 {status} {}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                reason_of(status),
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                break;
            }
        }
        writer.shutdown(Shutdown::Both).ok();
    }

    fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            stream.shutdown(Shutdown::Both).ok();
        }
    }
}

/// Sends one request on a connection of its own; `None` without an answer within `limit`.
fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_nodelay(true).ok();
    stream.set_read_timeout(Some(limit)).ok();
    let request = format!(
        "{method} {path} HTTP/1.1\r\n{headers}connection: close\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status: u16 = line.split_whitespace().nth(1)?.parse().ok()?;
    let mut length = None;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse::<usize>().ok();
        }
    }
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

// ------------------------------------------------------------------------------------- record, helpers

struct Record {
    file: Mutex<File>,
    began: Instant,
}

static RECORD: OnceLock<Record> = OnceLock::new();

fn now_ms() -> u64 {
    RECORD.get().map_or(0, |record| record.began.elapsed().as_millis() as u64)
}

/// Writes a line to `record.txt`.
fn note(text: impl AsRef<str>) {
    if let Some(record) = RECORD.get() {
        let ms = now_ms();
        let line = format!("{:4}.{:03} {}\n", ms / 1000, ms % 1000, text.as_ref());
        record.file.lock().unwrap().write_all(line.as_bytes()).ok();
    }
}

static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

fn end_all() {
    for child in CHILDREN.lock().unwrap().iter_mut() {
        child.kill().ok();
        child.wait().ok();
    }
}

fn cannot_run(reason: &str) -> ! {
    note(format!("the case could not run: {reason}"));
    eprintln!("the case could not run: {reason}");
    end_all();
    exit(2)
}

/// Longest time of a case. After it everything is ended, and the case counts as one that could not run.
const LONGEST: Duration = Duration::from_secs(110);

fn watch_time() {
    spawn(|| {
        sleep(LONGEST);
        cannot_run("it took too long")
    });
}

fn finish(broken: Option<String>) -> ! {
    end_all();
    match broken {
        Some(text) => {
            note(format!("BROKEN {text}"));
            println!("BROKEN {text}");
            exit(1)
        }
        None => {
            note("the rule held");
            println!("the rule held");
            exit(0)
        }
    }
}

fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn pause(ms: u64) {
    sleep(Duration::from_millis(ms));
}

/// Waits until `until_ms` on the clock of the record.
fn wait_until(until_ms: u64) {
    let now = now_ms();
    if until_ms > now {
        pause(until_ms - now);
    }
}

fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// Ports below those that the system gives to outgoing connections, which would take them while a process is
/// down.
const PORTS: std::ops::Range<u16> = 15_000..31_000;

static NEXT_PORT: Mutex<Option<u16>> = Mutex::new(None);

fn free_address() -> SocketAddr {
    let mut next = NEXT_PORT.lock().unwrap();
    let count = PORTS.end - PORTS.start;
    let first = (std::process::id() % u32::from(count / 100)) as u16 * 100;
    let mut port = next.unwrap_or(PORTS.start + first);
    for _ in 0..count {
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        port = if port + 1 < PORTS.end { port + 1 } else { PORTS.start };
        if TcpListener::bind(address).is_ok() {
            *next = Some(port);
            return address;
        }
    }
    cannot_run("no free port")
}

// --------------------------------------------------------------------------------------------- store

type RowKey = (String, String, String);

#[derive(Default)]
struct StoreState {
    version: u64,
    rows: BTreeMap<RowKey, (u64, String)>,
    history: Vec<(u64, RowKey, Option<String>)>,
    /// Answers every call with 503 and does nothing.
    is_busy: bool,
}

#[derive(Clone)]
struct Store {
    address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
    began: Instant,
}

fn key_of(row: &Json) -> RowKey {
    let field = |name: &str| row.get(name).text().to_owned();
    (field("table"), field("part"), field("key"))
}

fn row_json(key: &RowKey, version: u64, value: Option<&str>) -> String {
    let value = match value {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"removed\":true".to_owned(),
    };
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},{value},\"versionNumber\":{version}}}",
        quote(&key.0),
        quote(&key.1),
        quote(&key.2)
    )
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(text: &str) -> String {
    let mut encoded = String::new();
    for chunk in text.as_bytes().chunks(3) {
        let bits = chunk.iter().fold(0_u32, |bits, b| bits << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            if digit <= chunk.len() {
                encoded.push(BASE64[(bits >> (18 - 6 * digit) & 63) as usize] as char);
            } else {
                encoded.push('=');
            }
        }
    }
    encoded
}

impl Store {
    fn start() -> Store {
        let store = Store {
            address: free_address(),
            state: Arc::default(),
            began: Instant::now(),
        };
        let own = store.clone();
        Server::start(store.address, move |request| own.handle(request));
        store
    }

    fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        let value = encode_base64(value);
        state.rows.insert(key.clone(), (version, value.clone()));
        state.history.push((version, key, Some(value)));
    }

    fn tail(&self, state: &StoreState) -> String {
        let now = self.began.elapsed().as_millis();
        format!("\"versionNumber\":{},\"nowMs\":{now}", state.version)
    }

    fn handle(&self, request: &Request) -> Reply {
        pause(4);
        if self.state.lock().unwrap().is_busy {
            return Reply::Answer(503, String::new());
        }
        let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        match request.path.as_str() {
            "/-/rows-tx" => self.transact(&Json::parse(&request.body).unwrap_or(Json::Null)),
            "/-/rows-get" => self.read(&query("table"), &query("part"), &query("from"), request),
            "/-/rows-feed" => {
                let after = query("after").parse().unwrap_or(0);
                let wait = query("waitMs").parse().unwrap_or(0);
                self.feed(&query("table"), after, wait)
            }
            _ => Reply::Answer(404, String::new()),
        }
    }

    fn transact(&self, body: &Json) -> Reply {
        let mut state = self.state.lock().unwrap();
        let conditions = body.get("expectedRevision").list();
        let holds = |row: &&Json| {
            let found = state.rows.get(&key_of(row)).map_or(0, |row| row.0);
            found == row.get("versionNumber").num()
        };
        if !conditions.iter().all(|row| holds(&row)) {
            let tail = self.tail(&state);
            return Reply::Answer(412, format!("{{\"rows\":[],{tail}}}"));
        }
        state.version += 1;
        let version = state.version;
        for row in body.get("upserts").list() {
            let value = row.get("value").text().to_owned();
            state.rows.insert(key_of(row), (version, value.clone()));
            state.history.push((version, key_of(row), Some(value)));
        }
        for row in body.get("deletes").list() {
            state.rows.remove(&key_of(row));
            state.history.push((version, key_of(row), None));
        }
        Reply::Answer(200, format!("{{{}}}", self.tail(&state)))
    }

    fn read(&self, table: &str, part: &str, from: &str, request: &Request) -> Reply {
        let target = request.query.get("target");
        let limit = request.query.get("limit").and_then(|text| text.parse().ok());
        let limit: usize = limit.unwrap_or(500).min(500);
        let state = self.state.lock().unwrap();
        let is_in_range = |key: &RowKey| {
            key.0 == table
                && key.1 == part
                && key.2.as_str() >= from
                && target.is_none_or(|target| key.2 < *target)
        };
        let found: Vec<String> = state
            .rows
            .iter()
            .filter(|(key, _)| is_in_range(key))
            .map(|(key, (version, value))| row_json(key, *version, Some(value)))
            .collect();
        let page = found[..found.len().min(limit)].join(",");
        let more = found.len() > limit;
        let tail = self.tail(&state);
        Reply::Answer(200, format!("{{\"rows\":[{page}],\"hasMore\":{more},{tail}}}"))
    }

    fn feed(&self, table: &str, after: u64, wait_ms: u64) -> Reply {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        loop {
            {
                let state = self.state.lock().unwrap();
                let changed: Vec<String> = state
                    .history
                    .iter()
                    .filter(|(version, key, _)| *version > after && key.0 == table)
                    .map(|(version, key, value)| row_json(key, *version, value.as_deref()))
                    .collect();
                if !changed.is_empty() || Instant::now() >= until {
                    let tail = self.tail(&state);
                    return Reply::Answer(200, format!("{{\"rows\":[{}],{tail}}}", changed.join(",")));
                }
            }
            pause(3);
        }
    }
}

// -------------------------------------------------------------------------------------------- workers

/// A run that a worker began, as the workers saw it.
#[derive(Clone, Debug)]
struct RunRecord {
    task: String,
    run: u64,
    worker: String,
    began_ms: u64,
    ended_ms: Option<u64>,
    how: &'static str,
    noted_ms: Option<u64>,
}

static RUNS: Mutex<Vec<RunRecord>> = Mutex::new(Vec::new());

fn runs_of(job: &str) -> Vec<RunRecord> {
    let runs = RUNS.lock().unwrap();
    runs.iter().filter(|run| run.task.starts_with(job)).cloned().collect()
}

/// Resources of a task: processors in thousandths and memory in megabytes.
type Need = (u64, u64);

/// What the tasks of each job need, by the job's identifier, one entry a step.
static NEEDS: Mutex<BTreeMap<String, Vec<Need>>> = Mutex::new(BTreeMap::new());

fn need_of(task: &str) -> Need {
    let mut words = task.split('.');
    let job = words.next().unwrap_or_default();
    let step: usize = words.nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let needs = NEEDS.lock().unwrap();
    let steps = needs.get(job);
    steps.and_then(|steps| steps.get(step)).copied().unwrap_or((0, 0))
}

struct Run {
    run: u64,
    began: Instant,
    /// Run time after which it ends; `None` for a task that lasts.
    length_ms: Option<u64>,
    fails: bool,
}

/// State of one life of a worker.
struct Life {
    born: u64,
    clock: Instant,
    lease_until: u64,
    fence: u64,
    running: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    barred: BTreeMap<String, u64>,
    next_end: u64,
    sequence: u64,
    server: Server,
}

struct WorkerState {
    life: Option<Life>,
    is_draining: bool,
    /// Answers starts with 503, having done nothing.
    is_unhealthy: bool,
}

#[derive(Clone)]
struct Worker {
    id: String,
    labels: Vec<String>,
    capacity: Need,
    address: SocketAddr,
    /// Where the agent on its machine takes heartbeats.
    control: SocketAddr,
    zone: String,
    service: String,
    state: Arc<Mutex<WorkerState>>,
}

const HEARTBEAT_MS: u64 = 1_500;

fn spec_number(spec: &str, name: &str) -> Option<u64> {
    let mut pairs = spec.split(';').filter_map(|pair| pair.split_once('='));
    pairs.find(|pair| pair.0 == name)?.1.parse().ok()
}

impl Life {
    fn clock_ms(&self) -> u64 {
        self.clock.elapsed().as_millis() as u64
    }

    fn end(&mut self, worker: &str, task: &str, how: &'static str) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        let number = self.next_end;
        self.next_end += 1;
        self.ended.push((number, task.to_owned(), run.run, how));
        let barred = self.barred.entry(task.to_owned()).or_default();
        *barred = (*barred).max(run.run);
        note_end(worker, task, run.run, how);
    }

    /// Ends the runs whose time has come, and all others once the lease has expired.
    fn advance(&mut self, worker: &str) {
        let is_lapsed = self.clock_ms() >= self.lease_until;
        let tasks: Vec<String> = self.running.keys().cloned().collect();
        for task in tasks {
            let run = &self.running[&task];
            let age = run.began.elapsed().as_millis() as u64;
            let is_over = run.length_ms.is_some_and(|length| age >= length);
            let how = match (is_over, run.fails) {
                (true, false) => "done",
                (true, true) => "failed",
                _ if is_lapsed => "lapsed",
                _ => continue,
            };
            self.end(worker, &task, how);
        }
    }
}

fn note_end(worker: &str, task: &str, run: u64, how: &'static str) {
    let now = now_ms();
    let mut runs = RUNS.lock().unwrap();
    let found = runs.iter_mut().rfind(|other| {
        other.task == task && other.run == run && other.worker == worker && other.ended_ms.is_none()
    });
    if let Some(found) = found {
        found.ended_ms = Some(now);
        found.how = how;
    }
    drop(runs);
    note(format!("{worker} run {task} {run} ended {how}"));
}

impl Worker {
    fn lock(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().unwrap()
    }

    /// Starts the worker's process: a new life, whose first heartbeat is sent at once.
    fn up(&self) {
        let own = self.clone();
        let born = wall_ms();
        let server = Server::start(self.address, move |request| own.handle(born, request));
        self.lock().life = Some(Life {
            born,
            clock: Instant::now(),
            lease_until: 0,
            fence: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            barred: BTreeMap::new(),
            next_end: 1,
            sequence: 0,
            server,
        });
        note(format!("{} is up", self.id));
        let own = self.clone();
        spawn(move || {
            loop {
                if !own.beat(born) {
                    return;
                }
                for _ in 0..HEARTBEAT_MS / 10 {
                    pause(10);
                    let mut state = own.lock();
                    let Some(life) = state.life.as_mut().filter(|life| life.born == born) else {
                        return;
                    };
                    life.advance(&own.id);
                }
            }
        });
    }

    /// Ends the worker's process without a word: all its runs end, and its port refuses connections.
    fn crash(&self) {
        let Some(life) = self.lock().life.take() else {
            return;
        };
        life.server.stop();
        note(format!("{} crashes, with {} runs", self.id, life.running.len()));
        for (task, run) in &life.running {
            note_end(&self.id, task, run.run, "lost");
        }
        // The port is closed once the thread that accepts connections has seen the stop.
        pause(5);
    }

    /// Ends the worker's process after it has announced that: all its runs end.
    fn leave(&self) {
        let born = self.lock().life.as_ref().map_or(0, |life| life.born);
        let path = format!("/-/instances/{}/leave", self.id);
        let host = format!("host: {}\r\n", self.control);
        let body = format!("{{\"born\":{born}}}");
        call(self.control, "POST", &path, &host, &body, Duration::from_secs(1));
        note(format!("{} leaves", self.id));
        self.crash();
    }

    /// Sends a heartbeat. Returns false once this life is over.
    fn beat(&self, born: u64) -> bool {
        let body = {
            let mut state = self.lock();
            let is_draining = state.is_draining;
            let Some(life) = state.life.as_mut().filter(|life| life.born == born) else {
                return false;
            };
            life.sequence += 1;
            let labels: Vec<String> = self.labels.iter().map(|label| quote(label)).collect();
            let remaining = if is_draining { ",\"drainRemainingMs\":2000" } else { "" };
            format!(
                "{{\"service\":{},\"address\":{},\"zone\":{},\"version\":\"v1\",\"slots\":8,\"state\":{},\"coldRemainingMs\":0,\"capacity\":{{\"cpu\":{},\"requestedMemoryMb\":{},\"gpu\":0}},\"labels\":[{}],\"clockMs\":{},\"sequence\":{},\"born\":{born}{remaining}}}",
                quote(&self.service),
                quote(&self.address.to_string()),
                quote(&self.zone),
                quote(if is_draining { "draining" } else { "ready" }),
                self.capacity.0,
                self.capacity.1,
                labels.join(","),
                life.clock_ms(),
                life.sequence,
            )
        };
        let path = format!("/-/instances/{}/heartbeat", self.id);
        let host = format!("host: {}\r\n", self.control);
        call(self.control, "POST", &path, &host, &body, Duration::from_secs(1));
        true
    }

    fn handle(&self, born: u64, request: &Request) -> Reply {
        if request.headers.get("x-expected-instance").is_some_and(|id| *id != self.id) {
            return Reply::Answer(421, "{}".to_owned());
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let until = Instant::now() + Duration::from_millis(body.get("waitMs").num().min(2_000));
        {
            let mut state = self.lock();
            let is_unhealthy = state.is_unhealthy;
            let Some(life) = state.life.as_mut().filter(|life| life.born == born) else {
                return Reply::Nothing;
            };
            life.advance(&self.id);
            let fence = body.get("fencingToken").num();
            if fence < life.fence {
                return refusal(life, "fence");
            }
            life.fence = fence;
            match request.path.as_str() {
                "/-/hold" => self.hold(life, &body),
                "/-/run-start" if is_unhealthy => return Reply::Answer(503, String::new()),
                "/-/run-start" => return self.start(life, &body),
                "/-/run-stop" => return self.stop(life, &body),
                "/-/pace" => return answer(life),
                _ => return Reply::Answer(404, String::new()),
            }
        }
        loop {
            {
                let mut state = self.lock();
                let Some(life) = state.life.as_mut().filter(|life| life.born == born) else {
                    return Reply::Nothing;
                };
                life.advance(&self.id);
                if !life.ended.is_empty() || Instant::now() >= until {
                    return Reply::Answer(200, report(life));
                }
            }
            pause(3);
        }
    }

    fn hold(&self, life: &mut Life, body: &Json) {
        life.lease_until = life.lease_until.max(body.get("deadlineMs").num());
        let acknowledged = body.get("acknowledged").num();
        let now = now_ms();
        let mut runs = RUNS.lock().unwrap();
        for (_, task, run, _) in life.ended.iter().filter(|end| end.0 <= acknowledged) {
            let found = runs.iter_mut().rfind(|other| {
                other.task == *task && other.run == *run && other.worker == self.id
            });
            if let Some(found) = found {
                found.noted_ms.get_or_insert(now);
            }
        }
        life.ended.retain(|end| end.0 > acknowledged);
    }

    fn start(&self, life: &mut Life, body: &Json) -> Reply {
        let task = body.get("task").text().to_owned();
        let run = body.get("run").num();
        let deadline = body.get("deadlineMs").num();
        if deadline <= life.clock_ms() {
            return refusal(life, "late");
        }
        life.lease_until = life.lease_until.max(deadline);
        if life.running.get(&task).is_some_and(|own| own.run == run) {
            return answer(life);
        }
        if life.barred.get(&task).is_some_and(|barred| *barred >= run) {
            return refusal(life, "old");
        }
        let needs = life.running.keys().map(|other| need_of(other));
        let used = needs.fold((0, 0), |sum, need| (sum.0 + need.0, sum.1 + need.1));
        let need = need_of(&task);
        if used.0 + need.0 > self.capacity.0 || used.1 + need.1 > self.capacity.1 {
            return refusal(life, "room");
        }
        let spec = body.get("taskSpec").text();
        note(format!("{} begins {task} run {run}", self.id));
        RUNS.lock().unwrap().push(RunRecord {
            task: task.clone(),
            run,
            worker: self.id.clone(),
            began_ms: now_ms(),
            ended_ms: None,
            how: "running",
            noted_ms: None,
        });
        life.running.insert(
            task,
            Run {
                run,
                began: Instant::now(),
                length_ms: spec_number(spec, "ms"),
                fails: spec_number(spec, "fails") == Some(1),
            },
        );
        answer(life)
    }

    fn stop(&self, life: &mut Life, body: &Json) -> Reply {
        let task = body.get("task").text().to_owned();
        let run = body.get("run").num();
        let barred = life.barred.entry(task.clone()).or_default();
        *barred = (*barred).max(run);
        if life.running.get(&task).is_some_and(|own| own.run <= run) {
            life.end(&self.id, &task, "stopped");
        }
        answer(life)
    }
}

fn answer(life: &Life) -> Reply {
    Reply::Answer(200, format!("{{\"clockMs\":{},\"born\":{}}}", life.clock_ms(), life.born))
}

fn refusal(life: &Life, reason: &str) -> Reply {
    let body = format!(
        "{{\"clockMs\":{},\"born\":{},\"reason\":\"{reason}\"}}",
        life.clock_ms(),
        life.born
    );
    Reply::Answer(409, body)
}

/// Both lists of a worker.
fn report(life: &Life) -> String {
    let running = life.running.iter().map(|(task, run)| {
        let age = run.began.elapsed().as_millis() as u64;
        let percent = match run.length_ms {
            Some(length) => (age * 100 / length.max(1)).min(99),
            None => 100,
        };
        format!("[{},{},\"\",{percent},{}]", quote(task), run.run, need_of(task).0)
    });
    let running: Vec<String> = running.collect();
    let ended = life.ended.iter().take(500);
    let ended = ended.map(|(number, task, run, how)| {
        format!("[{number},{},{run},\"{how}\",\"\"]", quote(task))
    });
    let ended: Vec<String> = ended.collect();
    format!(
        "{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
        life.clock_ms(),
        life.born,
        running.join(","),
        ended.join(",")
    )
}

// ---------------------------------------------------------------------------------------- deployment

/// Addresses of one process.
struct Node {
    name: String,
    front: SocketAddr,
    child: usize,
}

struct System {
    folder: PathBuf,
    store: Store,
    entries: Vec<Node>,
    workers: Vec<Worker>,
    agents: Vec<Node>,
    /// Addresses of the machines of the workers.
    machines: Vec<[SocketAddr; 4]>,
    /// Bound `remoteFactor` of the deployment.
    remote_factor: &'static str,
}

const HOST: &str = "rooms.example";
const SERVICE: &str = "render-svc";
/// Bounds of the small site `lantern-tw`.
const BOUNDS: &str = r#"{"seedLagS":3,"addressReuseS":2,"stabilityWindowMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":6,"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"outerBoundMs":5000,"recoveryS":12,"holdMaxMs":6000,"stopTimeoutMs":900,"gangTimeoutMs":3000,"cancel_ms":3000,"visible_ms":3000,"early_ms":250,"finish_s":14,"status_s":120,"remoteFactor":REMOTE,"checkpointIntervalS":0.5,"restoreMs":250,"noticeMs":4500,"moveS":1.5,"maintenanceS":2,"fencingRequired":true,"leaseMs":3000,"thawSlackMs":300,"paceMs":100,"harmMs":4000}"#;

/// Words of a role's command in the deploy file.
fn command_of(role: &str) -> Vec<String> {
    let text = std::fs::read_to_string("deploy/system.toml").unwrap_or_default();
    let section = text.split(&format!("[roles.{role}]")).nth(1).unwrap_or_default();
    let line = section.lines().find(|line| line.trim_start().starts_with("run"));
    let words = line.and_then(|line| line.split('"').nth(1)).unwrap_or_default();
    words.split_whitespace().map(str::to_owned).collect()
}

/// Fills in a template of the deploy folder.
fn render(template: &str, values: &[(&str, String)]) -> String {
    let path = format!("deploy/{template}.json");
    let mut text = std::fs::read_to_string(path).unwrap_or_default();
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}|json}}}}"), &quote_unless_number(value));
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    if text.is_empty() || text.contains("{{") {
        cannot_run(&format!("the template {template} can't be filled in"));
    }
    text
}

fn quote_unless_number(value: &str) -> String {
    match value.parse::<f64>().is_ok() || value.starts_with('{') {
        true => value.to_owned(),
        false => quote(value),
    }
}

impl System {
    fn start(folder: &Path) -> System {
        System {
            folder: folder.to_owned(),
            store: Store::start(),
            entries: Vec::new(),
            workers: Vec::new(),
            agents: Vec::new(),
            machines: Vec::new(),
            remote_factor: "1.5",
        }
    }

    fn spawn(&self, role: &str, name: &str, settings: &str) -> usize {
        let path = self.folder.join(format!("{name}.json"));
        let log = self.folder.join(format!("{name}.log"));
        if std::fs::write(&path, settings).is_err() {
            cannot_run("the settings can't be written");
        }
        let words = command_of(role);
        let Some(program) = words.first() else {
            cannot_run("the deploy file has no command");
        };
        let file = std::fs::OpenOptions::new().create(true).append(true).open(log);
        let file = file.map_or_else(|_| Stdio::null(), Stdio::from);
        let child = Command::new(program)
            .args(&words[1..])
            .env("PARSLEYTHREAD_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(file)
            .stderr(Stdio::null())
            .spawn();
        match child {
            Ok(child) => {
                note(format!("{name} starts as process {}", child.id()));
                let mut children = CHILDREN.lock().unwrap();
                children.push(child);
                children.len() - 1
            }
            Err(error) => cannot_run(&format!("{program}: {error}")),
        }
    }

    fn add_entry(&mut self, zone: &str) {
        let name = format!("frontend-{}", self.entries.len() + 1);
        let (front, ready, control, metrics) =
            (free_address(), free_address(), free_address(), free_address());
        let values = [
            ("nodeName", name.clone()),
            ("zone", zone.to_owned()),
            ("listen.front", front.to_string()),
            ("listen.ready", ready.to_string()),
            ("ipAddress", "127.0.0.1".to_owned()),
            ("internalPorts.0", control.port().to_string()),
            ("internalPorts.1", metrics.port().to_string()),
            ("limits.cpuShare", "0.5".to_owned()),
            ("platform.address", self.store.address.to_string()),
            ("bounds.holdMaxMs", "6000".to_owned()),
            ("bounds.thawSlackMs", "300".to_owned()),
            ("bounds.graceS", "6".to_owned()),
            ("bounds", BOUNDS.replace("REMOTE", self.remote_factor)),
        ];
        let child = self.spawn("entry", &name, &render("entry", &values));
        self.entries.push(Node { name, front, child });
    }

    fn agent_settings(&self, name: &str, zone: &str, control: SocketAddr, ports: (u16, u16), app: SocketAddr) -> String {
        let values = [
            ("nodeName", name.to_owned()),
            ("zone", zone.to_owned()),
            ("listen.control", control.to_string()),
            ("app", app.to_string()),
            ("ipAddress", "127.0.0.1".to_owned()),
            ("internalPorts.0", ports.0.to_string()),
            ("internalPorts.1", ports.1.to_string()),
            ("platform.address", self.store.address.to_string()),
        ];
        render("agent", &values)
    }

    /// Adds a machine with a worker and its agent.
    fn add_worker(&mut self, zone: &str, labels: &[&str], capacity: Need) {
        let addresses = [free_address(), free_address(), free_address(), free_address()];
        self.add_worker_at(addresses, zone, labels, capacity);
    }

    /// Adds a machine at the given addresses: those of the agent for its worker, for other processes and for
    /// metrics, and that of the worker.
    fn add_worker_at(
        &mut self,
        addresses: [SocketAddr; 4],
        zone: &str,
        labels: &[&str],
        capacity: Need,
    ) {
        let number = self.workers.len() + 1;
        let name = format!("side-{number}");
        let [control, rpc, metrics, app] = addresses;
        let settings = self.agent_settings(&name, zone, control, (rpc.port(), metrics.port()), app);
        let child = self.spawn("agent", &name, &settings);
        let worker = Worker {
            id: format!("i-{number:08x}"),
            labels: labels.iter().map(|label| (*label).to_owned()).collect(),
            capacity,
            address: app,
            control,
            zone: zone.to_owned(),
            service: SERVICE.to_owned(),
            state: Arc::new(Mutex::new(WorkerState {
                life: None,
                is_draining: false,
                is_unhealthy: false,
            })),
        };
        worker.up();
        self.workers.push(worker);
        self.agents.push(Node { name, front: control, child });
        self.machines.push(addresses);
    }

    /// Writes a configuration with the queues `/urgent/`, `/plain/` and `/lasting/`.
    fn configure(&self, version: u64) {
        let route = |prefix: &str, attempts: u32, stretch: f64, aim: u64| {
            format!(
                "{{\"name\":\"r{prefix}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"service\":\"{SERVICE}\",\"priority\":0,\"maxAttempts\":{attempts},\"stretch\":{stretch},\"targetLatencyMs\":{aim}}}"
            )
        };
        let routes = [route("/plain/", 3, 2.0, 1_000), route("/lasting/", 2, 2.2, 2_500)];
        let text = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\"rejectsOverload\":true,\"spare\":false}}],\"limits\":{{}}}}",
            routes.join(",")
        );
        self.store.put("op", "config", &text);
    }

    fn ask(&self, entry: usize, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let headers = format!("host: {HOST}\r\nx-deadline-milliseconds: 3000\r\n");
        call(self.entries[entry].front, method, path, &headers, body, Duration::from_secs(3))
    }

    /// Waits until a count of a queue is answered by each entry.
    fn wait_until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(20);
        for entry in 0..self.entries.len() {
            loop {
                let answer = self.ask(entry, "GET", "/plain/", "");
                if answer.is_some_and(|answer| answer.0 == 200) {
                    break;
                }
                if Instant::now() > until {
                    cannot_run("the system is not ready after 20 s");
                }
                pause(50);
            }
        }
        pause(1_500);
        note("the system is ready");
    }

    /// Submits a job as a client does: it tries again with the same identifier after no clear answer.
    fn submit(&self, entry: usize, path: &str, body: &str) {
        let job = path.rsplit('/').next().unwrap_or_default().to_owned();
        let parsed = Json::parse(body).unwrap_or(Json::Null);
        let needs = parsed.get("steps").list().iter().map(|step| {
            (step.get("cpu").num(), step.get("requestedMemoryMb").num())
        });
        NEEDS.lock().unwrap().insert(job, needs.collect());
        for attempt in 0..5 {
            let at = (entry + attempt) % self.entries.len();
            let answer = self.ask(at, "POST", path, body);
            let status = answer.as_ref().map_or(0, |answer| answer.0);
            note(format!("client POST {path} at {}: {status}", self.entries[at].name));
            if status == 200 {
                return;
            }
            pause(300);
        }
        cannot_run("a job was not accepted")
    }

    /// State of a job by one entry, and the status of the answer.
    fn state(&self, entry: usize, path: &str) -> (u16, String) {
        let answer = self.ask(entry, "GET", path, "");
        let (status, body) = answer.unwrap_or((0, String::new()));
        let state = Json::parse(&body).map_or(String::new(), |body| body.get("state").text().to_owned());
        (status, state)
    }

    /// Starts a process that was killed, with the settings that it had.
    fn start_again(&self, role: &str, name: &str) {
        let settings = std::fs::read_to_string(self.folder.join(format!("{name}.json")));
        self.spawn(role, name, &settings.unwrap_or_default());
    }

    fn kill(&self, child: usize) {
        let mut children = CHILDREN.lock().unwrap();
        let child = &mut children[child];
        note(format!("process {} is killed", child.id()));
        child.kill().ok();
        child.wait().ok();
    }

    /// Index of the entry that is the scheduler, by the rows that the entries keep in the store.
    fn scheduler(&self) -> Option<usize> {
        let state = self.store.state.lock().unwrap();
        let rows = state.rows.iter().filter(|(key, _)| key.0 == "lease");
        let mut owner = None;
        for (_, (_, value)) in rows {
            let names = self.entries.iter().map(|entry| format!("\"owner\":\"{}\"", entry.name));
            let text = decode_base64(value);
            owner = names.into_iter().position(|name| text.contains(&name));
        }
        owner
    }
}

fn decode_base64(text: &str) -> String {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for c in text.bytes().filter(|c| *c != b'=') {
        let digit = BASE64.iter().position(|d| *d == c).unwrap_or(0) as u32;
        bits = bits << 6 | digit;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count & 255) as u8);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

include!("standins-3-cases.rs");

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standins-3 CASE FOLDER");
        exit(2)
    };
    let folder = PathBuf::from(folder);
    let file = File::create(folder.join("record.txt"));
    let Ok(file) = file else {
        eprintln!("record.txt can't be written");
        exit(2)
    };
    RECORD.get_or_init(|| Record { file: Mutex::new(file), began: Instant::now() });
    let work = std::env::temp_dir().join(format!("review-3-{}-{}", case, std::process::id()));
    std::fs::create_dir_all(&work).ok();
    note(format!("case {case}, trouble {}", has_trouble()));
    watch_time();
    let broken = run_case(&case, &work);
    if std::env::var("KEEP_LOGS").is_err() {
        std::fs::remove_dir_all(&work).ok();
    }
    finish(broken)
}
