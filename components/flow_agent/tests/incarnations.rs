//! Orders of calls, restarts and silences: no call reaches an incarnation of the worker that it is not
//! meant for.

mod common;

use common::{Agent, Worker};
use flow::StartOutcome;
use futures::future::{join, join_all};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Start of the first incarnation, in milliseconds since the Unix epoch.
const BORN_MS: u64 = 1_764_900_000_000;
/// Calls at once, which need a connection each.
const CALLS_AT_ONCE: usize = 6;
/// Steps of a random walk.
const STEPS: u32 = 500;

/// A worker with one incarnation, and its agent.
async fn start() -> (Worker, Agent) {
    let worker = Worker::default();
    worker.restart(BORN_MS);
    let agent = Agent::start(&worker).await;
    (worker, agent)
}

/// Starts runs at once, so that as many connections are open.
async fn start_at_once(agent: &Agent, number: usize) -> Vec<StartOutcome> {
    join_all((0..CALLS_AT_ONCE).map(|_| agent.start_run(number))).await
}

/// What happens in one step of a walk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Poll,
    Start,
    StartAtOnce,
    Stop,
    Pace,
    Restart,
    RestartWhileStarting,
    Silence,
    RestartAgent,
}

const ALL: [Step; 9] = [
    Step::Poll,
    Step::Start,
    Step::StartAtOnce,
    Step::Stop,
    Step::Pace,
    Step::Restart,
    Step::RestartWhileStarting,
    Step::Silence,
    Step::RestartAgent,
];

/// Start of the next incarnation: the time of day may have been set back.
fn next_born_ms(rng: &mut StdRng, known: &mut Vec<u64>) -> u64 {
    loop {
        let born_ms = BORN_MS + rng.random_range(0..1_000_000_u64);
        if !known.contains(&born_ms) {
            known.push(born_ms);
            return born_ms;
        }
    }
}

/// Walks through random orders of calls for the present and former incarnations.
async fn walk(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let (worker, mut agent) = start().await;
    let mut known = vec![BORN_MS];
    for number in 0..STEPS {
        let step = ALL[rng.random_range(0..ALL.len())];
        let present = worker.present();
        let meant = if rng.random_bool(0.5) {
            present
        } else {
            rng.random_range(present.saturating_sub(3).max(1)..=present)
        };
        match step {
            Step::Poll => {
                agent.poll(meant).await;
            }
            Step::Start => {
                let outcome = agent.start_run(meant).await;
                let is_started = outcome == StartOutcome::Started;
                assert!(!is_started || meant == present, "{number}: {outcome:?}");
            }
            Step::StartAtOnce => {
                start_at_once(&agent, meant).await;
            }
            Step::Stop => {
                assert!(!agent.stop(meant).await || meant == present, "{number}");
            }
            Step::Pace => {
                assert!(!agent.pace(meant).await || meant == present, "{number}");
            }
            Step::Restart => worker.restart(next_born_ms(&mut rng, &mut known)),
            Step::RestartWhileStarting => {
                let born_ms = next_born_ms(&mut rng, &mut known);
                let restarting = async {
                    actix_rt::task::yield_now().await;
                    worker.restart(born_ms);
                };
                join(start_at_once(&agent, meant), restarting).await;
            }
            Step::Silence => worker.silence(),
            Step::RestartAgent => agent = Agent::start(&worker).await,
        }
        let strays = worker.strays();
        assert!(
            strays.is_empty(),
            "seed {seed}, step {number} {step:?}: {strays:?}"
        );
    }
    // Whatever happened before, the present incarnation can be reached.
    agent.poll(worker.present()).await;
    let outcome = agent.start_run(worker.present()).await;
    assert_eq!(outcome, StartOutcome::Started, "seed {seed}");
}

/// Guards against a poll, a start, a stop or a pace that reaches another incarnation than it is meant
/// for, in any order of calls, restarts of worker and agent, and silent connections.
#[actix_rt::test]
async fn no_call_reaches_another_incarnation() {
    for seed in 1..=4 {
        walk(seed).await;
    }
}

/// Guards against a worker that gets no orders any more, because an earlier incarnation stated a later
/// start.
#[actix_rt::test]
async fn a_worker_that_states_an_earlier_start_gets_orders() {
    let (worker, agent) = start().await;
    assert_eq!(agent.poll(1).await, Some(BORN_MS));
    worker.restart(BORN_MS - 2_000);
    assert_eq!(agent.poll(1).await, Some(BORN_MS - 2_000));
    assert_eq!(agent.start_run(1).await, StartOutcome::Unavailable);
    assert_eq!(agent.start_run(2).await, StartOutcome::Started);
    assert!(agent.stop(2).await && agent.pace(2).await);
    assert!(worker.strays().is_empty());
}

/// Guards against a worker that is not reached for as many time-outs as it had idle connections when
/// they went silent.
#[actix_rt::test]
async fn one_silent_connection_is_a_finding_about_all_that_are_as_old() {
    let (worker, agent) = start().await;
    start_at_once(&agent, 1).await;
    let open = worker.connections();
    assert!(open > 1, "calls at once use connections of their own");
    worker.silence();
    assert_eq!(agent.start_run(1).await, StartOutcome::Unknown);
    assert_eq!(worker.unanswered(), 1);
    let outcomes = start_at_once(&agent, 1).await;
    assert_eq!(outcomes, [StartOutcome::Started; CALLS_AT_ONCE]);
    assert_eq!(worker.unanswered(), 1);
}

/// Guards against a new connection for each call, and against an idle one that is used after its
/// incarnation has ended although the call could be made over a new one.
#[actix_rt::test]
async fn connections_are_kept_as_long_as_the_incarnation() {
    let (worker, agent) = start().await;
    for _ in 0..20 {
        assert_eq!(agent.start_run(1).await, StartOutcome::Started);
        assert_eq!(agent.poll(1).await, Some(BORN_MS));
    }
    assert_eq!(worker.connections(), 1);
    worker.restart(BORN_MS + 1);
    assert_eq!(agent.start_run(2).await, StartOutcome::Started);
    assert_eq!((worker.connections(), worker.unanswered()), (2, 0));
}
