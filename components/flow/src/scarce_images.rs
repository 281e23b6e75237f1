//! Images of fillers for which no worker was found lately. Few workers can bear such a filler; others avoid
//! these workers while it waits, so that their spare processors are left for it.

use crate::{Scheduler, StepSpec};

/// Time for which an image counts as scarce after a failed search, in milliseconds; about the run time of
/// a filler, so that the next workers that become free are left for it.
const SCARCE_MS: u64 = 2_000;
/// Most images that count as scarce at once.
const MAX_IMAGES: usize = 8;

/// Images for which no worker was found lately.
#[derive(Debug, Default)]
pub(crate) struct ScarceImages(Vec<ScarceImage>);

/// An image for which no worker was found.
#[derive(Debug)]
struct ScarceImage {
    image: String,
    /// Processors of the filler that waits, in thousandths.
    processors_milli: u32,
    /// Until when it counts, in milliseconds.
    until_ms: u64,
}

/// What fillers of another image need that wait for a worker.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ScarceNeed {
    /// Cautious pressures on each latency-critical image, by its number.
    pub pressures: Vec<f64>,
    /// Processors of one, in thousandths.
    pub processors_milli: u32,
}

impl ScarceImages {
    /// Notes a failed search.
    fn note(&mut self, now_ms: u64, image: &str, processors_milli: u32) {
        self.0
            .retain(|known| now_ms < known.until_ms && known.image != image);
        if self.0.len() < MAX_IMAGES {
            self.0.push(ScarceImage {
                image: image.to_owned(),
                processors_milli,
                until_ms: now_ms + SCARCE_MS,
            });
        }
    }
}

impl Scheduler {
    /// Notes that no worker could bear a filler although one had room.
    pub(crate) fn note_scarce(&mut self, now_ms: u64, spec: &StepSpec) {
        if let Some(image) = spec
            .image
            .as_deref()
            .filter(|_| self.policies.overload_order)
        {
            let milli = spec.need.processors_milli;
            self.scarce_images.note(now_ms, image, milli);
        }
    }

    /// Needs of the fillers that wait for a worker and run another image than a step's tasks.
    pub(crate) fn scarce_needs(&mut self, now_ms: u64, spec: &StepSpec) -> Vec<ScarceNeed> {
        let Self {
            scarce_images,
            pressures,
            ..
        } = self;
        let waiting = scarce_images.0.iter().filter(|known| {
            now_ms < known.until_ms && Some(known.image.as_str()) != spec.image.as_deref()
        });
        waiting
            .map(|known| ScarceNeed {
                pressures: pressures.cautious_row(now_ms, &known.image),
                processors_milli: known.processors_milli,
            })
            .collect()
    }
}
