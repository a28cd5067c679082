//! Failure domains that the operator has evacuated: their workers get nothing new.
//!
//! An evacuation is a keyed record among the operator's rules, and is taken back by dropping the
//! key. The same domain may be evacuated and taken back several times within a moment, so what is
//! known of a key is bound to the offset of the record that it came from: an older record that is
//! read again changes nothing.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// What the newest record of a key says.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Evacuation {
    key: Box<str>,
    /// Offset of the record.
    version: u64,
    is_in_force: bool,
}

/// Evacuations as the operator's rules have them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations {
    by_domain: BTreeMap<Box<str>, Evacuation>,
}

impl Evacuations {
    /// Tells whether a failure domain gets nothing new.
    pub fn covers(&self, failure_domain: &str) -> bool {
        let evacuation = self.by_domain.get(failure_domain);
        evacuation.is_some_and(|evacuation| evacuation.is_in_force)
    }

    /// Tells whether every failure domain may get new work.
    pub fn is_empty(&self) -> bool {
        self.iter().next().is_none()
    }

    /// Lists the evacuated failure domains, and since which version of the rules they are.
    pub fn iter(&self) -> impl Iterator<Item = (&str, u64)> {
        let rows = self.by_domain.iter();
        let in_force = rows.filter(|(_, evacuation)| evacuation.is_in_force);
        in_force.map(|(domain, evacuation)| (&**domain, evacuation.version))
    }

    /// Takes in a record that evacuates a failure domain or takes that back. Tells whether it is
    /// news.
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
        let is_news = is_in_force || self.covers(failure_domain);
        let evacuation = Evacuation {
            key: key.into(),
            version,
            is_in_force,
        };
        self.by_domain.insert(failure_domain.into(), evacuation);
        is_news
    }

    /// Forgets what has no key any more, as all keys were loaded anew. Gives the failure domains
    /// whose evacuation was taken back unheard.
    pub(crate) fn retain_keys(&mut self, keys: &BTreeSet<&str>) -> Vec<Box<str>> {
        let rows = &mut self.by_domain;
        let dropped = rows.extract_if(.., |_, evacuation| !keys.contains(&*evacuation.key));
        let in_force = dropped.filter(|(_, evacuation)| evacuation.is_in_force);
        in_force.map(|(domain, _)| domain).collect()
    }
}
