//! Learned run times with real processes and stand-ins of the platform.

mod common;

use common::flow_fleet::{Fleet, WAIT_LIMIT, ids};
use common::sleep_ms;
use platform_standin::job;
use std::time::Instant;

/// Name of the row of learned run times in its part of the table.
const ROW: &str = "run-times";
/// Run time of a task, in milliseconds. Each job has two steps, whose tasks are classes of their own.
const TASK_MS: u64 = 300;

/// Value of the row of learned run times; `None` before it is written.
fn row(fleet: &Fleet) -> Option<String> {
    let rows = fleet.store.values("learnt");
    rows.into_iter()
        .find(|row| row.0.ends_with(ROW))
        .map(|row| row.1)
}

/// Waits until the metrics of an entry have this line.
async fn wait_for_metric(fleet: &Fleet, entry: usize, line: &str) {
    let started = Instant::now();
    loop {
        let metrics = fleet.metrics(entry).await;
        if metrics.lines().any(|other| other == line) {
            return;
        }
        assert!(started.elapsed() < WAIT_LIMIT, "no {line} in {metrics}");
        sleep_ms(50).await;
    }
}

/// Guards against run times that are never stored, are stored again although nothing has changed, or are lost with the
/// scheduler's process.
#[actix_rt::test]
async fn run_times_survive_the_loss_of_the_scheduler() {
    let mut fleet = Fleet::start_learning(2, 1).await;
    let ids = ids(3);
    for id in &ids {
        assert_eq!(fleet.submit(0, id, &job(2, TASK_MS)).await, 200);
    }
    fleet.wait_until_completed(&ids).await;
    sleep_ms(2_500).await;
    let stored = row(&fleet).expect("the run times are stored");
    sleep_ms(2_500).await;
    assert_eq!(
        row(&fleet),
        Some(stored),
        "written although nothing was learned"
    );
    let scheduler = fleet.scheduler();
    wait_for_metric(&fleet, scheduler, "parsleythread_flow_estimate_classes 2").await;
    fleet.entries[scheduler].1.process.kill();
    wait_for_metric(&fleet, 1 - scheduler, "parsleythread_flow_is_scheduler 1").await;
    wait_for_metric(
        &fleet,
        1 - scheduler,
        "parsleythread_flow_estimate_classes 2",
    )
    .await;
}
