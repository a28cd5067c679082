//! `evacuations`: lists the evacuated failure domains.

use super::shared::fetch_config;
use crate::entry_hosts::EntryHosts;
use crate::fault::Fault;
use argh::FromArgs;
use serde::Deserialize;

/// Show which failure domains are evacuated, and since which version of the rules.
#[derive(FromArgs)]
#[argh(subcommand, name = "evacuations")]
pub(crate) struct Arguments {
    /// metrics address of an entry host on the users' platform, as ADDRESS:PORT; may be
    /// repeated; shows the rules that each host applies
    #[argh(option)]
    monitoring: Vec<String>,
    /// operator address of an entry host, as ADDRESS:PORT; may be repeated; default
    /// 127.0.0.1:8081
    #[argh(option)]
    entry: Vec<String>,
    /// settings file of a daemon; the command uses all entry hosts that it lists
    #[argh(option)]
    settings: Option<String>,
}

/// Evacuations that a host on the users' platform applies.
#[derive(Debug, Deserialize)]
struct EvacuationState {
    /// Time in milliseconds since it last knew that its rules were the newest; `None` if it
    /// has not read any.
    rules_age_ms: Option<u64>,
    evacuated: Vec<Evacuated>,
}

#[derive(Debug, Deserialize)]
struct Evacuated {
    failure_domain: String,
    since_version: u64,
}

/// Prints a line for each evacuated failure domain.
pub(crate) fn execute(arguments: &Arguments) -> Result<(), Fault> {
    if arguments.monitoring.is_empty() {
        return show_inventory(arguments);
    }
    let entry_hosts = EntryHosts::new(&arguments.monitoring, &None)?;
    let all: Vec<(String, EvacuationState)> =
        entry_hosts.get_all("asking for evacuations", "/evacuations")?;
    for (address, state) in all {
        let age = match state.rules_age_ms {
            Some(age_ms) => format!("rules read {age_ms} ms ago"),
            None => "no rules read yet".into(),
        };
        println!("{address} ({age})");
        for row in state.evacuated {
            let (domain, version) = (row.failure_domain, row.since_version);
            println!("    {domain} is evacuated since version {version}");
        }
    }
    Ok(())
}

fn show_inventory(arguments: &Arguments) -> Result<(), Fault> {
    let entry_hosts = EntryHosts::new(&arguments.entry, &arguments.settings)?;
    let current = fetch_config(&entry_hosts)?;
    let version = current.version;
    println!("version {version} is in force");
    for domain in current.inventory.evacuated() {
        println!("    {domain} is evacuated");
    }
    Ok(())
}
