//! The scheduler's lease: taken once, given up once, and taken over from a process that is gone.

mod common;

use common::{Entry, lease};

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

/// A commit is on its way nearly all the time, so that the drain begins while one is.
#[actix_rt::test]
async fn an_entry_that_drains_while_a_commit_is_on_its_way_gives_the_lease_up_once() {
    let table = common::table(450);
    let entry = Entry::start("a", &table).await;
    let before = lease(&table).await;
    common::pause(1_300).await;
    entry.gate.drain(4_000).await;
    let after = lease(&table).await;
    assert_eq!(after.epoch, before.epoch, "the lease is not taken again");
    assert!(after.released, "the lease is given up: {after:?}");
}

/// The row tells of the claim before its answer comes: the entry takes one term, not two.
#[actix_rt::test]
async fn a_claim_whose_answer_comes_late_begins_one_term() {
    let table = common::table_with_late_answers(1_500);
    let entry = Entry::start("a", &table).await;
    common::pause(2_500).await;
    let lease = lease(&table).await;
    assert_eq!((lease.epoch, lease.released), (1, false));
    let text = entry.gate.metrics();
    let terms = text.lines().find(|line| line.contains("flow_terms_total "));
    let terms = terms.and_then(|line| line.split(' ').next_back());
    assert_eq!(terms, Some("1"), "{text}");
}

#[actix_rt::test]
async fn a_lease_that_was_given_up_is_taken_over_at_once() {
    let table = common::table(5);
    let first = Entry::start("a", &table).await;
    lease(&table).await;
    let second = Entry::start("b", &table).await;
    first.gate.drain(1_000).await;
    common::pause(400).await;
    let after = lease(&table).await;
    assert_eq!((after.owner.as_str(), after.epoch), ("b", 2));
    drop(second);
}

/// The scheduler lives and answers, but the table turns it away and serves the others.
#[actix_rt::test]
async fn a_scheduler_that_the_table_turns_away_is_followed_within_two_and_a_half_seconds() {
    let table = common::table(5);
    let first = Entry::start("a", &table).await;
    let before = lease(&table).await;
    let second = Entry::start("b", &table).await;
    common::pause(1_000).await;
    table.turn_away(&before.owner);
    common::pause(2_500).await;
    let after = lease(&table).await;
    assert_eq!((after.owner.as_str(), after.epoch), ("b", 2));
    drop((first, second));
}
