//! `drain`: moves the work of a host elsewhere.

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
    /// name of the host
    #[argh(positional)]
    host: String,
    /// end the drain: the host gets new work again
    #[argh(switch)]
    undo: bool,
    /// name recorded as author; default: the name of the user
    #[argh(option)]
    author: Option<String>,
    /// operator address of an entry host, as ADDRESS:PORT; may be repeated; default
    /// 127.0.0.1:8081
    #[argh(option)]
    entry: Vec<String>,
    /// settings file of a daemon; the command uses all entry hosts that it lists
    #[argh(option)]
    settings: Option<String>,
}

/// Publishes or removes the drain rule.
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
