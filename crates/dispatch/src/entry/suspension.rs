//! Detection of pauses of the host. While a host is suspended its steady clock stands still, but its
//! data grows older; and whether it was suspended or only did nothing, another host may own meanwhile.

use crate::entry::Entry;
use crate::event::Action;
use crate::event::Now;
use goldcrestway_core::Code;
use goldcrestway_core::Note;

/// Minimum jump of the wall clock against the steady clock that counts as a suspension. Clock
/// corrections are smaller. The data may be older than the host knows by as much as this.
const MIN_JUMP_MS: u64 = 500;

/// Minimum time for which an owner did nothing that counts as a pause in which another host may begin
/// to own. Hosts claim after 0.85 s without a heartbeat, of which there are four a second.
const MIN_PAUSE_MS: u64 = 600;

impl Entry {
    /// Tells the owner if this host did nothing for so long that another one may own. `suspended_ms` is
    /// the part of that time that the steady clock has not counted.
    pub(super) fn detect_pause(&mut self, now: Now, suspended_ms: u64) {
        let idle_ms = now.steady_ms.saturating_sub(self.handled_ms) + suspended_ms;
        self.handled_ms = now.steady_ms;
        if idle_ms >= MIN_PAUSE_MS
            && let Some(owner) = &mut self.owner
        {
            owner.record_pause(now.steady_ms);
        }
    }

    /// Compares the clocks, and returns for how long this host was suspended. A wall clock that was set
    /// forward looks like a suspension, and costs a read of each stream.
    pub(super) fn detect_suspension(&mut self, now: Now, actions: &mut Vec<Action>) -> u64 {
        let offset_ms = now.wall_ms.saturating_sub(now.steady_ms);
        let Some(previous_ms) = self.shown_offset_ms.replace(offset_ms) else {
            return 0;
        };
        let jump_ms = offset_ms.saturating_sub(previous_ms);
        if jump_ms < MIN_JUMP_MS {
            return 0;
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
        jump_ms
    }
}
