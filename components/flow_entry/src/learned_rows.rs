//! Rows of what the scheduler has learned: pressures of pairs of images, and run times of tasks.

use crate::coordinator::Coordinator;
use crate::leadership::Leadership;
use crate::messages::LearnedRows;
use crate::rows::{LEARNED_KEY, RUN_TIMES_KEY};
use estimates::RunTimes;
use interference::PressureModel;
use telemetry::{Event, log_event};
use utils::wall_ms;

/// Interval between two writes of each row, in milliseconds.
const LEARNED_WRITE_INTERVAL_MS: u64 = 1_000;
/// Most bytes of the row of run times, so that the commits which carry it stay short. It holds some 180 classes.
const MAX_RUN_TIMES_BYTES: usize = 32_768;

impl Coordinator {
    /// Takes a learned row for a write, as key and value; `None` if none has changed or none is due. A commit
    /// carries one at most, as its limits leave room for one.
    pub(crate) fn learned_row_if_due(&mut self, now_ms: u64) -> Option<(&'static str, String)> {
        let pressures = self.learned_if_due(now_ms);
        let pressures = pressures.map(|value| (LEARNED_KEY, value));
        pressures.or_else(|| {
            let value = self.run_times_if_due(now_ms)?;
            Some((RUN_TIMES_KEY, value))
        })
    }

    /// Takes the learned pressures of pairs for a write; `None` if they are unchanged or not due.
    fn learned_if_due(&mut self, now_ms: u64) -> Option<String> {
        let leadership = self.leadership.as_mut()?;
        let is_due = now_ms >= leadership.learned_written_ms + LEARNED_WRITE_INTERVAL_MS;
        if !is_due || leadership.isolation.is_some() {
            return None;
        }
        leadership.learned_written_ms = now_ms;
        let learned = leadership.scheduler.take_learned()?;
        let (bytes, limit_bytes) = (learned.len(), self.settings.store.row_bytes);
        if bytes > limit_bytes {
            log_event!(
                warn,
                Event::CommitRefused,
                key = LEARNED_KEY,
                bytes,
                limit_bytes
            );
            return None;
        }
        Some(learned)
    }

    /// Takes the learned run times for a write, the best known ones that fit into a row; `None` if they are
    /// unchanged or not due.
    fn run_times_if_due(&mut self, now_ms: u64) -> Option<String> {
        let leadership = self.leadership.as_mut()?;
        let is_due = now_ms >= leadership.run_times_written_ms + LEARNED_WRITE_INTERVAL_MS;
        if !is_due || leadership.isolation.is_some() {
            return None;
        }
        leadership.run_times_written_ms = now_ms;
        let limit_bytes = self.settings.store.row_bytes.min(MAX_RUN_TIMES_BYTES);
        leadership.scheduler.take_run_times(wall_ms(), limit_bytes)
    }
}

/// Applies the rows that former schedulers wrote. Learning starts from scratch where a row can't be used. That
/// of run times counts only if they are to be learned.
pub(crate) fn restore_learned(leadership: &mut Leadership, rows: LearnedRows, has_run_times: bool) {
    match rows.pressures.map(|row| PressureModel::parse(&row.value)) {
        Some(Ok(pressures)) => leadership.scheduler.set_learned(pressures),
        Some(Err(error)) => {
            log_event!(error, Event::RowUnreadable, key = LEARNED_KEY, reason = %error);
        }
        None => {}
    }
    let run_times = rows.run_times;
    match run_times.map(|row| RunTimes::parse(&row.value, wall_ms())) {
        Some(Ok(run_times)) => leadership.scheduler.set_run_times(run_times),
        Some(Err(error)) => {
            log_event!(error, Event::RowUnreadable, key = RUN_TIMES_KEY, reason = %error);
        }
        None if has_run_times => {
            // The first scheduler of a deployment finds none, which is no fault.
            log_event!(
                info,
                Event::RowUnreadable,
                key = RUN_TIMES_KEY,
                reason = "missing"
            );
        }
        None => {}
    }
}
