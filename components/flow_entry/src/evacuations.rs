//! Requested evacuations as every entry knows them, and their progress in the scheduler.

use crate::coordinator::Coordinator;
use crate::messages::{ColdKnown, EvacuationsRead};
use actix::{AsyncContext, Context, Handler};
use flow::{ColdTime, EvacuationProgress, Scheduler};
use model::DomainName;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use telemetry::{Event, log_event};
use utils::boot_ms;

/// Interval between two measurements of the progress of evacuations, in milliseconds.
const MEASURE_INTERVAL_MS: u64 = 500;
/// Interval between two log lines about an evacuation with runs left, in milliseconds.
const LOG_INTERVAL_MS: u64 = 5_000;

/// Timeout of the query whether a worker is slow after its start.
const COLD_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time for which a worker counts as slow after its start, in milliseconds.
const MAX_COLD_MS: u64 = 60_000;

/// Requested evacuations, as last read by this entry.
#[derive(Debug, Default)]
pub(crate) struct KnownEvacuations {
    /// Domains to be evacuated.
    domains: BTreeSet<DomainName>,
    /// When this entry first read the request for each of them, in milliseconds.
    since_ms: BTreeMap<DomainName, u64>,
    /// When the last answered read was sent, in milliseconds; `None` before the first.
    confirmed_ms: Option<u64>,
}

impl KnownEvacuations {
    /// Tells a scheduler of the evacuations.
    pub fn apply(&self, now_ms: u64, scheduler: &mut Scheduler) {
        scheduler.set_evacuations(now_ms, &self.domains);
        if let Some(at_ms) = self.confirmed_ms {
            scheduler.confirm_evacuations(at_ms);
        }
    }

    /// Domains to be evacuated in order, each with the time in milliseconds at which this entry first read the
    /// request.
    pub fn domains(&self) -> impl Iterator<Item = (&DomainName, u64)> {
        self.since_ms
            .iter()
            .map(|(domain, since_ms)| (domain, *since_ms))
    }

    /// When the last answered read was sent, in milliseconds; `None` before the first.
    pub fn confirmed_ms(&self) -> Option<u64> {
        self.confirmed_ms
    }
}

/// Progress of the evacuations, as last measured by the scheduler.
#[derive(Debug, Default)]
pub(crate) struct EvacuationWatch {
    /// When it was last measured, in milliseconds.
    measured_ms: u64,
    /// When the runs that are left in each domain were last logged, in milliseconds; `None` once it
    /// was logged that there are none.
    logged_ms: BTreeMap<DomainName, Option<u64>>,
}

impl EvacuationWatch {
    /// Evacuations to log now: those that are complete since the last call, and from time to time those
    /// that are not.
    fn due<'a>(
        &mut self,
        now_ms: u64,
        evacuations: &'a [EvacuationProgress],
    ) -> Vec<&'a EvacuationProgress> {
        let is_known = |domain: &DomainName| evacuations.iter().any(|one| one.domain == *domain);
        self.logged_ms.retain(|domain, _| is_known(domain));
        let mut due = Vec::new();
        for evacuation in evacuations {
            let logged_ms = self
                .logged_ms
                .entry(evacuation.domain.clone())
                .or_insert(Some(evacuation.since_ms));
            match (evacuation.runs_left, *logged_ms) {
                (0, Some(_)) => *logged_ms = None,
                (0, None) => continue,
                (_, Some(at_ms)) if now_ms < at_ms + LOG_INTERVAL_MS => continue,
                (_, _) => *logged_ms = Some(now_ms),
            }
            due.push(evacuation);
        }
        due
    }
}

impl Coordinator {
    /// Measures and logs the progress of the evacuations, if that is due.
    pub(crate) fn watch_evacuations(&mut self, now_ms: u64) {
        let Some(leadership) = self.leadership.as_mut() else {
            return;
        };
        let watch = &mut leadership.evacuation_watch;
        if now_ms < watch.measured_ms + MEASURE_INTERVAL_MS {
            return;
        }
        watch.measured_ms = now_ms;
        let evacuations = leadership.scheduler.evacuations();
        let runs_left: usize = evacuations.iter().map(|one| one.runs_left).sum();
        self.metrics.evacuations.set(evacuations.len() as i64);
        self.metrics.evacuation_runs_left.set(runs_left as i64);
        for evacuation in watch.due(now_ms, &evacuations) {
            let spent_ms = now_ms.saturating_sub(evacuation.since_ms);
            let (domain, runs_left) = (&evacuation.domain, evacuation.runs_left);
            if runs_left == 0 {
                let seconds = spent_ms as f64 / 1_000.0;
                self.metrics.evacuation_seconds.observe(seconds);
                log_event!(info, Event::DomainEmptied, domain = %domain, spent_ms,
                    workers = evacuation.workers);
            } else {
                log_event!(info, Event::DomainNotEmpty, domain = %domain, spent_ms, runs_left,
                    workers = evacuation.workers);
            }
        }
    }
}

impl Coordinator {
    /// Asks the agents in domains that returned to service how long their workers are slow. One that does
    /// not answer, or does not know the call, counts as warm.
    fn ask_for_cold(&mut self, domains: &BTreeSet<DomainName>, context: &mut Context<Self>) {
        let Some(leadership) = self.leadership.as_mut() else {
            return;
        };
        let epoch = leadership.epoch;
        let returned_ms = boot_ms();
        let awaited = ColdTime {
            returned_ms,
            until_ms: returned_ms + COLD_TIMEOUT.as_millis() as u64,
            is_reported: false,
        };
        for agent in leadership.scheduler.agents_in(domains) {
            let Some(connection) = leadership.agents.get(&agent) else {
                continue;
            };
            // Until the answer it counts as slow, so that the next pass does not fill it.
            leadership.scheduler.set_cold(&agent, awaited);
            let (link, control) = (connection.link.clone(), context.address());
            actix_rt::spawn(async move {
                let call = link.call(COLD_TIMEOUT, |client, context| async move {
                    client.get_cold_remaining(context).await
                });
                let remaining_ms = call.await.unwrap_or(0).min(MAX_COLD_MS);
                let cold = ColdTime {
                    returned_ms,
                    until_ms: boot_ms() + remaining_ms,
                    is_reported: true,
                };
                control.do_send(ColdKnown { epoch, agent, cold });
            });
        }
    }
}

impl Handler<ColdKnown> for Coordinator {
    type Result = ();

    fn handle(&mut self, cold: ColdKnown, _: &mut Self::Context) {
        let leadership = self.leadership.as_mut();
        if let Some(leadership) = leadership.filter(|leadership| leadership.epoch == cold.epoch) {
            leadership.scheduler.set_cold(&cold.agent, cold.cold);
        }
    }
}

impl Handler<EvacuationsRead> for Coordinator {
    type Result = ();

    fn handle(&mut self, read: EvacuationsRead, context: &mut Self::Context) {
        let now_ms = boot_ms();
        let known = &mut self.evacuations;
        let before = known.domains.clone();
        read.update.apply(&mut known.domains);
        known.confirmed_ms = known.confirmed_ms.max(Some(read.at_ms));
        for domain in known.domains.difference(&before) {
            known.since_ms.insert(domain.clone(), now_ms);
            log_event!(info, Event::EvacuationRequested, domain = %domain);
        }
        for domain in before.difference(&known.domains) {
            known.since_ms.remove(domain);
            log_event!(info, Event::EvacuationEnded, domain = %domain);
        }
        let has_changed = known.domains != before;
        let ended: BTreeSet<DomainName> = before.difference(&known.domains).cloned().collect();
        if let Some(leadership) = self.leadership.as_mut() {
            self.evacuations.apply(now_ms, &mut leadership.scheduler);
        }
        if !ended.is_empty() {
            self.ask_for_cold(&ended, context);
        }
        if has_changed {
            self.request_scheduling_pass(context);
        }
    }
}
