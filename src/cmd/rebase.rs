//! `rebase`: applies the edits of a file to the configuration in force.

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

/// Apply your edits to the version in force, after somebody else published one.
/// Sections that both of you changed are listed and yours are retained; your previous
/// file is saved as FILE.before-rebase.
#[derive(FromArgs)]
#[argh(subcommand, name = "rebase")]
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
}

/// Rewrites the inventory file and `FILE.base`.
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
        "{file} is now based on version {} by {}",
        current.version, current.author
    );
    for (kind, name) in conflicts {
        println!("both changed [{kind} {name}]; yours is retained: review it before you publish");
    }
    files::load(file).map(drop)
}

/// Kinds and names of sections.
type SectionNames = BTreeSet<(Box<str>, Box<str>)>;

/// Applies the changes from `base` to `ours` on top of `theirs`; also returns the sections
/// that both changed differently.
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
