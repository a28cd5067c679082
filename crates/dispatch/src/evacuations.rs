//! Failure domains that the operator has evacuated: their workers get no new tasks.
//!
//! An evacuation is a keyed record among the operator's rules, and is revoked by deleting the key.
//! The same domain may be evacuated and revoked several times in quick succession, so the state of
//! a key is kept with the offset of its record: an older record that is read again has no effect.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// State of a failure domain according to the newest record.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Evacuation {
    key: Box<str>,
    /// Offset of the record.
    version: u64,
    is_in_force: bool,
}

/// Evacuations according to the operator's rules.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations {
    by_domain: BTreeMap<Box<str>, Evacuation>,
}

impl Evacuations {
    /// Returns whether a failure domain is evacuated and gets no new tasks.
    pub fn covers(&self, failure_domain: &str) -> bool {
        let evacuation = self.by_domain.get(failure_domain);
        evacuation.is_some_and(|evacuation| evacuation.is_in_force)
    }

    /// Returns whether no failure domain is evacuated.
    pub fn is_empty(&self) -> bool {
        self.iter().next().is_none()
    }

    /// Returns an iterator over the evacuated failure domains, each with the version of the rules
    /// that evacuated it.
    pub fn iter(&self) -> impl Iterator<Item = (&str, u64)> {
        let rows = self.by_domain.iter();
        let in_force = rows.filter(|(_, evacuation)| evacuation.is_in_force);
        in_force.map(|(domain, evacuation)| (&**domain, evacuation.version))
    }

    /// Applies a record that evacuates a failure domain or revokes its evacuation. Returns `false`
    /// if the record is an old one, or revokes an evacuation that is not in force.
    pub(crate) fn apply(
        &mut self,
        failure_domain: &str,
        key: &str,
        version: u64,
        is_in_force: bool,
    ) -> bool {
        let previous = self.by_domain.get(failure_domain);
        if previous.is_some_and(|previous| previous.version >= version) {
            return false;
        }
        let is_change = is_in_force || self.covers(failure_domain);
        let evacuation = Evacuation {
            key: key.into(),
            version,
            is_in_force,
        };
        self.by_domain.insert(failure_domain.into(), evacuation);
        is_change
    }

    /// Removes evacuations whose key is not among those of a complete reload. Returns the failure
    /// domains whose evacuation was in force until then, since no record has revoked it.
    pub(crate) fn retain_keys(&mut self, keys: &BTreeSet<&str>) -> Vec<Box<str>> {
        let rows = &mut self.by_domain;
        let removed = rows.extract_if(.., |_, evacuation| !keys.contains(&*evacuation.key));
        let in_force = removed.filter(|(_, evacuation)| evacuation.is_in_force);
        in_force.map(|(domain, _)| domain).collect()
    }
}
