//! Damping of the pace of one filler: lowered at once, raised late, in steps, and not to where it was
//! lowered shortly before.

/// Full pace, in percent.
const FULL_PERCENT: u32 = 100;
/// Difference from which a changed pace is ordered, in percent of the full pace; the margin that is kept
/// free of fillers covers less. A halt and the full pace are ordered at any difference.
const MIN_CHANGE_PERCENT: u32 = 10;
/// Number of consecutive reports that have to allow a higher pace before it is raised.
const RAISE_AFTER_REPORTS: u32 = 3;
/// Least time between two reports that are counted, in milliseconds. Latencies are measured over half a
/// second, so that reports that follow each other sooner repeat a measurement.
const REPORT_INTERVAL_MS: u64 = 350;
/// Greatest raise at once, in percent of the full pace.
const MAX_RAISE_PERCENT: u32 = 40;
/// Width of the band below a pace that was lowered, in percent of the full pace.
const BAND_PERCENT: u32 = 10;
/// Time for which the pace is not raised into such a band, in milliseconds.
const BAND_HOLD_MS: u64 = 3_000;

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
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PaceReason {
    /// The filler may work at another pace than the last ordered one.
    Unknown,
    /// The plan allows only a lower pace.
    PlanLower,
    /// The plan has allowed a higher pace for several reports.
    PlanHigher,
}

/// Why a pace stays as it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeepReason {
    /// The plan allows the present pace.
    AsPlanned,
    /// The planned pace is too close to the present one.
    SmallChange,
    /// Too few consecutive reports have allowed a higher pace.
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

/// Consecutive reports that allow a higher pace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Allowance {
    /// Number of them.
    reports: u32,
    /// Least pace that they allow, in percent.
    least_percent: u32,
    /// When the last one was counted, in milliseconds.
    counted_ms: u64,
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
    /// Reports that allow a higher pace; `None` after one that does not.
    allowance: Option<Allowance>,
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
        if planned_percent <= current.percent {
            self.allowance = None;
            return self.lower(now_ms, current.percent, planned_percent);
        }
        let allowed = self.count(now_ms, planned_percent);
        if allowed.reports < RAISE_AFTER_REPORTS {
            return PaceDecision::Keep(KeepReason::TooFewReports);
        }
        let raised = self.raised(now_ms, current.percent, allowed.least_percent);
        if let PaceDecision::Order(..) = raised {
            self.allowance = None;
        }
        raised
    }

    /// Lowers the pace to the planned one, unless it is too close.
    fn lower(&mut self, now_ms: u64, percent: u32, planned_percent: u32) -> PaceDecision {
        if planned_percent == percent {
            return PaceDecision::Keep(KeepReason::AsPlanned);
        }
        if planned_percent > 0 && percent - planned_percent < MIN_CHANGE_PERCENT {
            return PaceDecision::Keep(KeepReason::SmallChange);
        }
        self.lowering = Some(Lowering {
            from_percent: percent,
            at_ms: now_ms,
        });
        PaceDecision::Order(planned_percent, PaceReason::PlanLower)
    }

    /// Counts a report that allows a higher pace.
    fn count(&mut self, now_ms: u64, planned_percent: u32) -> Allowance {
        let allowance = self.allowance.get_or_insert(Allowance {
            reports: 1,
            least_percent: planned_percent,
            counted_ms: now_ms,
        });
        allowance.least_percent = allowance.least_percent.min(planned_percent);
        if now_ms >= allowance.counted_ms + REPORT_INTERVAL_MS {
            allowance.reports += 1;
            allowance.counted_ms = now_ms;
        }
        *allowance
    }

    /// Raises the pace by at most a step towards the allowed one and outside the band below a pace that
    /// was lowered shortly before.
    fn raised(&self, now_ms: u64, percent: u32, allowed_percent: u32) -> PaceDecision {
        let recent = self
            .lowering
            .filter(|lowering| now_ms < lowering.at_ms + BAND_HOLD_MS);
        let below_band = recent.map_or(FULL_PERCENT, |lowering| {
            lowering.from_percent.saturating_sub(BAND_PERCENT)
        });
        let target = allowed_percent.min(percent + MAX_RAISE_PERCENT);
        let target_outside = target.min(below_band);
        let is_change = |target: u32| {
            target == FULL_PERCENT && percent < FULL_PERCENT
                || target >= percent + MIN_CHANGE_PERCENT
        };
        if is_change(target_outside) {
            PaceDecision::Order(target_outside, PaceReason::PlanHigher)
        } else if is_change(target) {
            PaceDecision::Keep(KeepReason::LoweredShortlyBefore)
        } else {
            PaceDecision::Keep(KeepReason::SmallChange)
        }
    }
}
