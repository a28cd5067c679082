//! Schema of INI files: which sections and keys a file may have, and the form of their
//! values.

/// Form of a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Value {
    /// Any non-empty text.
    Text,
    /// A whole number in the given range.
    Whole {
        /// Smallest accepted number.
        min: u64,
        /// Largest accepted number.
        max: u64,
    },
    /// A number of processor cores with up to three decimals, such as `0.5`.
    Cores,
    /// A bandwidth in megabits per second, such as `2.5`.
    Megabits,
    /// One of a few words.
    OneOf(&'static [&'static str]),
}

/// One key of a section.
#[derive(Debug, Clone, Copy)]
pub struct Field {
    /// The key as written in the file; its suffix names the unit.
    pub key: &'static str,
    /// Form of the value.
    pub value: Value,
    /// Value if the key is left out; `None` means that the key is required.
    pub default: Option<&'static str>,
}

impl Field {
    /// Creates a key that must be present.
    pub const fn required(key: &'static str, value: Value) -> Self {
        Self {
            key,
            value,
            default: None,
        }
    }

    /// Creates a key that may be left out, with its default.
    pub const fn optional(key: &'static str, value: Value, default: &'static str) -> Self {
        Self {
            key,
            value,
            default: Some(default),
        }
    }
}

/// Schema of the sections of one kind.
#[derive(Debug, Clone, Copy)]
pub struct SectionSchema {
    /// First word of the section's heading, such as `host`.
    pub kind: &'static str,
    /// Keys that such a section may have.
    pub fields: &'static [Field],
    /// Whether there is at most one such section, with no name in its heading.
    pub is_single: bool,
}

/// The schema of an inventory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InventorySchema;

const COUNT: Value = Value::Whole {
    min: 1,
    max: 1_000_000,
};
const MEGABYTES: Value = Value::Whole {
    min: 1,
    max: 64_000_000,
};
const OPTIONAL_COUNT: Value = Value::Whole { min: 0, max: 1_024 };

/// Values of the key `kind` of a rule.
pub(crate) const RULE_KINDS: &[&str] = &[
    "may-share",
    "never-share",
    "never-twice",
    "spread",
    "quota",
    "urgent",
    "drain",
    "evacuate",
];

impl InventorySchema {
    /// Schemas of all kinds of sections in an inventory.
    pub const SECTIONS: &'static [SectionSchema] = &[
        SectionSchema {
            kind: "failure-domain",
            is_single: false,
            fields: &[],
        },
        SectionSchema {
            kind: "host",
            is_single: false,
            fields: &[
                Field::required("failure_domain", Value::Text),
                Field::required("rack", Value::Text),
                Field::required("cores", Value::Cores),
                Field::required("memory_mb", MEGABYTES),
                Field::optional("accelerators", OPTIONAL_COUNT, "0"),
            ],
        },
        SectionSchema {
            kind: "service",
            is_single: false,
            fields: &[
                Field::required("team", Value::Text),
                Field::required("cores", Value::Cores),
                Field::required("memory_mb", MEGABYTES),
                Field::optional("accelerators", OPTIONAL_COUNT, "0"),
                Field::optional("slots", COUNT, "8"),
                Field::optional("connections", COUNT, "64"),
                Field::optional(
                    "timeout_ms",
                    Value::Whole {
                        min: 10,
                        max: 600_000,
                    },
                    "2000",
                ),
                Field::optional(
                    "response_max_bytes",
                    Value::Whole {
                        min: 1,
                        max: 67_108_864,
                    },
                    "1048576",
                ),
            ],
        },
        SectionSchema {
            kind: "upstream",
            is_single: false,
            fields: &[
                Field::required("service", Value::Text),
                Field::required("host", Value::Text),
            ],
        },
        SectionSchema {
            kind: "team",
            is_single: false,
            fields: &[],
        },
        SectionSchema {
            kind: "job",
            is_single: false,
            fields: &[
                Field::required("team", Value::Text),
                Field::required("cores", Value::Cores),
                Field::required("memory_mb", MEGABYTES),
                Field::optional("accelerators", OPTIONAL_COUNT, "0"),
                Field::optional(
                    "run_time_s",
                    Value::Whole {
                        min: 1,
                        max: 2_592_000,
                    },
                    "60",
                ),
            ],
        },
        SectionSchema {
            kind: "rule",
            is_single: false,
            fields: &[
                Field::required("kind", Value::OneOf(RULE_KINDS)),
                Field::optional("service", Value::Text, ""),
                Field::optional("job", Value::Text, ""),
                Field::optional("team", Value::Text, ""),
                Field::optional("host", Value::Text, ""),
                Field::optional("failure_domain", Value::Text, ""),
                Field::optional("cores", Value::Cores, "0"),
                Field::optional("memory_mb", MEGABYTES, "0"),
                Field::optional("accelerators", OPTIONAL_COUNT, "0"),
                Field::optional("failure_domains", Value::Whole { min: 2, max: 20 }, "2"),
            ],
        },
    ];
}

/// Returns the candidate with the smallest edit distance to `word`, or `None` if all differ by
/// 4 edits or more.
pub fn closest<'a>(word: &str, candidates: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    const DISTANCE_LIMIT: usize = 4;
    candidates
        .map(|candidate| (edit_distance(word, candidate), candidate))
        .filter(|(distance, _)| *distance < DISTANCE_LIMIT)
        .min()
        .map(|(_, candidate)| candidate)
}

/// Returns the Levenshtein distance between two words.
fn edit_distance(first: &str, second: &str) -> usize {
    let second: Vec<char> = second.chars().collect();
    let mut row: Vec<usize> = (0..=second.len()).collect();
    for (line, left) in first.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = line + 1;
        for (column, right) in second.iter().enumerate() {
            let replaced = diagonal + usize::from(left != *right);
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(row[column] + 1).min(diagonal + 1);
        }
    }
    row[second.len()]
}
