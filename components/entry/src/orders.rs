//! Orders to agents about attempts, and what agents tell of them.

use crate::control::Control;
use crate::driver::Driver;
use crate::messages::Ends;
use actix::{Addr, AsyncContext, Context, Handler, Message};
use backing::{AttemptRef, AttemptStatus, StopMode, WorkerRuntime};
use batch::{Effect, Worker};
use model::AgentId;
use std::collections::BTreeMap;
use std::time::Duration;
use telemetry::{Event, log_event};
use utils::Map;
use wire::{AgentLink, AttemptEnd, EndKind, ShardOwner, StartOrder, StartResult, StopOrder};

/// Time for an order to an agent.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_000);

impl Control {
    pub(crate) fn send_due_orders(&mut self, context: &mut Context<Self>) {
        let now_ms = self.clock.now_ms();
        let ids: Vec<u16> = self.driver.shards.keys().copied().collect();
        for id in ids {
            let members = &self.members;
            let unheard = |agent: &AgentId| members.silent_ms(now_ms, agent);
            let Some(shard) = self.driver.shards.get_mut(&id) else {
                continue;
            };
            let effects = shard.due_orders(now_ms, unheard);
            self.carry_out_effects(id, effects, context);
        }
    }

    fn owner_message(&self, shard: u16) -> Option<ShardOwner> {
        let epoch = self.driver.shards.get(&shard)?.epoch();
        let shards = self.settings.batch.shards;
        Some(ShardOwner {
            shard,
            shards,
            epoch,
            owner: self.settings.control_listen,
        })
    }

    /// Tells an agent which shards this entry owns.
    pub(crate) fn adopt_on(&self, agent: &AgentId, _: &mut Context<Self>) {
        let owners: Vec<ShardOwner> = self
            .driver
            .shards
            .keys()
            .filter_map(|shard| self.owner_message(*shard))
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

    pub(crate) fn carry_out_effects(
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
                Effect::Recover(agent, attempt) => self.recover(agent, attempt, context),
                Effect::JobEnded(status) => {
                    log_event!(info, Event::JobEnded, job = %status.id, succeeded = status.succeeded, failed = status.failed);
                }
            }
        }
        let Some(owner) = self.owner_message(shard) else {
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

    /// Stops an attempt through the platform, because its agent is gone.
    fn recover(&self, agent: AgentId, attempt: AttemptRef, context: &mut Context<Self>) {
        log_event!(warn, Event::TaskLost, task = %attempt.task, agent = %agent);
        let (runtime, control) = (self.driver.runtime.clone(), context.address());
        actix_rt::spawn(async move {
            let Ok(status) = runtime.stop(&agent, &attempt, StopMode::Checkpoint).await else {
                return;
            };
            let Some(kind) = recovered_kind(status) else {
                return;
            };
            let peak = model::Resources::default();
            let ends = vec![AttemptEnd {
                attempt,
                kind,
                peak,
                run_ms: 0,
            }];
            control.do_send(Ends { agent, ends });
        });
    }
}

/// Answers of an agent to start orders.
#[derive(Message)]
#[rtype(result = "()")]
struct OrdersAnswered {
    /// The agent.
    agent: AgentId,
    /// The attempts.
    attempts: Vec<AttemptRef>,
    /// What became of each.
    results: Vec<StartResult>,
}

/// How an attempt ended, by the status that the platform told for it.
fn recovered_kind(status: AttemptStatus) -> Option<EndKind> {
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
            control.do_send(OrdersAnswered {
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

impl Handler<OrdersAnswered> for Control {
    type Result = ();

    fn handle(&mut self, answered: OrdersAnswered, _: &mut Self::Context) {
        let shards = self.settings.batch.shards;
        for (attempt, result) in answered.attempts.iter().zip(answered.results) {
            let driver = &mut self.driver;
            let Some(shard) = driver.shards.get_mut(&attempt.task.job.shard(shards)) else {
                continue;
            };
            match result {
                StartResult::Accepted => {
                    shard.on_accepted(&answered.agent, attempt, &mut driver.workers);
                }
                StartResult::Refused => {
                    let (workers, usage) = (&mut driver.workers, &mut driver.usage);
                    shard.on_refused(&answered.agent, attempt, workers, usage);
                }
                // An order without a decision is due again by itself.
                StartResult::StaleOwner | StartResult::Unready => {}
            }
        }
    }
}

impl Handler<Ends> for Control {
    type Result = ();

    fn handle(&mut self, message: Ends, context: &mut Self::Context) {
        let was_on_trial = self.is_on_trial(&message.agent);
        let mut confirms: BTreeMap<u16, Vec<Effect>> = BTreeMap::new();
        for end in &message.ends {
            let shard = end.attempt.task.job.shard(self.settings.batch.shards);
            confirms
                .entry(shard)
                .or_default()
                .extend(self.take_end(shard, &message.agent, end));
        }
        match (was_on_trial, self.is_on_trial(&message.agent)) {
            (false, true) => log_event!(warn, Event::WorkerQuarantined, agent = %message.agent),
            (true, false) => log_event!(info, Event::WorkerReleased, agent = %message.agent),
            _ => {}
        }
        for (shard, effects) in confirms {
            self.carry_out_effects(shard, effects, context);
        }
    }
}

impl Control {
    fn is_on_trial(&self, agent: &AgentId) -> bool {
        self.driver
            .workers
            .get(agent)
            .is_some_and(Worker::is_on_probation)
    }

    fn take_end(&mut self, shard: u16, agent: &AgentId, end: &AttemptEnd) -> Option<Effect> {
        let now_ms = self.clock.now_ms();
        let Driver {
            shards,
            workers,
            usage,
            kinds,
            ..
        } = &mut self.driver;
        shards
            .get_mut(&shard)?
            .on_end(now_ms, agent, end, workers, usage, kinds)
    }
}
