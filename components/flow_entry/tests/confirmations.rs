//! When a scheduler counts that it is the only one: never from later than the row that proves it was written.

mod common;

use common::{Entry, SlowTable};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use wire::{SchedulerLink, SchedulerProbe, SchedulerProbeReply};

/// Time between a write and its being noticed by the test, in milliseconds, with room for a busy machine.
const NOTICED_WITHIN_MS: u64 = 100;
/// Time within which a probe is answered.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Asks the process at `control` whether it is the scheduler; `None` if it does not answer.
async fn probe(control: SocketAddr) -> Option<SchedulerProbeReply> {
    let link = SchedulerLink::new(control);
    let probe = SchedulerProbe { config: 1 };
    let call = link.call(PROBE_TIMEOUT, |client, context| async move {
        client.probe(context, probe).await
    });
    call.await.ok()
}

/// Asks the scheduler for the age of its confirmation for `span_ms`. Asserts that none is younger than the row
/// of the lease.
async fn assert_no_confirmation_is_younger_than_the_row(table: &SlowTable, span_ms: u64) {
    let began = Instant::now();
    let (mut row, mut written) = (None, Instant::now());
    let mut answers = 0;
    while began.elapsed() < Duration::from_millis(span_ms) {
        let asked = Instant::now();
        let reply = probe(common::lease(table).await.control).await;
        // Read after the answer: a commit may have taken effect meanwhile.
        let lease = common::lease(table).await;
        if row != Some((lease.epoch, lease.sequence)) {
            row = Some((lease.epoch, lease.sequence));
            written = Instant::now();
        }
        if let Some(reply) = reply.filter(|reply| reply.epoch.is_some()) {
            answers += 1;
            let since_ms = asked.saturating_duration_since(written).as_millis() as u64;
            let age_ms = reply.confirmation_age_ms;
            assert!(
                age_ms + NOTICED_WITHIN_MS >= since_ms,
                "a confirmation of {age_ms} ms ago, the last row {row:?} was written {since_ms} ms ago"
            );
        }
        common::pause(5).await;
    }
    assert!(answers >= 20, "{answers} answers");
}

/// Guards against a claim that counts from the read that showed it, if its answer is late: another entry may
/// have seen the row, and taken over, long before.
#[actix_rt::test]
async fn a_claim_shown_by_a_read_counts_from_its_sending() {
    let table = common::table_with_late_answers(1_500);
    let entry = Entry::start("a", &table).await;
    assert_no_confirmation_is_younger_than_the_row(&table, 2_500).await;
    drop(entry);
}

/// Guards against a commit that counts from the read that showed it, if the answers of its attempts were
/// lost: another entry may have seen the row, and taken over, long before.
#[actix_rt::test]
async fn a_commit_shown_by_a_read_counts_from_its_first_sending() {
    let table = common::table(5);
    let entry = Entry::start("a", &table).await;
    assert_no_confirmation_is_younger_than_the_row(&table, 1_000).await;
    table.lose_answers_after(400);
    assert_no_confirmation_is_younger_than_the_row(&table, 2_500).await;
    drop(entry);
}
