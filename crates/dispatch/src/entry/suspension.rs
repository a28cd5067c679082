//! Time that passed without the host: while it was suspended its steady clock stood still, and
//! all that it believes grew old.

use crate::entry::Entry;
use crate::event::Action;
use crate::event::Now;
use goldcrestway_core::Code;
use goldcrestway_core::Note;

/// How far the time of day must run ahead of the steady clock to count as a suspension. Clocks
/// that are corrected move by less; what is believed may be older than the host knows by as
/// much.
const JUMP_MS: u64 = 500;

impl Entry {
    /// Compares the clocks. A time of day that was set ahead looks like a suspension, and costs
    /// a read of each stream.
    pub(super) fn record_time(&mut self, now: Now, actions: &mut Vec<Action>) {
        let lead_ms = now.wall_ms.saturating_sub(now.steady_ms);
        let Some(previous_ms) = self.clock_lead_ms.replace(lead_ms) else {
            return;
        };
        let jump_ms = lead_ms.saturating_sub(previous_ms);
        if jump_ms < JUMP_MS {
            return;
        }
        self.contact.since_ms = now.steady_ms;
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
