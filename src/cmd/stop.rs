//! `stop`: end one entry host without cutting anything off.

use crate::entry_hosts::EntryHosts;
use crate::fault::Fault;
use argh::FromArgs;

/// Begin a planned stop of one entry host: it turns unready, answers what is in
/// flight, passes on what it owns, and ends.
#[derive(FromArgs)]
#[argh(subcommand, name = "stop")]
pub(crate) struct Arguments {
    /// the entry host to stop, as ADDRESS:PORT of its operator address
    #[argh(positional)]
    entry: String,
}

/// Asks the entry host to stop.
pub(crate) fn execute(arguments: &Arguments) -> Result<(), Fault> {
    let entry_hosts = EntryHosts::new(std::slice::from_ref(&arguments.entry), &None)?;
    entry_hosts.post("stopping an entry host", "/v1/stop", &())?;
    println!(
        "{} is stopping; it ends when the last request in flight is answered",
        arguments.entry
    );
    Ok(())
}
