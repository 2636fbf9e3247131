//! Reports of issues in configuration and settings.
//!
//! Validation continues after the first issue, so one report lists everything that has to be fixed.

use std::{
    fmt::{self, Display},
    sync::Arc,
};

const HIDDEN: &str = "(hidden)";

/// The file and line of a value.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceLocation {
    /// Path of the file.
    pub file: Arc<str>,
    /// Line in the file, counted from 1; 0 means the whole file.
    pub line: u32,
}

/// One issue, with the values that would be accepted.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Issue {
    /// The location in the file; `None` if the value came from the log or if its section is
    /// missing.
    pub location: Option<SourceLocation>,
    /// Header of the section, without brackets.
    pub section: Arc<str>,
    /// The key, empty if the issue concerns the section itself or a whole line.
    pub key: Arc<str>,
    /// The text found, if any.
    pub value: Option<Arc<str>>,
    /// A description of the accepted values.
    pub expected: Arc<str>,
    /// The known name that is most similar to the one found.
    pub hint: Option<Arc<str>>,
}

impl Issue {
    /// Builds an issue without a location or a hint.
    #[cold]
    pub(crate) fn new(section: &str, key: &str, value: Option<&str>, expected: &str) -> Self {
        let shown = value.map(|value| {
            if may_be_secret(key, value) {
                HIDDEN
            } else {
                value
            }
        });
        Self {
            location: None,
            section: Arc::from(section),
            key: Arc::from(key),
            value: shown.map(Arc::from),
            expected: Arc::from(expected),
            hint: None,
        }
    }
}

/// All issues of one validation, ordered by location.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IssueReport {
    /// The issues; never empty.
    pub issues: Vec<Issue>,
}

impl IssueReport {
    /// Sorts the issues and removes duplicates.
    #[cold]
    pub(crate) fn new(mut issues: Vec<Issue>) -> Self {
        issues.sort();
        issues.dedup();
        Self { issues }
    }
}

/// Returns whether a value may be a caller's bearer key, entered by mistake instead of its hash.
fn may_be_secret(key: &str, value: &str) -> bool {
    key.starts_with("key") || key.is_empty() && value.starts_with("key")
}

/// Returns the candidate that is most similar to `name`, if the similarity suffices for a hint.
pub(crate) fn nearest(name: &str, candidates: &[&str]) -> Option<Arc<str>> {
    const MIN_SIMILARITY: f64 = 0.8;
    let mut best = None;
    let mut best_similarity = MIN_SIMILARITY;
    for candidate in candidates {
        let similarity = strsim::jaro_winkler(name, candidate);
        if similarity < best_similarity {
            continue;
        }
        best = Some(Arc::from(*candidate));
        best_similarity = similarity;
    }
    best
}

impl Display for SourceLocation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => f.write_str(&self.file),
            line => write!(f, "{}:{line}", self.file),
        }
    }
}

impl Display for Issue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(location) = &self.location {
            write!(f, "{location}: ")?;
        }
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{} ", self.key)?;
        }
        match &self.value {
            Some(value) if self.key.is_empty() => write!(f, "{value:?}: ")?,
            Some(value) => write!(f, "= {value:?}: ")?,
            None if self.key.is_empty() => f.write_str("is wrong: ")?,
            None => f.write_str("is missing: ")?,
        }
        write!(f, "expected {}", self.expected)?;
        if let Some(hint) = &self.hint {
            write!(f, "; did you mean {hint:?}?")?;
        }
        Ok(())
    }
}

impl Display for IssueReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, issue) in self.issues.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            Display::fmt(issue, f)?;
        }
        Ok(())
    }
}

impl std::error::Error for IssueReport {}
