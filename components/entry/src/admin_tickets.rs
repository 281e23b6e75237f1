//! Admin calls about change tickets.

use crate::admin::Admin;
use crate::admin_auth;
use crate::messages::NewConfig;
use actix_web::web::{Data, Json, Path};
use actix_web::{HttpRequest, HttpResponse};
use backing::StoreError;
use errors::{Code, Failure, Verdict};
use model::Ticket;
use telemetry::{Event, log_event};
use tickets::Refusal;
use wire::VERDICT;

/// Accepts a ticket, or says why not.
pub(crate) async fn apply(
    request: HttpRequest,
    admin: Data<Admin>,
    ticket: Json<Ticket>,
) -> HttpResponse {
    if let Err(failure) = admin_auth::check(&request, &admin) {
        return admin.fail(&failure);
    }
    match tickets::accept(&admin.table, &ticket).await {
        Ok(()) => {
            log_event!(info, Event::TicketAccepted, number = ticket.number, author = %ticket.author);
            let mut config = admin.snapshot.load().config.clone();
            if tickets::catch_up(&admin.table, &mut config).await.is_ok() {
                admin.control.do_send(NewConfig(config));
            }
            HttpResponse::Ok().json(serde_json::json!({ "accepted": ticket.number }))
        }
        Err(refusal) => {
            log_event!(warn, Event::TicketRefused, number = ticket.number, author = %ticket.author, reason = %refusal);
            refuse(&admin, refusal)
        }
    }
}

fn refuse(admin: &Admin, refusal: Refusal) -> HttpResponse {
    match refusal {
        Refusal::Invalid(error) => {
            admin.fail(&Failure::not_run(Code::BadRequest, error.to_string()))
        }
        Refusal::Conflict(conflict) => HttpResponse::Conflict()
            .insert_header((VERDICT, Verdict::NotRun.to_string()))
            .json(serde_json::json!({ "verdict": Verdict::NotRun, "code": Code::Conflict, "message": "another ticket is in the way", "conflict": conflict })),
        Refusal::Store(error) => admin.fail(&store_failure(&error)),
    }
}

/// The failure of a call that the platform did not answer.
pub(crate) fn store_failure(error: &StoreError) -> Failure {
    let verdict = if error.is_ambiguous() {
        Verdict::MayHaveRun
    } else {
        Verdict::NotRun
    };
    let message = format!("{error}; sending the same again is safe");
    Failure::new(verdict, Code::StoreUnavailable, message).retry_after(2_000)
}

/// Shows an accepted ticket.
pub(crate) async fn show(
    request: HttpRequest,
    admin: Data<Admin>,
    number: Path<u64>,
) -> HttpResponse {
    if let Err(failure) = admin_auth::check(&request, &admin) {
        return admin.fail(&failure);
    }
    match tickets::read_ticket(&admin.table, *number).await {
        Ok(Some(ticket)) => HttpResponse::Ok().json(ticket),
        Ok(None) => {
            let message = format!("there is no ticket {number}");
            admin.fail(&Failure::not_run(Code::NotFound, message))
        }
        Err(error) => admin.fail(&store_failure(&error)),
    }
}
