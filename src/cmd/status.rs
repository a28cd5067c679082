//! `status`: where the entry hosts stand.

use crate::entry_hosts::EntryHosts;
use crate::fault::Fault;
use argh::FromArgs;
use goldcrestway_daemon::StatusReply;

/// Show where each entry host stands: whether it may act, its configuration, and
/// what it owns.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Arguments {
    /// show each cell
    #[argh(switch)]
    cells: bool,
    /// an entry host, as ADDRESS:PORT; default 127.0.0.1:8081
    #[argh(option)]
    entry: Vec<String>,
    /// settings of a daemon, from which all entry hosts are taken
    #[argh(option)]
    settings: Option<String>,
    /// print JSON for programs
    #[argh(switch)]
    json: bool,
}

/// Prints a line for each entry host.
pub(crate) fn execute(arguments: &Arguments) -> Result<(), Fault> {
    let entry_hosts = EntryHosts::new(&arguments.entry, &arguments.settings)?;
    let all: Vec<(String, StatusReply)> = entry_hosts.get_all("asking for status", "/v1/status")?;
    if arguments.json {
        let map: std::collections::BTreeMap<_, _> = all.into_iter().collect();
        println!("{}", serde_json::json!(map));
        return Ok(());
    }
    for (address, status) in all {
        let acts = match (status.acts, status.is_stopping) {
            (true, false) => "acts",
            (true, true) => "is stopping",
            (false, _) => "may not act (no majority has promised, or it must catch up)",
        };
        println!(
            "{address} {} {acts}; configuration {}, {} cells, {} requests in flight, sees {} alive",
            status.member,
            status.config_version,
            status.cells.len(),
            status.requests,
            status.alive.len()
        );
        if arguments.cells {
            for (cell, line) in status.cells {
                println!("    {cell}: {line}");
            }
        }
    }
    Ok(())
}
