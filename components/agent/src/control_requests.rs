//! Messages about requests, backend servers and claims on idempotency keys.

use crate::control::Control;
use crate::messages::{
    AbandonRequest, AnnounceBackend, ClaimKey, Fence, FinishRequest, GetCachedAnswer, GetLoad,
    RecordProgress, ReleaseClaim, RequestSlot,
};
use actix::{Handler, MessageResult};
use fence::{Admitted, CachedAnswer, Grant, Outcome};
use telemetry::{Event, log_event};
use wire::{BackendLoad, FenceAnswer};

impl Handler<RequestSlot> for Control {
    type Result = MessageResult<RequestSlot>;

    fn handle(&mut self, message: RequestSlot, _: &mut Self::Context) -> Self::Result {
        let id = message.request.id;
        let admitted = self.requests.admit(self.clock.now_ms(), message.request);
        match &admitted {
            Admitted::Granted(Grant { .. }) => {
                self.metrics.admitted.inc();
            }
            Admitted::Queued => {
                self.queued_requests.insert(id, message.reply);
            }
            Admitted::Refused(_) => {
                self.metrics.refused.inc();
            }
        }
        self.metrics.in_flight.set(self.requests.in_flight() as i64);
        MessageResult(admitted)
    }
}

impl Handler<AbandonRequest> for Control {
    type Result = ();

    fn handle(&mut self, AbandonRequest(id): AbandonRequest, _: &mut Self::Context) {
        if self.queued_requests.remove(&id).is_some() {
            self.requests.abandon(id);
        }
    }
}

impl Handler<RecordProgress> for Control {
    type Result = ();

    fn handle(&mut self, progress: RecordProgress, _: &mut Self::Context) {
        self.requests
            .record_progress(progress.id, progress.total_bytes);
    }
}

impl Handler<FinishRequest> for Control {
    type Result = MessageResult<FinishRequest>;

    fn handle(&mut self, end: FinishRequest, _: &mut Self::Context) -> Self::Result {
        let now_ms = self.clock.now_ms();
        match end.outcome {
            Outcome::Complete => self.service_times.add(&end.service, end.run_ms),
            Outcome::Broken => {
                self.metrics.broken.inc();
            }
            Outcome::NotRun => {}
        }
        self.requests
            .finish(now_ms, end.id, end.outcome, end.answer);
        self.resolve_queued();
        MessageResult(self.requests.backends.load(now_ms, &end.service))
    }
}

impl Handler<GetLoad> for Control {
    type Result = MessageResult<GetLoad>;

    fn handle(&mut self, GetLoad(service): GetLoad, _: &mut Self::Context) -> Self::Result {
        let load: BackendLoad = self.requests.backends.load(self.clock.now_ms(), &service);
        MessageResult(load)
    }
}

impl Handler<GetCachedAnswer> for Control {
    type Result = MessageResult<GetCachedAnswer>;

    fn handle(
        &mut self,
        GetCachedAnswer(id): GetCachedAnswer,
        _: &mut Self::Context,
    ) -> Self::Result {
        let answer: Option<CachedAnswer> = self.requests.answers.get(id).cloned();
        if answer.is_some() {
            self.metrics.replayed.inc();
        }
        MessageResult(answer)
    }
}

impl Handler<AnnounceBackend> for Control {
    type Result = u32;

    fn handle(
        &mut self,
        AnnounceBackend(announcement): AnnounceBackend,
        _: &mut Self::Context,
    ) -> u32 {
        let expires_ms = self.clock.now_ms() + self.settings.announce_ttl_ms;
        let open_before = self
            .requests
            .backends
            .open_count(self.clock.now_ms(), &announcement.service);
        let is_new = self.requests.backends.announce(&announcement, expires_ms);
        let open_after = self
            .requests
            .backends
            .open_count(self.clock.now_ms(), &announcement.service);
        if is_new {
            log_event!(info, Event::BackendAnnounced, service = %announcement.service, backend = %announcement.address);
        }
        if open_before != open_after {
            self.update_reserved();
            self.heartbeat_trigger.notify_one();
        }
        self.requests.backends.running_on(&announcement)
    }
}

impl Handler<Fence> for Control {
    type Result = MessageResult<Fence>;

    fn handle(&mut self, Fence(request): Fence, _: &mut Self::Context) -> Self::Result {
        let answer: FenceAnswer = self.requests.fence(self.clock.now_ms(), &request);
        if answer == FenceAnswer::NeverSeen {
            self.queued_requests.remove(&request.id);
        }
        MessageResult(answer)
    }
}

impl Handler<ClaimKey> for Control {
    type Result = MessageResult<ClaimKey>;

    fn handle(&mut self, ClaimKey(claim): ClaimKey, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.claims.claim(self.clock.now_ms(), &claim))
    }
}

impl Handler<ReleaseClaim> for Control {
    type Result = ();

    fn handle(&mut self, ReleaseClaim(claim): ReleaseClaim, _: &mut Self::Context) {
        self.claims.release(&claim);
    }
}
