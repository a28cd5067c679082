//! The platform's list of workers, as the owner reads it.

use crate::entry::Entry;
use crate::event::Action;
use crate::event::Now;
use crate::owner::records_bytes;
use crate::policy::link::list_pause_ms;
use crate::tail::Update;
use goldcrestway_core::Code;
use goldcrestway_core::Note;

impl Entry {
    /// Applies records of the list of workers, and passes the changes on to the owner.
    pub(super) fn apply_workers(&mut self, progress: Update, now: Now, actions: &mut Vec<Action>) {
        if progress.is_reloaded {
            self.worker_entries.clear();
        }
        let rows = progress.records.iter();
        let bytes = records_bytes(rows.map(|record| (&*record.key, &*record.value)));
        if !progress.is_reloaded && bytes > 0 {
            let link_bytes_per_s = self.bounds.link_bytes_per_s;
            self.workers_interval_ms =
                list_pause_ms(self.workers_interval_ms, bytes, link_bytes_per_s);
        }
        let mut changed = Vec::with_capacity(progress.records.len());
        for record in progress.records {
            changed.push(record.key.clone());
            if record.value.is_empty() {
                self.worker_entries.remove(&record.key);
                continue;
            }
            match (self.decoders.worker)(&record.key, &record.value) {
                Ok(entry) => {
                    // A later entry of the same worker may replace this one at once.
                    if entry.is_leaving
                        && let Some(owner) = &mut self.owner
                    {
                        owner.record_announcement(&record.key, entry.incarnation);
                    }
                    self.worker_entries.insert(record.key, entry);
                }
                Err(fault) => {
                    // The previous entry no longer applies. Runs at the worker continue.
                    self.worker_entries.remove(&record.key);
                    actions.push(Action::Note(Note::new(
                        Code::RulesUnreadable,
                        &*record.key,
                        fault.to_string(),
                    )));
                }
            }
        }
        let Some(owner) = &mut self.owner else {
            return;
        };
        if progress.is_reloaded {
            owner.apply_worker_list(&self.worker_entries, now, actions);
        } else {
            for id in changed {
                owner.apply_worker_entry(&id, self.worker_entries.get(&id), now, actions);
            }
        }
        owner.expire_doubtful_starts(now);
    }
}
