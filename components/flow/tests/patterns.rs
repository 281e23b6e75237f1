//! Patterns of load and faults on peak days, one module each, in virtual time.

mod common;

/// Guards against flows that miss their objective in a release peak: 40 wide flows of two steps are
/// submitted within a second. After that, the last one must end within twice its run time and 500 ms
/// more.
mod release_peak {
    use crate::common::{Sim, step};

    #[test]
    fn all_short_flows_meet_their_objective() {
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
        assert!(sim.run_until_ended(5_000));
        let start_ms = 1_000;
        let last_ms = sim.ended_ms.values().map(|(ended_ms, _)| *ended_ms).max();
        let bound_ms = start_ms + 40 * 20 + (600 * 2 + 500);
        assert!(
            last_ms.unwrap() <= bound_ms,
            "{last_ms:?} is after {bound_ms}"
        );
    }
}

/// Guards against flows that always fail being retried beyond `max_attempts`, or causing other
/// flows to fail.
mod always_failing_flows {
    use crate::common::{Sim, step};
    use flow::FlowPhase;

    #[test]
    fn they_fail_within_max_attempts_and_other_flows_complete() {
        let mut sim = Sim::new(6);
        for number in 0..12 {
            let job = sim.submit(&format!("f{number:02}"), vec![step(4, 1_000, 300)]);
            if number % 3 == 0 {
                sim.always_failing.insert(job);
            }
        }
        assert!(sim.run_until_ended(30_000), "{:?}", sim.ended_ms);
        for (job, (_, phase)) in &sim.ended_ms {
            let expected = if sim.always_failing.contains(job) {
                FlowPhase::Failed
            } else {
                FlowPhase::Completed
            };
            assert_eq!(*phase, expected, "{job}");
        }
    }
}

/// Guards against flows that fail because one worker fails every run: the worker must be paused
/// before a task has used up its attempts there.
mod failing_worker {
    use crate::common::{Mode, Sim, step};

    #[test]
    fn no_flow_fails_because_of_one_failing_worker() {
        let mut sim = Sim::new(6);
        sim.workers.get_mut(&"w0".into()).unwrap().mode = Mode::FailsAll;
        for number in 0..30 {
            sim.submit(&format!("f{number:02}"), vec![step(3, 1_000, 400)]);
            sim.run_for(60);
        }
        assert!(sim.run_until_ended(20_000));
        assert_eq!(sim.completed(), 30, "{:?}", sim.ended_ms);
    }
}

/// Guards against a recovered worker that gets no work any more: a long-running task from before
/// its pause never ends, so it must not count as the one run allowed on probation.
mod recovered_worker {
    use crate::common::{Mode, Sim, step};
    use flow::StepSpec;

    /// Time within which a long-running task has to run again after its last run, in milliseconds.
    const RESTART_MS: u64 = 6_000;

    fn long_running(tasks: u32) -> StepSpec {
        StepSpec {
            long_running: true,
            ..step(tasks, 4_000, 100)
        }
    }

    #[test]
    fn it_gets_work_again_while_an_old_run_lasts() {
        let mut sim = Sim::new(1);
        let old = sim.submit("old", vec![long_running(1)]);
        sim.run_for(500);
        assert_eq!(sim.running(&old), 1);
        sim.workers.get_mut(&"w0".into()).unwrap().mode = Mode::FailsFrom(sim.now_ms);
        let first = sim.submit("first", vec![long_running(1)]);
        let second = sim.submit("second", vec![long_running(2)]);
        sim.run_for(6_000);
        sim.workers.get_mut(&"w0".into()).unwrap().mode = Mode::Healthy;
        sim.run_for(RESTART_MS);
        assert_eq!(sim.running(&old), 1, "the old run continues");
        let running = (sim.running(&first), sim.running(&second));
        assert_eq!(running, (1, 2), "queued tasks are started again");
    }
}

/// Guards against tasks that stay on a worker that looks healthy but makes no progress: every flow
/// must end, and no run may remain on the worker.
mod stalled_worker {
    use crate::common::{Mode, Sim, step};

    #[test]
    fn every_flow_ends_and_no_run_remains_on_the_worker() {
        let mut sim = Sim::new(4);
        sim.workers.get_mut(&"w0".into()).unwrap().mode = Mode::Stalls;
        for number in 0..6 {
            sim.submit(&format!("f{number}"), vec![step(4, 1_000, 500)]);
        }
        assert!(sim.run_until_ended(8_000), "{:?}", sim.ended_ms);
        assert_eq!(sim.run_count("w0"), 0);
    }
}

/// Guards against runs that are still in progress, or have been started again, 300 ms after many
/// flows are cancelled at once.
mod mass_cancel {
    use crate::common::{Sim, step};
    use flow::FlowPhase;

    #[test]
    fn all_runs_stop_within_300_ms_and_none_restarts() {
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
        assert!(sim.run_until_ended(1_000));
    }
}

/// Guards against fillers that push latency-critical tasks over their targets, and against fillers
/// that stay queued for ever to prevent that.
mod services_beside_fillers {
    use crate::common::{Mode, Sim, step};
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

    /// A simulation with two services, `fragile` and `sturdy`, in which fillers of the image `loud`
    /// disturb `fragile`.
    fn two_services() -> Sim {
        let mut sim = Sim::new(4);
        sim.disturbs
            .insert(("loud".to_owned(), "fragile".to_owned()));
        sim.submit("s1", vec![service("fragile")]);
        sim.run_for(400);
        sim.submit("s2", vec![service("sturdy")]);
        sim.run_for(400);
        sim
    }

    /// Guards against services that are spread over all workers, which leaves fillers no worker on
    /// which they disturb nothing.
    #[test]
    fn services_of_one_image_are_packed_together() {
        let sim = two_services();
        let loads: Vec<usize> = (0..4)
            .map(|number| sim.run_count(&format!("w{number}")))
            .collect();
        let mut sorted = loads.clone();
        sorted.sort_unstable();
        assert_eq!(sorted, [0, 0, 3, 3], "{loads:?}");
    }

    /// Guards against a disturbing filler that is placed beside the service again and again. Services
    /// may be over their target for at most 5 % of the time, and all fillers must complete.
    #[test]
    fn a_disturbing_filler_is_learned_and_kept_away() {
        let mut sim = two_services();
        for number in 0..20 {
            sim.submit(&format!("loud{number:02}"), vec![filler("loud")]);
            sim.submit(&format!("calm{number:02}"), vec![filler("calm")]);
            sim.run_for(300);
        }
        sim.run_for(6_000);
        assert_eq!(sim.completed(), 40, "all fillers are done");
        let served_ms = sim.now_ms * 3;
        assert!(
            sim.over_target_ms * 100 <= served_ms * 5,
            "services were over their target for {} of {served_ms} ms",
            sim.over_target_ms
        );
    }

    /// Guards against a service that stays over its target because only the filler that is blamed
    /// first is throttled. Two images of fillers have long been known as harmless when a third
    /// joins and one of them begins to disturb the service.
    #[test]
    fn fillers_that_become_disturbing_are_stopped_within_four_seconds() {
        let mut sim = Sim::new(1);
        let service = StepSpec {
            tasks: 1,
            ..service("fragile")
        };
        sim.submit("s1", vec![service]);
        sim.run_for(400);
        let long_filler = |image: &str| StepSpec {
            tasks: 1,
            saves_progress: false,
            estimate_ms: 30_000,
            ..filler(image)
        };
        sim.submit("f1", vec![long_filler("first")]);
        sim.submit("f2", vec![long_filler("second")]);
        sim.run_for(8_000);
        sim.disturbs
            .insert(("first".to_owned(), "fragile".to_owned()));
        sim.submit("f3", vec![long_filler("third")]);
        sim.run_for(12_000);
        assert!(
            sim.longest_interference_ms < 4_000,
            "a service was over its target for {} ms without a break",
            sim.longest_interference_ms
        );
    }

    /// Guards against halted fillers that are let go by the next filler that starts. The model believes
    /// that the fillers are harmless, and a new one starts every 200 ms.
    #[test]
    fn fillers_that_keep_starting_do_not_end_a_halt() {
        let mut sim = Sim::new(1);
        sim.disturbs
            .insert(("loud".to_owned(), "fragile".to_owned()));
        let service = StepSpec {
            tasks: 1,
            ..service("fragile")
        };
        sim.submit("s1", vec![service]);
        sim.run_for(400);
        let learned = r#"{"pressures":[["loud","fragile",0.0,0.0]]}"#;
        let learned = interference::PressureModel::parse(learned).unwrap();
        sim.scheduler.set_learned(learned);
        for number in 0..60 {
            let short = StepSpec {
                tasks: 1,
                estimate_ms: 400,
                ..filler("loud")
            };
            sim.submit(&format!("loud{number}"), vec![short]);
            sim.run_for(200);
        }
        assert_eq!(sim.paced_in_halts, 0, "fillers were let go during a halt");
        assert!(
            sim.longest_interference_ms < 4_000,
            "a service was over its target for {} ms without a break",
            sim.longest_interference_ms
        );
    }

    /// Guards against a flow that waits long for another worker although the pool is mostly free.
    /// The filler is known to disturb the service on the only worker.
    #[test]
    fn an_idle_flow_starts_within_three_seconds_while_the_pool_is_mostly_free() {
        let mut sim = Sim::new(1);
        let service = StepSpec {
            tasks: 1,
            ..service("fragile")
        };
        sim.submit("s1", vec![service]);
        sim.run_for(400);
        let learned = r#"{"pressures":[["loud","fragile",40.0,0.1]]}"#;
        let learned = interference::PressureModel::parse(learned).unwrap();
        sim.scheduler.set_learned(learned);
        let job = sim.submit("loud", vec![filler("loud")]);
        sim.run_for(3_000);
        assert!(
            sim.running(&job) > 0 || sim.completed() > 0,
            "the flow is still queued"
        );
    }

    /// Guards against a flow whose last tasks crawl beside a service while another worker is free. The
    /// fillers begin to disturb the service once both run, and can then work at a fifth of their pace at most;
    /// the other worker comes back later.
    #[test]
    fn starved_fillers_move_to_a_worker_that_bears_them() {
        let mut sim = Sim::new(2);
        sim.submit("s1", vec![service("fragile")]);
        sim.run_for(400);
        sim.workers.get_mut(&"w1".into()).unwrap().mode = Mode::Partitioned;
        sim.run_for(200);
        let long_filler = StepSpec {
            estimate_ms: 8_000,
            ..filler("loud")
        };
        let job = sim.submit("loud", vec![long_filler]);
        sim.run_for(600);
        sim.disturbs
            .insert(("loud".to_owned(), "fragile".to_owned()));
        sim.run_for(3_400);
        assert_eq!(sim.running(&job), 2, "both run beside the service");
        sim.workers.get_mut(&"w1".into()).unwrap().mode = Mode::Healthy;
        sim.run_for(14_000);
        assert_eq!(sim.completed(), 1, "{:?}", sim.ended_ms);
    }

    /// Guards against a flow that never completes because its filler disturbs the service on the
    /// only worker.
    #[test]
    fn a_disturbing_filler_completes_on_the_only_worker() {
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

/// Guards against flows that are stuck after an outage of the table. Running tasks continue during
/// the outage; all flows must complete within 1,500 ms once the table is available again.
mod table_outage {
    use crate::common::{Sim, step};

    #[test]
    fn flows_complete_within_1500_ms_after_the_outage() {
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
        assert!(sim.run_until_ended(1_500), "{:?}", sim.ended_ms);
        assert_eq!(sim.completed(), 8);
    }
}

/// Guards against lost or duplicate runs when the scheduler and half of the workers are lost at
/// once.
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
        assert!(sim.run_until_ended(6_000), "{:?}", sim.ended_ms);
        assert_eq!(sim.completed(), 12);
    }
}
