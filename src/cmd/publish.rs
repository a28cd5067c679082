//! `publish`: puts an inventory into force.

use super::shared::author;
use super::shared::fetch_config;
use super::shared::format_changes;
use super::shared::publish;
use crate::entry_hosts::EntryHosts;
use crate::fault::Fault;
use crate::files;
use crate::files::Base;
use argh::FromArgs;
use goldcrestway_inventory::compare;
use goldcrestway_inventory::dangers;

/// Check an inventory and put it into force everywhere. If another version was published
/// since you began to edit, nothing is published and its author is shown.
#[derive(FromArgs)]
#[argh(subcommand, name = "publish")]
pub(crate) struct Arguments {
    /// inventory file
    #[argh(positional)]
    file: String,
    /// publish even if running work is evicted or a quota is lowered
    #[argh(switch)]
    accept_dangers: bool,
    /// replace the whole configuration by FILE, whichever version it was edited from
    #[argh(switch)]
    replace: bool,
    /// name recorded as author; default: the name of the user
    #[argh(option)]
    author: Option<String>,
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

/// Publishes the file.
pub(crate) fn execute(arguments: &Arguments) -> Result<(), Fault> {
    let file = &arguments.file;
    let entry_hosts = EntryHosts::new(&arguments.entry, &arguments.settings)?;
    let (sections, inventory) = files::load(file)?;
    let current = fetch_config(&entry_hosts)?;
    let mut base = files::load_base(file)?;
    if arguments.replace {
        base = Base {
            version: current.version,
            sections: current.sections.clone(),
        };
    }
    let changes = compare(&base.sections, &sections);
    let is_current =
        current.version >= base.version && compare(&current.sections, &sections).is_empty();
    let version = if is_current {
        current.version
    } else if base.version != current.version {
        return Err(Fault::Declined(conflict_message(
            file,
            base.version,
            &current.author,
            current.version,
        )));
    } else {
        eprint!("{}", format_changes(&base.sections, &changes));
        let dangers = dangers(&current.inventory, &inventory);
        if !dangers.is_empty() && !arguments.accept_dangers {
            let list = dangers.join("\n! ");
            let detail =
                format!("! {list}\nNothing was published. Add --accept-dangers if this is meant");
            return Err(Fault::Declined(detail.into()));
        }
        let advice = format!("Run `goldcrestway rebase {file}`, then publish again.");
        publish(
            &entry_hosts,
            base.version,
            &author(&arguments.author),
            &changes,
            &advice,
        )?
    };
    files::write_base(file, &Base { version, sections })?;
    match arguments.json {
        true => println!(
            "{}",
            serde_json::json!({ "version": version, "was_in_force": is_current })
        ),
        false if is_current => println!("version {version} is in force already and equals {file}"),
        false => println!("version {version} is in force"),
    }
    Ok(())
}

/// Returns the message that another version was published first, and the commands that
/// resolve the conflict.
fn conflict_message(file: &str, base: u64, author: &str, version: u64) -> Box<str> {
    let edited = match base {
        0 => format!("it is not known from which version {file} was edited"),
        _ => format!("{file} was edited from version {base}"),
    };
    format!(
        "{edited}, but version {version} by {author} is in force. Nothing was published.\n\
         See the difference:        goldcrestway diff {file}\n\
         Merge both versions:       goldcrestway rebase {file}\n\
         Or keep only your file:    goldcrestway publish --replace {file}"
    )
    .into()
}
