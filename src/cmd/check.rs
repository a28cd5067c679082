//! `check`: checks an inventory file.

use crate::fault::Fault;
use crate::files;
use argh::FromArgs;

/// Check an inventory and its rules, without any entry host. All faults are shown
/// at once, each with its line and a remedy.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Arguments {
    /// inventory file
    #[argh(positional)]
    file: String,
    /// print JSON instead of text
    #[argh(switch)]
    json: bool,
}

/// Checks the file and prints how many objects of each kind it lists.
pub(crate) fn execute(arguments: &Arguments) -> Result<(), Fault> {
    let (_, inventory) = files::load(&arguments.file)?;
    let counts = [
        ("hosts", inventory.hosts.len()),
        ("services", inventory.services.len()),
        ("upstreams", inventory.upstreams.len()),
        ("jobs", inventory.jobs.len()),
        ("teams", inventory.teams.len()),
    ];
    if arguments.json {
        let map: std::collections::BTreeMap<_, _> = counts.into_iter().collect();
        println!("{}", serde_json::json!({ "sound": true, "counts": map }));
        return Ok(());
    }
    let parts: Vec<String> = counts
        .iter()
        .map(|(name, count)| format!("{count} {name}"))
        .collect();
    println!("{} is sound: {}", arguments.file, parts.join(", "));
    Ok(())
}
