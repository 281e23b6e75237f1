//! Routes within a service, by which run times are learnt.

use std::hash::{Hash, Hasher};

/// Path segments that tell routes apart.
const SEGMENTS: usize = 2;
/// Most routes for which run times are learnt, over all services.
const ROUTES: u64 = 4_096;

/// A method and the head of a path, hashed into a bounded number of routes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Route(u16);

impl Route {
    /// The route of a request.
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
            .take(SEGMENTS)
        {
            segment.hash(&mut hasher);
        }
        Self((hasher.finish() % ROUTES) as u16)
    }
}
