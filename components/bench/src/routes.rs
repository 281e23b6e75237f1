//! Case `routing`: time to route a request, by number of agents that run the service.

use crate::order::heartbeat;
use crate::results::Results;
use crate::trace::SEED;
use model::{RequestId, Resources, TeamName};
use rand::SeedableRng;
use rand::rngs::StdRng;
use routing::{
    Class, Decision, Dispatch, Dispatcher, PendingRequest, Route, RoutingOptions, TargetOutcome,
};
use std::collections::VecDeque;
use std::time::Instant;
use wire::{BackendLoad, ServiceLoad};

/// Measured numbers of agents; at the planned size a service has 126 on average.
const AGENTS: [usize; 4] = [11, 126, 620, 1_240];
/// Number of slots of each agent.
const SLOTS: u32 = 8;
/// Share of slots that are busy during the measurement.
const BUSY_SHARE: f64 = 0.7;
/// Number of requests in each measurement.
const REQUESTS: u128 = 20_000;
/// Time at which the slow start of the agents has ended, in milliseconds.
const WARMED_UP_MS: u64 = 10_000;

/// Measures each number of agents.
pub fn run(results: &mut Results) {
    let mut decide_us = Vec::new();
    for count in AGENTS {
        let took_us = measure(count);
        let subject = format!("{count} agents");
        results.add("routing", &subject, "a request, us", took_us, None);
        decide_us.push((count as f64, took_us));
    }
    results.plot("routing of a request, us, by agents", "ours", decide_us);
}

fn load(free: u32) -> BackendLoad {
    BackendLoad {
        free,
        free_long: free / 2,
    }
}

/// Dispatcher whose agents are idle and past their slow start.
fn dispatcher(count: usize) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(RoutingOptions::default(), "domain-0".into());
    for now_ms in [0, WARMED_UP_MS] {
        for index in 0..count {
            let mut beat = heartbeat(index, Resources::default(), Resources::default());
            beat.services = vec![ServiceLoad {
                service: "s".into(),
                slots: SLOTS,
                load: load(SLOTS),
            }];
            dispatcher.on_heartbeat(now_ms, &beat);
        }
    }
    dispatcher
}

fn pending(number: u128, now_ms: u64) -> PendingRequest {
    PendingRequest {
        id: RequestId::from_u128(number),
        request_id: RequestId::from_u128(number),
        service: "s".into(),
        team: TeamName::from("t"),
        weight: 1,
        route: Route::of("s", "GET", "/x"),
        class: Class::Short,
        arrived_ms: now_ms,
        deadline_ms: now_ms + 1_000,
        expected_ms: 50,
        previous_tries: 0,
        failed_agents: Vec::new(),
    }
}

/// Mean time for a request from its arrival to its end, in microseconds.
fn measure(count: usize) -> f64 {
    let mut dispatcher = dispatcher(count);
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut running: VecDeque<Dispatch> = VecDeque::new();
    let busy = (count as f64 * f64::from(SLOTS) * BUSY_SHARE) as usize;
    let started = Instant::now();
    for number in 0..REQUESTS {
        let now_ms = WARMED_UP_MS + number as u64 / 100;
        if running.len() >= busy {
            end_oldest(&mut dispatcher, now_ms, &mut running);
        }
        let accepted = dispatcher.submit(now_ms, pending(number, now_ms));
        accepted.expect("a slot is free");
        for decision in dispatcher.decide(now_ms, &mut rng) {
            match decision {
                Decision::Send(dispatch) => running.push_back(dispatch),
                Decision::Refuse(..) => panic!("a slot is free"),
            }
        }
    }
    started.elapsed().as_secs_f64() * 1e6 / REQUESTS as f64
}

/// Ends the request that has run longest, and reports the load of its agent.
fn end_oldest(dispatcher: &mut Dispatcher, now_ms: u64, running: &mut VecDeque<Dispatch>) {
    let Some(oldest) = running.pop_front() else {
        return;
    };
    let (service, agent) = ("s".into(), &oldest.agent);
    dispatcher.on_end(now_ms, &service, agent, TargetOutcome::Succeeded, Some(50));
    let remaining = running.iter().filter(|other| other.agent == *agent);
    let free = SLOTS.saturating_sub(remaining.count() as u32);
    dispatcher.on_load(now_ms, &service, agent, load(free));
}
