//! Protection of large jobs, which would always be deferred first.

use crate::JobView;
use crate::selection::{Contender, Room};

/// Size bands that are protected, by their share of the jobs in percent: the largest, and those below.
const BANDS_PERCENT: [usize; 2] = [10, 20];
/// Rate at which each band is kept relative to all jobs, in percent. Each band is to be served at half of the
/// rate at least, but large jobs stay longer than others, and some that are kept end too late.
const KEPT_RATE_PERCENT: usize = 100;
/// Rate at which late jobs of each band are served relative to all late jobs, in percent.
const LATE_RATE_PERCENT: usize = 75;
/// Greatest share of the room that protected jobs take, in percent. Less would let the largest jobs fall below
/// half of the rate at twice the room; without a limit they would displace many small ones.
const MAX_PROTECTED_ROOM_PERCENT: u128 = 70;

/// Protects contenders of each size band, the cheapest first, so that the same share of them is kept
/// as of all, rounded up. `kept` is the number that is kept without protection.
pub(crate) fn protect(room: &Room, jobs: &[JobView], contenders: &mut [Contender], kept: usize) {
    let total = contenders.len();
    let mut by_size: Vec<usize> = (0..total).collect();
    by_size.sort_by_key(|at| std::cmp::Reverse(jobs[contenders[*at].index].work));
    let mut rest = by_size.as_mut_slice();
    let mut protected_work: u128 = 0;
    for percent in BANDS_PERCENT {
        let size = (total * percent).div_ceil(100).min(rest.len());
        let (band, smaller) = rest.split_at_mut(size);
        rest = smaller;
        band.sort_by(|left, right| contenders[*left].cmp(&contenders[*right]));
        let mut quota = (size * kept * KEPT_RATE_PERCENT).div_ceil(total.max(1) * 100);
        for at in band {
            if quota == 0 {
                break;
            }
            let job = &jobs[contenders[*at].index];
            let work = protected_work + u128::from(job.remaining_work);
            if work <= room.before(job) * MAX_PROTECTED_ROOM_PERCENT / 100 {
                protected_work = work;
                contenders[*at].is_protected = true;
                quota -= 1;
            }
        }
    }
}

/// Moves jobs of each size band forward in a list that begins with the smallest, so that a band with a
/// share of the jobs has [`LATE_RATE_PERCENT`] of that share in each longer part of the list that begins with
/// the first.
pub(crate) fn interleave(jobs: &[JobView], order: &mut Vec<usize>) {
    let total = order.len();
    let mut by_size: Vec<usize> = (0..total).collect();
    by_size.sort_by_key(|at| std::cmp::Reverse(jobs[order[*at]].work));
    let mut rest = by_size.as_slice();
    let mut bands = Vec::new();
    for percent in BANDS_PERCENT {
        let size = (total * percent).div_ceil(100).min(rest.len());
        let (band, smaller) = rest.split_at(size);
        rest = smaller;
        let mut band = band.to_vec();
        band.sort_by_key(|at| (!jobs[order[*at]].has_begun, *at));
        // One job of the band is due in each interval.
        let interval = 100 * 100 / (percent * LATE_RATE_PERCENT);
        bands.push((band.into_iter(), interval));
    }
    let mut is_placed = vec![false; total];
    let mut smallest = 0..total;
    let mut merged = Vec::with_capacity(total);
    while merged.len() < total {
        let position = merged.len();
        let due = bands
            .iter_mut()
            .filter(|(_, interval)| position % *interval == *interval / 2)
            .find_map(|(band, _)| band.find(|at| !is_placed[*at]));
        let Some(at) = due.or_else(|| smallest.find(|at| !is_placed[*at])) else {
            break;
        };
        is_placed[at] = true;
        merged.push(order[at]);
    }
    *order = merged;
}
