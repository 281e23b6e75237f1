//! Loads as they come on the heaviest days, one module each, in virtual time.

mod common;

/// The crest of a release: many wide flows within a second.
mod release_crest {
    use crate::common::{Sim, step};

    #[test]
    fn short_flows_are_all_in_time() {
        let mut sim = Sim::new(8);
        for number in 0..40 {
            let steps = vec![step(4, 1_000, 400), {
                let mut second = step(2, 1_000, 200);
                second.after = vec![0];
                second
            }];
            sim.submit(&format!("f{number}"), steps);
            sim.run_for(20);
        }
        assert!(sim.run_until_over(5_000));
        let begun_ms = 1_000;
        let last_ms = sim.ended_ms.values().map(|(ended_ms, _)| *ended_ms).max();
        let bound_ms = begun_ms + 40 * 20 + (600 * 2 + 500);
        assert!(
            last_ms.unwrap() <= bound_ms,
            "{last_ms:?} is after {bound_ms}"
        );
    }
}

/// A wave of flows that can never succeed, between others.
mod hopeless_wave {
    use crate::common::{Sim, step};
    use flow::FlowPhase;

    #[test]
    fn they_fail_within_their_budget_and_the_others_complete() {
        let mut sim = Sim::new(6);
        for number in 0..12 {
            let job = sim.submit(&format!("f{number:02}"), vec![step(4, 1_000, 300)]);
            if number % 3 == 0 {
                sim.hopeless.insert(job);
            }
        }
        assert!(sim.run_until_over(30_000), "{:?}", sim.ended_ms);
        for (job, (_, phase)) in &sim.ended_ms {
            let expected = if sim.hopeless.contains(job) {
                FlowPhase::Failed
            } else {
                FlowPhase::Completed
            };
            assert_eq!(*phase, expected, "{job}");
        }
    }
}

/// A worker that fails everything it starts.
mod failing_worker {
    use crate::common::{Mode, Sim, step};

    #[test]
    fn it_is_set_aside_and_no_flow_is_lost_to_it() {
        let mut sim = Sim::new(6);
        sim.workers.get_mut(&"w0".into()).unwrap().mode = Mode::FailsAll;
        for number in 0..30 {
            sim.submit(&format!("f{number:02}"), vec![step(3, 1_000, 400)]);
            sim.run_for(60);
        }
        assert!(sim.run_until_over(20_000));
        assert_eq!(sim.completed(), 30, "{:?}", sim.ended_ms);
    }
}

/// A worker that fails what it starts for a while, and goes on with tasks that last.
mod recovered_worker {
    use crate::common::{Mode, Sim, step};
    use flow::StepSpec;

    /// A task that lasts has to run again 6 s after its last run.
    const AGAIN_MS: u64 = 6_000;

    fn lasting(tasks: u32) -> StepSpec {
        StepSpec {
            long_running: true,
            ..step(tasks, 4_000, 100)
        }
    }

    #[test]
    fn it_gets_work_again_although_it_is_never_empty() {
        let mut sim = Sim::new(1);
        let old = sim.submit("old", vec![lasting(1)]);
        sim.run_for(500);
        assert_eq!(sim.running(&old), 1);
        sim.workers.get_mut(&"w0".into()).unwrap().mode = Mode::FailsFrom(sim.now_ms);
        let first = sim.submit("first", vec![lasting(1)]);
        let second = sim.submit("second", vec![lasting(2)]);
        sim.run_for(6_000);
        sim.workers.get_mut(&"w0".into()).unwrap().mode = Mode::Sound;
        sim.run_for(AGAIN_MS);
        assert_eq!(sim.running(&old), 1, "what was there goes on");
        let running = (sim.running(&first), sim.running(&second));
        assert_eq!(running, (1, 2), "what waits is started again");
    }
}

/// A worker whose tasks stand still while it looks well.
mod hanging_worker {
    use crate::common::{Mode, Sim, step};

    #[test]
    fn its_tasks_move_on_and_it_gets_no_others_for_a_while() {
        let mut sim = Sim::new(4);
        sim.workers.get_mut(&"w0".into()).unwrap().mode = Mode::Hangs;
        for number in 0..6 {
            sim.submit(&format!("f{number}"), vec![step(4, 1_000, 500)]);
        }
        assert!(sim.run_until_over(8_000), "{:?}", sim.ended_ms);
        assert_eq!(sim.load("w0"), 0);
    }
}

/// Cancellations in a wave.
mod mass_cancel {
    use crate::common::{Sim, step};
    use flow::FlowPhase;

    #[test]
    fn what_runs_is_gone_at_once_and_nothing_starts_again() {
        let mut sim = Sim::new(4);
        let jobs: Vec<_> = (0..10)
            .map(|number| sim.submit(&format!("f{number}"), vec![step(8, 1_000, 10_000)]))
            .collect();
        sim.run_for(500);
        for job in &jobs {
            sim.cancel(job);
        }
        sim.run_for(300);
        for job in &jobs {
            assert_eq!(sim.running(job), 0, "{job}");
            assert_eq!(sim.scheduler.phase(job), Some(FlowPhase::Cancelled));
        }
        assert!(sim.run_until_over(1_000));
    }
}

/// Tasks that serve callers beside fillers, some of which disturb them.
mod services_beside_fillers {
    use crate::common::{Sim, step};
    use flow::StepSpec;

    fn service(image: &str) -> StepSpec {
        StepSpec {
            long_running: true,
            latency_target_ms: Some(50),
            image: Some(image.to_owned()),
            ..step(3, 5_000, 100)
        }
    }

    fn filler(image: &str) -> StepSpec {
        StepSpec {
            filler: true,
            saves_progress: true,
            image: Some(image.to_owned()),
            ..step(2, 3_000, 600)
        }
    }

    /// Two images of services and two of fillers, of which `loud` disturbs `fragile`.
    fn scene() -> Sim {
        let mut sim = Sim::new(4);
        sim.disturbs
            .insert(("loud".to_owned(), "fragile".to_owned()));
        sim.submit("s1", vec![service("fragile")]);
        sim.run_for(400);
        sim.submit("s2", vec![service("sturdy")]);
        sim.run_for(400);
        sim
    }

    #[test]
    fn services_of_one_image_stand_together() {
        let sim = scene();
        let loads: Vec<usize> = (0..4).map(|at| sim.load(&format!("w{at}"))).collect();
        let mut sorted = loads.clone();
        sorted.sort_unstable();
        assert_eq!(sorted, [0, 0, 3, 3], "{loads:?}");
    }

    #[test]
    fn a_filler_that_disturbs_is_learnt_and_kept_away() {
        let mut sim = scene();
        for number in 0..20 {
            sim.submit(&format!("loud{number:02}"), vec![filler("loud")]);
            sim.submit(&format!("calm{number:02}"), vec![filler("calm")]);
            sim.run_for(300);
        }
        sim.run_for(6_000);
        assert_eq!(sim.completed(), 40, "all fillers are done");
        let served_ms = sim.now_ms * 3;
        assert!(
            sim.harmed_ms * 100 <= served_ms * 5,
            "services were beyond their target for {} of {served_ms} ms",
            sim.harmed_ms
        );
    }

    /// Two images of fillers that were harmless for long begin to disturb: the one that is blamed
    /// first must not shield the other.
    #[test]
    fn fillers_that_turn_bad_are_stopped_before_they_harm() {
        let mut sim = Sim::new(1);
        let service = StepSpec {
            tasks: 1,
            ..service("fragile")
        };
        sim.submit("s1", vec![service]);
        sim.run_for(400);
        let lasting = |image: &str| StepSpec {
            tasks: 1,
            saves_progress: false,
            estimate_ms: 30_000,
            ..filler(image)
        };
        sim.submit("f1", vec![lasting("first")]);
        sim.submit("f2", vec![lasting("second")]);
        sim.run_for(8_000);
        sim.disturbs
            .insert(("first".to_owned(), "fragile".to_owned()));
        sim.submit("f3", vec![lasting("third")]);
        sim.run_for(12_000);
        assert!(
            sim.longest_harm_ms < 4_000,
            "a service was harmed for {} ms on end",
            sim.longest_harm_ms
        );
    }

    /// The only worker is mostly free, and the filler is known to disturb what serves there.
    #[test]
    fn an_idle_flow_starts_within_three_seconds_while_the_pool_is_mostly_free() {
        let mut sim = Sim::new(1);
        let service = StepSpec {
            tasks: 1,
            ..service("fragile")
        };
        sim.submit("s1", vec![service]);
        sim.run_for(400);
        let mut pairs = flow::Pairs::default();
        pairs.on_rise(&["loud"], "fragile");
        sim.scheduler.set_learned(pairs);
        let job = sim.submit("loud", vec![filler("loud")]);
        sim.run_for(3_000);
        assert!(
            sim.running(&job) > 0 || sim.completed() > 0,
            "the flow waits"
        );
    }

    #[test]
    fn a_filler_with_no_other_place_runs_all_the_same() {
        let mut sim = Sim::new(1);
        sim.disturbs
            .insert(("loud".to_owned(), "fragile".to_owned()));
        let service = StepSpec {
            tasks: 1,
            ..service("fragile")
        };
        sim.submit("s1", vec![service]);
        sim.run_for(400);
        for number in 0..3 {
            sim.submit(&format!("loud{number}"), vec![filler("loud")]);
            sim.run_for(3_000);
        }
        sim.run_for(25_000);
        assert_eq!(sim.completed(), 3, "{:?}", sim.ended_ms);
    }
}

/// The table is away while flows run.
mod table_outage {
    use crate::common::{Sim, step};

    #[test]
    fn what_was_placed_goes_on_and_the_rest_follows_at_its_return() {
        let mut sim = Sim::new(4);
        for number in 0..8 {
            let mut second = step(2, 1_000, 300);
            second.after = vec![0];
            sim.submit(&format!("f{number}"), vec![step(4, 1_000, 300), second]);
        }
        sim.run_for(200);
        sim.table_up = false;
        sim.run_for(4_000);
        sim.table_up = true;
        assert!(sim.run_until_over(1_500), "{:?}", sim.ended_ms);
        assert_eq!(sim.completed(), 8);
    }
}

/// All schedulers and half of the workers are lost at once.
mod everything_killed {
    use crate::common::{Sim, step};

    #[test]
    fn every_flow_completes_and_nothing_runs_twice() {
        let mut sim = Sim::new(6);
        for number in 0..12 {
            sim.submit(&format!("f{number:02}"), vec![step(5, 1_000, 700)]);
        }
        sim.run_for(400);
        for agent in ["w0", "w1", "w2"] {
            sim.crash(&agent.into());
        }
        sim.take_over();
        assert!(sim.run_until_over(6_000), "{:?}", sim.ended_ms);
        assert_eq!(sim.completed(), 12);
    }
}
