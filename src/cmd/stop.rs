//! `stop`: stops one entry host without cutting off requests.

use crate::entry_hosts::EntryHosts;
use crate::fault::Fault;
use argh::FromArgs;

/// Begin a planned stop of one entry host: it becomes unready, answers the requests in
/// flight, hands over what it owns, and exits.
#[derive(FromArgs)]
#[argh(subcommand, name = "stop")]
pub(crate) struct Arguments {
    /// operator address of the entry host to stop, as ADDRESS:PORT
    #[argh(positional)]
    entry: String,
}

/// Requests the planned stop.
pub(crate) fn execute(arguments: &Arguments) -> Result<(), Fault> {
    let entry_hosts = EntryHosts::new(std::slice::from_ref(&arguments.entry), &None)?;
    entry_hosts.post("stopping an entry host", "/v1/stop", &())?;
    println!(
        "{} is stopping; it ends when the last request in flight is answered",
        arguments.entry
    );
    Ok(())
}
