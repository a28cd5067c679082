//! `status`: shows the state of the entry hosts.

use crate::entry_hosts::EntryHosts;
use crate::fault::Fault;
use argh::FromArgs;
use goldcrestway_daemon::StatusReply;

/// Show the state of each entry host: whether it may act, the version of its
/// configuration, and the cells that it owns.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Arguments {
    /// list the cells of each entry host
    #[argh(switch)]
    cells: bool,
    /// operator address of an entry host, as ADDRESS:PORT; may be repeated; default
    /// 127.0.0.1:8081
    #[argh(option)]
    entry: Vec<String>,
    /// settings file of a daemon; the command uses all entry hosts that it lists
    #[argh(option)]
    settings: Option<String>,
    /// print JSON instead of text
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
            (false, _) => "may not act (no majority has granted a lease, or it must catch up)",
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
