//! The rules in force, their maximum age, and the answers of a host whose rules may be outdated.
//!
//! A host learns of new rules by a long poll. When that call is lost, the host receives nothing, as
//! if nothing had changed, and continues with rules that other hosts no longer apply. The host
//! therefore tracks the age of its rules: the time since it knew that the store held nothing newer.
//! Beyond the age that a long poll explains, it sends another read beside it. Beyond three quarters
//! of the time that operators were promised, the host no longer answers that a queue does not exist
//! or how many jobs wait in it, and is not ready, so that callers are routed to other hosts.

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

/// Age above which a host's rules no longer count as current, in percent of the time within which
/// new rules must be in force. The rest is for a read that is lost and sent again.
const MAX_AGE_PERCENT: u64 = 75;
/// Additional age that is allowed for a store that answers slowly, as a multiple of its typical
/// latency: the newest rules that a host can know are as old as their transfer.
const LATENCY_FACTOR: u64 = 2;

/// Result of a search for the queue of a host name and path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Found<'a> {
    /// The queue that accepts jobs there.
    Queue(&'a Queue),
    /// No queue accepts jobs there.
    Nothing,
    /// No queue is known to accept jobs there, and the rules may be outdated.
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

    /// Returns whether the rules in force are as recent as required.
    pub(super) fn are_rules_current(&self, now: Now) -> bool {
        let promised_ms = self.bounds.rules_in_force_ms * MAX_AGE_PERCENT / 100;
        let max_ms = promised_ms + LATENCY_FACTOR * self.rules.typical_latency_ms();
        let age_ms = self.rules.age_ms(now.steady_ms);
        self.config.is_some() && age_ms.is_some_and(|age_ms| age_ms <= max_ms)
    }

    /// Returns whether the rules are current, or a read of them has failed since the store is
    /// reachable. In the second case part of the store is back, and callers that need no rules can
    /// be served.
    pub(super) fn has_tried_to_read_rules(&self, now: Now) -> bool {
        self.are_rules_current(now) || self.rules.has_failed_since(self.contact.reachable_since_ms)
    }

    /// Returns whether the rules are too old for the owner to start tasks: a failure domain may
    /// have been evacuated for so long that nothing may start there any more.
    pub(super) fn may_miss_evacuations(&self, now: Now) -> bool {
        let promised_ms = self.bounds.evacuation_ms * MAX_AGE_PERCENT / 100;
        let age_ms = self.rules.age_ms(now.steady_ms);
        age_ms.is_none_or(|age_ms| age_ms > promised_ms)
    }

    /// Detects that the rules have become too old, and that they are current again.
    pub(super) fn check_rules_age(&mut self, now: Now, actions: &mut Vec<Action>) {
        let are_outdated = self.config.is_some() && !self.are_rules_current(now);
        if are_outdated == self.are_rules_outdated {
            return;
        }
        self.are_rules_outdated = are_outdated;
        let code = match are_outdated {
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
            if let Some(decoded) = (self.decoders.evacuation)(&record.key, &record.value) {
                self.apply_evacuation(record, decoded, actions);
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

    /// Ends the evacuations whose keys are missing after all keys were loaded again.
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

    /// Applies the begin or the end of an evacuation. A record that can't be decoded changes
    /// nothing.
    fn apply_evacuation(
        &mut self,
        record: &StoredRecord,
        decoded: Decoded<Box<str>>,
        actions: &mut Vec<Action>,
    ) {
        let version = record.offset;
        let domain = match decoded {
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

    /// Puts rules in force, unless newer ones already are.
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
