//! `get`: fetches the configuration in force for editing.

use super::shared::fetch_config;
use crate::entry_hosts::EntryHosts;
use crate::fault::Fault;
use crate::files;
use crate::files::Base;
use argh::FromArgs;
use goldcrestway_inventory::render;

/// Write the configuration in force to a file for editing, and FILE.base beside
/// it, which records the version. An existing file is not overwritten.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub(crate) struct Arguments {
    /// file to write
    #[argh(positional)]
    file: String,
    /// operator address of an entry host, as ADDRESS:PORT; may be repeated; default
    /// 127.0.0.1:8081
    #[argh(option)]
    entry: Vec<String>,
    /// settings file of a daemon; the command uses all entry hosts that it lists
    #[argh(option)]
    settings: Option<String>,
}

/// Writes the inventory file and `FILE.base`.
pub(crate) fn execute(arguments: &Arguments) -> Result<(), Fault> {
    let file = &arguments.file;
    if std::path::Path::new(file).exists() {
        let detail =
            format!("{file} exists. Name another file, or run `goldcrestway rebase {file}`");
        return Err(Fault::Declined(detail.into()));
    }
    let entry_hosts = EntryHosts::new(&arguments.entry, &arguments.settings)?;
    let current = fetch_config(&entry_hosts)?;
    files::write(file, &render(&current.sections))?;
    let base = Base {
        version: current.version,
        sections: current.sections,
    };
    files::write_base(file, &base)?;
    println!(
        "{file} contains version {} by {}",
        current.version, current.author
    );
    Ok(())
}
