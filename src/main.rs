//! The operator's tool.

mod cmd;
mod entry_hosts;
mod fault;
mod files;

use argh::FromArgs;
use cmd::Command;
use std::process::ExitCode;

/// The operator's tool of goldcrestway. Edit the inventory, `check` it, look at the
/// `diff`, and `publish` it; `status`, `explain` and `timeline` tell what happens.
/// Exit codes: 0 done, 1 refused or failed, 2 faulty file or arguments, 3 the
/// outcome is not known yet and the same command should be given again.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match arguments.command.execute() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("{fault}");
            ExitCode::from(fault.exit_code())
        }
    }
}
