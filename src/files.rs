//! The operator's inventory file, and `FILE.base` beside it: a copy of the published
//! version that the file was edited from.

use crate::fault::Fault;
use goldcrestway_inventory::Inventory;
use goldcrestway_inventory::Sections;
use goldcrestway_inventory::load_sections;
use goldcrestway_inventory::render;

/// Start of the first line of `FILE.base`, before the version.
const BASE_PREFIX: &str = "# base: ";

/// The published version that a file was edited from.
#[derive(Debug, Clone, Default)]
pub(crate) struct Base {
    /// Its number; 0 if the file was never published.
    pub(crate) version: u64,
    /// Its sections.
    pub(crate) sections: Sections,
}

/// Reads a text file.
///
/// # Errors
///
/// The file can't be read.
pub(crate) fn read(file: &str) -> Result<String, Fault> {
    std::fs::read_to_string(file).map_err(|error| Fault::File("reading", file.into(), error))
}

/// Replaces a file atomically, through `FILE.new`, so that a failure does not destroy the
/// previous content.
///
/// # Errors
///
/// Either file can't be written.
pub(crate) fn write(file: &str, text: &str) -> Result<(), Fault> {
    let fault = |error| Fault::File("writing", file.into(), error);
    let temporary = format!("{file}.new");
    std::fs::write(&temporary, text).map_err(fault)?;
    std::fs::rename(&temporary, file).map_err(fault)
}

/// Reads and checks an inventory.
///
/// # Errors
///
/// The file can't be read or has faults.
pub(crate) fn load(file: &str) -> Result<(Sections, Inventory), Fault> {
    Ok(load_sections(file, &read(file)?)?)
}

fn base_path(file: &str) -> String {
    format!("{file}.base")
}

/// Reads `FILE.base`; returns version 0 if there is none, as the file was never published.
///
/// # Errors
///
/// `FILE.base` can't be read or has faults.
pub(crate) fn load_base(file: &str) -> Result<Base, Fault> {
    let name = base_path(file);
    let text = match std::fs::read_to_string(&name) {
        Ok(text) => text,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(Base::default()),
        Err(error) => return Err(Fault::File("reading", name.into(), error)),
    };
    let version = text
        .lines()
        .next()
        .and_then(|line| line.strip_prefix(BASE_PREFIX));
    let Some(version) = version.and_then(|version| version.trim().parse().ok()) else {
        let detail = format!(
            "{name}:1: the line `{BASE_PREFIX}VERSION` is missing. Remove {name} and run `goldcrestway rebase {file}`"
        );
        return Err(Fault::Declined(detail.into()));
    };
    let (sections, _) = load_sections(&name, &text)?;
    Ok(Base { version, sections })
}

/// Writes `FILE.base`, which records that `file` is now based on `base`.
///
/// # Errors
///
/// `FILE.base` can't be written.
pub(crate) fn write_base(file: &str, base: &Base) -> Result<(), Fault> {
    let text = format!("{BASE_PREFIX}{}\n{}", base.version, render(&base.sections));
    write(&base_path(file), &text)
}
