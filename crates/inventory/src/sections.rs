//! Reads INI files into ordered sections that record the line of each heading and key.

use crate::fault::Faults;
use crate::schema::SectionSchema;
use crate::schema::Value;
use crate::schema::closest;
use ini::Ini;
use std::collections::BTreeMap;
use std::collections::HashMap;

/// One section: its keys and values as written, without defaults.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Section {
    /// Line of the heading, counted from 1; 0 if the section was not read from a file.
    pub line: usize,
    /// Values by key.
    pub values: BTreeMap<Box<str>, Box<str>>,
    /// Line of each key.
    pub lines: BTreeMap<Box<str>, usize>,
}

impl Section {
    /// Returns the line of `key`, or that of the heading if the section has no such key.
    pub fn line_of(&self, key: &str) -> usize {
        self.lines.get(key).copied().unwrap_or(self.line)
    }
}

/// All sections by kind and name, such as `("host", "w1")`.
pub type Sections = BTreeMap<(Box<str>, Box<str>), Section>;

/// Reads `text` into sections and checks them against `schema`; adds all faults to `faults`.
pub fn read(text: &str, schema: &[SectionSchema], faults: &mut Faults) -> Sections {
    // `rust-ini` decides whether the text is valid INI and reports the line of a syntax
    // error. It does not record the lines of keys, so the loop below reads the text again.
    if let Err(error) = Ini::load_from_str(text) {
        faults.add(
            error.line + 1,
            format!("this is not valid INI: {}", error.msg),
            "Write `[kind name]` headings and `key = value` lines.",
        );
        return Sections::new();
    }
    let mut sections = Sections::new();
    let mut current: Option<(Box<str>, Box<str>)> = None;
    for (line, raw) in text.lines().enumerate() {
        let (line, raw) = (line + 1, raw.trim());
        if raw.is_empty() || raw.starts_with(['#', ';']) {
            continue;
        }
        if let Some(heading) = raw
            .strip_prefix('[')
            .and_then(|rest| rest.strip_suffix(']'))
        {
            current = open_section(heading, line, schema, &mut sections, faults);
            continue;
        }
        if raw.starts_with('[') {
            let problem = format!("the heading `{raw}` is not closed");
            faults.add(line, problem, "End it with `]`, alone on its line.");
            current = None;
            continue;
        }
        let Some((key, value)) = raw.split_once('=') else {
            let problem = format!("`{raw}` is neither a heading nor a key with a value");
            faults.add(
                line,
                problem,
                "Write `[kind name]`, `key = value`, or begin it with `#`.",
            );
            continue;
        };
        let Some(identity) = &current else {
            faults.add(
                line,
                format!("`{}` is outside any known section", key.trim()),
                "Move it below a heading such as `[host w1]`.",
            );
            continue;
        };
        let Some(section) = sections.get_mut(identity) else {
            continue;
        };
        add_value(
            section,
            &identity.0,
            key.trim(),
            value.trim(),
            line,
            schema,
            faults,
        );
    }
    check_required(&sections, schema, faults);
    sections
}

fn open_section(
    heading: &str,
    line: usize,
    schema: &[SectionSchema],
    sections: &mut Sections,
    faults: &mut Faults,
) -> Option<(Box<str>, Box<str>)> {
    let (kind, name) = heading
        .trim()
        .split_once(' ')
        .unwrap_or((heading.trim(), ""));
    let name = name.trim();
    let known = schema.iter().find(|known| known.kind == kind);
    let Some(known) = known else {
        let kinds = schema.iter().map(|known| known.kind);
        let remedy = match closest(kind, kinds.clone()) {
            Some(suggestion) => format!("Did you mean `[{suggestion} {name}]`?"),
            None => format!("Use one of: {}.", kinds.collect::<Vec<_>>().join(", ")),
        };
        faults.add(line, format!("unknown kind of section `{kind}`"), remedy);
        return None;
    };
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if name.is_empty() != known.is_single || !name.chars().all(is_allowed) {
        faults.add(
            line,
            format!("section `[{heading}]` has no usable name"),
            match known.is_single {
                true => format!("Write `[{kind}]`; there is only one."),
                false => format!("Write `[{kind} NAME]` with letters, digits, `-`, `_` or `.`."),
            },
        );
        return None;
    }
    let identity: (Box<str>, Box<str>) = (kind.into(), name.into());
    if let Some(first) = sections.get(&identity) {
        faults.add(
            line,
            format!(
                "{kind} `{name}` is listed twice, first at line {}",
                first.line
            ),
            "Rename one of the two or remove it.",
        );
        return None;
    }
    let section = Section {
        line,
        ..Section::default()
    };
    sections.insert(identity.clone(), section);
    Some(identity)
}

fn add_value(
    section: &mut Section,
    kind: &str,
    key: &str,
    value: &str,
    line: usize,
    schema: &[SectionSchema],
    faults: &mut Faults,
) {
    let Some(known) = schema.iter().find(|known| known.kind == kind) else {
        return;
    };
    let Some(field) = known.fields.iter().find(|field| field.key == key) else {
        let keys = known.fields.iter().map(|field| field.key);
        let prefixed = keys.clone().find(|known| known.starts_with(key));
        let remedy = match prefixed.or_else(|| closest(key, keys.clone())) {
            Some(suggestion) => format!("Did you mean `{suggestion}`?"),
            None if known.fields.is_empty() => format!("A {kind} takes no keys; remove the line."),
            None => format!("A {kind} takes: {}.", keys.collect::<Vec<_>>().join(", ")),
        };
        faults.add(line, format!("unknown key `{key}` of a {kind}"), remedy);
        return;
    };
    if let Some(remedy) = value_remedy(field.value, value) {
        faults.add(line, format!("`{key} = {value}` can't be read"), remedy);
        return;
    }
    if section.values.insert(key.into(), value.into()).is_some() {
        let first = section.line_of(key);
        faults.add(
            line,
            format!("`{key}` is given twice, first at line {first}"),
            "Keep one of the two lines.",
        );
        return;
    }
    section.lines.insert(key.into(), line);
}

/// Returns the remedy if `text` does not have the form that `value` requires.
fn value_remedy(value: Value, text: &str) -> Option<String> {
    match value {
        Value::Text if text.is_empty() => Some("Give a value or remove the line.".into()),
        Value::Text => None,
        Value::Whole { min, max } => match text.parse::<u64>() {
            Ok(number) if (min..=max).contains(&number) => None,
            Ok(_) => Some(format!("Use a whole number from {min} to {max}.")),
            Err(_) => Some("Write a whole number; the key's suffix names the unit.".into()),
        },
        Value::Cores => match millicores(text) {
            Some(_) => None,
            None => Some("Write a number of cores from 0.001 to 4096, such as 0.5 or 16.".into()),
        },
        Value::Megabits => match text.parse::<f64>() {
            Ok(megabits) if (0.1..=1_000_000.0).contains(&megabits) => None,
            _ => Some("Write megabits a second from 0.1 to 1000000, such as 2.5 or 1000.".into()),
        },
        Value::OneOf(words) if words.contains(&text) => None,
        Value::OneOf(words) => Some(format!("Use one of: {}.", words.join(", "))),
    }
}

/// Parses a number of cores; returns thousandths of a core, or `None` if it is no number
/// from 0.001 to 4096.
pub(crate) fn millicores(text: &str) -> Option<u32> {
    const MAX_CORES: f64 = 4096.0;
    let cores: f64 = text.parse().ok()?;
    if !(0.001..=MAX_CORES).contains(&cores) {
        return None;
    }
    Some((cores * 1000.0).round() as u32)
}

fn check_required(sections: &Sections, schema: &[SectionSchema], faults: &mut Faults) {
    let by_kind: HashMap<&str, &SectionSchema> =
        schema.iter().map(|known| (known.kind, known)).collect();
    for ((kind, name), section) in sections {
        let Some(known) = by_kind.get(&**kind) else {
            continue;
        };
        for field in known.fields {
            if field.default.is_some() || section.values.contains_key(field.key) {
                continue;
            }
            faults.add(
                section.line,
                format!("{kind} `{name}` lacks `{}`", field.key),
                format!("Add a line `{} = ...` below its heading.", field.key),
            );
        }
    }
}

/// Formats sections as INI text, ordered by kind and name.
pub fn render(sections: &Sections) -> String {
    let mut text = String::new();
    for ((kind, name), section) in sections {
        text.push_str(&format!("[{kind} {name}]\n"));
        for (key, value) in &section.values {
            text.push_str(&format!("{key} = {value}\n"));
        }
        text.push('\n');
    }
    text
}
