//! Fillers for which no worker was found a moment ago, so that those of later flows don't take what
//! becomes free before those of earlier flows are tried again.

use crate::candidate::Candidate;
use crate::{Scheduler, StepSpec, TaskKey};
use model::{Resources, ServiceName};

/// Time after which a worker is searched again for fillers that none could bear, in milliseconds. Slacks
/// change with the reports of the workers.
const FILLER_RETRY_MS: u64 = 100;

/// Most failures that are known; further ones are not noted.
const MAX_FAILURES: usize = 64;

/// Failed searches of the last moments.
#[derive(Debug, Default)]
pub(crate) struct FillerFailures(Vec<Failure>);

/// A search for a worker that found none.
#[derive(Debug)]
struct Failure {
    service: ServiceName,
    label: Option<String>,
    /// Image of the filler; `None` if there was no room for any image.
    image: Option<String>,
    /// Declared resources.
    need: Resources,
    /// Until when it is known, in milliseconds.
    until_ms: u64,
}

impl FillerFailures {
    /// Drops failures that are over.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.0.retain(|failure| now_ms < failure.until_ms);
    }

    /// Whether a search for fillers of the step is known to fail: one for as much or less did.
    pub(crate) fn includes(&self, service: &ServiceName, spec: &StepSpec) -> bool {
        self.0.iter().any(|failure| {
            let is_alike = failure.image.is_none() || failure.image == spec.image;
            is_alike
                && failure.service == *service
                && failure.label == spec.label
                && failure.need.fits_in(&spec.need)
        })
    }

    /// Notes a failed search. `has_room` states whether a worker had room, so that only fillers of the
    /// same image are known to fail.
    pub(crate) fn note(
        &mut self,
        service: &ServiceName,
        spec: &StepSpec,
        has_room: bool,
        until_ms: u64,
    ) {
        if self.0.len() < MAX_FAILURES {
            self.0.push(Failure {
                service: service.clone(),
                label: spec.label.clone(),
                image: spec.image.clone().filter(|_| has_room),
                need: spec.need,
                until_ms,
            });
        }
    }
}

impl Scheduler {
    /// Notes that no worker was found for a filler, so that flows that are served later wait too. A step with
    /// a limit for each worker may fail where others don't.
    pub(crate) fn note_filler_failure(
        &mut self,
        now_ms: u64,
        service: &ServiceName,
        spec: &StepSpec,
        candidates: &[(ServiceName, Candidate)],
    ) {
        if !self.policies.overload_order || !spec.filler || spec.max_per_worker.is_some() {
            return;
        }
        let has_room = candidates
            .iter()
            .any(|(pool, candidate)| pool == service && candidate.has_room_for(spec));
        let until_ms = now_ms + FILLER_RETRY_MS;
        self.filler_failures.note(service, spec, has_room, until_ms);
    }

    pub(crate) fn is_filler_retry_due(&self, now_ms: u64, key: &TaskKey) -> bool {
        let step = self.flows.get(&key.job).and_then(|state| state.step(key));
        step.is_some_and(|step| now_ms >= step.filler_retry_ms)
    }

    pub(crate) fn delay_filler_retry(&mut self, now_ms: u64, key: &TaskKey) {
        let state = self.flows.get_mut(&key.job);
        if let Some(step) = state.and_then(|state| state.step_mut(key)) {
            step.filler_retry_ms = now_ms + FILLER_RETRY_MS;
        }
    }
}
