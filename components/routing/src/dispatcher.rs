//! The dispatcher: holds requests and decides where and when each is sent.

use crate::choose::Chooser;
use crate::{
    Class, Decision, Dispatch, DrainRate, PendingRequest, Policy, RetryBudget, RoutingOptions,
    RunTimes, Target, TargetOutcome, Targets, WaitQueue,
};
use errors::{Code, Failure};
use model::{AgentId, DomainName, RequestId, ServiceName};
use rand::RngExt;
use utils::Map;
use wire::{BackendLoad, Heartbeat};

/// Share of the time left that an expected wait may take before a request is refused at once.
const WAIT_SHARE: f64 = 0.5;
/// Wait beyond which a queue only adds latency while every slot is busy, as a multiple of the
/// expected run time.
const USEFUL_WAIT_RUNS: u64 = 1;
/// Shortest wait that a queue may always have.
const MIN_USEFUL_WAIT_MS: u64 = 20;
/// Delay that a refused caller is told when nothing better is known.
const DEFAULT_RETRY_AFTER_MS: u64 = 250;

/// Queue and targets of one service.
#[derive(Debug, Default)]
struct ServiceState {
    /// Agents with the service.
    targets: Targets,
    /// Waiting requests.
    queue: WaitQueue,
    /// Rate at which the queue drains.
    drain: DrainRate,
    /// Requests sent so far, for taking turns.
    turn: usize,
}

/// Holds requests and decides where and when each is sent.
#[derive(Debug)]
pub struct Dispatcher {
    /// Limits and times.
    tuning: RoutingOptions,
    /// Failure domain of this entry.
    domain: DomainName,
    /// State of each service.
    services: Map<ServiceName, ServiceState>,
    /// Retries that may be made.
    budget: RetryBudget,
    /// Learnt run times.
    pub run_times: RunTimes,
}

impl Dispatcher {
    /// A dispatcher without agents.
    ///
    /// ```
    /// let dispatcher = routing::Dispatcher::new(routing::RoutingOptions::default(), "a".into());
    /// assert_eq!(dispatcher.waiting(), 0);
    /// ```
    pub fn new(tuning: RoutingOptions, domain: DomainName) -> Self {
        Self {
            tuning,
            domain,
            services: Map::default(),
            budget: RetryBudget::new(tuning.retry_percent),
            run_times: RunTimes::default(),
        }
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.services
            .values()
            .map(|service| service.queue.len())
            .sum()
    }

    /// The agents that serve a service.
    pub fn targets(&self, service: &ServiceName) -> Option<&Targets> {
        self.services.get(service).map(|state| &state.targets)
    }

    /// Takes an agent's heartbeat.
    pub fn on_heartbeat(&mut self, now_ms: u64, beat: &Heartbeat) {
        for service in &beat.services {
            let state = self.services.entry(service.service.clone()).or_default();
            state.targets.update(now_ms, beat, service);
        }
        let offered = |name: &ServiceName| beat.services.iter().any(|load| load.service == *name);
        for (name, state) in &mut self.services {
            if beat.draining || !offered(name) {
                state.targets.remove(&beat.agent);
            }
        }
    }

    /// Forgets an agent.
    pub fn on_lost(&mut self, agent: &AgentId) {
        for state in self.services.values_mut() {
            state.targets.remove(agent);
        }
    }

    /// Takes a request, or refuses it because waiting is of no use.
    ///
    /// # Errors
    /// The reason; the request has not run.
    pub fn submit(&mut self, now_ms: u64, pending: PendingRequest) -> Result<(), Failure> {
        let state = self.services.entry(pending.service.clone()).or_default();
        if state.targets.list().is_empty() {
            let failure = Failure::not_run(Code::NoBackend, "no backend server is known");
            return Err(failure.retry_after(DEFAULT_RETRY_AFTER_MS));
        }
        if pending.tries == 0 {
            let chooser = Chooser {
                tuning: &self.tuning,
                domain: &self.domain,
                now_ms,
            };
            let must_wait =
                !state.queue.is_empty() || !chooser.any_free(&state.targets, pending.class);
            if must_wait && self.tuning.policy == Policy::LateBinding {
                check_wait(&self.tuning, now_ms, state, &pending)?;
            }
        }
        state.queue.push(pending);
        Ok(())
    }

    /// Takes back a request that provably did not run, to send it elsewhere.
    ///
    /// # Errors
    /// No try or no retry budget is left; the request has not run.
    pub fn retry(
        &mut self,
        now_ms: u64,
        mut pending: PendingRequest,
        spend: bool,
    ) -> Result<(), Failure> {
        pending.tries += 1;
        if spend && pending.tries >= self.tuning.max_tries {
            return Err(Failure::not_run(Code::NoCapacity, "every try failed"));
        }
        if spend && !self.budget.try_spend() {
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

    /// Gives up a waiting request, because its caller went away; answers whether it was waiting.
    pub fn abandon(&mut self, service: &ServiceName, id: RequestId) -> bool {
        self.services
            .get_mut(service)
            .is_some_and(|state| state.queue.remove(id))
    }

    /// Takes free slots that an agent told with an answer.
    pub fn on_load(
        &mut self,
        now_ms: u64,
        service: &ServiceName,
        agent: &AgentId,
        load: BackendLoad,
    ) {
        if let Some(state) = self.services.get_mut(service) {
            state.targets.told(now_ms, agent, load);
        }
    }

    /// Takes the end of a dispatched request; answers whether its agent was ejected for it.
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
                target.ejection.succeeded(now_ms);
                if let Some(run_ms) = run_ms {
                    target.mean_ms.add(run_ms as f64);
                }
                false
            }
            TargetOutcome::Failed => {
                target
                    .ejection
                    .failed(now_ms, self.tuning.eject_failures, self.tuning.eject_ms)
            }
            TargetOutcome::Neutral => false,
        }
    }

    /// Decides about every waiting request that can be sent or must be refused now.
    pub fn decide(&mut self, now_ms: u64, rng: &mut impl RngExt) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for state in self.services.values_mut() {
            if state.queue.is_empty() {
                continue;
            }
            refuse_hopeless(now_ms, state, &mut decisions);
            let chooser = Chooser {
                tuning: &self.tuning,
                domain: &self.domain,
                now_ms,
            };
            send_waiting(&chooser, state, rng, &mut decisions);
        }
        decisions
    }
}

/// Refuses a request whose wait would be useless at the measured drain rate.
fn check_wait(
    tuning: &RoutingOptions,
    now_ms: u64,
    state: &ServiceState,
    pending: &PendingRequest,
) -> Result<(), Failure> {
    let teams = state.queue.team_count() + usize::from(state.queue.team_len(&pending.team) == 0);
    let own = state.queue.team_len(&pending.team);
    let ahead = (own * teams).min(state.queue.len());
    if state.queue.len() >= tuning.queue_limit {
        let failure = Failure::not_run(Code::NoCapacity, "too many requests wait");
        return Err(failure.retry_after(DEFAULT_RETRY_AFTER_MS));
    }
    let Some(wait_ms) = state.drain.wait_ms(ahead) else {
        return Ok(());
    };
    let left_ms = pending
        .deadline_ms
        .saturating_sub(now_ms + pending.expected_ms);
    let useful_ms = (USEFUL_WAIT_RUNS * pending.expected_ms).max(MIN_USEFUL_WAIT_MS);
    let limit_ms = ((left_ms as f64 * WAIT_SHARE) as u64).min(useful_ms);
    if wait_ms <= limit_ms {
        return Ok(());
    }
    let message = format!("a slot is expected in {wait_ms} ms, which is too late");
    Err(Failure::not_run(Code::DeadlineUnreachable, message).retry_after(wait_ms))
}

fn refuse_hopeless(now_ms: u64, state: &mut ServiceState, decisions: &mut Vec<Decision>) {
    for pending in state.queue.take_hopeless(now_ms) {
        let failure = Failure::not_run(Code::DeadlineUnreachable, "no slot came free in time");
        decisions.push(Decision::Refuse(
            pending.id,
            failure.retry_after(DEFAULT_RETRY_AFTER_MS),
        ));
    }
}

fn send_waiting(
    chooser: &Chooser<'_>,
    state: &mut ServiceState,
    rng: &mut impl RngExt,
    decisions: &mut Vec<Decision>,
) {
    let binds_late = chooser.tuning.policy == Policy::LateBinding;
    let mut held = Vec::new();
    loop {
        let fits = |class| !binds_late || chooser.any_free(&state.targets, class);
        let next = state
            .queue
            .next_class(chooser.now_ms, fits(Class::Short), fits(Class::Long));
        let Some(pending) = next.and_then(|class| state.queue.pop(class)) else {
            break;
        };
        let Some(index) = chooser.choose(&state.targets, &pending, state.turn, rng) else {
            // It fits nowhere that it may go; those behind it may.
            held.push(pending);
            continue;
        };
        state.turn += 1;
        state
            .drain
            .dispatched(chooser.now_ms, !state.queue.is_empty());
        decisions.push(Decision::Send(dispatch(
            state.targets.at_mut(index),
            &pending,
        )));
    }
    for pending in held.into_iter().rev() {
        state.queue.push(pending);
    }
}

fn dispatch(target: &mut Target, pending: &PendingRequest) -> Dispatch {
    target.sent(pending.class);
    Dispatch {
        id: pending.id,
        agent: target.agent.clone(),
        traffic: target.traffic,
        control: target.control,
        incarnation: target.incarnation,
        class: pending.class,
    }
}
