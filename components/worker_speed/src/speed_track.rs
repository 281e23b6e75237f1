//! Speed of one worker.

/// Number of runs whose samples are kept. With more, the fast runs from before hide a worker that has become
/// slow for too long; with fewer, chance makes long tasks a majority.
const MAX_SAMPLES: usize = 8;
/// Time for which a sample counts, in milliseconds.
const WINDOW_MS: u64 = 20_000;
/// Least weight of a job's samples together with which the job counts.
const MIN_JOB_WEIGHT: f64 = 0.5;
/// Speed up to which a job's runs count as slow. With 0.5, estimates that are off by up to 0.6 made a normal worker
/// slow every 45 s in a fleet of 48.
const SLOW_SPEED: f64 = 0.4;
/// Number of jobs that tell a slow worker. One in 30 tasks takes several times as long as the others, so that
/// two at once are too frequent in a fleet.
const MIN_JOBS: usize = 3;
/// Share of the jobs that must be slow.
const SLOW_JOB_SHARE: f64 = 0.75;
/// Speed from which the newest runs on a slow worker count as those of one that has recovered.
const RECOVERED_SPEED: f64 = 0.65;
/// Number of these runs.
const RECOVERED_RUNS: usize = 2;
/// Time without samples after which a slow worker gets few runs again, to learn whether it has
/// recovered, in milliseconds. Each such run may miss its target.
const RETRY_AFTER_MS: u64 = 20_000;
/// Time for which a worker that has recovered gets few runs, in milliseconds.
const RECOVERY_MS: u64 = 5_000;
/// Time in which it may get one run more, in milliseconds.
const RECOVERY_STEP_MS: u64 = 500;
/// Range of the speed of a run.
const SPEEDS: (f64, f64) = (0.02, 4.0);

/// What one run says about the speed of its worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunSample {
    /// Number that tells the runs' jobs apart.
    pub job: u64,
    /// Number that tells the runs apart; a later sample of a run replaces the former.
    pub run: u64,
    /// Time that this part of the run was expected to take on a worker of normal speed, in
    /// milliseconds.
    pub expected_ms: f64,
    /// Time that it took, in milliseconds.
    pub spent_ms: f64,
    /// Trust in the expectation, from 0 to 1.
    pub weight: f64,
}

impl RunSample {
    /// Speed of the worker by this run.
    fn speed(&self) -> f64 {
        (self.expected_ms / self.spent_ms.max(1.0)).clamp(SPEEDS.0, SPEEDS.1)
    }
}

/// How a worker stands.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Standing {
    /// It is not known as slow.
    #[default]
    Normal,
    /// It is slow.
    Slow {
        /// Its speed; 1 is normal.
        speed: f64,
    },
    /// It was slow, and gets few runs at first.
    Recovering {
        /// Since when, in milliseconds.
        since_ms: u64,
    },
}

/// A change of a worker's standing, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SpeedChange {
    /// The worker is slow.
    Slow {
        /// Its speed; 1 is normal.
        speed: f64,
        /// Number of jobs whose runs showed it.
        jobs: usize,
    },
    /// The worker has recovered, or nothing was heard of it for long.
    Recovered,
}

/// A sample with its time.
#[derive(Debug, Clone, Copy, PartialEq)]
struct TimedSample {
    at_ms: u64,
    sample: RunSample,
}

/// Speed of a job's runs on a worker.
#[derive(Debug, Clone, Copy, PartialEq)]
struct JobSpeed {
    job: u64,
    /// Weighted sum of the logarithms of the speeds.
    sum: f64,
    weight: f64,
}

impl JobSpeed {
    fn speed(&self) -> f64 {
        (self.sum / self.weight).exp()
    }
}

/// Speed of one worker by its newest runs.
///
/// ```
/// use worker_speed::{RunSample, SpeedTrack, Standing};
/// let mut track = SpeedTrack::default();
/// for job in 0..3 {
///     let sample = RunSample { job, run: job, expected_ms: 200.0, spent_ms: 1_000.0, weight: 1.0 };
///     track.observe(1_000 + job, sample);
/// }
/// assert!(matches!(track.standing(), Standing::Slow { speed } if (0.19..0.21).contains(&speed)));
/// assert!((0.19..0.21).contains(&track.speed()));
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SpeedTrack {
    /// Newest samples, one of each run, oldest first.
    samples: Vec<TimedSample>,
    standing: Standing,
    /// When the last sample was added, in milliseconds.
    sampled_ms: u64,
}

impl SpeedTrack {
    /// Adds a sample. Returns a change of the standing. A sample that is older than the last is
    /// ignored.
    ///
    /// ```
    /// use worker_speed::{RunSample, SpeedTrack};
    /// let sample = RunSample { job: 1, run: 1, expected_ms: 9.0, spent_ms: 90.0, weight: 1.0 };
    /// assert_eq!(SpeedTrack::default().observe(0, sample), None);
    /// ```
    pub fn observe(&mut self, now_ms: u64, sample: RunSample) -> Option<SpeedChange> {
        let is_valid = sample.weight > 0.0
            && [sample.weight, sample.expected_ms, sample.spent_ms]
                .iter()
                .all(|value| value.is_finite());
        if now_ms < self.sampled_ms || !is_valid {
            return None;
        }
        self.sampled_ms = now_ms;
        self.samples.retain(|other| {
            other.sample.run != sample.run && now_ms < other.at_ms.saturating_add(WINDOW_MS)
        });
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.remove(0);
        }
        self.samples.push(TimedSample {
            at_ms: now_ms,
            sample,
        });
        self.update(now_ms)
    }

    /// Lets time pass. Returns a change of the standing.
    ///
    /// ```
    /// assert_eq!(worker_speed::SpeedTrack::default().refresh(1_000), None);
    /// ```
    pub fn refresh(&mut self, now_ms: u64) -> Option<SpeedChange> {
        match self.standing {
            Standing::Normal => None,
            Standing::Slow { .. } => {
                let is_due = now_ms >= self.sampled_ms.saturating_add(RETRY_AFTER_MS);
                is_due.then(|| self.recover(now_ms))
            }
            Standing::Recovering { since_ms } => {
                if now_ms >= since_ms.saturating_add(RECOVERY_MS) && self.sampled_ms >= since_ms {
                    self.standing = Standing::Normal;
                }
                None
            }
        }
    }

    /// How the worker stands.
    ///
    /// ```
    /// use worker_speed::{SpeedTrack, Standing};
    /// assert_eq!(SpeedTrack::default().standing(), Standing::Normal);
    /// ```
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// Speed of the worker; 1 is normal, also of a worker that is not known as slow.
    ///
    /// ```
    /// assert_eq!(worker_speed::SpeedTrack::default().speed(), 1.0);
    /// ```
    pub fn speed(&self) -> f64 {
        self.slow_speed().unwrap_or(1.0)
    }

    /// Speed of the worker if it is slow, else `None`.
    ///
    /// ```
    /// assert_eq!(worker_speed::SpeedTrack::default().slow_speed(), None);
    /// ```
    pub fn slow_speed(&self) -> Option<f64> {
        match self.standing {
            Standing::Slow { speed } => Some(speed),
            Standing::Normal | Standing::Recovering { .. } => None,
        }
    }

    /// Number of recent runs that the worker may have while others are preferred: few while it
    /// recovers. `None` if there is no limit, 0 if others are always preferred.
    ///
    /// ```
    /// assert_eq!(worker_speed::SpeedTrack::default().allowance(0), None);
    /// ```
    pub fn allowance(&self, now_ms: u64) -> Option<u32> {
        match self.standing {
            Standing::Normal => None,
            Standing::Slow { .. } => Some(0),
            // Before its first run has shown anything, there is one at a time.
            Standing::Recovering { since_ms } if self.sampled_ms < since_ms => Some(1),
            Standing::Recovering { since_ms } => {
                let steps = now_ms.saturating_sub(since_ms) / RECOVERY_STEP_MS;
                Some(u32::try_from(steps).unwrap_or(u32::MAX).saturating_add(1))
            }
        }
    }

    /// Whether there are samples of enough jobs to tell whether the worker is slow.
    ///
    /// ```
    /// assert!(!worker_speed::SpeedTrack::default().is_judged(0));
    /// ```
    pub fn is_judged(&self, now_ms: u64) -> bool {
        self.job_speeds(now_ms).len() >= MIN_JOBS
    }

    /// Changes the standing by the present samples.
    fn update(&mut self, now_ms: u64) -> Option<SpeedChange> {
        if let Standing::Slow { .. } = self.standing
            && self.has_recovered()
        {
            return Some(self.recover(now_ms));
        }
        let was_slow = matches!(self.standing, Standing::Slow { .. });
        let (speed, jobs) = self.measured_slow_speed(now_ms)?;
        self.standing = Standing::Slow { speed };
        (!was_slow).then_some(SpeedChange::Slow { speed, jobs })
    }

    /// Whether the newest runs were fast.
    fn has_recovered(&self) -> bool {
        let newest = self.samples.iter().rev().take(RECOVERED_RUNS);
        let fast = newest.filter(|timed| timed.sample.speed() >= RECOVERED_SPEED);
        fast.count() == RECOVERED_RUNS
    }

    /// Begins the recovery. What was learned before does not count any more.
    fn recover(&mut self, now_ms: u64) -> SpeedChange {
        self.samples
            .retain(|timed| timed.sample.speed() >= RECOVERED_SPEED);
        self.standing = Standing::Recovering { since_ms: now_ms };
        SpeedChange::Recovered
    }

    /// Speed of the worker and the number of jobs that show it, if it is slow.
    fn measured_slow_speed(&self, now_ms: u64) -> Option<(f64, usize)> {
        let jobs = self.job_speeds(now_ms);
        let mut speeds: Vec<f64> = jobs.iter().map(JobSpeed::speed).collect();
        speeds.sort_by(f64::total_cmp);
        let jobs = speeds.len();
        let slow = speeds.iter().filter(|speed| **speed <= SLOW_SPEED).count();
        let is_slow = jobs >= MIN_JOBS && slow as f64 >= jobs as f64 * SLOW_JOB_SHARE;
        let median = *speeds.get(jobs / 2)?;
        is_slow.then_some((median.min(1.0), jobs))
    }

    /// Speeds by job, of jobs with enough weight.
    fn job_speeds(&self, now_ms: u64) -> Vec<JobSpeed> {
        let mut jobs: Vec<JobSpeed> = Vec::new();
        let recent = self.samples.iter();
        for timed in recent.filter(|timed| now_ms < timed.at_ms.saturating_add(WINDOW_MS)) {
            let RunSample { job, weight, .. } = timed.sample;
            let sum = timed.sample.speed().ln() * weight;
            match jobs.iter_mut().find(|other| other.job == job) {
                Some(other) => {
                    other.sum += sum;
                    other.weight += weight;
                }
                None => jobs.push(JobSpeed { job, sum, weight }),
            }
        }
        jobs.retain(|job| job.weight >= MIN_JOB_WEIGHT);
        jobs
    }
}
