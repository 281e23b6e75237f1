//! Orders to agents to start, stop and confirm attempts, and the agents' reports on them.

use crate::batch_state::BatchState;
use crate::control::Control;
use crate::messages::AttemptsEnded;
use actix::{Addr, AsyncContext, Context, Handler, Message};
use backing::{AttemptRef, AttemptStatus, StopMode, WorkerRuntime};
use batch::{Effect, Worker};
use model::AgentId;
use std::collections::BTreeMap;
use std::time::Duration;
use telemetry::{Event, log_event};
use utils::Map;
use wire::{AgentLink, AttemptEnd, EndKind, ShardOwner, StartOrder, StartResult, StopOrder};

/// Timeout of an order to an agent.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_000);

impl Control {
    /// Sends the orders of own shards that are due, such as starts that no agent has confirmed.
    pub(crate) fn send_due_orders(&mut self, context: &mut Context<Self>) {
        let now_ms = self.clock.now_ms();
        let ids: Vec<u16> = self.batch.shards.keys().copied().collect();
        for id in ids {
            let members = &self.members;
            let silent_ms = |agent: &AgentId| members.silent_ms(now_ms, agent);
            let Some(shard) = self.batch.shards.get_mut(&id) else {
                continue;
            };
            let effects = shard.due_orders(now_ms, silent_ms);
            self.apply_effects(id, effects, context);
        }
    }

    /// Describes this entry as the owner of a shard under its current epoch, for calls to agents;
    /// `None` if the shard is not owned here.
    fn shard_owner(&self, shard: u16) -> Option<ShardOwner> {
        let epoch = self.batch.shards.get(&shard)?.epoch();
        let shards = self.settings.batch.shards;
        Some(ShardOwner {
            shard,
            shards,
            epoch,
            owner: self.settings.control_listen,
        })
    }

    /// Notifies an agent of the shards that this entry owns.
    pub(crate) fn send_adoptions(&self, agent: &AgentId, _: &mut Context<Self>) {
        let owners: Vec<ShardOwner> = self
            .batch
            .shards
            .keys()
            .filter_map(|shard| self.shard_owner(*shard))
            .collect();
        let Some(link) = self.links.get(agent).filter(|_| !owners.is_empty()) else {
            return;
        };
        actix_rt::spawn(async move {
            let call = link.call(ORDER_TIMEOUT, |client, context| async move {
                client.adopt_shards(context, owners).await
            });
            drop(call.await);
        });
    }

    /// Applies the effects of a shard: orders are grouped by agent and sent in one call each.
    /// Orders to agents without a link are dropped.
    pub(crate) fn apply_effects(
        &mut self,
        shard: u16,
        effects: Vec<Effect>,
        context: &mut Context<Self>,
    ) {
        let mut starts: Map<AgentId, Vec<StartOrder>> = Map::default();
        let mut stops: Map<AgentId, Vec<StopOrder>> = Map::default();
        let mut confirms: Map<AgentId, Vec<AttemptRef>> = Map::default();
        for effect in effects {
            match effect {
                Effect::Start(agent, order) => starts.entry(agent).or_default().push(order),
                Effect::Stop(agent, order) => stops.entry(agent).or_default().push(order),
                Effect::Confirm(agent, end) => confirms.entry(agent).or_default().push(end),
                Effect::Recover(agent, attempt) => self.stop_lost_attempt(agent, attempt, context),
                Effect::JobEnded(status) => {
                    log_event!(info, Event::JobEnded, job = %status.id, succeeded = status.succeeded, failed = status.failed);
                }
            }
        }
        let Some(owner) = self.shard_owner(shard) else {
            return;
        };
        for (agent, orders) in starts {
            if let Some(link) = self.links.get(&agent) {
                send_starts(context.address(), link, agent, owner, orders);
            }
        }
        for (agent, orders) in stops {
            if let Some(link) = self.links.get(&agent) {
                send_stops(link, owner, orders);
            }
        }
        for (agent, ends) in confirms {
            if let Some(link) = self.links.get(&agent) {
                send_confirms(link, ends);
            }
        }
    }

    /// Stops an attempt through the platform because its agent is lost, and reports its end.
    fn stop_lost_attempt(&self, agent: AgentId, attempt: AttemptRef, context: &mut Context<Self>) {
        log_event!(warn, Event::TaskLost, task = %attempt.task, agent = %agent);
        let (runtime, control) = (self.batch.runtime.clone(), context.address());
        actix_rt::spawn(async move {
            let Ok(status) = runtime.stop(&agent, &attempt, StopMode::Checkpoint).await else {
                return;
            };
            let Some(kind) = end_kind_of(status) else {
                return;
            };
            let peak = model::Resources::default();
            let ends = vec![AttemptEnd {
                attempt,
                kind,
                peak,
                run_ms: 0,
            }];
            control.do_send(AttemptsEnded { agent, ends });
        });
    }
}

/// Results of the start orders sent to an agent in one call.
#[derive(Message)]
#[rtype(result = "()")]
struct StartsAnswered {
    /// Agent that received the orders.
    agent: AgentId,
    /// The ordered attempts.
    attempts: Vec<AttemptRef>,
    /// Result of each order, in the same sequence.
    results: Vec<StartResult>,
}

/// Maps the platform's status of a stopped attempt to its end; `None` if it still runs.
fn end_kind_of(status: AttemptStatus) -> Option<EndKind> {
    match status {
        AttemptStatus::Running => None,
        AttemptStatus::Succeeded => Some(EndKind::Succeeded),
        AttemptStatus::Failed => Some(EndKind::Failed),
        AttemptStatus::Checkpointed => Some(EndKind::Checkpointed),
        AttemptStatus::Stopped | AttemptStatus::Lapsed => Some(EndKind::Stopped),
    }
}

fn send_starts(
    control: Addr<Control>,
    link: AgentLink,
    agent: AgentId,
    owner: ShardOwner,
    orders: Vec<StartOrder>,
) {
    actix_rt::spawn(async move {
        let attempts: Vec<AttemptRef> = orders.iter().map(|order| order.attempt.clone()).collect();
        let call = link.call(ORDER_TIMEOUT, |client, context| async move {
            client.start_attempts(context, owner, orders).await
        });
        if let Ok(results) = call.await {
            control.do_send(StartsAnswered {
                agent,
                attempts,
                results,
            });
        }
    });
}

fn send_stops(link: AgentLink, owner: ShardOwner, orders: Vec<StopOrder>) {
    actix_rt::spawn(async move {
        let call = link.call(ORDER_TIMEOUT, |client, context| async move {
            client.stop_attempts(context, owner, orders).await
        });
        drop(call.await);
    });
}

fn send_confirms(link: AgentLink, ends: Vec<AttemptRef>) {
    actix_rt::spawn(async move {
        let call = link.call(ORDER_TIMEOUT, |client, context| async move {
            client.confirm_ends(context, ends).await
        });
        drop(call.await);
    });
}

impl Handler<StartsAnswered> for Control {
    type Result = ();

    fn handle(&mut self, answered: StartsAnswered, _: &mut Self::Context) {
        let shards = self.settings.batch.shards;
        for (attempt, result) in answered.attempts.iter().zip(answered.results) {
            let batch = &mut self.batch;
            let Some(shard) = batch.shards.get_mut(&attempt.task.job.shard(shards)) else {
                continue;
            };
            match result {
                StartResult::Accepted => {
                    shard.on_accepted(&answered.agent, attempt, &mut batch.workers);
                }
                StartResult::Refused => {
                    let (workers, usage) = (&mut batch.workers, &mut batch.usage);
                    shard.on_refused(&answered.agent, attempt, workers, usage);
                }
                // The order was not decided; it becomes due again.
                StartResult::StaleOwner | StartResult::Unready => {}
            }
        }
    }
}

impl Handler<AttemptsEnded> for Control {
    type Result = ();

    fn handle(&mut self, message: AttemptsEnded, context: &mut Self::Context) {
        let was_on_probation = self.is_on_probation(&message.agent);
        let mut confirms: BTreeMap<u16, Vec<Effect>> = BTreeMap::new();
        for end in &message.ends {
            let shard = end.attempt.task.job.shard(self.settings.batch.shards);
            confirms
                .entry(shard)
                .or_default()
                .extend(self.apply_end(shard, &message.agent, end));
        }
        match (was_on_probation, self.is_on_probation(&message.agent)) {
            (false, true) => log_event!(warn, Event::WorkerQuarantined, agent = %message.agent),
            (true, false) => log_event!(info, Event::WorkerReleased, agent = %message.agent),
            _ => {}
        }
        for (shard, effects) in confirms {
            self.apply_effects(shard, effects, context);
        }
    }
}

impl Control {
    fn is_on_probation(&self, agent: &AgentId) -> bool {
        self.batch
            .workers
            .get(agent)
            .is_some_and(Worker::is_on_probation)
    }

    /// Applies the end of an attempt to its shard; returns the confirmation for the agent, if any.
    fn apply_end(&mut self, shard: u16, agent: &AgentId, end: &AttemptEnd) -> Option<Effect> {
        let now_ms = self.clock.now_ms();
        let BatchState {
            shards,
            workers,
            usage,
            kinds,
            ..
        } = &mut self.batch;
        shards
            .get_mut(&shard)?
            .on_end(now_ms, agent, end, workers, usage, kinds)
    }
}
