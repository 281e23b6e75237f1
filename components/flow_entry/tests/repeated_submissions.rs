//! Repeated submissions of flows under overload: a refusal has to be true although an earlier attempt went to another
//! entry and its answer was lost.

mod common;

use common::overload::{
    LIMIT_MS, flow, is_stored, overloaded, slow_table_with_scheduler, start, start_as, submit,
    table_with_scheduler, wait_for_refusal,
};
use common::scheduler::{Answers, StandIn};
use common::{Entry, Reads, SlowTable, pause};
use flow_entry::Overloaded;
use futures::future::join;
use std::rc::Rc;
use std::time::{Duration, Instant};
use wire::SubmitOutcome;

/// Identifier of the flow that is submitted again.
const REPEATED: &str = "00000000000000aa";
/// Time in which an entry learns that the pool is full, in milliseconds.
const LEARNT_MS: u64 = 1_000;
/// Refusals of flows of one size in a row; the next one is accepted.
const REFUSED_IN_A_ROW: usize = 8;
/// Time after a call without an answer for which nothing is refused, in milliseconds.
const LOST_ANSWER_MS: u64 = 3_000;

/// Two entries, of which the first has stored a flow without an answer to its caller; then the pool is full.
async fn with_lost_answer() -> (Rc<SlowTable>, Entry, Entry) {
    let scheduler = StandIn::start(Answers::NotMeasured).await;
    let table = table_with_scheduler(scheduler.address);
    let (first, second) = (start_as("a", &table).await, start_as("b", &table).await);
    pause(LEARNT_MS).await;
    table.lose_answers_after(10 * LIMIT_MS);
    let attempt = first.handle.submit_if_admitted(flow(REPEATED), LIMIT_MS);
    let attempt = tokio::time::timeout(Duration::from_millis(LIMIT_MS), attempt).await;
    assert!(attempt.is_err(), "the caller waits in vain");
    assert!(is_stored(&table, REPEATED));
    table.keep_answers();
    scheduler.set(overloaded());
    wait_for_refusal(&second).await;
    (table, first, second)
}

/// Guards against a refusal of a flow that runs, as an earlier attempt at another entry has stored it.
#[actix_rt::test]
async fn a_flow_that_another_entry_has_stored_is_accepted() {
    let (_table, _first, second) = with_lost_answer().await;
    let again = submit(&second, REPEATED).await;
    assert_eq!(again, Ok(SubmitOutcome::Accepted));
}

/// Guards against the same refusal by an entry to which the table does not answer.
#[actix_rt::test]
async fn a_flow_of_which_the_table_tells_nothing_is_accepted() {
    for reads in [Reads::Silent, Reads::Failed] {
        let (table, _first, second) = with_lost_answer().await;
        table.set_reads(reads);
        let began = Instant::now();
        let again = submit(&second, REPEATED).await;
        assert_eq!(again, Ok(SubmitOutcome::Accepted), "{reads:?}");
        assert!(began.elapsed() < Duration::from_millis(LIMIT_MS));
    }
}

/// Guards against refusals that cost the table more than the one read that shows that they are true.
#[actix_rt::test]
async fn a_refusal_of_a_first_attempt_takes_one_read() {
    let scheduler = StandIn::start(overloaded()).await;
    let table = table_with_scheduler(scheduler.address);
    let entry = start(&table).await;
    wait_for_refusal(&entry).await;
    for number in 0..3 {
        let before = table.flow_calls();
        let refused: Result<SubmitOutcome, Overloaded> =
            submit(&entry, &format!("{number:015x}f")).await;
        assert!(refused.is_err());
        assert_eq!(table.flow_calls() - before, 1);
    }
}

/// Guards against a refusal beside a write of another entry that is still on its way to a table that leaves calls
/// without answers.
#[actix_rt::test]
async fn nothing_is_refused_while_answers_of_the_table_are_lost() {
    let scheduler = StandIn::start(Answers::NotMeasured).await;
    let table = slow_table_with_scheduler(scheduler.address, 1_500);
    let (first, second) = (start_as("a", &table).await, start_as("b", &table).await);
    pause(LEARNT_MS).await;
    scheduler.set(overloaded());
    wait_for_refusal(&second).await;
    wait_for_refusal(&first).await;
    table.set_reads(Reads::Silent);
    let handle = first.handle.clone();
    let attempt =
        actix_rt::spawn(async move { handle.submit_if_admitted(flow(REPEATED), 4_000).await });
    let other = flow("00000000000000bb");
    let other = second.handle.submit_if_admitted(other, 4_000).await;
    assert_eq!(other, Ok(SubmitOutcome::Accepted), "it can't be decided");
    table.set_reads(Reads::Whole);
    let unstored = flow("00000000000000cc");
    let unstored = second.handle.submit_if_admitted(unstored, 4_000).await;
    assert_eq!(
        unstored,
        Ok(SubmitOutcome::Accepted),
        "it may be stored later"
    );
    assert_eq!(attempt.await.unwrap(), Ok(SubmitOutcome::Accepted));
    pause(LOST_ANSWER_MS).await;
    assert!(submit(&second, "00000000000000dd").await.is_err());
}

/// Guards against the same while only the entry's own calls, other than those for callers, show that answers are
/// lost.
#[actix_rt::test]
async fn answers_that_the_entry_itself_lost_count_too() {
    let scheduler = StandIn::start(overloaded()).await;
    let table = table_with_scheduler(scheduler.address);
    let entry = start(&table).await;
    wait_for_refusal(&entry).await;
    table.set_reads(Reads::Lost);
    pause(LEARNT_MS).await;
    table.set_reads(Reads::Whole);
    // The table counts as available again.
    pause(LEARNT_MS).await;
    let again = submit(&entry, REPEATED).await;
    assert_eq!(again, Ok(SubmitOutcome::Accepted));
    pause(LOST_ANSWER_MS).await;
    assert!(submit(&entry, "00000000000000dd").await.is_err());
}

/// Guards against two answers that contradict each other, where two attempts arrive at once and the flow's turn to be
/// accepted has come with the first.
#[actix_rt::test]
async fn of_two_attempts_at_once_none_is_refused_if_the_other_is_accepted() {
    let scheduler = StandIn::start(overloaded()).await;
    let table = table_with_scheduler(scheduler.address);
    let entry = start(&table).await;
    wait_for_refusal(&entry).await;
    for number in 1..REFUSED_IN_A_ROW {
        let refused = submit(&entry, &format!("{number:015x}f")).await;
        assert!(refused.is_err(), "{refused:?}");
    }
    let attempts = join(submit(&entry, REPEATED), submit(&entry, REPEATED)).await;
    let accepted = Ok(SubmitOutcome::Accepted);
    assert_eq!(attempts, (accepted, accepted));
}
