//! `timeline`: shows the events of all entry hosts.

use crate::entry_hosts::EntryHosts;
use crate::fault::Fault;
use crate::files;
use argh::FromArgs;
use goldcrestway_events::Entry;
use goldcrestway_events::filter_by_subject;
use goldcrestway_events::merge;
use goldcrestway_events::render_page;

/// Show the events of all entry hosts in a single order.
#[derive(FromArgs)]
#[argh(subcommand, name = "timeline")]
pub(crate) struct Arguments {
    /// show only events about this request, job, cell or member; with --html, highlight them
    #[argh(option)]
    follow: Option<String>,
    /// number of latest events to show, in addition to earlier events about ownership, the
    /// log, or what --follow names; default 1000
    #[argh(option, default = "1000")]
    most: usize,
    /// write a self-contained HTML page to this file
    #[argh(option)]
    html: Option<String>,
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

/// Prints the events or writes the page.
pub(crate) fn execute(arguments: &Arguments) -> Result<(), Fault> {
    let entry_hosts = EntryHosts::new(&arguments.entry, &arguments.settings)?;
    let all: Vec<(String, Vec<Entry>)> =
        entry_hosts.get_all("asking for events", "/v1/timeline")?;
    let mut events = merge(all.into_iter().map(|(_, list)| list).collect());
    limit_events(&mut events, arguments.most, arguments.follow.as_deref());
    if let Some(file) = &arguments.html {
        let subject = arguments.follow.as_deref();
        let page = render_page(&events, subject)
            .map_err(|error| Fault::Declined(format!("while writing the page: {error}").into()))?;
        files::write(file, &page)?;
        println!("{file} contains {} events", events.len());
        return Ok(());
    }
    if let Some(subject) = &arguments.follow {
        events = filter_by_subject(&events, subject);
    }
    if arguments.json {
        println!("{}", serde_json::json!(events));
        return Ok(());
    }
    for event in &events {
        println!(
            "{}.{:05} {} {} {} {} {}",
            event.stamp.wall_ms(),
            event.stamp.counter(),
            event.process,
            event.code,
            event.name,
            event.subject,
            event.detail
        );
    }
    Ok(())
}

/// Retains the latest `max_events` events, and earlier ones about ownership, the state of
/// the log or `subject`. Without these, leases and terms of cells that began earlier would
/// be missing, and so would the start of a job.
fn limit_events(events: &mut Vec<Entry>, max_events: usize, subject: Option<&str>) {
    const OWNERSHIP_AND_LOG: std::ops::Range<u16> = 1_100..1_300;
    let surplus = events.len().saturating_sub(max_events);
    let earlier: Vec<Entry> = events.drain(..surplus).collect();
    let followed = subject
        .map(|subject| filter_by_subject(&earlier, subject))
        .unwrap_or_default();
    let kept = earlier
        .into_iter()
        .filter(|event| OWNERSHIP_AND_LOG.contains(&event.code) || followed.contains(event));
    let mut kept: Vec<Entry> = kept.collect();
    kept.append(events);
    *events = kept;
}
