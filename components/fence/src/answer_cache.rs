//! Cache of answers that an entry can fetch again.

use bytes::Bytes;
use model::RequestId;
use std::collections::VecDeque;
use utils::Map;

/// Complete answer of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CachedAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Names and values of the headers that are passed on to the caller.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Complete body.
    pub body: Bytes,
}

impl CachedAnswer {
    /// Bytes that the answer counts towards the limit of the cache: headers and body.
    pub fn size_bytes(&self) -> u64 {
        let headers: usize = self
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len())
            .sum();
        (headers + self.body.len()) as u64
    }
}

/// Answers by request within a memory limit; the oldest are evicted first.
#[derive(Debug)]
pub struct AnswerCache {
    /// Maximum total size of the answers.
    limit_bytes: u64,
    /// Current total size of the answers.
    size_bytes: u64,
    /// Cached answers.
    by_request: Map<RequestId, CachedAnswer>,
    /// Requests in order of insertion. One whose answer was removed stays until it is the oldest.
    order: VecDeque<RequestId>,
}

impl AnswerCache {
    /// Creates an empty cache for at most `limit_bytes` of answers.
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

    /// Inserts an answer and evicts the oldest ones to make space. An answer larger than the whole
    /// limit is dropped.
    pub fn insert(&mut self, id: RequestId, answer: CachedAnswer) {
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

    /// Returns the answer to a request, if it is still cached.
    pub fn get(&self, id: RequestId) -> Option<&CachedAnswer> {
        self.by_request.get(&id)
    }

    /// Removes the answer to a request, if it is cached.
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
