//! `get`: fetch the configuration in force for editing.

use super::shared::fetch_config;
use crate::entry_hosts::EntryHosts;
use crate::fault::Fault;
use crate::files;
use crate::files::Base;
use argh::FromArgs;
use goldcrestway_inventory::render;

/// Write the configuration in force to a file for editing, and FILE.base beside
/// it, which remembers the version. An existing file is not overwritten.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub(crate) struct Arguments {
    /// the file to write
    #[argh(positional)]
    file: String,
    /// an entry host, as ADDRESS:PORT; default 127.0.0.1:8081
    #[argh(option)]
    entry: Vec<String>,
    /// settings of a daemon, from which all entry hosts are taken
    #[argh(option)]
    settings: Option<String>,
}

/// Writes both files.
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
        "{file} holds version {} by {}",
        current.version, current.author
    );
    Ok(())
}
