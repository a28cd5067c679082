//! `evacuate`: moves the work of a failure domain elsewhere.

use super::shared::ExclusionRule;
use super::shared::fetch_config;
use super::shared::set_exclusion;
use crate::entry_hosts::EntryHosts;
use crate::fault::Fault;
use argh::FromArgs;

/// Evacuate a failure domain: its hosts get no new work and its instances no new
/// requests; batch tasks there are checkpointed and resume elsewhere. The rule is
/// published and stays until --undo.
#[derive(FromArgs)]
#[argh(subcommand, name = "evacuate")]
pub(crate) struct Arguments {
    /// name of the failure domain
    #[argh(positional)]
    failure_domain: String,
    /// end the evacuation: the failure domain gets new work again
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

/// Publishes or removes the evacuation rule.
pub(crate) fn execute(arguments: &Arguments) -> Result<(), Fault> {
    let entry_hosts = EntryHosts::new(&arguments.entry, &arguments.settings)?;
    let current = fetch_config(&entry_hosts)?;
    let domain = &arguments.failure_domain;
    let rule = ExclusionRule {
        kind: "evacuate",
        key: "failure_domain",
        object: "failure domain",
        name: domain,
        active_text: "is evacuated",
        is_listed: current.inventory.failure_domains.contains(domain.as_str()),
        is_active: current.inventory.evacuates(domain),
    };
    let (undo, author) = (arguments.undo, &arguments.author);
    if let Some(version) = set_exclusion(&entry_hosts, current.version, &rule, undo, author)? {
        println!("version {version} is in force; check with `goldcrestway evacuations`");
    }
    Ok(())
}
