//! Steps for which no worker of a pool has room, so that a pass over many waiting flows is short.

use crate::candidate::Candidate;
use crate::worker_rules::has_label;
use crate::{Scheduler, StepSpec};
use model::{JobId, Resources, ServiceName};

/// Most needs that are known to find no room; further ones are examined each time.
const MAX_NEEDS: usize = 32;

/// What found no room in the present pass, in which free capacity only shrinks.
#[derive(Debug, Default)]
pub(crate) struct FullPools(Vec<Need>);

/// A need of a task.
#[derive(Debug)]
struct Need {
    /// Pool that it was searched in.
    service: ServiceName,
    /// Label of the worker, if there must be one.
    label: Option<String>,
    /// Reserved resources.
    reserved: Resources,
}

impl FullPools {
    /// Whether a task of the step needs as much as one that found no room, or more.
    fn includes(&self, service: &ServiceName, spec: &StepSpec) -> bool {
        let reserved = spec.reserved();
        self.0.iter().any(|need| {
            need.label == spec.label && need.service == *service && need.reserved.fits_in(&reserved)
        })
    }
}

impl Scheduler {
    /// Whether no worker of the pool has both the label and the capacity for a task of the step.
    pub(crate) fn finds_no_room(
        &self,
        service: &ServiceName,
        spec: &StepSpec,
        candidates: &[(ServiceName, Candidate)],
        full: &mut FullPools,
    ) -> bool {
        if full.includes(service, spec) {
            return true;
        }
        let reserved = spec.reserved();
        let may_fit = candidates.iter().any(|(pool, candidate)| {
            let view = self.fleet.workers.get(&candidate.agent);
            pool == service
                && reserved.fits_in(&candidate.free)
                && candidate.warmth.admits(spec)
                && view.is_some_and(|view| has_label(view, spec))
        });
        if !may_fit && full.0.len() < MAX_NEEDS {
            full.0.push(Need {
                service: service.clone(),
                label: spec.label.clone(),
                reserved,
            });
        }
        !may_fit
    }

    /// Keeps the times since which tasks of these steps wait, pairs of occurrence and step, of which none
    /// is placed in this pass.
    pub(crate) fn keep_waiting(&mut self, now_ms: u64, job: &JobId, steps: &[(usize, usize)]) {
        let Some(state) = self.flows.get_mut(job) else {
            return;
        };
        for (occurrence, step) in steps {
            let occurrence = state.occurrences.get_mut(*occurrence);
            let Some(step) = occurrence.and_then(|state| state.steps.get_mut(*step)) else {
                continue;
            };
            let is_due = step
                .all_tasks()
                .any(|(_, task)| task.is_queued() && now_ms >= task.not_before_ms);
            step.queued_since_ms = is_due.then(|| step.queued_since_ms.unwrap_or(now_ms));
        }
    }
}
