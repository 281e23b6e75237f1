//! HTTP interface of the platform stand-in.

use super::state::{Outcome, PlatformState};
use crate::Faults;
use actix_web::dev::ServerHandle;
use actix_web::web::{Bytes, Data, Json, JsonConfig, Path, PayloadConfig};
use actix_web::{App, HttpResponse, HttpServer, web};
use backing::{
    AttemptRef, KeyList, LeaseList, ScanRange, StartAttempt, StopMode, StoreError, ThrottleAttempt,
    Transaction,
};
use model::{AgentId, Resources};
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Largest accepted request body, in bytes.
const MAX_BODY_BYTES: usize = 32 << 20;
/// Time for which a lost answer is held before the call fails.
const LOST_ANSWER_HOLD: Duration = Duration::from_secs(30);

/// A running platform stand-in.
pub struct StandInPlatform {
    /// Address of the HTTP interface.
    pub address: SocketAddr,
    /// State that it serves; shared with the test.
    pub state: Arc<PlatformState>,
    /// Handle that stops the server.
    pub server: ServerHandle,
}

/// Starts a platform stand-in on this thread's runtime.
///
/// # Errors
/// The address can't be bound.
pub fn serve_platform(address: SocketAddr) -> std::io::Result<StandInPlatform> {
    let state = Arc::new(PlatformState::default());
    let shared = Data::from(state.clone());
    let server = HttpServer::new(move || {
        App::new()
            .app_data(shared.clone())
            .app_data(PayloadConfig::new(MAX_BODY_BYTES))
            .app_data(JsonConfig::default().limit(MAX_BODY_BYTES))
            .route("/table/commit", web::post().to(commit))
            .route("/table/read", web::post().to(read))
            .route("/table/scan", web::post().to(scan))
            .route("/objects/{key:.*}", web::put().to(put_object))
            .route("/objects/{key:.*}", web::get().to(get_object))
            .route("/workers/{worker}/start", web::post().to(start))
            .route("/workers/{worker}/renew", web::post().to(renew))
            .route("/workers/{worker}/stop", web::post().to(stop))
            .route("/workers/{worker}/throttle", web::post().to(throttle))
            .route("/standin/faults", web::post().to(set_faults))
            .route("/standin/worker", web::post().to(add_worker))
            .route("/standin/runs", web::get().to(runs))
            .route("/standin/breaches", web::get().to(breaches))
    })
    .workers(1)
    .disable_signals()
    .shutdown_timeout(0)
    .bind(address)?;
    let address = server.addrs()[0];
    let running = server.run();
    let handle = running.handle();
    actix_web::rt::spawn(running);
    Ok(StandInPlatform {
        address,
        state,
        server: handle,
    })
}

/// Turns the result of a table call into a response, with its delay or loss.
async fn answer<T: Serialize>(outcome: Outcome<T>) -> HttpResponse {
    if outcome.delay_ms > 0 {
        actix_web::rt::time::sleep(Duration::from_millis(outcome.delay_ms)).await;
    }
    if outcome.is_lost {
        actix_web::rt::time::sleep(LOST_ANSWER_HOLD).await;
        return HttpResponse::InternalServerError().finish();
    }
    match outcome.result {
        Ok(result) => HttpResponse::Ok().json(result),
        Err(StoreError::Conflict { key }) => HttpResponse::Conflict().body(key),
        Err(StoreError::Invalid(text)) => HttpResponse::BadRequest().body(text),
        Err(error) => HttpResponse::ServiceUnavailable().body(error.to_string()),
    }
}

async fn commit(state: Data<PlatformState>, txn: Json<Transaction>) -> HttpResponse {
    answer(state.commit(&txn)).await
}

async fn read(state: Data<PlatformState>, keys: Json<KeyList>) -> HttpResponse {
    answer(state.read(&keys.keys)).await
}

async fn scan(state: Data<PlatformState>, range: Json<ScanRange>) -> HttpResponse {
    answer(state.scan(&range)).await
}

async fn put_object(state: Data<PlatformState>, key: Path<String>, content: Bytes) -> HttpResponse {
    if state.put_object(&key, content.to_vec()) {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::ServiceUnavailable().finish()
    }
}

async fn get_object(state: Data<PlatformState>, key: Path<String>) -> HttpResponse {
    match state.get_object(&key) {
        Some(content) => HttpResponse::Ok().body(content),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn start(
    state: Data<PlatformState>,
    worker: Path<String>,
    order: Json<StartAttempt>,
) -> HttpResponse {
    match state.start(&AgentId::from(worker.into_inner()), &order) {
        Ok(()) => HttpResponse::Ok().json(()),
        Err(reason) => HttpResponse::Conflict().body(reason),
    }
}

async fn renew(
    state: Data<PlatformState>,
    worker: Path<String>,
    leases: Json<LeaseList>,
) -> HttpResponse {
    HttpResponse::Ok().json(state.renew(&AgentId::from(worker.into_inner()), &leases))
}

async fn stop(
    state: Data<PlatformState>,
    worker: Path<String>,
    order: Json<(AttemptRef, StopMode)>,
) -> HttpResponse {
    let (attempt, mode) = order.into_inner();
    HttpResponse::Ok().json(state.stop(&AgentId::from(worker.into_inner()), &attempt, mode))
}

async fn throttle(
    state: Data<PlatformState>,
    worker: Path<String>,
    change: Json<ThrottleAttempt>,
) -> HttpResponse {
    let worker = AgentId::from(worker.into_inner());
    state.throttle(&worker, &change.attempt, change.percent);
    HttpResponse::Ok().json(())
}

async fn set_faults(state: Data<PlatformState>, faults: Json<Faults>) -> HttpResponse {
    state.set_faults(*faults);
    HttpResponse::Ok().finish()
}

async fn add_worker(
    state: Data<PlatformState>,
    worker: Json<(String, Resources, Resources)>,
) -> HttpResponse {
    let (name, capacity, reserved) = worker.into_inner();
    state.add_worker(&AgentId::from(name), capacity, reserved);
    HttpResponse::Ok().finish()
}

async fn runs(state: Data<PlatformState>) -> HttpResponse {
    HttpResponse::Ok().json(state.runs())
}

async fn breaches(state: Data<PlatformState>) -> HttpResponse {
    HttpResponse::Ok().json(state.breaches())
}
