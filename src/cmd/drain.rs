//! `drain`: empty a host.

use super::shared::Emptying;
use super::shared::in_force;
use super::shared::switch_emptying;
use crate::entry_hosts::Entries;
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
    let entries = Entries::new(&arguments.entry, &arguments.settings)?;
    let current = in_force(&entries)?;
    let host = &arguments.host;
    let rule = Emptying {
        kind: "drain",
        key: "host",
        what: "host",
        name: host,
        emptied: "is drained",
        is_listed: current.inventory.hosts.contains_key(host.as_str()),
        is_emptied: current.inventory.drains(host),
    };
    let (undo, author) = (arguments.undo, &arguments.author);
    if let Some(version) = switch_emptying(&entries, current.version, &rule, undo, author)? {
        println!("version {version} is in force; follow with `goldcrestway explain {host}`");
    }
    Ok(())
}
