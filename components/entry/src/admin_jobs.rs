//! Admin calls that submit, show and cancel batch jobs.

use crate::admin::AdminState;
use crate::admin_auth;
use crate::admin_tickets::store_failure;
use crate::messages::{JobAccepted, JobChanged, QueryFits, QueryJobStatus, QueryShardOwner};
use actix_web::web::{Data, Json, Path};
use actix_web::{HttpRequest, HttpResponse};
use backing::{Row, StoreError, TableStore, Transaction};
use batch::{cancel_key, done_key, job_key};
use errors::{Code, Failure};
use garde::Validate;
use model::{Job, JobId, JobPhase, JobSpec, JobStatus, JobSummary};
use std::time::Duration;
use telemetry::{Event, log_event};
use wire::EntryLink;

/// Maximum number of attempts to write one submission or cancellation.
const MAX_TRIES: usize = 5;
/// Timeout of a status call to the entry that owns the job's shard.
const OWNER_TIMEOUT: Duration = Duration::from_millis(800);

/// Accepts a job. Idempotent: submitting the same spec again returns the same job id.
pub(crate) async fn submit(
    request: HttpRequest,
    admin: Data<AdminState>,
    spec: Json<JobSpec>,
) -> HttpResponse {
    let spec = spec.into_inner();
    let accepted = match admin_auth::check(&request, &admin) {
        Ok(()) => accept(&admin, spec).await,
        Err(failure) => Err(failure),
    };
    match accepted {
        Ok(id) => HttpResponse::Accepted().json(serde_json::json!({ "job": id })),
        Err(failure) => {
            if failure.code == Code::Unplaceable {
                log_event!(warn, Event::JobUnplaceable, reason = %failure.message);
            }
            admin.failure_response(&failure)
        }
    }
}

/// Writes the job's row. A commit with an unknown outcome is sent again; if the first one took
/// effect, the second conflicts and the stored row is compared with the job.
async fn accept(admin: &AdminState, spec: JobSpec) -> Result<JobId, Failure> {
    validate_spec(admin, &spec).await?;
    let id = spec.id();
    let shard = id.shard(admin.shards);
    let job = Job {
        id: id.clone(),
        spec,
        accepted_wall_ms: utils::wall_ms(),
    };
    let value = serde_json::to_string(&job).unwrap_or_default();
    let txn = Transaction::default()
        .require(job_key(shard, id.as_str()), None)
        .require(done_key(shard, &id), None)
        .put(job_key(shard, id.as_str()), value);
    let mut last = None;
    for _ in 0..MAX_TRIES {
        match admin.table.commit(&txn).await {
            Ok(_) => {
                log_event!(info, Event::JobAccepted, job = %id, tasks = job.spec.tasks);
                admin.control.do_send(JobAccepted(job));
                return Ok(id);
            }
            Err(StoreError::Conflict { .. }) => return match_existing(admin, &job, shard).await,
            Err(error @ StoreError::Unknown(_)) => last = Some(error),
            Err(error) => return Err(store_failure(&last.unwrap_or(error))),
        }
    }
    let lost = last.unwrap_or(StoreError::Unknown("no answer".to_owned()));
    Err(store_failure(&lost))
}

/// Rejects specs that are invalid, name an unknown team or need more than any worker or the
/// team's quota can give.
async fn validate_spec(admin: &AdminState, spec: &JobSpec) -> Result<(), Failure> {
    spec.validate().map_err(|report| {
        Failure::not_run(Code::BadRequest, report.to_string().trim().to_owned())
    })?;
    let snapshot = admin.snapshot.load_full();
    let Some(team) = snapshot.config.teams.get(&spec.team) else {
        let message = format!("there is no team {}; a ticket creates one", spec.team);
        return Err(Failure::not_run(Code::NotFound, message));
    };
    if !spec.need.fits_in(&team.quota) {
        let message = format!(
            "one task needs more than the whole quota of team {}",
            spec.team
        );
        return Err(Failure::not_run(Code::Unplaceable, message));
    }
    if !admin
        .control
        .send(QueryFits(spec.need))
        .await
        .unwrap_or(true)
    {
        let message = "one task needs more than any worker has";
        return Err(Failure::not_run(Code::Unplaceable, message));
    }
    Ok(())
}

/// Returns the id if the stored job under this key has the same spec, and a conflict otherwise.
async fn match_existing(admin: &AdminState, job: &Job, shard: u16) -> Result<JobId, Failure> {
    let keys = [job_key(shard, job.id.as_str()), done_key(shard, &job.id)];
    let rows = admin
        .table
        .read(&keys)
        .await
        .map_err(|error| store_failure(&error))?;
    let is_same = rows.iter().any(|row| is_same_job(row, job));
    if is_same {
        admin.control.do_send(JobChanged(job.id.clone()));
        return Ok(job.id.clone());
    }
    let message = format!(
        "another job of team {} holds the key {}",
        job.spec.team, job.spec.key
    );
    Err(Failure::not_run(Code::Conflict, message))
}

/// Compares by spec while the job's row exists and by spec digest once only its summary is left.
fn is_same_job(row: &Row, job: &Job) -> bool {
    match serde_json::from_str::<Job>(&row.value) {
        Ok(held) => held.spec == job.spec,
        Err(_) => serde_json::from_str::<JobSummary>(&row.value)
            .is_ok_and(|summary| summary.spec_digest == job.spec_digest()),
    }
}

/// Returns a job's status.
pub(crate) async fn status(
    request: HttpRequest,
    admin: Data<AdminState>,
    job: Path<String>,
) -> HttpResponse {
    let job = JobId::from(job.into_inner());
    let found = match admin_auth::check(&request, &admin) {
        Ok(()) => find(&admin, &job).await,
        Err(failure) => Err(failure),
    };
    match found {
        Ok(status) => HttpResponse::Ok().json(status),
        Err(failure) => admin.failure_response(&failure),
    }
}

/// Looks up a status here, then at the owner of the shard, then in the table.
async fn find(admin: &AdminState, job: &JobId) -> Result<JobStatus, Failure> {
    if let Ok(Some(status)) = admin.control.send(QueryJobStatus(job.clone())).await {
        return Ok(status);
    }
    if let Ok(Some(owner)) = admin.control.send(QueryShardOwner(job.clone())).await {
        let (link, id) = (EntryLink::new(owner), job.clone());
        let call = link.call(OWNER_TIMEOUT, |client, context| async move {
            client.job_status(context, id).await
        });
        if let Ok(Some(status)) = call.await {
            return Ok(status);
        }
    }
    read_status(admin, job).await
}

/// Reads a job's status from the table; for an active job its task counts are not known there.
async fn read_status(admin: &AdminState, job: &JobId) -> Result<JobStatus, Failure> {
    let shard = job.shard(admin.shards);
    let keys = [done_key(shard, job), job_key(shard, job.as_str())];
    let rows = admin
        .table
        .read(&keys)
        .await
        .map_err(|error| store_failure(&error))?;
    let not_found = || Failure::not_run(Code::NotFound, format!("there is no job {job}"));
    let row = rows.first().ok_or_else(not_found)?;
    if let Ok(summary) = serde_json::from_str::<JobSummary>(&row.value) {
        return Ok(summary.status);
    }
    let accepted: Job = serde_json::from_str(&row.value).map_err(|_| not_found())?;
    Ok(JobStatus {
        id: accepted.id,
        phase: JobPhase::Active,
        tasks: accepted.spec.tasks,
        placed: 0,
        succeeded: 0,
        failed: 0,
        resumed: 0,
        reason: None,
    })
}

/// Cancels a job. Idempotent: cancelling an ended or cancelled job succeeds.
pub(crate) async fn cancel(
    request: HttpRequest,
    admin: Data<AdminState>,
    job: Path<String>,
) -> HttpResponse {
    let job = JobId::from(job.into_inner());
    let cancelled = match admin_auth::check(&request, &admin) {
        Ok(()) => write_cancel(&admin, &job).await,
        Err(failure) => Err(failure),
    };
    match cancelled {
        Ok(()) => HttpResponse::Accepted().json(serde_json::json!({ "cancelled": job })),
        Err(failure) => admin.failure_response(&failure),
    }
}

/// Writes the cancellation on condition that the job's row is unchanged; after a conflict the row
/// is read again. Succeeds without a write if the job has ended.
async fn write_cancel(admin: &AdminState, job: &JobId) -> Result<(), Failure> {
    let shard = job.shard(admin.shards);
    let mut last = None;
    for _ in 0..MAX_TRIES {
        let key = job_key(shard, job.as_str());
        let keys = [key.clone(), done_key(shard, job)];
        let rows = match admin.table.read(&keys).await {
            Ok(rows) => rows,
            Err(error) => return Err(store_failure(&last.unwrap_or(error))),
        };
        let Some(row) = rows.iter().find(|row| row.key == key) else {
            let has_ended = !rows.is_empty();
            let message = format!("there is no job {job}");
            return if has_ended {
                Ok(())
            } else {
                Err(Failure::not_run(Code::NotFound, message))
            };
        };
        let txn = Transaction::default()
            .require(key, Some(row.version))
            .put(cancel_key(shard, job.as_str()), "true");
        match admin.table.commit(&txn).await {
            Ok(_) => {
                admin.control.do_send(JobChanged(job.clone()));
                return Ok(());
            }
            Err(StoreError::Conflict { .. }) => {}
            Err(error @ StoreError::Unknown(_)) => last = Some(error),
            Err(error) => return Err(store_failure(&last.unwrap_or(error))),
        }
    }
    Err(store_failure(&last.unwrap_or(StoreError::Unavailable(
        "the job keeps changing".to_owned(),
    ))))
}
