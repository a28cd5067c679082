//! `submit`: runs a job once.

use crate::entry_hosts::EntryHosts;
use crate::fault::Fault;
use argh::FromArgs;
use goldcrestway_daemon::JobRequest;

/// Submit a job that the inventory lists. With an --id that was used before, show the
/// state of that run and start no other.
#[derive(FromArgs)]
#[argh(subcommand, name = "submit")]
pub(crate) struct Arguments {
    /// name of the job in the inventory
    #[argh(positional)]
    job: String,
    /// identity of this run, unique within its team
    #[argh(option)]
    id: String,
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
