//! Kept answers, for replay.

use bytes::Bytes;
use model::RequestId;
use std::collections::VecDeque;
use utils::Map;

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CachedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers that go to the caller.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body.
    pub body: Bytes,
}

impl CachedAnswer {
    /// Memory that the answer takes, in bytes.
    pub fn size_bytes(&self) -> u64 {
        let headers: usize = self
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len())
            .sum();
        (headers + self.body.len()) as u64
    }
}

/// Kept answers within a memory limit; the oldest go first.
#[derive(Debug)]
pub struct AnswerCache {
    /// Most memory for answers.
    limit_bytes: u64,
    /// Memory taken now.
    size_bytes: u64,
    /// Answers by request.
    by_request: Map<RequestId, CachedAnswer>,
    /// Requests in order of keeping.
    order: VecDeque<RequestId>,
}

impl AnswerCache {
    /// No answers yet, and room for `limit_bytes`.
    ///
    /// ```
    /// let answers = fence::AnswerCache::new(1_000);
    /// assert!(answers.get(model::RequestId::from_u128(1)).is_none());
    /// ```
    pub fn new(limit_bytes: u64) -> Self {
        Self {
            limit_bytes,
            size_bytes: 0,
            by_request: Map::default(),
            order: VecDeque::new(),
        }
    }

    /// Keeps an answer, unless it is larger than all room.
    pub fn keep(&mut self, id: RequestId, answer: CachedAnswer) {
        let added_bytes = answer.size_bytes();
        if added_bytes > self.limit_bytes {
            return;
        }
        while self.size_bytes + added_bytes > self.limit_bytes {
            let Some(oldest) = self.order.pop_front() else {
                break;
            };
            self.remove(oldest);
        }
        self.size_bytes += added_bytes;
        self.order.push_back(id);
        self.by_request.insert(id, answer);
    }

    /// The answer to a request, if it is kept.
    pub fn get(&self, id: RequestId) -> Option<&CachedAnswer> {
        self.by_request.get(&id)
    }

    /// Forgets an answer.
    pub fn remove(&mut self, id: RequestId) {
        if let Some(answer) = self.by_request.remove(&id) {
            self.size_bytes -= answer.size_bytes();
        }
        while self
            .order
            .front()
            .is_some_and(|oldest| !self.by_request.contains_key(oldest))
        {
            self.order.pop_front();
        }
    }
}
