//! HTTP interface for backend servers on this VM, health checks and metrics.

use crate::control::Control;
use crate::messages::{AnnounceBackend, IsReady};
use crate::metrics::Metrics;
use actix::Addr;
use actix_web::web::{Data, Json, ServiceConfig};
use actix_web::{HttpResponse, web};
use fence::Announcement;
use serde::Serialize;

/// Largest number of slots that one backend server may announce.
const MAX_SLOTS: u32 = 10_000;

/// State shared by the handlers of the local interface.
#[derive(Clone)]
pub(crate) struct LocalState {
    /// Address of the control actor.
    pub control: Addr<Control>,
    /// Metrics of the process, rendered on request.
    pub metrics: Metrics,
}

/// Response to an announcement, sent after the announcement has taken effect.
#[derive(Debug, Serialize)]
struct Announced {
    /// Requests that run on the server or are on their way there.
    in_flight: u32,
}

/// Registers the routes of the local interface.
pub(crate) fn routes(config: &mut ServiceConfig) {
    config
        .route("/v1/announce", web::post().to(announce))
        .route("/healthz", web::get().to(healthz))
        .route("/readyz", web::get().to(readyz))
        .route("/metrics", web::get().to(metrics));
}

async fn announce(local: Data<LocalState>, announcement: Json<Announcement>) -> HttpResponse {
    if announcement.slots == 0 || announcement.slots > MAX_SLOTS {
        let text = format!("slots: is 1 to {MAX_SLOTS}, not {}", announcement.slots);
        return HttpResponse::BadRequest().body(text);
    }
    match local
        .control
        .send(AnnounceBackend(announcement.into_inner()))
        .await
    {
        Ok(in_flight) => HttpResponse::Ok().json(Announced { in_flight }),
        Err(_) => HttpResponse::ServiceUnavailable().body("the agent is stopping\n"),
    }
}

async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

async fn readyz(local: Data<LocalState>) -> HttpResponse {
    if local.control.send(IsReady).await.unwrap_or(false) {
        return HttpResponse::Ok().body("ready\n");
    }
    HttpResponse::ServiceUnavailable()
        .body("not ready: draining, or the worker runtime was not read yet\n")
}

async fn metrics(local: Data<LocalState>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(local.metrics.render())
}
