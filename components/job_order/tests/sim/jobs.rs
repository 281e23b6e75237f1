//! Fixed lists of jobs of two classes.

/// Processors of the pool, in thousandths.
pub const CORES_MILLI: u64 = 400_000;
/// Time over which jobs arrive, in milliseconds.
const SPAN_MS: u64 = 90_000;
/// Share of the room that the urgent class asks for at a load of 100 %, in percent.
const URGENT_PERCENT: u64 = 15;

/// Consecutive tasks of a job that are alike.
#[derive(Debug, Clone, Copy)]
pub struct Step {
    pub tasks: u32,
    pub need_milli: u64,
    /// Actual run time of a task, in milliseconds.
    pub run_ms: u64,
    pub declared_ms: u64,
}

/// A job whose steps run one after the other.
#[derive(Debug, Clone)]
pub struct Job {
    pub priority: u32,
    pub arrived_ms: u64,
    pub objective_ms: u64,
    pub steps: Vec<Step>,
}

impl Step {
    /// Work of its tasks for a run time, in core-milliseconds.
    pub fn work(&self, run_ms: u64) -> u64 {
        u64::from(self.tasks) * self.need_milli * run_ms / 1_000
    }
}

impl Job {
    pub fn due_ms(&self) -> u64 {
        self.arrived_ms + self.objective_ms
    }

    /// Time after which its end is worth nothing, in milliseconds.
    pub fn last_ms(&self) -> u64 {
        self.arrived_ms + 3 * self.objective_ms
    }

    /// Actual work, in core-milliseconds.
    pub fn work(&self) -> u64 {
        self.steps.iter().map(|step| step.work(step.run_ms)).sum()
    }
}

/// A class of jobs; values are means.
struct Class {
    priority: u32,
    tasks: u64,
    max_steps: u64,
    run_ms: u64,
    need_milli: u64,
    target_ms: u64,
    stretch_percent: u64,
}

const URGENT: Class = Class {
    priority: 0,
    tasks: 10,
    max_steps: 2,
    run_ms: 1_000,
    need_milli: 550,
    target_ms: 250,
    stretch_percent: 150,
};
const BATCH: Class = Class {
    priority: 2,
    tasks: 20,
    max_steps: 3,
    run_ms: 2_700,
    need_milli: 3_500,
    target_ms: 1_000,
    stretch_percent: 200,
};

/// Linear congruential generator (Knuth's MMIX constants), so that the lists never change.
struct Numbers(u64);

impl Numbers {
    /// A number from `least` to `most`.
    fn within(&mut self, least: u64, most: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005);
        self.0 = self.0.wrapping_add(1_442_695_040_888_963_407);
        least + (self.0 >> 33) % (most - least + 1)
    }

    /// A mean value scaled by a factor from 0.3 to 3, larger factors being rarer.
    fn scattered(&mut self, mean: u64) -> u64 {
        let percent = match self.within(0, 9) {
            0..=3 => self.within(30, 60),
            4..=7 => self.within(60, 130),
            8 => self.within(130, 200),
            _ => self.within(200, 300),
        };
        (mean * percent / 100).max(1)
    }
}

/// Jobs that arrive within [`SPAN_MS`] and ask for `load_percent` of the room, in the order of their
/// arrival. Declared run times are wrong by up to `error_percent`.
pub fn fixed_jobs(seed: u64, load_percent: u64, error_percent: u64) -> Vec<Job> {
    let mut numbers = Numbers(seed);
    let mut jobs = Vec::new();
    let total = CORES_MILLI * SPAN_MS / 1_000 * load_percent / 100;
    let urgent = total * URGENT_PERCENT / 100;
    for (class, most) in [(&URGENT, urgent), (&BATCH, total - urgent)] {
        let mut work = 0;
        while work < most {
            let job = class.job(&mut numbers, error_percent);
            work += job.work();
            jobs.push(job);
        }
    }
    jobs.sort_by_key(|job| job.arrived_ms);
    jobs
}

impl Class {
    fn job(&self, numbers: &mut Numbers, error_percent: u64) -> Job {
        let count = numbers.within(1, self.max_steps);
        let steps: Vec<Step> = (0..count)
            .map(|_| {
                let run_ms = numbers.scattered(self.run_ms);
                let declared = numbers.within(100 - error_percent, 100 + error_percent);
                Step {
                    tasks: numbers.scattered(self.tasks) as u32,
                    need_milli: numbers.scattered(self.need_milli),
                    run_ms,
                    declared_ms: (run_ms * declared / 100).max(1),
                }
            })
            .collect();
        let path_ms: u64 = steps.iter().map(|step| step.run_ms).sum();
        Job {
            priority: self.priority,
            arrived_ms: numbers.within(0, SPAN_MS),
            objective_ms: path_ms * self.stretch_percent / 100 + self.target_ms,
            steps,
        }
    }
}
