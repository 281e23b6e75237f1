//! Claims on idempotency keys.

use model::{RequestId, ServiceName};
use std::collections::{HashMap, VecDeque};
use wire::{Claim, ClaimAnswer};

/// Maximum number of claims that an agent holds; further ones are refused.
const MAX_CLAIMS: usize = 50_000;

/// Claims on idempotency keys, each valid for a fixed time.
///
/// Keys come from callers, so the map uses the standard hasher.
#[derive(Debug)]
pub struct Claims {
    /// Time for which a claim is valid.
    ttl_ms: u64,
    /// Valid claim on each key.
    by_key: HashMap<(ServiceName, String), Claim>,
    /// End time, key and request of each claim in order of end times, released claims included.
    order: VecDeque<(u64, ServiceName, String, RequestId)>,
}

impl Claims {
    /// Creates an empty set of claims that are each valid for `ttl_ms`.
    pub fn new(ttl_ms: u64) -> Self {
        Self {
            ttl_ms,
            by_key: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Claims a key for a request. A repeated claim of the same request is granted, but the time of
    /// the first one counts.
    pub fn claim(&mut self, now_ms: u64, claim: &Claim) -> ClaimAnswer {
        self.expire(now_ms);
        let key = (claim.service.clone(), claim.key.clone());
        match self.by_key.get(&key) {
            Some(holder) if holder.request == claim.request => ClaimAnswer::Granted,
            Some(holder) => ClaimAnswer::Held(holder.clone()),
            None if self.by_key.len() >= MAX_CLAIMS => ClaimAnswer::Refused,
            None => {
                let end_ms = now_ms + self.ttl_ms;
                self.order
                    .push_back((end_ms, key.0.clone(), key.1.clone(), claim.request));
                self.by_key.insert(key, claim.clone());
                ClaimAnswer::Granted
            }
        }
    }

    /// Releases a key if the same request still holds it.
    pub fn release(&mut self, claim: &Claim) {
        self.remove_if_held_by(&(claim.service.clone(), claim.key.clone()), claim.request);
    }

    fn remove_if_held_by(&mut self, key: &(ServiceName, String), request: RequestId) {
        if self
            .by_key
            .get(key)
            .is_some_and(|holder| holder.request == request)
        {
            self.by_key.remove(key);
        }
    }

    fn expire(&mut self, now_ms: u64) {
        while self
            .order
            .front()
            .is_some_and(|(end_ms, ..)| *end_ms <= now_ms)
        {
            if let Some((_, service, key, request)) = self.order.pop_front() {
                self.remove_if_held_by(&(service, key), request);
            }
        }
    }
}
