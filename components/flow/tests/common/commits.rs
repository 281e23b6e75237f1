//! Commits of the simulated scheduler to the model table.

use super::{COMMIT_MS, MAX_AWAY_BYTES, ModelCommit, RENEW_INTERVAL_MS, Sim};

impl Sim {
    pub(super) fn commit(&mut self) {
        if !self.table_up {
            return;
        }
        let is_renewal_due = self.now_ms >= self.confirmed_ms + RENEW_INTERVAL_MS;
        if is_renewal_due {
            self.confirmed_ms = self.now_ms;
        }
        if let Some(commit) = self.commit.take() {
            if self.now_ms < commit.sent_ms + COMMIT_MS {
                self.commit = Some(commit);
                return;
            }
            self.apply_commit(&commit);
        }
        self.scheduler.place(self.now_ms, 0);
        let records = self.scheduler.take_commit(self.now_ms, &self.limits);
        let is_due = !records.is_empty() || self.scheduler.has_returned_worker() || is_renewal_due;
        if is_due {
            self.commit = Some(ModelCommit {
                sent_ms: self.now_ms,
                records,
                away: self.scheduler.note_away(self.now_ms, MAX_AWAY_BYTES),
            });
        }
    }

    /// Lets a commit take effect.
    pub(super) fn apply_commit(&mut self, commit: &ModelCommit) {
        for record in &commit.records {
            let stored = self.records.get(&record.job).map_or(1, Vec::len);
            assert_eq!(record.former_rows, stored, "rows of the former record");
            self.records
                .insert(record.job.clone(), record.values.clone());
        }
        let away = commit.away.iter();
        let away = away.map(|worker| (worker.agent.clone(), self.now_ms + worker.expires_in_ms));
        self.away = away.collect();
        self.scheduler.on_committed(&commit.records);
        self.scheduler.on_away_committed(&commit.away);
    }
}
