//! The lifecycle of a request on the control thread: queued, dispatched, ended.

use crate::control::{Control, QueuedTry};
use crate::messages::{AbandonTry, RetryKind, SubmitTry, TryEnded};
use actix::{AsyncContext, Context, Handler};
use model::{AgentId, RequestId};
use routing::Decision;
use std::time::Duration;
use telemetry::{Event, log_event};
use wire::RequestState;

/// Interval of dispatch passes while requests are queued.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of retained keyed requests; beyond it the oldest is evicted.
const MAX_KEYED: usize = 50_000;

impl Control {
    /// Runs a dispatch pass: sends queued tries to free slots and refuses those that can't be
    /// served. Sets a timer for the next pass if any remain.
    pub(crate) fn dispatch_queued(&mut self, context: &mut Context<Self>) {
        let now_ms = self.clock.now_ms();
        for decision in self.dispatcher.decide(now_ms, &mut self.rng) {
            self.apply_decision(now_ms, decision);
        }
        self.metrics.queued.set(self.queued_tries.len() as i64);
        if !self.queued_tries.is_empty() && !self.has_queue_timer {
            self.has_queue_timer = true;
            context.run_later(DISPATCH_INTERVAL, |control, context| {
                control.has_queue_timer = false;
                control.dispatch_queued(context);
            });
        }
    }

    /// Replies to the queued try that a decision is about and records where it is sent.
    fn apply_decision(&mut self, now_ms: u64, decision: Decision) {
        let (id, outcome) = match decision {
            Decision::Send(dispatch) => (dispatch.id, Ok(dispatch)),
            Decision::Refuse(id, failure) => (id, Err(failure)),
        };
        let Some(QueuedTry { request_id, reply }) = self.queued_tries.remove(&id) else {
            return;
        };
        let sent = outcome.as_ref().ok().cloned();
        if let Some(dispatch) = &sent {
            self.in_flight += 1;
            if let Some(state) = self.keyed.get_mut(&request_id) {
                state.sent_as = id;
                state.agent = Some(dispatch.agent.clone());
                state.incarnation = dispatch.incarnation;
            }
        }
        if let (Err(Ok(dispatch)), Some(_)) = (reply.send(outcome), sent) {
            // The caller's handler was dropped before the dispatch reached it: nothing was sent.
            self.in_flight -= 1;
            let outcome = routing::TargetOutcome::Neutral;
            for service in self.services_on(&dispatch.agent) {
                self.dispatcher
                    .on_end(now_ms, &service, &dispatch.agent, outcome, None);
            }
        }
    }

    fn services_on(&self, agent: &AgentId) -> Vec<model::ServiceName> {
        let services = self
            .members
            .get(agent)
            .map(|member| &member.heartbeat.services);
        services
            .into_iter()
            .flatten()
            .map(|load| load.service.clone())
            .collect()
    }

    /// Records a keyed request received here, evicting the oldest beyond [`MAX_KEYED`].
    pub(crate) fn record_keyed(&mut self, id: RequestId) {
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

impl Handler<SubmitTry> for Control {
    type Result = ();

    fn handle(&mut self, mut message: SubmitTry, context: &mut Self::Context) {
        let now_ms = self.clock.now_ms();
        let pending = &mut message.pending;
        pending.class = self.dispatcher.run_times.class(pending.route);
        pending.expected_ms = self.dispatcher.run_times.expected_ms(pending.route);
        let (id, request_id) = (pending.id, pending.request_id);
        let queued = match message.retry {
            None => self.dispatcher.submit(now_ms, message.pending),
            Some(kind) => {
                self.metrics.retries.inc();
                self.dispatcher
                    .retry(now_ms, message.pending, kind == RetryKind::Failure)
            }
        };
        match queued {
            Ok(()) => {
                self.queued_tries.insert(
                    id,
                    QueuedTry {
                        request_id,
                        reply: message.reply,
                    },
                );
                self.dispatch_queued(context);
            }
            Err(failure) => drop(message.reply.send(Err(failure))),
        }
    }
}

impl Handler<AbandonTry> for Control {
    type Result = ();

    fn handle(&mut self, message: AbandonTry, _: &mut Self::Context) {
        if self.queued_tries.remove(&message.id).is_some() {
            self.dispatcher.abandon(&message.service, message.id);
        }
    }
}

impl Handler<TryEnded> for Control {
    type Result = ();

    fn handle(&mut self, end: TryEnded, context: &mut Self::Context) {
        let now_ms = self.clock.now_ms();
        self.in_flight = self.in_flight.saturating_sub(1);
        self.metrics.in_flight.set(self.in_flight as i64);
        if end.uncertain {
            log_event!(warn, Event::RequestUncertain, request = %end.id, agent = %end.agent);
        }
        let run_ms = end.completed.map(|(route, run_ms)| {
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
        self.dispatch_queued(context);
    }
}
