//! HTTP interface for operators, metrics and health checks.

use crate::control::Control;
use crate::messages::QueryClusterStatus;
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

/// Maximum body size of an admin call.
const MAX_BODY_BYTES: usize = 1 << 20;

/// State shared by the handlers of the admin server.
#[derive(Clone)]
pub(crate) struct AdminState {
    /// Mailbox of the control thread.
    pub control: Addr<Control>,
    /// Latest state published by the control thread.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Bearer token that privileged calls must carry.
    pub token: String,
    /// Client of the table service, owned by the admin thread.
    pub table: HttpTable,
    /// Total number of shards in the cluster, from which a job's shard is derived.
    pub shards: u16,
}

impl AdminState {
    /// Counts a failure and builds the HTTP response for it.
    pub fn failure_response(&self, failure: &Failure) -> HttpResponse {
        answer::failure(&self.metrics, failure, None)
    }
}

/// Registers the routes; malformed JSON gets a `bad-request` failure with its verdict.
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

/// Reports to load balancers whether this entry accepts callers.
async fn readyz(admin: Data<AdminState>) -> HttpResponse {
    let snapshot = admin.snapshot.load();
    if snapshot.is_ready() {
        return HttpResponse::Ok().body("ready\n");
    }
    let reason = match (snapshot.has_config, snapshot.is_draining) {
        (false, _) => "no configuration was read yet",
        (_, true) => "the entry is shutting down",
        _ => "neither the table nor another entry has answered for a while",
    };
    HttpResponse::ServiceUnavailable().body(format!("not ready: {reason}\n"))
}

async fn metrics(admin: Data<AdminState>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(admin.metrics.render())
}

async fn status(request: HttpRequest, admin: Data<AdminState>) -> HttpResponse {
    if let Err(failure) = admin_auth::check(&request, &admin) {
        return admin.failure_response(&failure);
    }
    match admin.control.send(QueryClusterStatus).await {
        Ok(status) => HttpResponse::Ok().json(status),
        Err(_) => {
            admin.failure_response(&Failure::not_run(Code::Draining, "the entry is stopping"))
        }
    }
}
