//! The rules in force: how old they may be, and what is told when that can't be said.
//!
//! A host learns of new rules by a read that the store holds until there are some. When that
//! read is lost, the host hears nothing, as if nothing had changed, and goes on by rules that
//! others no longer follow. So it goes by their age: the time since it knew that nothing newer
//! was there. Past the age that the wait of a read explains, another read goes out beside it.
//! Past three quarters of what operators were promised, nobody is told for good that there is
//! no such queue, or how many jobs wait in one, and callers are sent elsewhere.

use crate::config::Config;
use crate::config::Decoded;
use crate::config::Queue;
use crate::entry::Entry;
use crate::entry::ages::format_age;
use crate::event::Action;
use crate::event::Now;
use crate::event::StoredRecord;
use crate::tail::Update;
use goldcrestway_core::Code;
use goldcrestway_core::Note;
use std::rc::Rc;

/// Part of the time in which rules must be in force after which a host no longer takes its
/// own for current. The rest is for a read that is lost and sent again.
const AGE_PERCENT: u64 = 75;
/// How much more may be allowed for a store that answers slowly, in times of what its answers
/// take: the newest rules that can be known are as old as the way to the host.
const LATENCY_FACTOR: u64 = 2;

/// What the rules in force say of a place that a caller asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Found<'a> {
    /// This queue takes it.
    Queue(&'a Queue),
    /// No queue does.
    Nothing,
    /// No queue is known that does, and the rules may be older than they should be.
    Unsure,
}

impl Entry {
    /// Finds the queue of a host name and path.
    pub fn find_queue(&self, host: &str, path: &str, now: Now) -> Found<'_> {
        let found = self
            .config
            .as_ref()
            .and_then(|config| config.find(host, path));
        match found {
            Some(queue) => Found::Queue(queue),
            None if self.are_rules_current(now) => Found::Nothing,
            None => Found::Unsure,
        }
    }

    /// Tells whether the rules in force are as new as they must be.
    pub(super) fn are_rules_current(&self, now: Now) -> bool {
        let promised_ms = self.bounds.rules_in_force_ms * AGE_PERCENT / 100;
        let max_ms = promised_ms + LATENCY_FACTOR * self.rules.typical_latency_ms();
        let age_ms = self.rules.age_ms(now.steady_ms);
        self.config.is_some() && age_ms.is_some_and(|age_ms| age_ms <= max_ms)
    }

    /// Tells whether the rules are current, or could not be read since the store answers. A
    /// store that is back in part serves those who need no more of it.
    pub(super) fn have_rules_been_asked_for(&self, now: Now) -> bool {
        self.are_rules_current(now) || self.rules.has_failed_since(self.contact.since_ms)
    }

    /// Tells whether the rules are too old for the owner to start anything by: a failure domain may
    /// have been evacuated for so long that nothing may start there any more.
    pub(super) fn may_miss_evacuations(&self, now: Now) -> bool {
        let promised_ms = self.bounds.evacuation_ms * AGE_PERCENT / 100;
        let age_ms = self.rules.age_ms(now.steady_ms);
        age_ms.is_none_or(|age_ms| age_ms > promised_ms)
    }

    /// Notices that the rules have become too old, and that they are current again.
    pub(super) fn watch_rules(&mut self, now: Now, actions: &mut Vec<Action>) {
        let are_behind = self.config.is_some() && !self.are_rules_current(now);
        if are_behind == self.are_rules_behind {
            return;
        }
        self.are_rules_behind = are_behind;
        let code = match are_behind {
            true => Code::RulesBehind,
            false => Code::RulesCurrent,
        };
        let detail = self.ages(now).describe_rules();
        actions.push(Action::Note(Note::new(code, &*self.host, detail)));
    }

    pub(super) fn apply_rules(&mut self, progress: &Update, actions: &mut Vec<Action>) {
        let known = self.evacuations.clone();
        if progress.is_reloaded {
            self.drop_evacuations(&progress.records, actions);
        }
        for record in &progress.records {
            if let Some(read) = (self.decoders.evacuation)(&record.key, &record.value) {
                self.apply_evacuation(record, read, actions);
                continue;
            }
            if &*record.key != "config" || record.value.is_empty() {
                continue;
            }
            match (self.decoders.config)(&record.value) {
                Ok(config) => self.apply_config(config, progress.previous_age_ms, actions),
                Err(fault) => actions.push(Action::Note(Note::new(
                    Code::RulesUnreadable,
                    "config",
                    format!("offset={} {fault}", record.offset),
                ))),
            }
        }
        if let Some(owner) = self.owner.as_mut().filter(|_| self.evacuations != known) {
            owner.set_evacuations(self.evacuations.clone());
        }
    }

    /// Ends the evacuations that a load of all keys no longer shows.
    fn drop_evacuations(&mut self, records: &[StoredRecord], actions: &mut Vec<Action>) {
        let keys = records.iter().map(|record| &*record.key).collect();
        for domain in Rc::make_mut(&mut self.evacuations).retain_keys(&keys) {
            let detail = "reloaded=true";
            actions.push(Action::Note(Note::new(
                Code::DomainTakenBack,
                domain,
                detail,
            )));
        }
    }

    /// Takes an evacuation into force, or back. One that can't be read changes nothing.
    fn apply_evacuation(
        &mut self,
        record: &StoredRecord,
        read: Decoded<Box<str>>,
        actions: &mut Vec<Action>,
    ) {
        let version = record.offset;
        let domain = match read {
            Ok(domain) => domain,
            Err(fault) => {
                let detail = format!("offset={version} {fault}");
                let note = Note::new(Code::RulesUnreadable, &*record.key, detail);
                actions.push(Action::Note(note));
                return;
            }
        };
        let is_in_force = !record.value.is_empty();
        let evacuations = Rc::make_mut(&mut self.evacuations);
        if !evacuations.apply(&domain, &record.key, version, is_in_force) {
            return;
        }
        let code = match is_in_force {
            true => Code::DomainEvacuated,
            false => Code::DomainTakenBack,
        };
        let detail = format!("version={version}");
        actions.push(Action::Note(Note::new(code, domain, detail)));
    }

    /// Takes rules into force, unless newer ones are.
    fn apply_config(
        &mut self,
        config: Config,
        previous_age_ms: Option<u64>,
        actions: &mut Vec<Action>,
    ) {
        if self
            .config
            .as_ref()
            .is_some_and(|known| known.version >= config.version)
        {
            return;
        }
        actions.push(Action::Note(Note::new(
            Code::RulesInForce,
            config.version.to_string(),
            format!(
                "queues={} former_age_ms={}",
                config.queues.len(),
                format_age(previous_age_ms)
            ),
        )));
        self.config = Some(Rc::new(config));
        actions.push(Action::Configured);
    }
}
