//! The scheduler's lease has one owner at a time, is released once, and passes to another entry
//! when its owner drains or can't renew it.

mod common;

use backing::Transaction;
use common::{Entry, lease};

/// Guards against two schedulers at a time: entries that start together claim the same row.
#[actix_rt::test]
async fn one_of_several_entries_becomes_the_scheduler() {
    let table = common::table(5);
    let entries = [
        Entry::start("a", &table).await,
        Entry::start("b", &table).await,
    ];
    let first = lease(&table).await;
    assert_eq!((first.epoch, first.released), (1, false));
    common::pause(1_500).await;
    let later = lease(&table).await;
    assert_eq!((later.owner, later.epoch), (first.owner, 1));
    assert!(later.sequence > first.sequence, "the lease is renewed");
    drop(entries);
}

/// Guards against a drained entry that claims the lease again. Commits take 450 ms, so that one is
/// in flight when the drain starts.
#[actix_rt::test]
async fn an_entry_that_drains_during_a_commit_releases_the_lease_once() {
    let table = common::table(450);
    let entry = Entry::start("a", &table).await;
    let before = lease(&table).await;
    common::pause(1_300).await;
    entry.handle.drain(4_000).await;
    let after = lease(&table).await;
    assert_eq!(after.epoch, before.epoch, "the lease is not taken again");
    assert!(after.released, "the lease is released: {after:?}");
}

/// Guards against one claim starting two terms. The answer to the claim is late, so that a read of
/// the lease shows the claim first.
#[actix_rt::test]
async fn a_claim_whose_answer_is_late_starts_one_term() {
    let table = common::table_with_late_answers(1_500);
    let entry = Entry::start("a", &table).await;
    common::pause(2_500).await;
    let lease = lease(&table).await;
    assert_eq!((lease.epoch, lease.released), (1, false));
    let text = entry.handle.metrics();
    let terms = text.lines().find(|line| line.contains("flow_terms_total "));
    let terms = terms.and_then(|line| line.split(' ').next_back());
    assert_eq!(terms, Some("1"), "{text}");
}

/// Guards against a released lease that other entries claim only after the timeout of its owner.
#[actix_rt::test]
async fn a_released_lease_is_claimed_at_once() {
    let table = common::table(5);
    let first = Entry::start("a", &table).await;
    lease(&table).await;
    let second = Entry::start("b", &table).await;
    first.handle.drain(1_000).await;
    common::pause(400).await;
    let after = lease(&table).await;
    assert_eq!((after.owner.as_str(), after.epoch), ("b", 2));
    drop(second);
}

/// Guards against a scheduler that keeps its lease for ever because it answers the other entries,
/// while the table refuses its commits and serves the others.
#[actix_rt::test]
async fn a_scheduler_whose_commits_are_refused_is_replaced_within_two_and_a_half_seconds() {
    let table = common::table(5);
    let first = Entry::start("a", &table).await;
    let before = lease(&table).await;
    let second = Entry::start("b", &table).await;
    common::pause(1_000).await;
    table.refuse_commits_of(&before.owner);
    common::pause(2_500).await;
    let after = lease(&table).await;
    assert_eq!((after.owner.as_str(), after.epoch), ("b", 2));
    drop((first, second));
}

/// Row of a lease that its owner released, with more fields behind those of all versions.
fn released_row(more: &str) -> Transaction {
    let fields = r#""owner":"z","incarnation":1,"control":"127.0.0.1:9","epoch":4,"sequence":7"#;
    let value = format!("{{{fields},\"released\":true{more}}}");
    Transaction::default().put("lease/scheduler/owner", value)
}

/// Guards against a worker that was away under a scheduler before last, and is waited for as if it had
/// the longest lease: a claim names it again, for the time that is left.
#[actix_rt::test]
async fn a_claim_names_the_workers_that_were_away() {
    let table = common::table(5);
    let away = r#","longest_lease_ms":6300,"away":[{"agent":"a7","expires_in_ms":3000}]"#;
    table.rows.commit_now(&released_row(away)).unwrap();
    let entry = Entry::start("a", &table).await;
    while lease(&table).await.owner != "a" {
        common::pause(5).await;
    }
    let row = lease(&table).await;
    assert_eq!((row.epoch, row.away.len()), (5, 1), "{row:?}");
    assert_eq!(row.away[0].agent.as_str(), "a7");
    assert!((1..=3_000).contains(&row.away[0].expires_in_ms), "{row:?}");
    common::pause(3_500).await;
    assert_eq!(lease(&table).await.away, [], "its leases have expired");
    drop(entry);
}

/// Guards against a row of the lease that an earlier version wrote, which names no workers and no
/// longest lease, and that no entry could claim; and against longer leases of that version that the
/// scheduler after the next one does not wait for.
#[actix_rt::test]
async fn a_row_of_an_earlier_version_is_claimed_and_its_longer_leases_are_stated() {
    let table = common::table(5);
    table.rows.commit_now(&released_row("")).unwrap();
    let entry = Entry::start("a", &table).await;
    while lease(&table).await.owner != "a" {
        common::pause(5).await;
    }
    let row = lease(&table).await;
    assert_eq!((row.owner.as_str(), row.epoch), ("a", 5));
    // Its own leases last 6,000 ms at most, those of the former version 6,300 ms.
    assert!(row.longest_lease_ms > Some(6_000), "{row:?}");
    common::pause(1_500).await;
    assert_eq!(lease(&table).await.longest_lease_ms, Some(6_000));
    drop(entry);
}

/// Guards against leases of up to 9.7 s during an outage of the table, where workers grant 10 s: tasks of
/// a worker that is lost together with the scheduler then stand still for more than 9 s.
#[actix_rt::test]
async fn leases_during_an_outage_last_six_seconds_at_most() {
    let table = common::table(5);
    let row = released_row(r#","longest_lease_ms":300"#);
    table.rows.commit_now(&row).unwrap();
    let entry = Entry::start_with_longest_lease("a", &table, 10_000).await;
    while lease(&table).await.owner != "a" {
        common::pause(5).await;
    }
    let row = lease(&table).await;
    assert_eq!(row.longest_lease_ms, Some(6_000 + 300), "{row:?}");
    drop(entry);
}
