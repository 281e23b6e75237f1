//! Waiting requests: submitted, sent, ended.

use crate::control::{Control, Waiting};
use crate::messages::{Abandon, Ended, RetryKind, Submit};
use actix::{AsyncContext, Context, Handler};
use model::{AgentId, RequestId};
use routing::Decision;
use std::time::Duration;
use telemetry::{Event, log_event};
use wire::RequestState;

/// Time between two looks at waiting requests.
const QUEUE_TICK: Duration = Duration::from_millis(5);
/// Keyed requests whose state is remembered.
const MAX_KEYED: usize = 50_000;

impl Control {
    /// Sends or refuses waiting requests.
    pub(crate) fn pump(&mut self, context: &mut Context<Self>) {
        let now_ms = self.clock.now_ms();
        for decision in self.dispatcher.decide(now_ms, &mut self.rng) {
            self.carry_out(now_ms, decision);
        }
        self.metrics.waiting.set(self.waiting.len() as i64);
        if !self.waiting.is_empty() && !self.queue_timer {
            self.queue_timer = true;
            context.run_later(QUEUE_TICK, |control, context| {
                control.queue_timer = false;
                control.pump(context);
            });
        }
    }

    fn carry_out(&mut self, now_ms: u64, decision: Decision) {
        let (id, outcome) = match decision {
            Decision::Send(dispatch) => (dispatch.id, Ok(dispatch)),
            Decision::Refuse(id, failure) => (id, Err(failure)),
        };
        let Some(Waiting { origin, reply }) = self.waiting.remove(&id) else {
            return;
        };
        let sent = outcome.as_ref().ok().cloned();
        if let Some(dispatch) = &sent {
            self.in_flight += 1;
            if let Some(state) = self.keyed.get_mut(&origin) {
                state.sent_as = id;
                state.agent = Some(dispatch.agent.clone());
                state.incarnation = dispatch.incarnation;
            }
        }
        if let (Err(Ok(dispatch)), Some(_)) = (reply.send(outcome), sent) {
            // The handler went away between the queue and the dispatch: nothing was sent.
            self.in_flight -= 1;
            let outcome = routing::TargetOutcome::Neutral;
            for service in self.services_of(&dispatch.agent) {
                self.dispatcher
                    .on_end(now_ms, &service, &dispatch.agent, outcome, None);
            }
        }
    }

    fn services_of(&self, agent: &AgentId) -> Vec<model::ServiceName> {
        let services = self.members.get(agent).map(|member| &member.beat.services);
        services
            .into_iter()
            .flatten()
            .map(|load| load.service.clone())
            .collect()
    }

    /// Remembers a keyed request that this entry acts for.
    pub(crate) fn remember_keyed(&mut self, id: RequestId) {
        if self.keyed.len() >= MAX_KEYED {
            let oldest = self.keyed.keys().min().copied();
            oldest.map(|oldest| self.keyed.remove(&oldest));
        }
        let state = RequestState {
            agent: None,
            sent_as: id,
            incarnation: 0,
            active: true,
        };
        self.keyed.insert(id, state);
    }
}

impl Handler<Submit> for Control {
    type Result = ();

    fn handle(&mut self, mut message: Submit, context: &mut Self::Context) {
        let now_ms = self.clock.now_ms();
        let pending = &mut message.pending;
        pending.class = self.dispatcher.run_times.class(pending.route);
        pending.expected_ms = self.dispatcher.run_times.expected_ms(pending.route);
        let (id, origin) = (pending.id, pending.origin);
        let taken = match message.retry {
            None => self.dispatcher.submit(now_ms, message.pending),
            Some(kind) => {
                self.metrics.retries.inc();
                self.dispatcher
                    .retry(now_ms, message.pending, kind == RetryKind::Failure)
            }
        };
        match taken {
            Ok(()) => {
                self.waiting.insert(
                    id,
                    Waiting {
                        origin,
                        reply: message.reply,
                    },
                );
                self.pump(context);
            }
            Err(failure) => drop(message.reply.send(Err(failure))),
        }
    }
}

impl Handler<Abandon> for Control {
    type Result = ();

    fn handle(&mut self, message: Abandon, _: &mut Self::Context) {
        if self.waiting.remove(&message.id).is_some() {
            self.dispatcher.abandon(&message.service, message.id);
        }
    }
}

impl Handler<Ended> for Control {
    type Result = ();

    fn handle(&mut self, end: Ended, context: &mut Self::Context) {
        let now_ms = self.clock.now_ms();
        self.in_flight = self.in_flight.saturating_sub(1);
        self.metrics.in_flight.set(self.in_flight as i64);
        if end.uncertain {
            log_event!(warn, Event::RequestUncertain, request = %end.id, agent = %end.agent);
        }
        let run_ms = end.ran.map(|(route, run_ms)| {
            let threshold_ms = self
                .config
                .services
                .get(&end.service)
                .map_or(500, |spec| spec.long_threshold_ms);
            self.dispatcher.run_times.add(route, run_ms, threshold_ms);
            run_ms
        });
        let ejected = self
            .dispatcher
            .on_end(now_ms, &end.service, &end.agent, end.outcome, run_ms);
        if ejected {
            log_event!(warn, Event::AgentEjected, agent = %end.agent, service = %end.service);
        }
        if let Some(load) = end.load {
            self.dispatcher
                .on_load(now_ms, &end.service, &end.agent, load);
        }
        self.pump(context);
    }
}
