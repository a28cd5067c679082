//! Functions that several commands share: they fetch the configuration in force, format
//! changes and publish them.

use crate::entry_hosts::EntryHosts;
use crate::fault::Fault;
use goldcrestway_core::hash;
use goldcrestway_daemon::PublishReply;
use goldcrestway_daemon::PublishRequest;
use goldcrestway_daemon::changes_to_wire;
use goldcrestway_inventory::Change;
use goldcrestway_inventory::Inventory;
use goldcrestway_inventory::Sections;
use goldcrestway_inventory::load_sections;
use serde::Deserialize;
use std::collections::BTreeMap;

/// The configuration in force.
pub(crate) struct CurrentConfig {
    /// Its version; 0 before any was published.
    pub(crate) version: u64,
    /// Who published it.
    pub(crate) author: String,
    /// Its sections.
    pub(crate) sections: Sections,
    /// The inventory that the sections describe.
    pub(crate) inventory: Inventory,
}

#[derive(Deserialize)]
struct ConfigReply {
    version: u64,
    author: String,
    inventory: String,
}

/// Fetches the configuration in force.
///
/// # Errors
///
/// No entry host answers, or the response can't be read.
pub(crate) fn fetch_config(entry_hosts: &EntryHosts) -> Result<CurrentConfig, Fault> {
    const STEP: &str = "getting the configuration in force";
    let response = entry_hosts.get(STEP, "/v1/config")?;
    let Ok(reply) = serde_json::from_str::<ConfigReply>(&response.body) else {
        return Err(Fault::Refused(
            STEP,
            response.address.as_str().into(),
            response.detail(),
        ));
    };
    let (sections, inventory) = load_sections("the configuration in force", &reply.inventory)?;
    Ok(CurrentConfig {
        version: reply.version,
        author: reply.author,
        sections,
        inventory,
    })
}

/// Formats changes as lines that begin with `+`, `-` or `~`, followed by the changed keys.
pub(crate) fn format_changes(old: &Sections, changes: &[Change]) -> String {
    let mut text = String::new();
    for change in changes {
        let before = old.get(&(change.kind.clone(), change.name.clone()));
        let sign = match (&change.values, before) {
            (None, _) => "-",
            (Some(_), None) => "+",
            (Some(_), Some(_)) => "~",
        };
        text.push_str(&format!("{sign} [{} {}]\n", change.kind, change.name));
        for (key, value) in change.values.iter().flatten() {
            match before.and_then(|before| before.values.get(key)) {
                Some(same) if same == value => {}
                Some(other) => text.push_str(&format!("    {key}: {other} -> {value}\n")),
                None => text.push_str(&format!("    {key}: {value}\n")),
            }
        }
    }
    text
}

/// Publishes changes to version `base` and returns the version that is then in force.
///
/// # Errors
///
/// The change was refused, with `advice` added if another version was first, or its
/// outcome is unknown.
pub(crate) fn publish(
    entry_hosts: &EntryHosts,
    base: u64,
    author: &str,
    changes: &[Change],
    advice: &str,
) -> Result<u64, Fault> {
    const STEP: &str = "publishing";
    const CONFLICT: u16 = 409;
    let sent = changes_to_wire(changes);
    // The identity is derived from the content, so that a repeated command returns the
    // outcome and never publishes twice.
    let content = serde_json::to_string(&sent).unwrap_or_default();
    let request = PublishRequest {
        base,
        id: format!("{author}-{base}-{:016x}", hash(&content)),
        author: author.into(),
        changes: sent,
    };
    eprintln!("waiting until the change is in force at a majority of entry hosts (up to 15 s) ...");
    let response = entry_hosts.post(STEP, "/v1/config", &request)?;
    if response.status == 200
        && let Ok(reply) = serde_json::from_str::<PublishReply>(&response.body)
    {
        return Ok(reply.version);
    }
    let mut detail = response.detail().to_string();
    if response.status == CONFLICT {
        detail = format!("{detail} {advice}");
    }
    Err(Fault::Refused(
        STEP,
        response.address.as_str().into(),
        detail.into(),
    ))
}

/// A rule that keeps work off one host or failure domain until the rule is removed.
pub(crate) struct ExclusionRule<'a> {
    /// Kind of the rule, which is also the prefix of its name.
    pub(crate) kind: &'a str,
    /// Key under which the rule names the object.
    pub(crate) key: &'a str,
    /// Kind of the object, in words.
    pub(crate) object: &'a str,
    /// Name of the object.
    pub(crate) name: &'a str,
    /// State that is printed for an object that has the rule already.
    pub(crate) active_text: &'a str,
    /// Whether the inventory in force lists the object.
    pub(crate) is_listed: bool,
    /// Whether the inventory in force has the rule.
    pub(crate) is_active: bool,
}

/// Publishes the rule, or removes it with `undo`, and returns the version that is then in force;
/// prints a message and returns `None` if there is nothing to do.
///
/// # Errors
///
/// The object is not listed, or the change was refused.
pub(crate) fn set_exclusion(
    entry_hosts: &EntryHosts,
    base: u64,
    rule: &ExclusionRule<'_>,
    undo: bool,
    given_author: &Option<String>,
) -> Result<Option<u64>, Fault> {
    let ExclusionRule {
        kind,
        key,
        object,
        name,
        active_text,
        is_listed,
        is_active,
    } = *rule;
    if !is_listed {
        let detail = format!(
            "the inventory in force lists no {object} `{name}`. List them with `goldcrestway get FILE`"
        );
        return Err(Fault::Declined(detail.into()));
    }
    if is_active != undo {
        let state = if undo { "accepts work" } else { active_text };
        println!("nothing to do: {name} {state}");
        return Ok(None);
    }
    let values = BTreeMap::from([("kind".into(), kind.into()), (key.into(), name.into())]);
    let change = Change {
        kind: "rule".into(),
        name: format!("{kind}-{name}").into(),
        values: (!undo).then_some(values),
    };
    let advice = "Run the command again.";
    publish(entry_hosts, base, &author(given_author), &[change], advice).map(Some)
}

/// Returns the given author, else the name of the user.
pub(crate) fn author(given: &Option<String>) -> String {
    let from_system = || std::env::var("USER").ok();
    given
        .clone()
        .or_else(from_system)
        .unwrap_or_else(|| "operator".into())
}
