//! Workers with more ends than fit into one report, in virtual time.

mod common;

use common::{Sim, step};
use flow::Contact;
use model::{AgentId, JobId};
use proptest::prelude::*;

/// Most ends in one report.
const PAGE_ENDS: usize = 5;

/// A simulation in which one worker has a long-running flow of two tasks and `short` tasks that have
/// ended while there was no scheduler; a second, empty worker has room for all of them.
fn after_an_absence(short: u32) -> (Sim, JobId, JobId) {
    let mut sim = Sim::new(2);
    sim.ends_per_report = PAGE_ENDS;
    sim.crash_for_a_while(&"w1".into());
    let mut lasting = step(2, 500, 100);
    lasting.long_running = true;
    let lasting = sim.submit("lasting", vec![lasting]);
    let done = sim.submit("done", vec![step(short, 100, 1_000)]);
    sim.run_for(600);
    assert_eq!(sim.run_count("w0"), short as usize + 2);
    sim.run_without_scheduler(1_200);
    (sim, lasting, done)
}

/// Asserts that no task was started a second time.
fn assert_started_once(sim: &Sim, lasting: &JobId, done: &JobId, short: u32) {
    assert_eq!(sim.starts[lasting], 2, "the long-running tasks start once");
    assert_eq!(sim.starts[done], short, "tasks that ended start once");
}

/// Guards against a worker that is taken for unreachable, its leases expired at time 0, because its
/// first report after a takeover has more ends than one page.
#[test]
fn a_worker_is_read_to_the_last_page_before_anything_of_it_is_released() {
    let short = 23;
    let (mut sim, lasting, done) = after_an_absence(short);
    sim.take_over();
    let agent = AgentId::from("w0");
    while sim
        .scheduler
        .worker(&agent)
        .is_none_or(|view| view.contact == Contact::Unknown)
    {
        sim.step();
    }
    assert_eq!(
        sim.scheduler.worker(&agent).unwrap().contact,
        Contact::Reading
    );
    sim.run_for(4_000);
    assert_eq!(sim.running(&lasting), 2);
    assert_eq!(sim.completed(), 1);
    assert_started_once(&sim, &lasting, &done, short);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, ..ProptestConfig::default() })]

    /// Guards against the same when the scheduler is replaced again at any page of the report.
    #[test]
    fn takeovers_at_any_page_start_nothing_twice(
        short in 1_u32..40,
        pauses_ms in prop::collection::vec(20_u64..700, 1..8),
    ) {
        let (mut sim, lasting, done) = after_an_absence(short);
        for pause_ms in pauses_ms {
            sim.take_over();
            sim.run_for(pause_ms);
        }
        sim.run_for(6_000);
        assert_eq!(sim.running(&lasting), 2);
        assert_eq!(sim.completed(), 1);
        assert_started_once(&sim, &lasting, &done, short);
    }
}
