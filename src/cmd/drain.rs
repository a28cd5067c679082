//! `drain`: empty a host.

use super::shared::author;
use super::shared::in_force;
use super::shared::publish;
use crate::entry::Entries;
use crate::fault::Fault;
use argh::FromArgs;
use goldcrestway_inventory::Change;
use std::collections::BTreeMap;

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
    if !current.inventory.hosts.contains_key(host.as_str()) {
        let detail = format!(
            "the inventory in force lists no host `{host}`. Look with `goldcrestway get FILE`"
        );
        return Err(Fault::Decide(detail.into()));
    }
    if current.inventory.drains(host) != arguments.undo {
        println!(
            "nothing to do: {host} {}",
            if arguments.undo {
                "takes work"
            } else {
                "is drained"
            }
        );
        return Ok(());
    }
    let values = BTreeMap::from([
        ("kind".into(), "drain".into()),
        ("host".into(), host.as_str().into()),
    ]);
    let change = Change {
        kind: "rule".into(),
        name: format!("drain-{host}").into(),
        values: (!arguments.undo).then_some(values),
    };
    let advice = "Give the command again.";
    let author = author(&arguments.author);
    let version = publish(&entries, current.version, &author, &[change], advice)?;
    println!("version {version} is in force; follow with `goldcrestway explain {host}`");
    Ok(())
}
