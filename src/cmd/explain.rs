//! `explain`: shows where a job, service or host is, and why.

use crate::entry_hosts::EntryHosts;
use crate::fault::Fault;
use argh::FromArgs;

/// Explain a job (TEAM/NAME), a service or a host: where it runs, or why it can't
/// run.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Arguments {
    /// name of the job, service or host
    #[argh(positional)]
    name: String,
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

/// Prints the explanations of all entry hosts, without duplicates.
pub(crate) fn execute(arguments: &Arguments) -> Result<(), Fault> {
    let entry_hosts = EntryHosts::new(&arguments.entry, &arguments.settings)?;
    let path = format!("/v1/explain/{}", arguments.name);
    let all: Vec<(String, Vec<String>)> =
        entry_hosts.get_all("asking for an explanation", &path)?;
    let mut lines: Vec<String> = all.into_iter().flat_map(|(_, lines)| lines).collect();
    lines.sort();
    lines.dedup();
    if arguments.json {
        println!("{}", serde_json::json!(lines));
        return Ok(());
    }
    if lines.is_empty() {
        let name = &arguments.name;
        let detail = format!(
            "no entry host knows `{name}`. Jobs are named TEAM/NAME and are removed ten minutes after their end; query all entry hosts with --settings FILE"
        );
        return Err(Fault::Declined(detail.into()));
    }
    for line in lines {
        println!("{line}");
    }
    Ok(())
}
