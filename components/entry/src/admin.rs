//! HTTP interface for operators, metrics and health checks.

use crate::control::Control;
use crate::messages::AskStatus;
use crate::metrics::Metrics;
use crate::snapshot::Snapshot;
use crate::{admin_auth, admin_jobs, admin_tickets, answer};
use actix::Addr;
use actix_web::web::{Data, JsonConfig, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse, web};
use arc_swap::ArcSwap;
use backing::HttpTable;
use errors::{Code, Failure};
use std::sync::Arc;

/// Largest body of an admin call, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// What the handlers of the admin thread need.
#[derive(Clone)]
pub(crate) struct Admin {
    /// The control thread, or its address.
    pub control: Addr<Control>,
    /// What traffic threads read.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Admin token.
    pub token: String,
    /// The table service.
    pub table: HttpTable,
    /// Shards that this entry owns.
    pub shards: u16,
}

impl Admin {
    /// The answer to a refused or failed call.
    pub fn fail(&self, failure: &Failure) -> HttpResponse {
        answer::failure(&self.metrics, failure, None)
    }
}

pub(crate) fn routes(config: &mut ServiceConfig) {
    let bad_json = |error: actix_web::error::JsonPayloadError, _: &HttpRequest| {
        let failure = Failure::not_run(Code::BadRequest, error.to_string());
        let response = HttpResponse::BadRequest()
            .insert_header((wire::VERDICT, failure.verdict.to_string()))
            .json(failure);
        actix_web::error::InternalError::from_response(error, response).into()
    };
    config
        .app_data(
            JsonConfig::default()
                .limit(MAX_BODY_BYTES)
                .error_handler(bad_json),
        )
        .route("/healthz", web::get().to(healthz))
        .route("/readyz", web::get().to(readyz))
        .route("/metrics", web::get().to(metrics))
        .route("/v1/status", web::get().to(status))
        .route("/v1/tickets", web::post().to(admin_tickets::apply))
        .route("/v1/tickets/{number}", web::get().to(admin_tickets::show))
        .route("/v1/jobs", web::post().to(admin_jobs::submit))
        .route("/v1/jobs/{job}", web::get().to(admin_jobs::status))
        .route("/v1/jobs/{job}", web::delete().to(admin_jobs::cancel));
}

async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

async fn readyz(admin: Data<Admin>) -> HttpResponse {
    let snapshot = admin.snapshot.load();
    if snapshot.is_ready() {
        return HttpResponse::Ok().body("ready\n");
    }
    let reason = match (snapshot.loaded, snapshot.leaving) {
        (false, _) => "no configuration was read yet",
        (_, true) => "the entry is shutting down",
        _ => "neither the table nor another entry has answered for a while",
    };
    HttpResponse::ServiceUnavailable().body(format!("not ready: {reason}\n"))
}

async fn metrics(admin: Data<Admin>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(admin.metrics.render())
}

async fn status(request: HttpRequest, admin: Data<Admin>) -> HttpResponse {
    if let Err(failure) = admin_auth::check(&request, &admin) {
        return admin.fail(&failure);
    }
    match admin.control.send(AskStatus).await {
        Ok(status) => HttpResponse::Ok().json(status),
        Err(_) => admin.fail(&Failure::not_run(Code::Draining, "the entry is stopping")),
    }
}
