//! Entries that another writer left in forms of its own: real processes with stand-ins that speak
//! the platform's protocol go on with the others.

mod common;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use common::flow_fleet::{Fleet, ids};
use common::sleep_ms;
use platform_standin::job;
use platform_standin::store::StoreStandIn;

/// Asserts that no process of the fleet has ended.
fn assert_all_run(fleet: &mut Fleet) {
    let nodes = fleet.entries.iter_mut().map(|(_, node)| node);
    for node in nodes.chain(fleet.agents.iter_mut().map(|(_, node)| node)) {
        let ended = node.process.child.try_wait().unwrap();
        assert!(ended.is_none(), "a process has ended: {ended:?}");
    }
}

/// Guards against odd rows in each table of which a new scheduler reads all rows, after which it
/// finds no worker or never loads its state: no job ever ran again.
#[actix_rt::test]
async fn a_new_scheduler_passes_odd_rows_of_every_table() {
    for (table, part) in [("agents", "all"), ("flows", "0"), ("progress", "scheduler")] {
        let mut fleet = Fleet::start(2, 2).await;
        fleet.store.leave_odd_rows(table, part);
        for (_, node) in &mut fleet.entries {
            node.restart();
        }
        fleet.wait_until_ready().await;
        let ids = ids(4);
        for id in &ids {
            assert_eq!(fleet.submit(0, id, &job(2, 200)).await, 200, "{table}");
        }
        fleet.wait_until_completed(&ids).await;
        assert_all_run(&mut fleet);
        fleet.assert_no_duplicate_runs();
    }
}

/// Guards against odd rows after which the scheduler no longer sees new workers and no longer
/// follows the flows that other entries accept.
#[actix_rt::test]
async fn the_scheduler_in_office_passes_odd_rows() {
    let mut fleet = Fleet::start(2, 2).await;
    for (table, part) in [("agents", "all"), ("flows", "0"), ("progress", "scheduler")] {
        fleet.store.leave_odd_rows(table, part);
    }
    sleep_ms(1_500).await;
    fleet.agents[0].1.restart();
    let ids = ids(8);
    for (number, id) in ids.iter().enumerate() {
        assert_eq!(fleet.submit(number % 2, id, &job(2, 200)).await, 200);
    }
    fleet.wait_until_completed(&ids).await;
    assert_all_run(&mut fleet);
    fleet.assert_no_duplicate_runs();
}

/// Epoch of the scheduler's lease; `None` if its row can't be read.
fn lease_epoch(store: &StoreStandIn) -> Option<u64> {
    let rows = store.values("lease");
    let row: serde_json::Value = serde_json::from_str(&rows.first()?.1).ok()?;
    row["epoch"].as_u64()
}

/// Guards against a row of the lease that can't be read, after which no entry becomes the scheduler,
/// and against an epoch below that of a former scheduler, whose orders the workers would accept
/// beside those of the new one. An epoch out of range must not end a process.
#[actix_rt::test]
async fn an_odd_lease_is_replaced_under_a_higher_epoch() {
    let absurd = format!(
        r#"{{"owner":"x","incarnation":1,"control":"127.0.0.1:1","epoch":{},"sequence":0,
            "released":true}}"#,
        u64::MAX
    );
    for odd in ["!", "/w==", "bnVsbA==", &STANDARD.encode(absurd)] {
        let mut fleet = Fleet::start(2, 2).await;
        let scheduler = fleet.scheduler();
        fleet.entries[scheduler].1.restart();
        let ids = ids(4);
        for id in &ids {
            assert_eq!(fleet.submit(0, id, &job(2, 600)).await, 200, "{odd}");
        }
        fleet.wait_until_ready().await;
        let before = lease_epoch(&fleet.store).unwrap();
        for (_, node) in &mut fleet.entries {
            node.process.kill();
        }
        fleet.store.put_encoded("lease", "scheduler", "owner", odd);
        for (_, node) in &mut fleet.entries {
            node.restart();
        }
        fleet.wait_until_ready().await;
        let first = lease_epoch(&fleet.store);
        assert!(first > Some(before), "{odd}: {first:?} after {before}");
        fleet.wait_until_completed(&ids).await;
        assert_all_run(&mut fleet);
        fleet.assert_no_duplicate_runs();
    }
}

/// Guards against a row of another writer under a key of its own that takes the place of an accepted
/// flow, because its content holds the identifier of that flow.
#[actix_rt::test]
async fn a_row_under_another_key_is_not_taken_for_a_flow() {
    let mut fleet = Fleet::start(1, 2).await;
    let id = &ids(1)[0];
    assert_eq!(fleet.submit(0, id, &job(3, 1_500)).await, 200);
    fleet.entries[0].1.process.kill();
    let content = fleet.store.values("flows")[0].1.clone();
    let odd = content.replace(r#""tasks":3"#, r#""tasks":1"#);
    assert_ne!(odd, content);
    for part in ["0", "1", "2", "3"] {
        fleet.store.put("flows", part, "0", &odd);
    }
    fleet.entries[0].1.restart();
    fleet.wait_until_ready().await;
    fleet.wait_until_completed(std::slice::from_ref(id)).await;
    let mut tasks: Vec<String> = fleet.executions().into_iter().map(|run| run.task).collect();
    tasks.sort();
    tasks.dedup();
    assert_eq!(tasks.len(), 6, "{tasks:?}");
    fleet.assert_no_duplicate_runs();
}
