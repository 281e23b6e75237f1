//! Evacuations of failure domains: real processes with stand-ins of the platform.

mod common;

use common::flow_fleet::{Fleet, ids};
use common::sleep_ms;
use platform_standin::job;
use platform_standin::store::StoreMode;
use std::time::{Duration, Instant};

/// Time after the request from which nothing may start in the domain, in milliseconds.
const BOUND_MS: u64 = 2_500;
/// The failure domains, of the workers in turn.
const ZONES: [&str; 2] = ["d1", "d2"];
/// Run time of a task, in milliseconds.
const TASK_MS: u64 = 150;

/// A request for an evacuation.
struct Evacuation {
    /// Index of the domain in [`ZONES`].
    zone: usize,
    /// When the store had stored the request.
    requested: Instant,
    /// When the operator was about to end it; `None` while it is in force.
    ended: Option<Instant>,
}

/// A system under evacuations, with the jobs that were submitted to it.
struct Scenario {
    fleet: Fleet,
    evacuations: Vec<Evacuation>,
    submitted: Vec<String>,
}

impl Scenario {
    async fn start() -> Self {
        let fleet = Fleet::start_in_zones(3, 4, &ZONES, BOUND_MS).await;
        Self {
            fleet,
            evacuations: Vec::new(),
            submitted: Vec::new(),
        }
    }

    fn evacuate(&mut self, zone: usize) {
        self.fleet.store.evacuate(ZONES[zone]);
        self.evacuations.push(Evacuation {
            zone,
            requested: Instant::now(),
            ended: None,
        });
    }

    fn end_evacuation(&mut self, zone: usize) {
        let ended = Instant::now();
        self.fleet.store.end_evacuation(ZONES[zone]);
        let open = self.evacuations.iter_mut().rfind(|one| one.zone == zone);
        open.expect("the domain is evacuated").ended = Some(ended);
    }

    /// Submits small jobs at any entry that answers for `span`.
    async fn submit_for(&mut self, span: Duration) {
        let began = Instant::now();
        while began.elapsed() < span {
            let id = ids(self.submitted.len() + 1).pop().unwrap();
            for entry in 0..self.fleet.entries.len() {
                let (status, _) = self.fleet.call("POST", entry, &id, &job(4, TASK_MS)).await;
                if status == 200 {
                    self.submitted.push(id);
                    break;
                }
            }
            sleep_ms(100).await;
        }
    }

    /// Asserts that nothing started in a domain later than the bound after a request and before its end.
    fn assert_bound_is_kept(&self) {
        for evacuation in &self.evacuations {
            let from = evacuation.requested + Duration::from_millis(BOUND_MS);
            let until = evacuation.ended.unwrap_or_else(Instant::now);
            let workers = self.fleet.workers.iter().enumerate();
            let workers = workers.filter(|(index, _)| index % ZONES.len() == evacuation.zone);
            for run in workers.flat_map(|(_, worker)| worker.executions()) {
                let is_late = run.started >= from && run.started < until;
                let after = run.started.saturating_duration_since(evacuation.requested);
                assert!(!is_late, "{} started {after:?} after the request", run.task);
            }
        }
    }

    /// Number of starts in a domain since `from`.
    fn starts_since(&self, zone: usize, from: Instant) -> usize {
        let workers = self.fleet.workers.iter().enumerate();
        let workers = workers.filter(|(index, _)| index % ZONES.len() == zone);
        let runs = workers.flat_map(|(_, worker)| worker.executions());
        runs.filter(|run| run.started >= from).count()
    }

    async fn assert_all_complete(&self) {
        self.fleet.wait_until_completed(&self.submitted).await;
        self.fleet.assert_no_duplicate_runs();
    }
}

/// Guards against starts in an evacuated domain by a scheduler that replaces one that was killed, and
/// by one that was paused and wakes with orders that it had decided on before.
#[actix_rt::test]
async fn nothing_starts_after_the_bound_while_schedulers_are_killed_and_paused() {
    let mut scenario = Scenario::start().await;
    scenario.submit_for(Duration::from_millis(1_000)).await;
    scenario.evacuate(0);
    let scheduler = scenario.fleet.scheduler();
    scenario.fleet.entries[scheduler].1.process.kill();
    scenario.submit_for(Duration::from_millis(4_000)).await;
    scenario.fleet.entries[scheduler].1.restart();
    let paused = scenario.fleet.scheduler();
    scenario.fleet.entries[paused].1.process.signal("STOP");
    scenario.end_evacuation(0);
    scenario.evacuate(1);
    scenario.submit_for(Duration::from_millis(4_000)).await;
    scenario.fleet.entries[paused].1.process.signal("CONT");
    scenario.submit_for(Duration::from_millis(1_500)).await;
    scenario.assert_bound_is_kept();
    let ended = Instant::now();
    scenario.end_evacuation(1);
    scenario.submit_for(Duration::from_millis(3_000)).await;
    assert!(
        scenario.starts_since(1, ended) > 0,
        "the domain is used again"
    );
    scenario.assert_bound_is_kept();
    scenario.assert_all_complete().await;
}

/// Guards against starts in an evacuated domain while the store refuses some calls, answers late, loses
/// answers or forgets its history, with requests that follow each other quickly and overlap.
#[actix_rt::test]
async fn nothing_starts_after_the_bound_while_the_store_has_faults() {
    let mut scenario = Scenario::start().await;
    for (number, mode) in StoreMode::FAULTS.into_iter().enumerate() {
        let zone = number % ZONES.len();
        scenario.submit_for(Duration::from_millis(300)).await;
        scenario.fleet.store.set_mode(mode);
        scenario.evacuate(zone);
        scenario.fleet.store.compact();
        scenario
            .submit_for(Duration::from_millis(BOUND_MS + 800))
            .await;
        scenario.fleet.store.set_mode(StoreMode::Up);
        scenario.submit_for(Duration::from_millis(700)).await;
        scenario.end_evacuation(zone);
    }
    scenario.evacuate(0);
    scenario.evacuate(1);
    scenario.end_evacuation(0);
    scenario.evacuate(0);
    scenario
        .submit_for(Duration::from_millis(BOUND_MS + 1_000))
        .await;
    scenario.assert_bound_is_kept();
    scenario.end_evacuation(0);
    scenario.end_evacuation(1);
    scenario.assert_all_complete().await;
}
