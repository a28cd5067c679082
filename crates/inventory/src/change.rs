//! Differences between two inventories, which are published and stored in the log.

use crate::build::build;
use crate::check::check;
use crate::fault::Faults;
use crate::model::Inventory;
use crate::sections::Section;
use crate::sections::Sections;
use std::collections::BTreeMap;

/// One section that is added, changed or removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Kind of the section.
    pub kind: Box<str>,
    /// Name of the section.
    pub name: Box<str>,
    /// All values of the section after the change, or `None` if it is removed.
    pub values: Option<BTreeMap<Box<str>, Box<str>>>,
}

/// Returns the sections in which `new` differs from `old`, removed ones first.
pub fn compare(old: &Sections, new: &Sections) -> Vec<Change> {
    let mut changes = Vec::new();
    for (kind, name) in old.keys() {
        if new.contains_key(&(kind.clone(), name.clone())) {
            continue;
        }
        changes.push(Change {
            kind: kind.clone(),
            name: name.clone(),
            values: None,
        });
    }
    for ((kind, name), section) in new {
        let before = old.get(&(kind.clone(), name.clone()));
        if before.is_some_and(|before| before.values == section.values) {
            continue;
        }
        changes.push(Change {
            kind: kind.clone(),
            name: name.clone(),
            values: Some(section.values.clone()),
        });
    }
    changes
}

/// Applies `changes` to `sections` and returns the resulting inventory.
///
/// # Errors
///
/// The faults of the resulting inventory; `sections` is then unchanged.
pub fn apply(sections: &mut Sections, changes: &[Change]) -> Result<Inventory, Faults> {
    // Changes are made in place and reverted if the result has faults: copying a large
    // inventory for each small change would cost far more.
    let mut previous = Vec::new();
    for change in changes {
        let identity = (change.kind.clone(), change.name.clone());
        let section = change.values.as_ref().map(|values| Section {
            values: values.clone(),
            ..Section::default()
        });
        let before = replace_section(sections, identity.clone(), section);
        previous.push((identity, before));
    }
    let inventory = build(sections);
    let mut faults = Faults::new("published inventory");
    check(sections, &inventory, &mut faults);
    if faults.is_empty() {
        return Ok(inventory);
    }
    for (identity, before) in previous.into_iter().rev() {
        replace_section(sections, identity, before);
    }
    Err(faults)
}

/// Inserts a section, or removes it if `section` is `None`; returns the previous one.
fn replace_section(
    sections: &mut Sections,
    identity: (Box<str>, Box<str>),
    section: Option<Section>,
) -> Option<Section> {
    match section {
        Some(section) => sections.insert(identity, section),
        None => sections.remove(&identity),
    }
}

/// Returns a sentence for each change that may stop or delay work of `old`.
pub fn dangers(old: &Inventory, new: &Inventory) -> Vec<String> {
    let mut list = Vec::new();
    for name in old.hosts.keys() {
        if !new.hosts.contains_key(name) {
            list.push(format!(
                "host `{name}` is removed: its tasks are evicted and run elsewhere"
            ));
        }
    }
    for name in old.upstreams.keys() {
        if !new.upstreams.contains_key(name) {
            list.push(format!(
                "upstream `{name}` is removed: it gets no new requests"
            ));
        }
    }
    for name in old.jobs.keys() {
        if !new.jobs.contains_key(name) {
            list.push(format!(
                "job `{name}` is removed: waiting runs are cancelled, running ones continue"
            ));
        }
    }
    for (name, team) in &new.teams {
        let before = old.teams.get(name).and_then(|team| team.quota);
        let shrinks = match (before, team.quota) {
            (Some(before), Some(after)) => !before.fits(after),
            (None, Some(_)) => old.teams.contains_key(name),
            _ => false,
        };
        if shrinks {
            list.push(format!(
                "the quota of team `{name}` is lowered: its queued jobs wait longer"
            ));
        }
    }
    list
}
