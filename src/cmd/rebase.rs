//! `rebase`: bring an edited file onto the configuration in force.

use super::shared::fetch_config;
use crate::entry_hosts::EntryHosts;
use crate::fault::Fault;
use crate::files;
use crate::files::Base;
use argh::FromArgs;
use goldcrestway_inventory::Section;
use goldcrestway_inventory::Sections;
use goldcrestway_inventory::compare;
use goldcrestway_inventory::render;
use std::collections::BTreeSet;

/// Bring your edits onto the version in force, after somebody else published.
/// Sections that both of you changed are listed and yours are kept; your former
/// file is kept as FILE.before-rebase.
#[derive(FromArgs)]
#[argh(subcommand, name = "rebase")]
pub(crate) struct Arguments {
    /// the inventory
    #[argh(positional)]
    file: String,
    /// an entry host, as ADDRESS:PORT; default 127.0.0.1:8081
    #[argh(option)]
    entry: Vec<String>,
    /// settings of a daemon, from which all entry hosts are taken
    #[argh(option)]
    settings: Option<String>,
}

/// Rewrites the file and its copy.
pub(crate) fn execute(arguments: &Arguments) -> Result<(), Fault> {
    let file = &arguments.file;
    let entry_hosts = EntryHosts::new(&arguments.entry, &arguments.settings)?;
    let original = files::read(file)?;
    let (sections, _) = files::load(file)?;
    let base = files::load_base(file)?;
    let current = fetch_config(&entry_hosts)?;
    let (merged, conflicts) = merge(&base.sections, &sections, &current.sections);
    files::write(&format!("{file}.before-rebase"), &original)?;
    files::write(file, &render(&merged))?;
    let base = Base {
        version: current.version,
        sections: current.sections,
    };
    files::write_base(file, &base)?;
    println!(
        "{file} now stands on version {} by {}",
        current.version, current.author
    );
    for (kind, name) in conflicts {
        println!("both changed [{kind} {name}]; yours is kept, look at it before you publish");
    }
    files::load(file).map(drop)
}

/// Kinds and names of sections.
type SectionNames = BTreeSet<(Box<str>, Box<str>)>;

/// Applies what `ours` changed since `base` to `theirs`; names what both changed.
fn merge(base: &Sections, ours: &Sections, theirs: &Sections) -> (Sections, SectionNames) {
    let mut merged = theirs.clone();
    let their_changes: BTreeSet<_> = compare(base, theirs)
        .into_iter()
        .map(|change| (change.kind, change.name))
        .collect();
    let mut conflicts = BTreeSet::new();
    for change in compare(base, ours) {
        let identity = (change.kind, change.name);
        let is_same = ours.get(&identity).map(|section| &section.values)
            == theirs.get(&identity).map(|section| &section.values);
        if their_changes.contains(&identity) && !is_same {
            conflicts.insert(identity.clone());
        }
        match change.values {
            None => drop(merged.remove(&identity)),
            Some(values) => {
                let section = Section {
                    values,
                    ..Section::default()
                };
                merged.insert(identity, section);
            }
        }
    }
    (merged, conflicts)
}
