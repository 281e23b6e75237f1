//! Compact set of numbers, for records.

use serde::{Deserialize, Serialize};

/// Set of numbers from 0 on, as the lengths of alternating ranges: first of numbers that are not
/// in the set, then of numbers that are. Its size grows with the number of ranges only.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct Ranges(Vec<u32>);

impl Ranges {
    /// Whether no number is in the set.
    pub fn is_empty(&self) -> bool {
        self.0.len() < 2
    }

    /// Numbers in the set below `limit`, ascending.
    pub fn below(&self, limit: usize) -> impl Iterator<Item = usize> + '_ {
        let mut end: usize = 0;
        let bounds = self.0.iter().map(move |length| {
            let start = end;
            end = start.saturating_add(*length as usize);
            start..end.min(limit)
        });
        bounds.skip(1).step_by(2).flatten()
    }
}

/// Set of the positions at which an iterator yields true.
impl FromIterator<bool> for Ranges {
    fn from_iter<T: IntoIterator<Item = bool>>(members: T) -> Self {
        let mut lengths = Vec::new();
        let (mut length, mut is_within) = (0, false);
        for is_member in members {
            if is_member != is_within {
                lengths.push(length);
                (length, is_within) = (0, is_member);
            }
            length += 1;
        }
        if is_within {
            lengths.push(length);
        }
        Self(lengths)
    }
}
