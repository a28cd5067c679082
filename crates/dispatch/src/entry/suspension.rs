//! Detection of a suspension of the host. While a host is suspended its steady clock stands still,
//! but its data grows older.

use crate::entry::Entry;
use crate::event::Action;
use crate::event::Now;
use goldcrestway_core::Code;
use goldcrestway_core::Note;

/// Minimum jump of the wall clock against the steady clock that counts as a suspension. Clock
/// corrections are smaller. The data may be older than the host knows by as much as this.
const MIN_JUMP_MS: u64 = 500;

impl Entry {
    /// Compares the clocks. A wall clock that was set forward looks like a suspension, and costs a
    /// read of each stream.
    pub(super) fn detect_suspension(&mut self, now: Now, actions: &mut Vec<Action>) {
        let offset_ms = now.wall_ms.saturating_sub(now.steady_ms);
        let Some(previous_ms) = self.shown_offset_ms.replace(offset_ms) else {
            return;
        };
        let jump_ms = offset_ms.saturating_sub(previous_ms);
        if jump_ms < MIN_JUMP_MS {
            return;
        }
        self.relay.record_suspension(jump_ms);
        self.contact.reachable_since_ms = now.steady_ms;
        for tail in [&mut self.rules, &mut self.states, &mut self.workers] {
            tail.increase_age(jump_ms);
        }
        self.jobs.age_by(jump_ms);
        actions.push(Action::Note(Note::new(
            Code::ClockJumped,
            &*self.host,
            format!("ahead_ms={jump_ms} {}", self.ages(now).describe_rules()),
        )));
    }
}
