//! Run-time statistics of routes.

use crate::{Class, Route};
use utils::{Ewma, Map};

/// Samples that a moving average covers.
const EWMA_SAMPLES: f64 = 16.0;
/// Share of long runs from which the requests of a route are classified as long.
const LONG_SHARE: f64 = 0.5;

/// Run-time statistics of one route.
#[derive(Debug, Clone, Copy)]
struct RouteTimes {
    /// Average run time, in milliseconds.
    mean_run_ms: Ewma,
    /// Share of runs that reached the long-request threshold, from 0 to 1.
    long_share: Ewma,
}

/// Run-time statistics by route, from which the class and run time of requests are estimated.
#[derive(Debug, Default)]
pub struct RunTimes {
    /// Statistics of each route with at least one ended request.
    by_route: Map<Route, RouteTimes>,
}

impl RunTimes {
    /// Records the run time of an ended request; it counts as long from `long_threshold_ms` on.
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
            mean_run_ms: Ewma::new(EWMA_SAMPLES),
            long_share: Ewma::new(EWMA_SAMPLES),
        };
        let times = self.by_route.entry(route).or_insert(unknown);
        times.mean_run_ms.add(run_ms as f64);
        times.long_share.add(if run_ms >= long_threshold_ms {
            1.0
        } else {
            0.0
        });
    }

    /// Estimates the class of the next request on a route; short if nothing is known.
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

    /// Expected run time of a route, in milliseconds; 0 if nothing is known.
    ///
    /// ```
    /// use routing::{Route, RunTimes};
    /// assert_eq!(RunTimes::default().expected_ms(Route::of("s", "GET", "/")), 0);
    /// ```
    pub fn expected_ms(&self, route: Route) -> u64 {
        self.by_route
            .get(&route)
            .and_then(|times| times.mean_run_ms.get())
            .unwrap_or(0.0) as u64
    }
}
