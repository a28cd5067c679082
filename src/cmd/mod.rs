//! The commands of the tool: a module for each, with its arguments and `execute`.

mod check;
mod diff;
mod drain;
mod evacuate;
mod evacuations;
mod explain;
mod get;
mod publish;
mod rebase;
mod shared;
mod status;
mod stop;
mod submit;
mod timeline;

use crate::fault::Fault;
use argh::FromArgs;

/// The commands.
#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Check(check::Arguments),
    Diff(diff::Arguments),
    Drain(drain::Arguments),
    Evacuate(evacuate::Arguments),
    Evacuations(evacuations::Arguments),
    Explain(explain::Arguments),
    Get(get::Arguments),
    Publish(publish::Arguments),
    Rebase(rebase::Arguments),
    Status(status::Arguments),
    Stop(stop::Arguments),
    Submit(submit::Arguments),
    Timeline(timeline::Arguments),
}

impl Command {
    /// Executes the command.
    pub(crate) fn execute(self) -> Result<(), Fault> {
        match self {
            Command::Check(arguments) => check::execute(&arguments),
            Command::Diff(arguments) => diff::execute(&arguments),
            Command::Drain(arguments) => drain::execute(&arguments),
            Command::Evacuate(arguments) => evacuate::execute(&arguments),
            Command::Evacuations(arguments) => evacuations::execute(&arguments),
            Command::Explain(arguments) => explain::execute(&arguments),
            Command::Get(arguments) => get::execute(&arguments),
            Command::Publish(arguments) => publish::execute(&arguments),
            Command::Rebase(arguments) => rebase::execute(&arguments),
            Command::Status(arguments) => status::execute(&arguments),
            Command::Stop(arguments) => stop::execute(&arguments),
            Command::Submit(arguments) => submit::execute(&arguments),
            Command::Timeline(arguments) => timeline::execute(&arguments),
        }
    }
}
