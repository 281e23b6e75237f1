//! Whether a task runs near its data, waits for a near place, or runs remotely.

/// A place near the data of a task, or near the other members of a gang.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NearPlace {
    /// Whether it is free now.
    pub free_now: bool,
    /// Time from now until it is expected to be free, in milliseconds; `None` if that is not known.
    pub expected_free_ms: Option<u64>,
}

/// What to do with a task that is slower away from a near place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Place it near.
    PlaceNear,
    /// Leave it queued, and decide again with each scheduling pass.
    Wait {
        /// When the wait ends at the latest, in milliseconds.
        until_ms: u64,
    },
    /// Place it elsewhere.
    PlaceRemote(Reason),
}

/// Why a task is not worth a wait, or not a longer one. The text form is shown by logs.
///
/// ```
/// assert_eq!(locality::Reason::WaitedLongEnough.to_string(), "waited-long-enough");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// No near worker accepts tasks.
    NoNearPlace,
    /// A remote run takes no longer.
    NotSlower,
    /// It is not known when a near place will be free.
    NoExpectedRelease,
    /// The nearest release is no sooner than the end of the time that a remote run adds.
    LaterThanRemote,
    /// The job would miss its objective by the wait, or misses it already.
    NoSlack,
    /// The task has waited for as long as a remote run adds, or would do so before a release.
    WaitedLongEnough,
}

/// Time that a remote run takes beyond a near one, in milliseconds.
///
/// ```
/// assert_eq!(locality::extra_ms(1_000, 1.5), 500);
/// assert_eq!(locality::extra_ms(1_000, 0.5), 0);
/// ```
pub fn extra_ms(run_ms: u64, remote_factor: f64) -> u64 {
    (run_ms as f64 * (remote_factor - 1.0).max(0.0)) as u64
}

/// Decides for a task that has been waiting since `waited_since_ms` (`None` if it does not wait yet) and
/// runs for `run_ms` at a near place. `slack_ms` is the time by which the job would end before its
/// objective if the task started near now.
///
/// ```
/// use locality::{NearPlace, Reason, Verdict, decide};
/// let near = [NearPlace { free_now: false, expected_free_ms: Some(300) }];
/// let wait = decide(5_000, None, &near, 1_000, 1.5, 10_000);
/// assert_eq!(wait, Verdict::Wait { until_ms: 5_500 });
/// let remote = decide(5_300, Some(5_000), &near, 1_000, 1.5, 9_700);
/// assert_eq!(remote, Verdict::PlaceRemote(Reason::WaitedLongEnough));
/// ```
pub fn decide(
    now_ms: u64,
    waited_since_ms: Option<u64>,
    near: &[NearPlace],
    run_ms: u64,
    remote_factor: f64,
    slack_ms: u64,
) -> Verdict {
    if near.iter().any(|place| place.free_now) {
        return Verdict::PlaceNear;
    }
    let extra_ms = extra_ms(run_ms, remote_factor);
    if near.is_empty() {
        return Verdict::PlaceRemote(Reason::NoNearPlace);
    }
    if extra_ms == 0 {
        return Verdict::PlaceRemote(Reason::NotSlower);
    }
    let expected = near.iter().filter_map(|place| place.expected_free_ms);
    let Some(soonest_ms) = expected.min() else {
        return Verdict::PlaceRemote(Reason::NoExpectedRelease);
    };
    if soonest_ms >= extra_ms {
        return Verdict::PlaceRemote(Reason::LaterThanRemote);
    }
    if soonest_ms >= slack_ms {
        return Verdict::PlaceRemote(Reason::NoSlack);
    }
    let since_ms = waited_since_ms.unwrap_or(now_ms).min(now_ms);
    let waited_enough_ms = since_ms.saturating_add(extra_ms);
    if now_ms.saturating_add(soonest_ms) >= waited_enough_ms {
        return Verdict::PlaceRemote(Reason::WaitedLongEnough);
    }
    Verdict::Wait {
        until_ms: waited_enough_ms.min(now_ms.saturating_add(slack_ms)),
    }
}
