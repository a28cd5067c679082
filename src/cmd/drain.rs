//! `drain`: empty a host.

use super::shared::ExclusionRule;
use super::shared::fetch_config;
use super::shared::set_exclusion;
use crate::entry_hosts::EntryHosts;
use crate::fault::Fault;
use argh::FromArgs;

/// Drain a host: it gets no new work, and its batch tasks are checkpointed and
/// resume elsewhere. The rule is published and stays until --undo.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct Arguments {
    /// the host
    #[argh(positional)]
    host: String,
    /// let the host take work again
    #[argh(switch)]
    undo: bool,
    /// who drains; default: the name of the user
    #[argh(option)]
    author: Option<String>,
    /// an entry host, as ADDRESS:PORT; default 127.0.0.1:8081
    #[argh(option)]
    entry: Vec<String>,
    /// settings of a daemon, from which all entry hosts are taken
    #[argh(option)]
    settings: Option<String>,
}

/// Publishes or removes the rule.
pub(crate) fn execute(arguments: &Arguments) -> Result<(), Fault> {
    let entry_hosts = EntryHosts::new(&arguments.entry, &arguments.settings)?;
    let current = fetch_config(&entry_hosts)?;
    let host = &arguments.host;
    let rule = ExclusionRule {
        kind: "drain",
        key: "host",
        object: "host",
        name: host,
        active_text: "is drained",
        is_listed: current.inventory.hosts.contains_key(host.as_str()),
        is_active: current.inventory.drains(host),
    };
    let (undo, author) = (arguments.undo, &arguments.author);
    if let Some(version) = set_exclusion(&entry_hosts, current.version, &rule, undo, author)? {
        println!("version {version} is in force; follow with `goldcrestway explain {host}`");
    }
    Ok(())
}
