//! The daemon program.

use argh::FromArgs;
use goldcrestway_daemon::Daemon;
use goldcrestway_daemon::load_settings;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use std::process::ExitCode;
use std::thread;

/// Runs one entry host of goldcrestway. SIGTERM begins a planned stop: the host
/// turns unready, answers what is in flight, passes on what it owns, and ends.
/// Exit codes: 0 planned stop, 1 could not run, 2 faulty settings.
#[derive(FromArgs)]
struct Arguments {
    /// file with the settings of this daemon, see docs/user/settings.md
    #[argh(option)]
    settings: Option<String>,
    /// run on the users' platform, which names the settings file in its own variable; see
    /// docs/user/platform.md
    #[argh(switch)]
    platform: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.platform {
        return run_on_platform();
    }
    let Some(path) = arguments.settings else {
        eprintln!("Neither --settings nor --platform is given. Give one of them.");
        return ExitCode::from(2);
    };
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("{path}: {error}. Name a file that can be read.");
            return ExitCode::from(2);
        }
    };
    let settings = match load_settings(&path, &text) {
        Ok(settings) => settings,
        Err(faults) => {
            eprint!("{faults}");
            return ExitCode::from(2);
        }
    };
    let daemon = match Daemon::start(settings) {
        Ok(daemon) => daemon,
        Err(fault) => {
            eprintln!("{fault}");
            return ExitCode::FAILURE;
        }
    };
    let stop = daemon.stop_handle();
    match Signals::new([SIGTERM, SIGINT]) {
        Ok(mut signals) => drop(thread::spawn(move || {
            for _ in signals.forever() {
                stop();
            }
        })),
        Err(error) => {
            eprintln!("while listening for signals: {error}. Stop by `goldcrestway stop`.")
        }
    }
    daemon.wait();
    ExitCode::SUCCESS
}

fn run_on_platform() -> ExitCode {
    match goldcrestway_adapter::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("{fault}");
            ExitCode::from(2)
        }
    }
}
