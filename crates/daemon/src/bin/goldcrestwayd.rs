//! The executable of the daemon.

use argh::FromArgs;
use goldcrestway_daemon::Daemon;
use goldcrestway_daemon::load_settings;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use std::process::ExitCode;
use std::thread;

/// Run one entry host of goldcrestway. SIGTERM or SIGINT begins a planned stop: the host
/// becomes unready, answers the requests in flight, hands over what it owns, and exits.
/// Exit codes: 0 planned stop, 1 the daemon could not start, 2 faulty settings or arguments.
#[derive(FromArgs)]
struct Arguments {
    /// settings file of this daemon; see docs/user/settings.md
    #[argh(option)]
    settings: Option<String>,
    /// run on the users' platform, which gives the settings file in an environment variable;
    /// see docs/user/platform.md
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
