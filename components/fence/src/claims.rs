//! Claims on idempotency keys.

use model::{RequestId, ServiceName};
use std::collections::{HashMap, VecDeque};
use wire::{Claim, ClaimAnswer};

/// Most claims that an agent holds.
const MAX_CLAIMS: usize = 50_000;

/// Claims on idempotency keys, each for a fixed time.
///
/// Keys come from callers, so the map uses the standard hasher.
#[derive(Debug)]
pub struct Claims {
    /// How long a claim holds.
    ttl_ms: u64,
    /// Holder of each key.
    by_key: HashMap<(ServiceName, String), Claim>,
    /// Keys in order of their claims' ends.
    order: VecDeque<(u64, ServiceName, String, RequestId)>,
}

impl Claims {
    /// No claims yet; each will hold for `ttl_ms`.
    pub fn new(ttl_ms: u64) -> Self {
        Self {
            ttl_ms,
            by_key: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Claims a key; the same request may claim it again.
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

    /// Gives a key back, if the same request still holds it.
    pub fn release(&mut self, claim: &Claim) {
        self.remove_if_held(&(claim.service.clone(), claim.key.clone()), claim.request);
    }

    fn remove_if_held(&mut self, key: &(ServiceName, String), request: RequestId) {
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
                self.remove_if_held(&(service, key), request);
            }
        }
    }
}
