//! Stand-in backend server: announces itself to an agent and runs requests as they specify.

use crate::BackendRecord;
use actix_web::dev::ServerHandle;
use actix_web::web::{Data, Payload, Query};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use awc::Client;
use bytes::Bytes;
use futures::{StreamExt, stream};
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Header that identifies a request in the [`BackendRecord`].
const MARK_HEADER: &str = "x-mark";
/// Interval of announcements, and the timeout of each.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of announcements while the server leaves.
const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time to leave: the agent may not answer, or may have requests that never end.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Settings of a stand-in backend server.
#[derive(Debug, Clone)]
pub struct BackendOptions {
    /// Service that it announces.
    pub service: String,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Local address of its agent, which receives the announcements.
    pub agent: SocketAddr,
    /// Announced number of requests that it can run at once.
    pub slots: u32,
    /// Run time of a request without `work_ms`, in milliseconds.
    pub work_ms: u64,
}

/// Behaviour of a running server, changed by tests, and its counters.
#[derive(Debug)]
struct Behaviour {
    /// Run time of a request without `work_ms`, in milliseconds.
    work_ms: u64,
    /// Factor on every run time, in percent.
    slow_percent: AtomicU64,
    /// Whether every request fails.
    is_failing: AtomicBool,
    /// Whether announcements say that the server shuts down.
    is_leaving: AtomicBool,
    /// Whether it sends announcements.
    is_announcing: AtomicBool,
    /// Number of requests that run now.
    running: AtomicU32,
    /// Highest number of requests that ran at once.
    max_running: AtomicU32,
}

/// Handle of a running stand-in backend server.
pub struct StandInBackend {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Handle that stops the server.
    pub server: ServerHandle,
    /// Settings, for announcements.
    options: BackendOptions,
    /// Behaviour, shared with the server.
    behaviour: Arc<Behaviour>,
}

/// Agent's reply to an announcement.
#[derive(Debug, Deserialize)]
struct AnnounceReply {
    /// Requests that run on this server or are being sent to it.
    in_flight: u32,
}

impl StandInBackend {
    /// Scales the run time of every request to `percent`; 100 is normal.
    pub fn set_slow(&self, percent: u64) {
        self.behaviour
            .slow_percent
            .store(percent, Ordering::Relaxed);
    }

    /// Makes every request fail with status 500 once its body is received, or lets requests succeed
    /// again.
    pub fn set_failing(&self, is_failing: bool) {
        self.behaviour
            .is_failing
            .store(is_failing, Ordering::Relaxed);
    }

    /// Announces that the server leaves, and waits until its agent reports no request in flight
    /// for it, at most `LEAVE_TIMEOUT`.
    pub async fn leave(&self) {
        self.behaviour.is_leaving.store(true, Ordering::Relaxed);
        let client = announce_client();
        let started = Instant::now();
        while started.elapsed() < LEAVE_TIMEOUT {
            let sent = send_announcement(&client, &self.options, self.address, &self.behaviour);
            if sent.await.is_some_and(|reply| reply.in_flight == 0) {
                return;
            }
            actix_web::rt::time::sleep(LEAVE_POLL_INTERVAL).await;
        }
    }

    /// Stops or resumes announcing.
    pub fn set_announcing(&self, is_announcing: bool) {
        self.behaviour
            .is_announcing
            .store(is_announcing, Ordering::Relaxed);
    }

    /// Highest number of requests that ran at once since the start.
    pub fn max_running(&self) -> u32 {
        self.behaviour.max_running.load(Ordering::Relaxed)
    }
}

/// Query parameters that specify the behaviour of one request.
#[derive(Debug, Deserialize)]
struct RequestOptions {
    /// Run time, in milliseconds; `None` for that of the server.
    work_ms: Option<u64>,
    /// Smallest size of the response body, in bytes.
    size: Option<usize>,
    /// Number of pieces of a streamed response, each sent after an equal part of the run time;
    /// `None` for a response in one piece after the whole run time.
    pieces: Option<u64>,
    /// Breaks the connection after this many bytes of the response body.
    cut_after: Option<usize>,
    /// HTTP status of the response; 200 if absent or invalid.
    status: Option<u16>,
}

/// Starts a stand-in backend server on this thread's runtime and announces it until the runtime
/// ends.
///
/// # Errors
/// The address can't be bound.
pub fn serve_backend(
    options: &BackendOptions,
    record: Arc<BackendRecord>,
) -> std::io::Result<StandInBackend> {
    let behaviour = Arc::new(Behaviour {
        work_ms: options.work_ms,
        slow_percent: AtomicU64::new(100),
        is_failing: AtomicBool::new(false),
        is_leaving: AtomicBool::new(false),
        is_announcing: AtomicBool::new(true),
        running: AtomicU32::new(0),
        max_running: AtomicU32::new(0),
    });
    let (shared, records) = (Data::from(behaviour.clone()), Data::from(record));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(shared.clone())
            .app_data(records.clone())
            .route("/standin/record", web::get().to(show_record))
            .default_service(web::to(serve))
    })
    .workers(1)
    .disable_signals()
    .shutdown_timeout(5)
    .bind(options.listen)?;
    let address = server.addrs()[0];
    let running = server.run();
    let handle = running.handle();
    actix_web::rt::spawn(running);
    actix_web::rt::spawn(announce(options.clone(), address, behaviour.clone()));
    Ok(StandInBackend {
        address,
        server: handle,
        options: options.clone(),
        behaviour,
    })
}

fn announce_client() -> Client {
    Client::builder().timeout(ANNOUNCE_INTERVAL).finish()
}

async fn announce(options: BackendOptions, address: SocketAddr, behaviour: Arc<Behaviour>) {
    let client = announce_client();
    loop {
        if behaviour.is_announcing.load(Ordering::Relaxed) {
            send_announcement(&client, &options, address, &behaviour).await;
        }
        actix_web::rt::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

/// Sends one announcement; `None` if the agent did not answer with a reply.
async fn send_announcement(
    client: &Client,
    options: &BackendOptions,
    address: SocketAddr,
    behaviour: &Behaviour,
) -> Option<AnnounceReply> {
    let body = serde_json::json!({
        "service": options.service,
        "address": address,
        "slots": options.slots,
        "leaving": behaviour.is_leaving.load(Ordering::Relaxed),
    });
    let url = format!("http://{}/v1/announce", options.agent);
    let sent = client.post(url).send_json(&body).await;
    sent.ok()?.json().await.ok()
}

async fn show_record(record: Data<BackendRecord>) -> HttpResponse {
    HttpResponse::Ok().json(record.executions())
}

/// Counts a request as running until it is dropped, also when its caller disconnects.
struct RunningGuard(Data<Behaviour>);

impl RunningGuard {
    fn new(behaviour: Data<Behaviour>) -> Self {
        let running = behaviour.running.fetch_add(1, Ordering::Relaxed) + 1;
        behaviour.max_running.fetch_max(running, Ordering::Relaxed);
        Self(behaviour)
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Runs one request as its query says, and records the execution.
async fn serve(
    request: HttpRequest,
    mut payload: Payload,
    options: Query<RequestOptions>,
    behaviour: Data<Behaviour>,
    record: Data<BackendRecord>,
) -> HttpResponse {
    let guard = Arc::new(RunningGuard::new(behaviour.clone()));
    let mark = request
        .headers()
        .get(MARK_HEADER)
        .and_then(|mark| mark.to_str().ok())
        .unwrap_or_default();
    let execution = record.record_start(mark);
    let mut received = 0;
    while let Some(chunk) = payload.next().await {
        match chunk {
            Ok(chunk) => received += chunk.len(),
            Err(error) => return HttpResponse::BadRequest().body(error.to_string()),
        }
    }
    if behaviour.is_failing.load(Ordering::Relaxed) {
        return HttpResponse::InternalServerError().body("the stand-in was told to fail");
    }
    let slow_percent = behaviour.slow_percent.load(Ordering::Relaxed);
    let work_ms = options.work_ms.unwrap_or(behaviour.work_ms) * slow_percent / 100;
    let status = options
        .status
        .and_then(|status| actix_web::http::StatusCode::from_u16(status).ok());
    let mut response = HttpResponse::build(status.unwrap_or(actix_web::http::StatusCode::OK));
    response
        .insert_header(("x-received", received.to_string()))
        .insert_header((MARK_HEADER, mark));
    if let Some(pieces) = options.pieces {
        let pause = Duration::from_millis(work_ms / pieces.max(1));
        let body = stream::iter(0..pieces).then(move |piece| {
            let last = piece + 1 == pieces;
            let (record, running) = (record.clone(), guard.clone());
            async move {
                let _running = running;
                actix_web::rt::time::sleep(pause).await;
                if last {
                    record.record_finish(execution);
                }
                Ok::<Bytes, actix_web::Error>(Bytes::from(format!("piece {piece}\n")))
            }
        });
        return response.streaming(Box::pin(body));
    }
    actix_web::rt::time::sleep(Duration::from_millis(work_ms)).await;
    record.record_finish(execution);
    let body = response_body(mark, options.size.unwrap_or(0));
    match options.cut_after {
        None => response.body(body),
        Some(cut_after) => {
            let head = body.slice(..cut_after.min(body.len()));
            let broken = Err(actix_web::error::ErrorInternalServerError("cut"));
            let pieces = stream::iter([Ok(head), broken]);
            response.no_chunking(body.len() as u64).streaming(pieces)
        }
    }
}

/// Response body: the mark, padded to `size` bytes.
fn response_body(mark: &str, size: usize) -> Bytes {
    let mut body = mark.as_bytes().to_vec();
    body.resize(size.max(body.len()), b'.');
    body.into()
}
