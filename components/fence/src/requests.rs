//! The table of requests.

use crate::{
    AdmissionRequest, Admitted, AnswerCache, Backends, CachedAnswer, Grant, Outcome, Record,
};
use errors::{Code, Failure};
use model::{RequestId, ServiceName};
use std::collections::VecDeque;
use utils::Map;
use wire::{FenceAnswer, FenceRequest};

/// Limits of a table of requests.
#[derive(Debug, Clone, Copy)]
pub struct RequestLimits {
    /// Requests that may wait, per backend server.
    pub queue_per_backend: u32,
    /// How long records of ended and barred requests are kept.
    pub record_ttl_ms: u64,
    /// Most records; admission stops when it is reached.
    pub max_records: usize,
    /// Memory for kept answers.
    pub answer_cache_bytes: u64,
}

/// All requests that an agent knows of, and the backend servers that they run on.
#[derive(Debug)]
pub struct RequestTable {
    /// Drawn anew at each start of the agent.
    incarnation: u64,
    /// Limits of this table.
    limits: RequestLimits,
    /// Backend servers.
    pub backends: Backends,
    /// Kept answers.
    pub answers: AnswerCache,
    /// What is known of each request.
    records: Map<RequestId, Record>,
    /// Records of ended and barred requests, in order of their end of keeping.
    expiry: VecDeque<(u64, RequestId)>,
    /// Requests that wait for a slot, by service.
    queues: Map<ServiceName, VecDeque<AdmissionRequest>>,
    /// Whether new requests are refused.
    draining: bool,
}

impl RequestTable {
    /// An empty table.
    ///
    /// ```
    /// let limits = fence::RequestLimits {
    ///     queue_per_backend: 1, record_ttl_ms: 1_000, max_records: 10, answer_cache_bytes: 1_000,
    /// };
    /// let requests = fence::RequestTable::new(7, limits);
    /// assert_eq!(requests.in_flight(), 0);
    /// ```
    pub fn new(incarnation: u64, limits: RequestLimits) -> Self {
        Self {
            incarnation,
            limits,
            backends: Backends::default(),
            answers: AnswerCache::new(limits.answer_cache_bytes),
            records: Map::default(),
            expiry: VecDeque::new(),
            queues: Map::default(),
            draining: false,
        }
    }

    /// Refuses new requests from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Requests that run or wait.
    pub fn in_flight(&self) -> usize {
        self.backends.running() as usize + self.queues.values().map(VecDeque::len).sum::<usize>()
    }

    /// Admits a request, queues it, or refuses it with proof that it has not run.
    pub fn admit(&mut self, now_ms: u64, admit: AdmissionRequest) -> Admitted {
        self.expire_records(now_ms);
        if let Some(failure) = self.refusal(now_ms, &admit) {
            return Admitted::Refused(failure);
        }
        if let Some(grant) = self.grant(now_ms, &admit) {
            return Admitted::Granted(grant);
        }
        let room = self.limits.queue_per_backend * self.backends.open_count(now_ms, &admit.service);
        let queue = self.queues.entry(admit.service.clone()).or_default();
        if queue.len() >= room as usize {
            return Admitted::Refused(Failure::not_run(Code::NoCapacity, "no slot is free"));
        }
        self.records.insert(admit.id, Record::Queued);
        queue.push_back(admit);
        Admitted::Queued
    }

    fn refusal(&self, now_ms: u64, admit: &AdmissionRequest) -> Option<Failure> {
        let refuse = |code, message: &str| Some(Failure::not_run(code, message));
        match self.records.get(&admit.id) {
            Some(Record::Barred) => {
                return refuse(
                    Code::ConnectionLost,
                    "the request came after it was fenced off",
                );
            }
            Some(_) => {
                let message = "the request is here already";
                return Some(Failure::may_have_run(Code::DuplicateKey, message));
            }
            None => {}
        }
        if self.draining {
            return refuse(Code::Draining, "the agent is shutting down");
        }
        if admit.deadline_ms <= now_ms {
            return refuse(
                Code::DeadlineExceeded,
                "the deadline passed before a slot was free",
            );
        }
        if self.backends.open_count(now_ms, &admit.service) == 0 {
            return refuse(Code::NoBackend, "no backend server of the service is here");
        }
        if self.records.len() >= self.limits.max_records {
            return refuse(Code::NoCapacity, "the agent keeps too many request records");
        }
        None
    }

    fn grant(&mut self, now_ms: u64, admit: &AdmissionRequest) -> Option<Grant> {
        let backend = self
            .backends
            .take_slot(now_ms, &admit.service, admit.id, admit.long)?;
        let service = admit.service.clone();
        self.records.insert(
            admit.id,
            Record::Running {
                service,
                backend,
                sent_bytes: 0,
            },
        );
        Some(Grant {
            id: admit.id,
            backend,
        })
    }

    /// Grants slots to waiting requests and refuses those whose deadline passed.
    pub fn advance(&mut self, now_ms: u64) -> Vec<(RequestId, Result<Grant, Failure>)> {
        let mut settled = Vec::new();
        let services: Vec<ServiceName> = self.queues.keys().cloned().collect();
        for service in services {
            self.advance_service(now_ms, &service, &mut settled);
        }
        settled
    }

    fn advance_service(
        &mut self,
        now_ms: u64,
        service: &ServiceName,
        settled: &mut Vec<(RequestId, Result<Grant, Failure>)>,
    ) {
        let Some(waiting) = self.queues.remove(service) else {
            return;
        };
        let mut still_waiting = VecDeque::new();
        for admit in waiting {
            if admit.deadline_ms <= now_ms {
                self.records.remove(&admit.id);
                let failure =
                    Failure::not_run(Code::DeadlineExceeded, "no slot before the deadline");
                settled.push((admit.id, Err(failure)));
            } else if self.backends.open_count(now_ms, service) == 0 {
                self.records.remove(&admit.id);
                let failure = Failure::not_run(Code::NoBackend, "the backend server left");
                settled.push((admit.id, Err(failure)));
            } else if let Some(grant) = self.grant(now_ms, &admit) {
                settled.push((admit.id, Ok(grant)));
            } else {
                still_waiting.push_back(admit);
            }
        }
        if !still_waiting.is_empty() {
            self.queues.insert(service.clone(), still_waiting);
        }
    }

    /// Notes how much of an answer was passed on.
    pub fn record_progress(&mut self, id: RequestId, total_bytes: u64) {
        if let Some(Record::Running { sent_bytes, .. }) = self.records.get_mut(&id) {
            *sent_bytes = total_bytes;
        }
    }

    /// Ends a request that had a slot.
    pub fn finish(
        &mut self,
        now_ms: u64,
        id: RequestId,
        outcome: Outcome,
        answer: Option<CachedAnswer>,
    ) {
        let Some(Record::Running {
            service, backend, ..
        }) = self.records.remove(&id)
        else {
            return;
        };
        self.backends.return_slot(&service, backend, id);
        match outcome {
            Outcome::NotRun => return,
            Outcome::Whole => self.keep_record(now_ms, id, Record::Finished),
            Outcome::Broken => self.keep_record(now_ms, id, Record::Uncertain),
        }
        if let Some(answer) = answer {
            self.answers.keep(id, answer);
        }
    }

    /// Gives up a request that still waits, because its entry went away.
    pub fn abandon(&mut self, id: RequestId) {
        if self.records.get(&id) == Some(&Record::Queued) {
            self.records.remove(&id);
            self.unqueue(id);
        }
    }

    fn unqueue(&mut self, id: RequestId) {
        for queue in self.queues.values_mut() {
            queue.retain(|admit| admit.id != id);
        }
    }

    /// Answers what became of a request; bars it if it was never handed over.
    pub fn fence(&mut self, now_ms: u64, request: &FenceRequest) -> FenceAnswer {
        self.expire_records(now_ms);
        if request.incarnation != self.incarnation {
            return FenceAnswer::OtherIncarnation;
        }
        match self.records.get(&request.id) {
            Some(Record::Running { sent_bytes, .. }) => FenceAnswer::Running {
                sent_bytes: *sent_bytes,
            },
            Some(Record::Finished) => FenceAnswer::Finished {
                kept: self.answers.get(request.id).is_some(),
            },
            Some(Record::Uncertain) => FenceAnswer::Uncertain,
            Some(Record::Queued) if !request.bar => FenceAnswer::Running { sent_bytes: 0 },
            Some(Record::Barred) => FenceAnswer::NeverSeen,
            Some(Record::Queued) | None => {
                if request.bar {
                    self.unqueue(request.id);
                    self.keep_record(now_ms, request.id, Record::Barred);
                }
                FenceAnswer::NeverSeen
            }
        }
    }

    fn keep_record(&mut self, now_ms: u64, id: RequestId, record: Record) {
        self.records.insert(id, record);
        self.expiry
            .push_back((now_ms + self.limits.record_ttl_ms, id));
    }

    fn expire_records(&mut self, now_ms: u64) {
        while self
            .expiry
            .front()
            .is_some_and(|(end_ms, _)| *end_ms <= now_ms)
        {
            if let Some((_, id)) = self.expiry.pop_front() {
                self.records.remove(&id);
                self.answers.remove(id);
            }
        }
    }
}
