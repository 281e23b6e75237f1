//! Table of the requests of an agent.

use crate::{
    AdmissionRequest, Admitted, AnswerCache, Backends, CachedAnswer, Grant, Outcome, RequestRecord,
};
use errors::{Code, Failure};
use model::{RequestId, ServiceName};
use std::collections::VecDeque;
use utils::Map;
use wire::{FenceAnswer, FenceRequest};

/// Limits of a [`RequestTable`].
#[derive(Debug, Clone, Copy)]
pub struct RequestLimits {
    /// Maximum number of queued requests of a service, per open backend server of it.
    pub queue_per_backend: u32,
    /// Time for which records of ended and fenced-off requests are retained.
    pub record_ttl_ms: u64,
    /// Maximum number of records; new requests are refused once it is reached.
    pub max_records: usize,
    /// Maximum total size of cached answers.
    pub answer_cache_bytes: u64,
}

/// Known requests of an agent, and the backend servers that they run on.
///
/// While its record is retained, a request that was fenced off can't get a slot, and one that has
/// run can't get another.
#[derive(Debug)]
pub struct RequestTable {
    /// Incarnation of this agent; it changes at each start.
    incarnation: u64,
    /// Limits of queues, records and cached answers.
    limits: RequestLimits,
    /// Backend servers and their slots.
    pub backends: Backends,
    /// Answers that entries can fetch again.
    pub answers: AnswerCache,
    /// State of each queued, running or recently ended or fenced-off request.
    records: Map<RequestId, RequestRecord>,
    /// Records of ended and fenced-off requests with their time of removal, in that order.
    expiry: VecDeque<(u64, RequestId)>,
    /// Requests that are queued for a slot, by service.
    queues: Map<ServiceName, VecDeque<AdmissionRequest>>,
    /// Whether the agent is shutting down and refuses new requests.
    draining: bool,
}

impl RequestTable {
    /// Creates an empty table for an incarnation of an agent.
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

    /// Number of running and queued requests.
    pub fn in_flight(&self) -> usize {
        self.backends.running() as usize + self.queues.values().map(VecDeque::len).sum::<usize>()
    }

    /// Admits a request, queues it, or refuses it.
    ///
    /// The verdict of a refusal is that the request has not run, except for a repeated request.
    pub fn admit(&mut self, now_ms: u64, request: AdmissionRequest) -> Admitted {
        self.expire_records(now_ms);
        if let Some(failure) = self.refusal(now_ms, &request) {
            return Admitted::Refused(failure);
        }
        if let Some(grant) = self.grant(now_ms, &request) {
            return Admitted::Granted(grant);
        }
        let capacity =
            self.limits.queue_per_backend * self.backends.open_count(now_ms, &request.service);
        let queue = self.queues.entry(request.service.clone()).or_default();
        if queue.len() >= capacity as usize {
            return Admitted::Refused(Failure::not_run(Code::NoCapacity, "no slot is free"));
        }
        self.records.insert(request.id, RequestRecord::Queued);
        queue.push_back(request);
        Admitted::Queued
    }

    fn refusal(&self, now_ms: u64, request: &AdmissionRequest) -> Option<Failure> {
        let refuse = |code, message: &str| Some(Failure::not_run(code, message));
        match self.records.get(&request.id) {
            Some(RequestRecord::FencedOff) => {
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
        if request.deadline_ms <= now_ms {
            return refuse(
                Code::DeadlineExceeded,
                "the deadline passed before a slot was free",
            );
        }
        if self.backends.open_count(now_ms, &request.service) == 0 {
            return refuse(Code::NoBackend, "no backend server of the service is here");
        }
        if self.records.len() >= self.limits.max_records {
            return refuse(Code::NoCapacity, "the agent keeps too many request records");
        }
        None
    }

    fn grant(&mut self, now_ms: u64, request: &AdmissionRequest) -> Option<Grant> {
        let backend =
            self.backends
                .acquire_slot(now_ms, &request.service, request.id, request.is_long)?;
        let service = request.service.clone();
        self.records.insert(
            request.id,
            RequestRecord::Running {
                service,
                backend,
                sent_bytes: 0,
            },
        );
        Some(Grant {
            id: request.id,
            backend,
        })
    }

    /// Grants slots to queued requests and refuses those whose deadline has passed or whose service
    /// has no backend server left. Returns the requests that left the queue.
    pub fn advance(&mut self, now_ms: u64) -> Vec<(RequestId, Result<Grant, Failure>)> {
        let mut outcomes = Vec::new();
        let services: Vec<ServiceName> = self.queues.keys().cloned().collect();
        for service in services {
            self.advance_service(now_ms, &service, &mut outcomes);
        }
        outcomes
    }

    fn advance_service(
        &mut self,
        now_ms: u64,
        service: &ServiceName,
        outcomes: &mut Vec<(RequestId, Result<Grant, Failure>)>,
    ) {
        let Some(queued) = self.queues.remove(service) else {
            return;
        };
        let mut still_queued = VecDeque::new();
        for request in queued {
            if request.deadline_ms <= now_ms {
                self.records.remove(&request.id);
                let failure =
                    Failure::not_run(Code::DeadlineExceeded, "no slot before the deadline");
                outcomes.push((request.id, Err(failure)));
            } else if self.backends.open_count(now_ms, service) == 0 {
                self.records.remove(&request.id);
                let failure = Failure::not_run(Code::NoBackend, "the backend server left");
                outcomes.push((request.id, Err(failure)));
            } else if let Some(grant) = self.grant(now_ms, &request) {
                outcomes.push((request.id, Ok(grant)));
            } else {
                still_queued.push_back(request);
            }
        }
        if !still_queued.is_empty() {
            self.queues.insert(service.clone(), still_queued);
        }
    }

    /// Records how many bytes of the answer have been passed on in total.
    pub fn record_progress(&mut self, id: RequestId, total_bytes: u64) {
        if let Some(RequestRecord::Running { sent_bytes, .. }) = self.records.get_mut(&id) {
            *sent_bytes = total_bytes;
        }
    }

    /// Ends a request that had a slot and releases the slot.
    ///
    /// A request that did not run leaves no record, so it may be sent again.
    pub fn finish(
        &mut self,
        now_ms: u64,
        id: RequestId,
        outcome: Outcome,
        answer: Option<CachedAnswer>,
    ) {
        let Some(RequestRecord::Running {
            service, backend, ..
        }) = self.records.remove(&id)
        else {
            return;
        };
        self.backends.release_slot(&service, backend, id);
        match outcome {
            Outcome::NotRun => return,
            Outcome::Complete => self.retain_record(now_ms, id, RequestRecord::Finished),
            Outcome::Broken => self.retain_record(now_ms, id, RequestRecord::Uncertain),
        }
        if let Some(answer) = answer {
            self.answers.insert(id, answer);
        }
    }

    /// Removes a request that is still queued and whose entry has disconnected.
    pub fn abandon(&mut self, id: RequestId) {
        if self.records.get(&id) == Some(&RequestRecord::Queued) {
            self.records.remove(&id);
            self.remove_from_queue(id);
        }
    }

    fn remove_from_queue(&mut self, id: RequestId) {
        for queue in self.queues.values_mut() {
            queue.retain(|request| request.id != id);
        }
    }

    /// Returns what became of a request.
    ///
    /// With `fence_off`, a request without a slot is fenced off: it is removed from the queue, and
    /// refused if it arrives later.
    pub fn fence(&mut self, now_ms: u64, request: &FenceRequest) -> FenceAnswer {
        self.expire_records(now_ms);
        if request.incarnation != self.incarnation {
            return FenceAnswer::OtherIncarnation;
        }
        match self.records.get(&request.id) {
            Some(RequestRecord::Running { sent_bytes, .. }) => FenceAnswer::Running {
                sent_bytes: *sent_bytes,
            },
            Some(RequestRecord::Finished) => FenceAnswer::Finished {
                kept: self.answers.get(request.id).is_some(),
            },
            Some(RequestRecord::Uncertain) => FenceAnswer::Uncertain,
            Some(RequestRecord::Queued) if !request.fence_off => {
                FenceAnswer::Running { sent_bytes: 0 }
            }
            Some(RequestRecord::FencedOff) => FenceAnswer::NeverSeen,
            Some(RequestRecord::Queued) | None => {
                if request.fence_off {
                    self.remove_from_queue(request.id);
                    self.retain_record(now_ms, request.id, RequestRecord::FencedOff);
                }
                FenceAnswer::NeverSeen
            }
        }
    }

    fn retain_record(&mut self, now_ms: u64, id: RequestId, record: RequestRecord) {
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
