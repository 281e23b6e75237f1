//! Learnt run times of routes.

use crate::{Class, Route};
use utils::{Ewma, Map};

/// Samples that an average remembers.
const SPAN: f64 = 16.0;
/// Share of long runs from which a route counts as long.
const LONG_SHARE: f64 = 0.5;

/// Learnt run times of one route.
#[derive(Debug, Clone, Copy)]
struct RouteTimes {
    /// Mean run time.
    mean_ms: Ewma,
    /// Share of runs that outran the threshold.
    long_share: Ewma,
}

/// Learnt run times by route.
#[derive(Debug, Default)]
pub struct RunTimes {
    /// Times of each route that ran.
    by_route: Map<Route, RouteTimes>,
}

impl RunTimes {
    /// Adds the run time of an ended request.
    ///
    /// ```
    /// use routing::{Class, Route, RunTimes};
    /// let mut times = RunTimes::default();
    /// let route = Route::of("s", "GET", "/report");
    /// times.add(route, 900, 500);
    /// assert_eq!(times.class(route), Class::Long);
    /// ```
    pub fn add(&mut self, route: Route, run_ms: u64, long_threshold_ms: u64) {
        let unknown = RouteTimes {
            mean_ms: Ewma::new(SPAN),
            long_share: Ewma::new(SPAN),
        };
        let times = self.by_route.entry(route).or_insert(unknown);
        times.mean_ms.add(run_ms as f64);
        times.long_share.add(if run_ms >= long_threshold_ms {
            1.0
        } else {
            0.0
        });
    }

    /// Class of the next request on a route; short when nothing is known.
    ///
    /// ```
    /// use routing::{Class, Route, RunTimes};
    /// assert_eq!(RunTimes::default().class(Route::of("s", "GET", "/")), Class::Short);
    /// ```
    pub fn class(&self, route: Route) -> Class {
        let share = self
            .by_route
            .get(&route)
            .and_then(|times| times.long_share.get());
        if share.is_some_and(|share| share >= LONG_SHARE) {
            Class::Long
        } else {
            Class::Short
        }
    }

    /// Expected run time of a route, in milliseconds; 0 when nothing is known.
    ///
    /// ```
    /// use routing::{Route, RunTimes};
    /// assert_eq!(RunTimes::default().expected_ms(Route::of("s", "GET", "/")), 0);
    /// ```
    pub fn expected_ms(&self, route: Route) -> u64 {
        self.by_route
            .get(&route)
            .and_then(|times| times.mean_ms.get())
            .unwrap_or(0.0) as u64
    }
}
