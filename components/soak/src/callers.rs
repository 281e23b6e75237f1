//! Callers: hand jobs in at any entry, try again where that is worth it, cancel some.

use crate::fleet::Fleet;
use platform_standin::caller::Caller;
use platform_standin::job;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Mean time between two jobs, in milliseconds.
const BETWEEN_MS: u64 = 60;
/// Time for one answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause before a call is tried again.
const AGAIN_PAUSE: Duration = Duration::from_millis(150);
/// Time for which a caller tries.
const PATIENCE: Duration = Duration::from_secs(12);
/// Part of the callers that give up at the first refusal, in percent.
const ONCE_PERCENT: u32 = 30;
/// Part of the jobs that are cancelled, in percent.
const CANCEL_PERCENT: u32 = 10;

/// What a caller was told of its job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// It was accepted.
    Accepted,
    /// Every try was refused.
    Refused,
    /// A try had no answer, and none was accepted.
    Unknown,
}

/// A job as its caller knows it.
#[derive(Debug, Clone)]
pub struct Handed {
    /// Its name.
    pub id: String,
    /// What the caller was told.
    pub told: Told,
    /// When its cancelling was acknowledged.
    pub cancelled: Option<Instant>,
    /// Whether its cancelling was asked for.
    pub asked_to_cancel: bool,
    /// The longest that a refusal took.
    pub slowest_refusal: Duration,
}

/// Calls of one run.
pub(crate) struct Callers {
    /// The system.
    fleet: Rc<Fleet>,
    /// Calls the entries.
    caller: Caller,
}

impl Callers {
    pub fn new(fleet: Rc<Fleet>) -> Self {
        let caller = Caller::new(CALL_TIMEOUT);
        Self { fleet, caller }
    }

    /// Hands jobs in for a while.
    pub async fn run(self: Rc<Self>, seed: u64, load_ms: u64) -> Vec<Handed> {
        let mut random = StdRng::seed_from_u64(seed);
        let started = Instant::now();
        let mut calls = Vec::new();
        while started.elapsed() < Duration::from_millis(load_ms) {
            let own = StdRng::seed_from_u64(random.random());
            let id = format!("{:016x}", random.random::<u64>());
            calls.push(actix_rt::spawn(self.clone().hand_in(id, own)));
            let pause_ms = random.random_range(0..2 * BETWEEN_MS);
            actix_rt::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        let ended = futures::future::join_all(calls).await;
        ended.into_iter().filter_map(Result::ok).collect()
    }

    async fn hand_in(self: Rc<Self>, id: String, mut random: StdRng) -> Handed {
        let body = job(random.random_range(1..4), random.random_range(50..900));
        let tries_once = random.random_range(0..100) < ONCE_PERCENT;
        let cancels = random.random_range(0..100) < CANCEL_PERCENT;
        let mut handed = Handed {
            id,
            told: Told::Refused,
            cancelled: None,
            asked_to_cancel: false,
            slowest_refusal: Duration::ZERO,
        };
        let began = Instant::now();
        loop {
            let asked = Instant::now();
            match self.call("POST", &handed.id, &body, &mut random).await {
                200 => handed.told = Told::Accepted,
                0 | 504 => handed.told = Told::Unknown,
                _ => handed.slowest_refusal = handed.slowest_refusal.max(asked.elapsed()),
            }
            if handed.told == Told::Accepted || tries_once || began.elapsed() > PATIENCE {
                break;
            }
            actix_rt::time::sleep(AGAIN_PAUSE).await;
        }
        if cancels && handed.told == Told::Accepted {
            self.cancel(&mut handed, &mut random).await;
        }
        handed
    }

    async fn cancel(&self, handed: &mut Handed, random: &mut StdRng) {
        handed.asked_to_cancel = true;
        let pause_ms = random.random_range(0..1_000);
        actix_rt::time::sleep(Duration::from_millis(pause_ms)).await;
        let began = Instant::now();
        while began.elapsed() < PATIENCE {
            let status = self.call("DELETE", &handed.id, &Value::Null, random).await;
            if matches!(status, 200..300) {
                handed.cancelled = Some(Instant::now());
                return;
            }
            actix_rt::time::sleep(AGAIN_PAUSE).await;
        }
    }

    /// Status of the answer of any entry; 0 without one.
    async fn call(&self, method: &str, id: &str, body: &Value, random: &mut StdRng) -> u16 {
        let entry = random.random_range(0..self.fleet.fronts.len());
        let front = self.fleet.fronts[entry];
        self.caller.call(method, front, id, body).await.0
    }

    /// Whether an entry can tell of the queue.
    pub async fn has_scheduler(&self, entry: usize) -> bool {
        let front = self.fleet.fronts[entry];
        self.caller.call("GET", front, "", &Value::Null).await.0 == 200
    }

    /// State of a job at an entry; empty if it is not told.
    pub async fn state(&self, entry: usize, id: &str) -> String {
        self.caller.state(self.fleet.fronts[entry], id).await
    }
}
