//! Faults in a file written by an operator.

use quick_error::quick_error;
use std::fmt;

quick_error! {
    /// One fault: its file and line, the problem and the remedy.
    #[derive(Debug, Clone, PartialEq, Eq)]
    #[expect(missing_docs, reason = "The macro does not accept doc comments on fields.")]
    pub enum Fault {
        /// A fault at a line of a file. Lines count from 1.
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
    /// Creates an empty list for `file`.
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

    /// Returns whether there is no fault.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns the faults in the order of their lines.
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
