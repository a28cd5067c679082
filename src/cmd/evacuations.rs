//! `evacuations`: which failure domains are evacuated.

use super::shared::fetch_config;
use crate::entry_hosts::EntryHosts;
use crate::fault::Fault;
use argh::FromArgs;
use serde::Deserialize;

/// Show which failure domains are evacuated, and by which version of the rules.
#[derive(FromArgs)]
#[argh(subcommand, name = "evacuations")]
pub(crate) struct Arguments {
    /// an entry host on the users' platform, as ADDRESS:PORT where it serves its
    /// metrics; each tells what it goes by
    #[argh(option)]
    monitoring: Vec<String>,
    /// an entry host, as ADDRESS:PORT; default 127.0.0.1:8081
    #[argh(option)]
    entry: Vec<String>,
    /// settings of a daemon, from which all entry hosts are taken
    #[argh(option)]
    settings: Option<String>,
}

/// What a host on the users' platform goes by.
#[derive(Debug, Deserialize)]
struct EvacuationState {
    /// Time since it was certain that no newer rules were there; none if it has read none.
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
