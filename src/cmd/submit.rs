//! `submit`: have a job run once.

use crate::entry_hosts::EntryHosts;
use crate::fault::Fault;
use argh::FromArgs;
use goldcrestway_daemon::JobRequest;

/// Submit a job that the inventory lists. Giving the same --id again asks for its
/// state and never runs it twice.
#[derive(FromArgs)]
#[argh(subcommand, name = "submit")]
pub(crate) struct Arguments {
    /// name of the job in the inventory
    #[argh(positional)]
    job: String,
    /// identity of this run, unique within its team
    #[argh(option)]
    id: String,
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

/// Submits the job and prints its state.
pub(crate) fn execute(arguments: &Arguments) -> Result<(), Fault> {
    const STEP: &str = "submitting the job";
    let entry_hosts = EntryHosts::new(&arguments.entry, &arguments.settings)?;
    let request = JobRequest {
        job: arguments.job.clone(),
        id: arguments.id.clone(),
    };
    let response = entry_hosts.post(STEP, "/v1/jobs", &request)?;
    if response.status != 200 {
        return Err(Fault::Refused(
            STEP,
            response.address.as_str().into(),
            response.detail(),
        ));
    }
    if arguments.json {
        println!("{}", response.body);
        return Ok(());
    }
    let value: serde_json::Value = serde_json::from_str(&response.body).unwrap_or_default();
    let state = value
        .get("state")
        .and_then(|state| state.as_str())
        .unwrap_or("accepted");
    println!("{} {}: {state}", arguments.job, arguments.id);
    Ok(())
}
