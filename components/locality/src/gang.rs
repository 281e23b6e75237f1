//! The place of a whole gang: a rack that can take all its members.

use crate::NearPlace;

/// Place of a gang of `members` in a rack with these places for one member each. It is free once enough
/// of them are; when that is expected is not known if too few will be free.
///
/// ```
/// use locality::{NearPlace, gang_place};
/// let free = NearPlace { free_now: true, expected_free_ms: None };
/// let later = |ms| NearPlace { free_now: false, expected_free_ms: Some(ms) };
/// assert_eq!(gang_place(&[free, later(900), later(400)], 2), later(400));
/// assert!(gang_place(&[free, free], 2).free_now);
/// assert_eq!(gang_place(&[free, later(400)], 3), NearPlace::default());
/// ```
pub fn gang_place(rack: &[NearPlace], members: usize) -> NearPlace {
    let free = rack.iter().filter(|place| place.free_now).count();
    if free >= members {
        return NearPlace {
            free_now: true,
            expected_free_ms: None,
        };
    }
    let later = rack.iter().filter(|place| !place.free_now);
    let mut expected_ms: Vec<u64> = later.filter_map(|place| place.expected_free_ms).collect();
    expected_ms.sort_unstable();
    NearPlace {
        free_now: false,
        expected_free_ms: expected_ms.get(members - free - 1).copied(),
    }
}
