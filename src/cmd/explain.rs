//! `explain`: why is something where it is?

use crate::entry_hosts::EntryHosts;
use crate::fault::Fault;
use argh::FromArgs;

/// Explain a job (TEAM/NAME), a service or a host: where it is, or why it can't
/// run.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Arguments {
    /// the job, service or host
    #[argh(positional)]
    name: String,
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

/// Prints what the owners know.
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
            "nobody knows `{name}`. Jobs are named TEAM/NAME and are forgotten ten minutes after their end; ask all entry hosts with --settings FILE"
        );
        return Err(Fault::Declined(detail.into()));
    }
    for line in lines {
        println!("{line}");
    }
    Ok(())
}
