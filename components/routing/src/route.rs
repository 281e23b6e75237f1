//! Routes within a service, the unit for which run times are recorded.

use std::hash::{Hash, Hasher};

/// Number of leading path segments that distinguish routes.
const PATH_SEGMENTS: usize = 2;
/// Number of hash buckets for the routes of all services; it bounds the memory for run times.
const ROUTE_BUCKETS: u64 = 4_096;

/// Hash of a service, a method and the first segments of a path.
///
/// The number of hash values is bounded, so different routes may share one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Route(u16);

impl Route {
    /// Returns the route of a request.
    ///
    /// ```
    /// use routing::Route;
    /// assert_eq!(Route::of("s", "GET", "/rooms/free/7"), Route::of("s", "GET", "/rooms/free/8"));
    /// ```
    pub fn of(service: &str, method: &str, path: &str) -> Self {
        let mut hasher = std::hash::DefaultHasher::new();
        service.hash(&mut hasher);
        method.hash(&mut hasher);
        for segment in path
            .split('/')
            .filter(|segment| !segment.is_empty())
            .take(PATH_SEGMENTS)
        {
            segment.hash(&mut hasher);
        }
        Self((hasher.finish() % ROUTE_BUCKETS) as u16)
    }
}
