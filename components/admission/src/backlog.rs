//! Work that a scheduler has not done yet.

use serde::{Deserialize, Serialize};

/// Number of classes of work by the time until it is due.
pub const DUE_CLASSES: usize = 12;
/// Upper end of the first of these classes, in milliseconds; each further one ends at twice the time.
const FIRST_DUE_MS: u64 = 500;
/// Time over which the processors for fillers are averaged, in milliseconds; several run times of the tasks that
/// take them.
const SPARE_MEAN_MS: f64 = 10_000.0;
/// Most priorities of one kind of work that are told apart. Work beyond them is left out, which can only
/// lead to acceptance.
const MAX_PRIORITIES: usize = 64;
/// Most pools that are told apart, as for [`MAX_PRIORITIES`].
const MAX_POOLS: usize = 256;

/// Work that a scheduler has not done yet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backlog {
    /// When it was measured, in milliseconds, by the clock of the process that uses it.
    pub measured_ms: u64,
    /// The pools, each with its own processors and work.
    pub pools: Vec<PoolBacklog>,
}

/// Work of one pool.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolBacklog {
    /// Name of the pool.
    pub pool: String,
    /// Work of tasks that reserve processors.
    pub ordinary: KindBacklog,
    /// Work of fillers, and the processors that others are expected to leave unused.
    pub fillers: KindBacklog,
}

/// Work of one kind: of ordinary tasks, or of fillers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindBacklog {
    /// Processors that work of this kind can use, in thousandths; 0 if they are not known.
    pub cores_milli: u64,
    /// Most processors that no work of this kind uses now on one worker, in thousandths.
    pub largest_free_milli: u64,
    /// Work by priority, in no particular order.
    pub waiting: Vec<PriorityBacklog>,
}

/// Work of one priority.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PriorityBacklog {
    /// Priority of its queues; 0 is the most urgent.
    pub priority: u32,
    /// Work that runs in progress have left, in core-milliseconds.
    pub running: u64,
    /// Work of tasks that do not run, in core-milliseconds, by the time until their jobs are due.
    pub queued: [u64; DUE_CLASSES],
}

impl Backlog {
    /// Work of a pool, which is added if it is new; `None` beyond the most pools that are told apart.
    ///
    /// ```
    /// let mut backlog = admission::Backlog::default();
    /// backlog.pool_mut("a").unwrap().ordinary.cores_milli = 2_000;
    /// assert_eq!(backlog.pool("a").unwrap().ordinary.cores_milli, 2_000);
    /// ```
    pub fn pool_mut(&mut self, name: &str) -> Option<&mut PoolBacklog> {
        let known = self.pools.iter().position(|pool| pool.pool == name);
        let index = match known {
            Some(index) => index,
            None if self.pools.len() >= MAX_POOLS => return None,
            None => {
                self.pools.push(PoolBacklog {
                    pool: name.to_owned(),
                    ..PoolBacklog::default()
                });
                self.pools.len() - 1
            }
        };
        self.pools.get_mut(index)
    }

    /// Replaces the processors for fillers by their mean over the last [`SPARE_MEAN_MS`], given the backlog
    /// before. What is spare varies within seconds with the ordinary tasks that run, and a filler that
    /// waits gets the mean.
    ///
    /// ```
    /// let mut before = admission::Backlog::default();
    /// before.pool_mut("a").unwrap().fillers.cores_milli = 4_000;
    /// let mut now = admission::Backlog { measured_ms: 250, ..Default::default() };
    /// now.pool_mut("a").unwrap().fillers.cores_milli = 0;
    /// now.average_spare(&before);
    /// assert!((3_890..3_910).contains(&now.pool("a").unwrap().fillers.cores_milli));
    /// ```
    pub fn average_spare(&mut self, before: &Self) {
        let passed_ms = self.measured_ms.saturating_sub(before.measured_ms) as f64;
        let weight = (-passed_ms / SPARE_MEAN_MS).exp();
        for pool in &mut self.pools {
            let known = before.pool(&pool.pool).map(|old| old.fillers.cores_milli);
            if let Some(old) = known.filter(|old| *old > 0) {
                let now = pool.fillers.cores_milli as f64;
                let mean = now + (old as f64 - now) * weight;
                pool.fillers.cores_milli = mean as u64;
            }
        }
    }

    /// Work of a pool, or `None` if it is not known.
    ///
    /// ```
    /// assert!(admission::Backlog::default().pool("a").is_none());
    /// ```
    pub fn pool(&self, name: &str) -> Option<&PoolBacklog> {
        self.pools.iter().find(|pool| pool.pool == name)
    }
}

impl KindBacklog {
    /// Adds work of runs in progress, in core-milliseconds.
    ///
    /// ```
    /// let mut kind = admission::KindBacklog { cores_milli: 1_000, ..Default::default() };
    /// kind.add_running(0, 300);
    /// assert_eq!(kind.wait_ms(0, 1_000), Some(300));
    /// ```
    pub fn add_running(&mut self, priority: u32, work: u64) {
        if let Some(entry) = self.entry(priority) {
            entry.running = entry.running.saturating_add(work);
        }
    }

    /// Adds work of tasks that do not run, of a job that is due after `due_in_ms`, in core-milliseconds.
    ///
    /// ```
    /// let mut kind = admission::KindBacklog { cores_milli: 1_000, ..Default::default() };
    /// kind.add_queued(0, 400, 900);
    /// assert_eq!(kind.wait_ms(0, 1_000), Some(900));
    /// ```
    pub fn add_queued(&mut self, priority: u32, due_in_ms: u64, work: u64) {
        if let Some(entry) = self.entry(priority) {
            let class = &mut entry.queued[due_class(due_in_ms)];
            *class = class.saturating_add(work);
        }
    }

    /// Time after which the work ahead of a job is done, of this priority and due after `due_in_ms`, in
    /// milliseconds; `None` if the processors are not known. Ahead of it are the more urgent
    /// priorities, and of its own what runs and what is due earlier.
    ///
    /// ```
    /// let mut kind = admission::KindBacklog { cores_milli: 2_000, ..Default::default() };
    /// kind.add_queued(1, 100, 900);
    /// kind.add_queued(1, 60_000, 5_000);
    /// assert_eq!(kind.wait_ms(1, 1_000), Some(450));
    /// assert_eq!(kind.wait_ms(0, 1_000), Some(0));
    /// ```
    pub fn wait_ms(&self, priority: u32, due_in_ms: u64) -> Option<u64> {
        let ahead = self.waiting.iter().map(|entry| {
            let queued = entry.queued_ahead(priority, due_in_ms);
            if entry.priority <= priority {
                queued.saturating_add(entry.running)
            } else {
                0
            }
        });
        self.time_for(ahead.fold(0, u64::saturating_add))
    }

    /// As [`KindBacklog::wait_ms`], for the tasks ahead of the job that do not run yet.
    ///
    /// ```
    /// let mut kind = admission::KindBacklog { cores_milli: 1_000, ..Default::default() };
    /// kind.add_running(0, 300);
    /// assert_eq!(kind.queued_ms(0, 1_000), Some(0));
    /// ```
    pub fn queued_ms(&self, priority: u32, due_in_ms: u64) -> Option<u64> {
        let entries = self.waiting.iter();
        let ahead = entries.map(|entry| entry.queued_ahead(priority, due_in_ms));
        self.time_for(ahead.fold(0, u64::saturating_add))
    }

    /// Time in which the processors do all work of this kind, in milliseconds; `None` if the processors
    /// are not known.
    ///
    /// ```
    /// let mut kind = admission::KindBacklog { cores_milli: 2_000, ..Default::default() };
    /// kind.add_running(3, 900);
    /// assert_eq!(kind.total_ms(), Some(450));
    /// ```
    pub fn total_ms(&self) -> Option<u64> {
        self.wait_ms(u32::MAX, u64::MAX)
    }

    fn time_for(&self, work: u64) -> Option<u64> {
        let milli_work = u128::from(work) * 1_000;
        let time_ms = milli_work.checked_div(u128::from(self.cores_milli))?;
        Some(u64::try_from(time_ms).unwrap_or(u64::MAX))
    }

    /// Entry of a priority, which is added if it is new; `None` beyond [`MAX_PRIORITIES`].
    fn entry(&mut self, priority: u32) -> Option<&mut PriorityBacklog> {
        let known = self.waiting.iter().position(|one| one.priority == priority);
        let index = match known {
            Some(index) => index,
            None if self.waiting.len() >= MAX_PRIORITIES => return None,
            None => {
                self.waiting.push(PriorityBacklog {
                    priority,
                    ..PriorityBacklog::default()
                });
                self.waiting.len() - 1
            }
        };
        self.waiting.get_mut(index)
    }
}

impl PriorityBacklog {
    /// Work of tasks that do not run and are ahead of a job, in core-milliseconds.
    fn queued_ahead(&self, priority: u32, due_in_ms: u64) -> u64 {
        if self.priority > priority {
            return 0;
        }
        let is_more_urgent = self.priority < priority;
        let classes = self.queued.iter().enumerate();
        let ahead = classes.map(|(class, work)| match is_more_urgent {
            true => *work,
            false => earlier_part(class, *work, due_in_ms),
        });
        ahead.fold(0, u64::saturating_add)
    }
}

/// Class of work that is due after `due_in_ms`.
fn due_class(due_in_ms: u64) -> usize {
    let ends = (0..DUE_CLASSES - 1).map(class_end_ms);
    ends.take_while(|end_ms| due_in_ms >= *end_ms).count()
}

/// Upper end of a class, in milliseconds; the last class has none.
fn class_end_ms(class: usize) -> u64 {
    FIRST_DUE_MS << class
}

/// Part of the work of a class that is due before `due_in_ms`, as if it were spread evenly over the class.
fn earlier_part(class: usize, work: u64, due_in_ms: u64) -> u64 {
    let begin_ms = match class {
        0 => 0,
        _ => class_end_ms(class - 1),
    };
    let span_ms = class_end_ms(class) - begin_ms;
    let before_ms = due_in_ms.saturating_sub(begin_ms).min(span_ms);
    let part = u128::from(work) * u128::from(before_ms) / u128::from(span_ms);
    u64::try_from(part).unwrap_or(u64::MAX)
}
