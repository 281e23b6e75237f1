//! Damping of the pace of one filler: lowered at once, raised late, in steps, and not to where it was
//! lowered shortly before.

/// Full pace, in percent.
const FULL_PERCENT: u32 = 100;
/// Difference from which a changed pace is ordered, in percent of the full pace. The margin that is kept
/// free of fillers covers less. A halt and the full pace are ordered at any difference.
const MIN_CHANGE_PERCENT: u32 = 10;
/// Difference from which a pace is lowered at the first report, in percent of the full pace. With 10 % noise
/// of latencies the plan for an unchanged load swings by about as much.
const MIN_PROMPT_CHANGE_PERCENT: u32 = 20;
/// Number of consecutive reports that have to allow a higher pace before it is raised, or to ask for a
/// slightly lower one before it is lowered.
const CONSECUTIVE_REPORTS: usize = 3;
/// Least time between two reports that are counted, in milliseconds. Latencies are measured over half a
/// second, so that reports that follow each other sooner repeat a measurement.
const REPORT_INTERVAL_MS: u64 = 350;
/// Greatest raise at once, in percent of the full pace.
const MAX_RAISE_PERCENT: u32 = 50;
/// Width of the band below a pace that was lowered, in percent of the full pace.
const BAND_PERCENT: u32 = 10;
/// Time for which the pace is not raised into such a band, in milliseconds.
const BAND_HOLD_MS: u64 = 2_000;

/// Pace at which a filler works.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CurrentPace {
    /// Percentage of the full pace that was ordered last, or at which the run began.
    pub percent: u32,
    /// Whether the filler is known to work at it; an order may have been lost, and a former scheduler may
    /// have ordered another pace.
    pub is_known: bool,
}

/// Why a pace is ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum PaceReason {
    /// The filler may work at another pace than the last ordered one.
    Unknown,
    /// The plan allows only a much lower pace.
    PlanLower,
    /// The plan has allowed only a slightly lower pace for several reports.
    PlanSlightlyLower,
    /// The plan has allowed a higher pace for several reports.
    PlanHigher,
}

/// Why a pace stays as it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeepReason {
    /// The planned pace is the present one, or too close to it.
    AsPlanned,
    /// Too few consecutive reports ask for another pace.
    TooFewReports,
    /// The pace was lowered shortly before from little more than the present one.
    LoweredShortlyBefore,
}

/// What to do about the pace of a filler.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PaceDecision {
    /// Order this percentage of the full pace.
    Order(u32, PaceReason),
    /// Leave the pace as it is.
    Keep(KeepReason),
}

/// Latest consecutive reports that ask for a change in the same direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Streak {
    /// Paces that they allow, in percent, newest first; `None` for each that is missing.
    percents: [Option<u32>; CONSECUTIVE_REPORTS],
    /// When the newest one was counted, in milliseconds.
    counted_ms: u64,
}

impl Streak {
    /// Adds the pace that the plan allows by a report. Returns the least of the last ones, in percent;
    /// `None` if there are too few.
    fn add(&mut self, now_ms: u64, planned_percent: u32) -> Option<u32> {
        let is_new = self.percents[0].is_none();
        if is_new || now_ms >= self.counted_ms + REPORT_INTERVAL_MS {
            self.percents.rotate_right(1);
            self.percents[0] = Some(planned_percent);
            self.counted_ms = now_ms;
        }
        self.percents[0] = self.percents[0].map(|newest| newest.min(planned_percent));
        // A missing one is the least.
        self.percents.into_iter().min().flatten()
    }
}

/// A pace that was lowered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Lowering {
    /// Pace before it, in percent.
    from_percent: u32,
    /// When, in milliseconds.
    at_ms: u64,
}

/// What the damping remembers of one filler's pace; created anew with each run.
///
/// ```
/// use interference::{CurrentPace, PaceDamping, PaceDecision, PaceReason};
/// let mut damping = PaceDamping::default();
/// let pace = CurrentPace { percent: 100, is_known: true };
/// let lower = PaceDecision::Order(40, PaceReason::PlanLower);
/// assert_eq!(damping.decide(1_000, pace, 40), lower);
/// let pace = CurrentPace { percent: 40, is_known: true };
/// assert!(matches!(damping.decide(1_400, pace, 100), PaceDecision::Keep(_)));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PaceDamping {
    /// Reports that allow a higher pace, since the last one that does not.
    higher: Streak,
    /// Reports that ask for a lower pace, since the last one that does not.
    lower: Streak,
    /// Last time that the pace was lowered; `None` before the first.
    lowering: Option<Lowering>,
}

impl PaceDamping {
    /// Pace to order, in percent of the full pace, given the planned pace.
    ///
    /// ```
    /// use interference::{CurrentPace, KeepReason, PaceDamping, PaceDecision};
    /// let pace = CurrentPace { percent: 50, is_known: true };
    /// let decision = PaceDamping::default().decide(1_000, pace, 50);
    /// assert_eq!(decision, PaceDecision::Keep(KeepReason::AsPlanned));
    /// ```
    pub fn decide(
        &mut self,
        now_ms: u64,
        current: CurrentPace,
        planned_percent: u32,
    ) -> PaceDecision {
        if !current.is_known {
            *self = Self::default();
            return PaceDecision::Order(planned_percent, PaceReason::Unknown);
        }
        if planned_percent > current.percent {
            self.lower = Streak::default();
            self.raise(now_ms, current.percent, planned_percent)
        } else {
            self.higher = Streak::default();
            self.lower(now_ms, current.percent, planned_percent)
        }
    }

    /// Lowers the pace to the planned one: at once if that is much lower, after several reports if it is
    /// slightly lower.
    fn lower(&mut self, now_ms: u64, percent: u32, planned_percent: u32) -> PaceDecision {
        let difference = percent - planned_percent;
        let is_halt = planned_percent == 0 && percent > 0;
        if difference < MIN_CHANGE_PERCENT && !is_halt {
            self.lower = Streak::default();
            return PaceDecision::Keep(KeepReason::AsPlanned);
        }
        let is_lasting = self.lower.add(now_ms, planned_percent).is_some();
        let reason = if is_halt || difference >= MIN_PROMPT_CHANGE_PERCENT {
            PaceReason::PlanLower
        } else if is_lasting {
            PaceReason::PlanSlightlyLower
        } else {
            return PaceDecision::Keep(KeepReason::TooFewReports);
        };
        self.lower = Streak::default();
        self.lowering = Some(Lowering {
            from_percent: percent,
            at_ms: now_ms,
        });
        PaceDecision::Order(planned_percent, reason)
    }

    /// Raises the pace by at most a step towards what several reports allowed, and not into the band below
    /// a pace that was lowered shortly before.
    fn raise(&mut self, now_ms: u64, percent: u32, planned_percent: u32) -> PaceDecision {
        let Some(allowed_percent) = self.higher.add(now_ms, planned_percent) else {
            return PaceDecision::Keep(KeepReason::TooFewReports);
        };
        let recent = self
            .lowering
            .filter(|lowering| now_ms < lowering.at_ms + BAND_HOLD_MS);
        let below_band = recent.map_or(FULL_PERCENT, |lowering| {
            lowering.from_percent.saturating_sub(BAND_PERCENT)
        });
        let target = allowed_percent.min(percent + MAX_RAISE_PERCENT);
        let is_change = |target: u32| {
            target >= percent + MIN_CHANGE_PERCENT
                || target == FULL_PERCENT && percent < FULL_PERCENT
        };
        if !is_change(target) {
            return PaceDecision::Keep(KeepReason::AsPlanned);
        }
        let target = target.min(below_band);
        if !is_change(target) {
            return PaceDecision::Keep(KeepReason::LoweredShortlyBefore);
        }
        self.higher = Streak::default();
        PaceDecision::Order(target, PaceReason::PlanHigher)
    }
}
