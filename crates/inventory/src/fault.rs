//! Faults in a file that an operator wrote.

use quick_error::quick_error;
use std::fmt;

quick_error! {
    /// One fault: where it stands, what is wrong and what to do about it.
    #[derive(Debug, Clone, PartialEq, Eq)]
    #[expect(missing_docs, reason = "The macro passes no comments on to fields.")]
    pub enum Fault {
        /// A fault at a line of a file; lines count from 1.
        At { file: Box<str>, line: usize, problem: Box<str>, remedy: Box<str> } {
            display("{}:{}: {}. {}", file, line, problem, remedy)
        }
    }
}

/// All faults of one file, in the order of its lines.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Faults {
    file: Box<str>,
    list: Vec<Fault>,
}

impl Faults {
    /// Starts an empty list for `file`.
    pub fn new(file: &str) -> Self {
        Self {
            file: file.into(),
            list: Vec::new(),
        }
    }

    /// Adds a fault at `line`.
    pub fn add(&mut self, line: usize, problem: impl Into<String>, remedy: impl Into<String>) {
        self.list.push(Fault::At {
            file: self.file.clone(),
            line,
            problem: problem.into().into(),
            remedy: remedy.into().into(),
        });
    }

    /// Tells whether no fault was found.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Lists the faults in the order of their lines.
    pub fn list(&self) -> Vec<&Fault> {
        let mut sorted: Vec<&Fault> = self.list.iter().collect();
        sorted.sort_by_key(|fault| {
            let Fault::At { line, .. } = fault;
            *line
        });
        sorted
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in self.list() {
            writeln!(out, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
