//! Measurements of the work that is not done yet, in virtual time.

mod common;

use admission::{Backlog, KindBacklog};
use common::{Mode, Sim, step};
use flow::{Policies, StepSpec};

/// Simulation of two workers with 16 processors each, which have answered.
fn sim() -> Sim {
    let mut sim = Sim::new(2);
    sim.run_for(500);
    sim
}

fn backlog(sim: &Sim) -> Backlog {
    sim.scheduler.backlog(sim.now_ms)
}

/// Ordinary work, and that of fillers, of the only pool.
fn kinds(sim: &Sim) -> [KindBacklog; 2] {
    let backlog = backlog(sim);
    let pool = backlog.pool("pool").unwrap().clone();
    [pool.ordinary, pool.fillers]
}

fn filler(tasks: u32, processors_milli: u32, estimate_ms: u64) -> StepSpec {
    StepSpec {
        filler: true,
        ..step(tasks, processors_milli, estimate_ms)
    }
}

/// Guards against a backlog that misses queued tasks, steps whose turn has not come, or the rest of running
/// tasks.
#[test]
fn queued_later_and_running_tasks_count_with_what_they_have_left() {
    let mut sim = sim();
    let mut second = step(3, 1_000, 2_000);
    second.after = vec![0];
    sim.submit("wide", vec![step(40, 1_000, 10_000), second]);
    sim.run_for(5_000);
    let [ordinary, fillers] = kinds(&sim);
    assert_eq!(ordinary.cores_milli, 32_000);
    assert_eq!(ordinary.largest_free_milli, 0);
    // 8 tasks of 10 s that found no room, and 3 of 2 s whose turn has not come.
    assert_eq!(ordinary.queued_ms(0, u64::MAX), Some(86_000 / 32));
    let running = ordinary.waiting[0].running;
    assert!((150_000..=190_000).contains(&running), "{running}");
    assert_eq!(fillers.total_ms(), Some(0));
    sim.run_for(40_000);
    assert_eq!(kinds(&sim)[0].total_ms(), Some(0));
}

/// Guards against fillers that count as ordinary work, or that wait for reserved processors.
#[test]
fn fillers_are_kept_apart_with_the_processors_that_are_spare() {
    let mut sim = sim();
    sim.submit("reserved", vec![step(2, 12_000, 60_000)]);
    sim.run_for(1_000);
    sim.submit("fills", vec![filler(30, 2_000, 5_000)]);
    sim.run_for(20);
    let [ordinary, fillers] = kinds(&sim);
    assert_eq!(ordinary.queued_ms(0, u64::MAX), Some(0));
    assert_eq!(fillers.cores_milli, 8_000);
    assert!(fillers.queued_ms(0, u64::MAX) > Some(30_000), "{fillers:?}");
}

/// Guards against a backlog without end, and against processors that are never free for others.
#[test]
fn long_running_tasks_are_no_work_and_take_their_processors() {
    let mut sim = sim();
    let lasting = StepSpec {
        long_running: true,
        ..step(2, 4_000, 1_000)
    };
    sim.submit("lasting", vec![lasting]);
    sim.run_for(2_000);
    let [ordinary, _] = kinds(&sim);
    assert_eq!(ordinary.total_ms(), Some(0));
    assert_eq!(ordinary.cores_milli, 24_000);
}

/// Guards against flows that are refused because of others that are placed behind them: those that are overdue, and
/// under the order for overload those that are late.
#[test]
fn queued_flows_that_are_placed_behind_are_left_out() {
    let mut sim = sim();
    // The objective is 2 * 1 s + 500 ms; no worker is large enough.
    sim.submit("never", vec![step(10, 20_000, 1_000)]);
    sim.run_for(3_000);
    let queued_ms = |sim: &Sim| kinds(sim)[0].queued_ms(0, u64::MAX);
    assert_eq!(queued_ms(&sim), Some(6_250));
    sim.scheduler.set_policies(Policies {
        overload_order: true,
        ..Policies::default()
    });
    assert_eq!(queued_ms(&sim), Some(0));
    sim.scheduler.set_policies(Policies::default());
    sim.run_for(5_000);
    assert_eq!(queued_ms(&sim), Some(0));
    assert_eq!(kinds(&sim)[0].largest_free_milli, 16_000);
}

/// Guards against flows that are cancelled and still count, and against processors of a worker that can't be
/// reached.
#[test]
fn cancelled_flows_and_unreachable_workers_do_not_count() {
    let mut sim = sim();
    sim.submit("wide", vec![step(40, 1_000, 10_000)]);
    sim.run_for(1_000);
    let agent = "w1".into();
    sim.workers.get_mut(&agent).unwrap().mode = Mode::Partitioned;
    sim.run_for(2_000);
    assert_eq!(kinds(&sim)[0].cores_milli, 16_000);
    sim.cancel(&"wide".into());
    assert_eq!(kinds(&sim)[0].total_ms(), Some(0));
}
