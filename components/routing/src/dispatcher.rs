//! The dispatcher: queues requests and decides when and to which agent each is sent.

use crate::chooser::Chooser;
use crate::{
    Class, Decision, Dispatch, DrainRate, PendingRequest, Policy, RetryBudget, RoutingOptions,
    RunTimes, Target, TargetOutcome, Targets, WaitQueue,
};
use errors::{Code, Failure};
use model::{AgentId, DomainName, RequestId, ServiceName};
use rand::RngExt;
use utils::Map;
use wire::{BackendLoad, Heartbeat};

/// Largest expected queueing time that a request is accepted with, as a share of its time left.
const MAX_WAIT_SHARE: f64 = 0.5;
/// Largest expected queueing time that a request is accepted with, in expected run times. While
/// every slot is busy, a longer queue only adds latency.
const MAX_WAIT_RUNS: u64 = 1;
/// Expected queueing time that [`MAX_WAIT_RUNS`] never refuses, however short the run time.
const ALWAYS_ALLOWED_WAIT_MS: u64 = 20;
/// Retry delay sent to a refused caller if there is no estimate.
const DEFAULT_RETRY_AFTER_MS: u64 = 250;

/// Queue and agents of one service.
#[derive(Debug, Default)]
struct ServiceState {
    /// Agents that offer the service.
    targets: Targets,
    /// Queued requests.
    queue: WaitQueue,
    /// Estimate of how fast the queue drains.
    drain_rate: DrainRate,
    /// Requests dispatched so far, for round-robin.
    dispatch_count: usize,
}

/// Queues requests and decides when and to which agent each is sent.
///
/// It does no I/O: the entry passes in heartbeats, requests and their ends, and carries out the
/// [`Decision`]s.
#[derive(Debug)]
pub struct Dispatcher {
    /// Policy, limits and times of routing.
    options: RoutingOptions,
    /// Failure domain of this entry.
    domain: DomainName,
    /// Queue and agents of each known service.
    services: Map<ServiceName, ServiceState>,
    /// Budget for retries of failed requests, shared by all services.
    budget: RetryBudget,
    /// Run-time statistics by route; the entry updates them and classifies requests by them.
    pub run_times: RunTimes,
}

impl Dispatcher {
    /// Creates a dispatcher without agents for an entry in `domain`.
    ///
    /// ```
    /// let dispatcher = routing::Dispatcher::new(routing::RoutingOptions::default(), "a".into());
    /// assert_eq!(dispatcher.queued_count(), 0);
    /// ```
    pub fn new(options: RoutingOptions, domain: DomainName) -> Self {
        Self {
            options,
            domain,
            services: Map::default(),
            budget: RetryBudget::new(options.retry_percent),
            run_times: RunTimes::default(),
        }
    }

    /// Number of queued requests of all services.
    pub fn queued_count(&self) -> usize {
        self.services
            .values()
            .map(|service| service.queue.len())
            .sum()
    }

    /// Returns the agents that offer a service; `None` if no agent or request has named it yet.
    pub fn targets(&self, service: &ServiceName) -> Option<&Targets> {
        self.services.get(service).map(|state| &state.targets)
    }

    /// Applies an agent's heartbeat: updates the services that it offers and removes it from all
    /// others, or from all services if it is draining.
    pub fn on_heartbeat(&mut self, now_ms: u64, heartbeat: &Heartbeat) {
        for service in &heartbeat.services {
            let state = self.services.entry(service.service.clone()).or_default();
            state.targets.update(now_ms, heartbeat, service);
        }
        let is_offered =
            |name: &ServiceName| heartbeat.services.iter().any(|load| load.service == *name);
        for (name, state) in &mut self.services {
            if heartbeat.draining || !is_offered(name) {
                state.targets.remove(&heartbeat.agent);
            }
        }
    }

    /// Removes an agent whose heartbeats have stopped.
    pub fn on_lost(&mut self, agent: &AgentId) {
        for state in self.services.values_mut() {
            state.targets.remove(agent);
        }
    }

    /// Queues a request, or refuses it if no agent offers its service. With late binding, a first
    /// attempt is also refused if it would be queued for too long.
    ///
    /// # Errors
    /// Why the request is refused, and when to retry it; it has not run.
    pub fn submit(&mut self, now_ms: u64, pending: PendingRequest) -> Result<(), Failure> {
        let state = self.services.entry(pending.service.clone()).or_default();
        if state.targets.list().is_empty() {
            let failure = Failure::not_run(Code::NoBackend, "no backend server is known");
            return Err(failure.retry_after(DEFAULT_RETRY_AFTER_MS));
        }
        if pending.previous_tries == 0 {
            let chooser = Chooser {
                options: &self.options,
                domain: &self.domain,
                now_ms,
            };
            let must_wait =
                !state.queue.is_empty() || !chooser.has_free_slot(&state.targets, pending.class);
            if must_wait && self.options.policy == Policy::LateBinding {
                check_wait(&self.options, now_ms, state, &pending)?;
            }
        }
        state.queue.push(pending);
        Ok(())
    }

    /// Queues a request again whose last attempt is proved not to have run.
    ///
    /// `spends_budget` is false if the agent refused the attempt because it had no free slot. Then
    /// neither the maximum number of attempts nor the retry budget is checked.
    ///
    /// # Errors
    /// No attempt, retry budget or time is left, or [`Dispatcher::submit`] refuses the request; it
    /// has not run.
    pub fn retry(
        &mut self,
        now_ms: u64,
        mut pending: PendingRequest,
        spends_budget: bool,
    ) -> Result<(), Failure> {
        pending.previous_tries += 1;
        if spends_budget && pending.previous_tries >= self.options.max_tries {
            return Err(Failure::not_run(Code::NoCapacity, "every try failed"));
        }
        if spends_budget && !self.budget.try_spend() {
            return Err(Failure::not_run(
                Code::NoCapacity,
                "the retry budget is spent",
            ));
        }
        if pending.deadline_ms <= now_ms {
            return Err(Failure::not_run(
                Code::DeadlineExceeded,
                "the deadline passed",
            ));
        }
        self.submit(now_ms, pending)
    }

    /// Removes a queued request whose caller has disconnected; returns whether it was queued.
    pub fn abandon(&mut self, service: &ServiceName, id: RequestId) -> bool {
        self.services
            .get_mut(service)
            .is_some_and(|state| state.queue.remove(id))
    }

    /// Applies free slots that an agent reported along with an answer.
    pub fn on_load(
        &mut self,
        now_ms: u64,
        service: &ServiceName,
        agent: &AgentId,
        load: BackendLoad,
    ) {
        if let Some(state) = self.services.get_mut(service) {
            state.targets.update_load(now_ms, agent, load);
        }
    }

    /// Records the end of a dispatched request; returns whether its agent is ejected for it.
    ///
    /// `run_ms` is the time from dispatch to a complete answer, if there was one.
    pub fn on_end(
        &mut self,
        now_ms: u64,
        service: &ServiceName,
        agent: &AgentId,
        outcome: TargetOutcome,
        run_ms: Option<u64>,
    ) -> bool {
        if outcome == TargetOutcome::Succeeded {
            self.budget.earn();
        }
        let Some(state) = self.services.get_mut(service) else {
            return false;
        };
        let Some(target) = state.targets.get_mut(agent) else {
            return false;
        };
        target.outstanding = target.outstanding.saturating_sub(1);
        match outcome {
            TargetOutcome::Succeeded => {
                target.ejection.record_success(now_ms);
                if let Some(run_ms) = run_ms {
                    target.mean_run_ms.add(run_ms as f64);
                }
                false
            }
            TargetOutcome::Failed => target.ejection.record_failure(
                now_ms,
                self.options.eject_failures,
                self.options.eject_ms,
            ),
            TargetOutcome::Neutral => false,
        }
    }

    /// Decides about every queued request that can be sent or must be refused now.
    pub fn decide(&mut self, now_ms: u64, rng: &mut impl RngExt) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for state in self.services.values_mut() {
            if state.queue.is_empty() {
                continue;
            }
            refuse_unreachable(now_ms, state, &mut decisions);
            let chooser = Chooser {
                options: &self.options,
                domain: &self.domain,
                now_ms,
            };
            dispatch_queued(&chooser, state, rng, &mut decisions);
        }
        decisions
    }
}

/// Refuses a request if the queue is full, or if its expected queueing time is too long for its
/// deadline or its run time.
///
/// Teams share the slots, so the requests ahead are estimated as those of the own team times the
/// number of teams. Until the drain rate is known, any queueing time is accepted.
fn check_wait(
    options: &RoutingOptions,
    now_ms: u64,
    state: &ServiceState,
    pending: &PendingRequest,
) -> Result<(), Failure> {
    let teams = state.queue.team_count() + usize::from(state.queue.team_len(&pending.team) == 0);
    let own_queued = state.queue.team_len(&pending.team);
    let ahead = (own_queued * teams).min(state.queue.len());
    if state.queue.len() >= options.queue_limit {
        let failure = Failure::not_run(Code::NoCapacity, "too many requests wait");
        return Err(failure.retry_after(DEFAULT_RETRY_AFTER_MS));
    }
    let Some(wait_ms) = state.drain_rate.expected_wait_ms(ahead) else {
        return Ok(());
    };
    let left_ms = pending
        .deadline_ms
        .saturating_sub(now_ms + pending.expected_ms);
    let max_wait_ms = (MAX_WAIT_RUNS * pending.expected_ms).max(ALWAYS_ALLOWED_WAIT_MS);
    let limit_ms = ((left_ms as f64 * MAX_WAIT_SHARE) as u64).min(max_wait_ms);
    if wait_ms <= limit_ms {
        return Ok(());
    }
    let message = format!("a slot is expected in {wait_ms} ms, which is too late");
    Err(Failure::not_run(Code::DeadlineUnreachable, message).retry_after(wait_ms))
}

fn refuse_unreachable(now_ms: u64, state: &mut ServiceState, decisions: &mut Vec<Decision>) {
    for pending in state.queue.remove_unreachable(now_ms) {
        let failure = Failure::not_run(Code::DeadlineUnreachable, "no slot came free in time");
        decisions.push(Decision::Refuse(
            pending.id,
            failure.retry_after(DEFAULT_RETRY_AFTER_MS),
        ));
    }
}

fn dispatch_queued(
    chooser: &Chooser<'_>,
    state: &mut ServiceState,
    rng: &mut impl RngExt,
    decisions: &mut Vec<Decision>,
) {
    let binds_late = chooser.options.policy == Policy::LateBinding;
    let mut unplaced = Vec::new();
    loop {
        let fits = |class| !binds_late || chooser.has_free_slot(&state.targets, class);
        let next = state
            .queue
            .next_class(chooser.now_ms, fits(Class::Short), fits(Class::Long));
        let Some(pending) = next.and_then(|class| state.queue.pop(class)) else {
            break;
        };
        let Some(index) = chooser.choose(&state.targets, &pending, state.dispatch_count, rng)
        else {
            // No allowed agent can accept it, but requests behind it may fit.
            unplaced.push(pending);
            continue;
        };
        state.dispatch_count += 1;
        state
            .drain_rate
            .record_dispatch(chooser.now_ms, !state.queue.is_empty());
        decisions.push(Decision::Send(dispatch(
            state.targets.at_mut(index),
            &pending,
        )));
    }
    for pending in unplaced.into_iter().rev() {
        state.queue.push(pending);
    }
}

fn dispatch(target: &mut Target, pending: &PendingRequest) -> Dispatch {
    target.record_dispatch(pending.class);
    Dispatch {
        id: pending.id,
        agent: target.agent.clone(),
        traffic: target.traffic,
        control: target.control,
        incarnation: target.incarnation,
        class: pending.class,
    }
}
