//! `evacuate`: empty a failure domain.

use super::shared::Emptying;
use super::shared::in_force;
use super::shared::switch_emptying;
use crate::entry_hosts::Entries;
use crate::fault::Fault;
use argh::FromArgs;

/// Evacuate a failure domain: its hosts get no new work and its instances no new
/// requests; batch tasks there are checkpointed and resume elsewhere. The rule is
/// published and stays until --undo.
#[derive(FromArgs)]
#[argh(subcommand, name = "evacuate")]
pub(crate) struct Arguments {
    /// the failure domain
    #[argh(positional)]
    failure_domain: String,
    /// let the failure domain take work again
    #[argh(switch)]
    undo: bool,
    /// who evacuates; default: the name of the user
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
    let domain = &arguments.failure_domain;
    let rule = Emptying {
        kind: "evacuate",
        key: "failure_domain",
        what: "failure domain",
        name: domain,
        emptied: "is evacuated",
        is_listed: current.inventory.failure_domains.contains(domain.as_str()),
        is_emptied: current.inventory.evacuates(domain),
    };
    let (undo, author) = (arguments.undo, &arguments.author);
    if let Some(version) = switch_emptying(&entries, current.version, &rule, undo, author)? {
        println!("version {version} is in force; look with `goldcrestway evacuations`");
    }
    Ok(())
}
