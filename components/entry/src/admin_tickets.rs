//! Admin calls that apply and show change tickets.

use crate::admin::AdminState;
use crate::admin_auth;
use crate::messages::ConfigReceived;
use actix_web::web::{Data, Json, Path};
use actix_web::{HttpRequest, HttpResponse};
use backing::StoreError;
use errors::{Code, Failure, Verdict};
use model::Ticket;
use telemetry::{Event, log_event};
use tickets::Refusal;
use wire::VERDICT;

/// Applies a ticket. On success the new configuration takes effect in this entry at once and in
/// the others when they next read the ticket head or a digest.
pub(crate) async fn apply(
    request: HttpRequest,
    admin: Data<AdminState>,
    ticket: Json<Ticket>,
) -> HttpResponse {
    if let Err(failure) = admin_auth::check(&request, &admin) {
        return admin.failure_response(&failure);
    }
    match tickets::accept(&admin.table, &ticket).await {
        Ok(()) => {
            log_event!(info, Event::TicketAccepted, number = ticket.number, author = %ticket.author);
            let mut config = admin.snapshot.load().config.clone();
            if tickets::catch_up(&admin.table, &mut config).await.is_ok() {
                admin.control.do_send(ConfigReceived(config));
            }
            HttpResponse::Ok().json(serde_json::json!({ "accepted": ticket.number }))
        }
        Err(refusal) => {
            log_event!(warn, Event::TicketRefused, number = ticket.number, author = %ticket.author, reason = %refusal);
            refuse(&admin, refusal)
        }
    }
}

/// Builds the response for a refused ticket; a conflict includes the conflicting ticket's details.
fn refuse(admin: &AdminState, refusal: Refusal) -> HttpResponse {
    match refusal {
        Refusal::Invalid(error) => {
            admin.failure_response(&Failure::not_run(Code::BadRequest, error.to_string()))
        }
        Refusal::Conflict(conflict) => HttpResponse::Conflict()
            .insert_header((VERDICT, Verdict::NotRun.to_string()))
            .json(serde_json::json!({ "verdict": Verdict::NotRun, "code": Code::Conflict, "message": "another ticket is in the way", "conflict": conflict })),
        Refusal::Store(error) => admin.failure_response(&store_failure(&error)),
    }
}

/// Converts a store error into a failure. The verdict is `may-have-run` if the write may have taken
/// effect; sending the same call again is safe either way.
pub(crate) fn store_failure(error: &StoreError) -> Failure {
    let verdict = if error.is_ambiguous() {
        Verdict::MayHaveRun
    } else {
        Verdict::NotRun
    };
    let message = format!("{error}; sending the same again is safe");
    Failure::new(verdict, Code::StoreUnavailable, message).retry_after(2_000)
}

/// Returns an accepted ticket by its number.
pub(crate) async fn show(
    request: HttpRequest,
    admin: Data<AdminState>,
    number: Path<u64>,
) -> HttpResponse {
    if let Err(failure) = admin_auth::check(&request, &admin) {
        return admin.failure_response(&failure);
    }
    match tickets::read_ticket(&admin.table, *number).await {
        Ok(Some(ticket)) => HttpResponse::Ok().json(ticket),
        Ok(None) => {
            let message = format!("there is no ticket {number}");
            admin.failure_response(&Failure::not_run(Code::NotFound, message))
        }
        Err(error) => admin.failure_response(&store_failure(&error)),
    }
}
