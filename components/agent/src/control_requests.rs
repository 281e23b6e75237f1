//! Requests and backend servers: admitted, ended, fenced, announced.

use crate::control::Control;
use crate::messages::{
    Abandon, Announce, AskAnswer, AskLoad, AskSlot, Fence, Finish, MakeClaim, Progress,
    ReleaseClaim,
};
use actix::{Handler, MessageResult};
use fence::{Admitted, CachedAnswer, Grant, Outcome};
use telemetry::{Event, log_event};
use wire::{BackendLoad, FenceAnswer};

impl Handler<AskSlot> for Control {
    type Result = MessageResult<AskSlot>;

    fn handle(&mut self, ask: AskSlot, _: &mut Self::Context) -> Self::Result {
        let id = ask.admit.id;
        let admitted = self.requests.admit(self.clock.now_ms(), ask.admit);
        match &admitted {
            Admitted::Granted(Grant { .. }) => {
                self.metrics.admitted.inc();
            }
            Admitted::Queued => {
                self.waiting.insert(id, ask.reply);
            }
            Admitted::Refused(_) => {
                self.metrics.refused.inc();
            }
        }
        self.metrics.in_flight.set(self.requests.in_flight() as i64);
        MessageResult(admitted)
    }
}

impl Handler<Abandon> for Control {
    type Result = ();

    fn handle(&mut self, Abandon(id): Abandon, _: &mut Self::Context) {
        if self.waiting.remove(&id).is_some() {
            self.requests.abandon(id);
        }
    }
}

impl Handler<Progress> for Control {
    type Result = ();

    fn handle(&mut self, progress: Progress, _: &mut Self::Context) {
        self.requests
            .record_progress(progress.id, progress.total_bytes);
    }
}

impl Handler<Finish> for Control {
    type Result = MessageResult<Finish>;

    fn handle(&mut self, end: Finish, _: &mut Self::Context) -> Self::Result {
        let now_ms = self.clock.now_ms();
        match end.outcome {
            Outcome::Whole => self.times.add(&end.service, end.run_ms),
            Outcome::Broken => {
                self.metrics.broken.inc();
            }
            Outcome::NotRun => {}
        }
        self.requests
            .finish(now_ms, end.id, end.outcome, end.answer);
        self.settle_waiting();
        MessageResult(self.requests.backends.load(now_ms, &end.service))
    }
}

impl Handler<AskLoad> for Control {
    type Result = MessageResult<AskLoad>;

    fn handle(&mut self, AskLoad(service): AskLoad, _: &mut Self::Context) -> Self::Result {
        let load: BackendLoad = self.requests.backends.load(self.clock.now_ms(), &service);
        MessageResult(load)
    }
}

impl Handler<AskAnswer> for Control {
    type Result = MessageResult<AskAnswer>;

    fn handle(&mut self, AskAnswer(id): AskAnswer, _: &mut Self::Context) -> Self::Result {
        let answer: Option<CachedAnswer> = self.requests.answers.get(id).cloned();
        if answer.is_some() {
            self.metrics.replayed.inc();
        }
        MessageResult(answer)
    }
}

impl Handler<Announce> for Control {
    type Result = u32;

    fn handle(&mut self, Announce(announcement): Announce, _: &mut Self::Context) -> u32 {
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
            self.beat_soon.notify_one();
        }
        self.requests.backends.running_on(&announcement)
    }
}

impl Handler<Fence> for Control {
    type Result = MessageResult<Fence>;

    fn handle(&mut self, Fence(request): Fence, _: &mut Self::Context) -> Self::Result {
        let answer: FenceAnswer = self.requests.fence(self.clock.now_ms(), &request);
        if answer == FenceAnswer::NeverSeen {
            self.waiting.remove(&request.id);
        }
        MessageResult(answer)
    }
}

impl Handler<MakeClaim> for Control {
    type Result = MessageResult<MakeClaim>;

    fn handle(&mut self, MakeClaim(claim): MakeClaim, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.claims.claim(self.clock.now_ms(), &claim))
    }
}

impl Handler<ReleaseClaim> for Control {
    type Result = ();

    fn handle(&mut self, ReleaseClaim(claim): ReleaseClaim, _: &mut Self::Context) {
        self.claims.release(&claim);
    }
}
