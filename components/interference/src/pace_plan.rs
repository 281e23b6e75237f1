//! Paces of the fillers on one worker.

/// What one latency-critical task leaves to the fillers beside it.
#[derive(Debug, Clone, PartialEq)]
pub struct PaceBudget {
    /// Margin that the fillers may use up together; not positive if there is none.
    pub slack: f64,
    /// Margin that each filler uses up at full pace, in the order of the fillers.
    pub pressures: Vec<f64>,
}

impl PaceBudget {
    /// Pressure at which the fillers' pressures are capped so that their sum fits into the slack;
    /// `None` if they all fit.
    fn cap(&self) -> Option<f64> {
        let total: f64 = self.pressures.iter().sum();
        if total <= self.slack {
            return None;
        }
        let mut rising = self.pressures.clone();
        rising.sort_by(f64::total_cmp);
        let mut left = self.slack.max(0.0);
        for (at, pressure) in rising.iter().enumerate() {
            let share = left / (rising.len() - at) as f64;
            if *pressure > share {
                return Some(share);
            }
            left -= pressure;
        }
        None
    }
}

/// Pace of each filler, from 0 to 1, so that no latency-critical task is pushed over its target.
///
/// Where the fillers need more than a task's slack, those that disturb it most are slowed first, down
/// to an equal influence of all that are slowed.
///
/// ```
/// use interference::{PaceBudget, plan_paces};
/// let budget = PaceBudget { slack: 0.5, pressures: vec![0.1, 0.8] };
/// assert_eq!(plan_paces(2, &[budget]), [1.0, 0.5]);
/// ```
pub fn plan_paces(fillers: usize, budgets: &[PaceBudget]) -> Vec<f64> {
    let mut paces = vec![1.0_f64; fillers];
    for budget in budgets {
        let Some(cap) = budget.cap() else {
            continue;
        };
        for (pace, pressure) in paces.iter_mut().zip(&budget.pressures) {
            if *pressure > cap {
                *pace = pace.min(cap / pressure);
            }
        }
    }
    paces
}
