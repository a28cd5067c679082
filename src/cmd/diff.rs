//! `diff`: shows what publishing a file would change.

use super::shared::fetch_config;
use super::shared::format_changes;
use crate::entry_hosts::EntryHosts;
use crate::fault::Fault;
use crate::files;
use argh::FromArgs;
use goldcrestway_daemon::changes_to_wire;
use goldcrestway_inventory::compare;
use goldcrestway_inventory::dangers;

/// Show how an inventory differs from the configuration in force, and which running
/// work publishing it would stop.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct Arguments {
    /// inventory file
    #[argh(positional)]
    file: String,
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

/// Prints the differences.
pub(crate) fn execute(arguments: &Arguments) -> Result<(), Fault> {
    let entry_hosts = EntryHosts::new(&arguments.entry, &arguments.settings)?;
    let (sections, inventory) = files::load(&arguments.file)?;
    let current = fetch_config(&entry_hosts)?;
    let changes = compare(&current.sections, &sections);
    let dangers = dangers(&current.inventory, &inventory);
    if arguments.json {
        let body = serde_json::json!({
            "version": current.version,
            "changes": changes_to_wire(&changes),
            "dangers": dangers,
        });
        println!("{body}");
        return Ok(());
    }
    println!(
        "version {} by {} is in force",
        current.version, current.author
    );
    match changes.is_empty() {
        true => println!("{} does not differ from it", arguments.file),
        false => print!("{}", format_changes(&current.sections, &changes)),
    }
    for danger in dangers {
        println!("! {danger}");
    }
    Ok(())
}
