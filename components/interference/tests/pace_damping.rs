//! Rules by which the pace of one filler is lowered and raised.

use interference::{CurrentPace, KeepReason, PaceDamping, PaceDecision, PaceReason};
use proptest::prelude::*;

/// Time between two reports, in milliseconds.
const REPORT_MS: u64 = 400;

/// A filler whose orders are carried out at once.
struct Filler {
    damping: PaceDamping,
    percent: u32,
    now_ms: u64,
}

impl Filler {
    fn at(percent: u32) -> Self {
        Self {
            damping: PaceDamping::default(),
            percent,
            now_ms: 10_000,
        }
    }

    fn decide(&mut self, planned_percent: u32) -> PaceDecision {
        let current = CurrentPace {
            percent: self.percent,
            is_known: true,
        };
        let decision = self.damping.decide(self.now_ms, current, planned_percent);
        if let PaceDecision::Order(percent, _) = decision {
            self.percent = percent;
        }
        decision
    }

    /// Decides upon the next report.
    fn report(&mut self, planned_percent: u32) -> PaceDecision {
        self.now_ms += REPORT_MS;
        self.decide(planned_percent)
    }
}

fn keep(reason: KeepReason) -> PaceDecision {
    PaceDecision::Keep(reason)
}

/// Guards against a delay of a pace that has to fall, and against a fall in steps.
#[test]
fn a_much_lower_pace_is_ordered_at_once_and_whole() {
    let mut filler = Filler::at(100);
    let lower = |percent| PaceDecision::Order(percent, PaceReason::PlanLower);
    assert_eq!(filler.decide(80), lower(80));
    assert_eq!(filler.decide(20), lower(20));
    assert_eq!(filler.decide(0), lower(0));
}

/// Guards against a halt that waits because the pace is low already.
#[test]
fn a_halt_is_ordered_at_once_from_any_pace() {
    for percent in 1..=100 {
        let halt = PaceDecision::Order(0, PaceReason::PlanLower);
        assert_eq!(Filler::at(percent).decide(0), halt, "from {percent} %");
    }
}

/// Guards against orders that follow the noise of the plan downwards, and against an excess of the pace
/// that lasts.
#[test]
fn a_slightly_lower_pace_is_ordered_after_three_reports() {
    let mut filler = Filler::at(60);
    assert_eq!(filler.report(45), keep(KeepReason::TooFewReports));
    assert_eq!(filler.report(45), keep(KeepReason::TooFewReports));
    assert_eq!(filler.report(75), keep(KeepReason::TooFewReports));
    assert_eq!(filler.report(45), keep(KeepReason::TooFewReports));
    assert_eq!(filler.report(45), keep(KeepReason::TooFewReports));
    assert_eq!(filler.report(55), keep(KeepReason::AsPlanned));
    assert_eq!(filler.report(45), keep(KeepReason::TooFewReports));
    assert_eq!(filler.report(46), keep(KeepReason::TooFewReports));
    let slightly = PaceDecision::Order(44, PaceReason::PlanSlightlyLower);
    assert_eq!(filler.report(44), slightly);
}

/// Guards against a raise by the noise of one report, and beyond what each of the reports allowed.
#[test]
fn a_pace_is_raised_after_three_reports_to_the_least_that_they_allow() {
    let mut filler = Filler::at(40);
    assert_eq!(filler.report(90), keep(KeepReason::TooFewReports));
    assert_eq!(filler.report(60), keep(KeepReason::TooFewReports));
    let raise = PaceDecision::Order(60, PaceReason::PlanHigher);
    assert_eq!(filler.report(70), raise);
}

/// Guards against reports that are counted although they don't follow each other.
#[test]
fn a_report_that_allows_no_higher_pace_starts_the_count_anew() {
    let mut filler = Filler::at(40);
    filler.report(80);
    filler.report(80);
    assert_eq!(filler.report(35), keep(KeepReason::AsPlanned));
    assert_eq!(filler.report(80), keep(KeepReason::TooFewReports));
    assert_eq!(filler.report(80), keep(KeepReason::TooFewReports));
    assert!(matches!(filler.report(80), PaceDecision::Order(80, _)));
}

/// Guards against one measurement that counts several times, as workers report more often than they
/// measure, and the start of a filler sets the paces of the others too.
#[test]
fn decisions_that_follow_each_other_sooner_count_as_one_report() {
    let mut filler = Filler::at(40);
    for _ in 0..8 {
        filler.now_ms += 100;
        assert_eq!(filler.decide(80), keep(KeepReason::TooFewReports));
    }
    filler.now_ms += 100;
    assert!(matches!(filler.decide(80), PaceDecision::Order(80, _)));
}

/// Guards against a raise of a halted filler to the full pace at once.
#[test]
fn a_pace_is_raised_by_half_of_the_full_pace_at_most() {
    let mut filler = Filler::at(0);
    for _ in 0..3 {
        filler.report(100);
    }
    assert_eq!(filler.percent, 50);
    for _ in 0..3 {
        filler.report(100);
    }
    assert_eq!(filler.percent, 100);
}

/// Guards against a pace that swings between two values.
#[test]
fn a_pace_is_not_raised_to_where_it_was_lowered_shortly_before() {
    let mut filler = Filler::at(80);
    filler.report(40);
    let lowered_ms = filler.now_ms;
    for _ in 0..3 {
        filler.report(80);
    }
    assert_eq!(filler.percent, 70, "10 % below the band");
    while filler.now_ms + REPORT_MS < lowered_ms + 2_000 {
        let decision = filler.report(90);
        assert!(
            matches!(decision, PaceDecision::Keep(_)),
            "{decision:?} {} ms later",
            filler.now_ms - lowered_ms
        );
    }
    for _ in 0..3 {
        filler.report(90);
    }
    assert_eq!(filler.percent, 90, "after the time");
}

/// Guards against a filler that goes on at a pace that nobody knows.
#[test]
fn an_unknown_pace_is_ordered_anew_at_once() {
    for planned_percent in [0, 50, 100] {
        let current = CurrentPace {
            percent: 50,
            is_known: false,
        };
        let decision = PaceDamping::default().decide(1_000, current, planned_percent);
        let order = PaceDecision::Order(planned_percent, PaceReason::Unknown);
        assert_eq!(decision, order);
    }
}

proptest! {
    /// Guards against an order above the plan, and against a pace that stays much above it.
    #[test]
    fn no_pace_is_ordered_above_the_plan_or_left_much_above_it(
        start in 0_u32..=100,
        plans in prop::collection::vec((0_u32..=100, 50_u64..1_000), 1..60),
    ) {
        let mut filler = Filler::at(start);
        for (planned_percent, span_ms) in plans {
            filler.now_ms += span_ms;
            if let PaceDecision::Order(percent, _) = filler.decide(planned_percent) {
                prop_assert!(percent <= planned_percent);
            }
            prop_assert!(filler.percent < planned_percent + 20 || planned_percent == filler.percent);
        }
    }
}
