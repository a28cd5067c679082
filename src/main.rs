//! The command-line tool for operators.

mod cmd;
mod entry_hosts;
mod fault;
mod files;

use argh::FromArgs;
use cmd::Command;
use std::process::ExitCode;

/// Manage goldcrestway. Edit the inventory, `check` it, show the `diff`, and `publish` it;
/// `status`, `explain` and `timeline` show what the entry hosts do.
/// Exit codes: 0 done, 1 refused or failed, 2 faulty file or arguments, 3 the
/// outcome is not known yet: run the same command again.
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
