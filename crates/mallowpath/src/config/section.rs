//! The canonical form of configuration: named sections of text entries.
//!
//! A change in the log contains sections in this form. It has no comments, no order and no file
//! names, so two folders with the same meaning result in the same sections.

use crate::{
    config::entries::Entries,
    config::ini::IniDocument,
    config::issue::{Issue, nearest},
};
use std::{
    collections::BTreeMap,
    fmt::{self, Display},
    str::FromStr,
    sync::Arc,
};

/// Kind and name of a section; the name is empty for a kind with only one section.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SectionName {
    /// What the section describes, such as `workspace`.
    pub kind: Arc<str>,
    /// Identifies the section among those of its kind.
    pub name: Arc<str>,
}

/// One section with its entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Section {
    /// What the section describes, such as `workspace`.
    pub kind: Arc<str>,
    /// Identifies the section among those of its kind.
    pub name: Arc<str>,
    /// Values by key.
    pub entries: Entries,
}

/// All sections of a configuration.
pub type Sections = BTreeMap<SectionName, Section>;

impl SectionName {
    /// Creates the name of a section; `name` is empty for a kind with only one section.
    pub(crate) fn new(kind: &str, name: &str) -> Self {
        Self {
            kind: Arc::from(kind),
            name: Arc::from(name),
        }
    }

    /// Splits a header into its kind, which is the first word, and its name, which is the rest.
    pub fn from_header(header: &str) -> Self {
        let (kind, name) = header.split_once(' ').unwrap_or((header, ""));
        Self {
            kind: Arc::from(kind),
            name: Arc::from(name),
        }
    }
}

impl Section {
    /// Returns the kind and name.
    pub fn section_name(&self) -> SectionName {
        SectionName {
            kind: Arc::clone(&self.kind),
            name: Arc::clone(&self.name),
        }
    }
}

/// Returns whether a section contains `key`, rather than having its default.
pub(crate) fn is_set(sections: &Sections, section: &SectionName, key: &str) -> bool {
    sections
        .get(section)
        .is_some_and(|section| section.entries.contains_key(key))
}

/// Returns the sections of a merged document, without files and lines.
pub fn sections_of_document(document: &IniDocument) -> Sections {
    let mut sections = Sections::new();
    for (header, content) in &document.sections {
        let name = SectionName::from_header(header);
        let mut entries = Vec::with_capacity(content.values.len());
        for (key, value) in &content.values {
            entries.push((Arc::clone(key), Arc::clone(&value.text)));
        }
        let section = Section {
            kind: Arc::clone(&name.kind),
            name: Arc::clone(&name.name),
            entries: entries.into_iter().collect(),
        };
        sections.insert(name, section);
    }
    sections
}

/// The values of a boolean setting.
pub(crate) const YES_OR_NO: [(&str, bool); 2] = [("yes", true), ("no", false)];

/// Reads typed values from one section and records every issue.
///
/// A key is accepted only if it has been read, so the accepted keys are exactly those in use.
pub(crate) struct SectionReader<'a> {
    header: String,
    entries: &'a Entries,
    known: Vec<&'static str>,
    issues: &'a mut Vec<Issue>,
}

impl<'a> SectionReader<'a> {
    /// Creates a reader for `section` that appends to `issues`.
    pub(crate) fn new(section: &'a Section, issues: &'a mut Vec<Issue>) -> Self {
        Self {
            header: section.section_name().to_string(),
            entries: &section.entries,
            known: Vec::new(),
            issues,
        }
    }

    /// Records that the value of `key` is missing or invalid.
    #[cold]
    pub(crate) fn reject(&mut self, key: &str, expected: &str) {
        let value = self.entries.get(key).map(AsRef::as_ref);
        self.issues
            .push(Issue::new(&self.header, key, value, expected));
    }

    /// Parses a value with `parse`; returns `None` if the key is absent or its value is invalid.
    pub(crate) fn parse_with<T>(
        &mut self,
        key: &'static str,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        self.known.push(key);
        let value = parse(self.entries.get(key)?);
        if value.is_none() {
            self.reject(key, expected);
        }
        value
    }

    /// Reads an optional value.
    pub(crate) fn optional<T: FromStr>(&mut self, key: &'static str, expected: &str) -> Option<T> {
        self.parse_with(key, expected, |text| text.parse().ok())
    }

    /// Returns whether the section contains `key`.
    pub(crate) fn has(&self, key: &str) -> bool {
        self.entries.contains_key(key)
    }

    /// Records an issue if `key` is absent.
    pub(crate) fn require(&mut self, key: &str, expected: &str) {
        if !self.has(key) {
            self.reject(key, expected);
        }
    }

    /// Reads a required value.
    pub(crate) fn required<T: FromStr>(&mut self, key: &'static str, expected: &str) -> Option<T> {
        self.require(key, expected);
        self.optional(key, expected)
    }

    /// Reads a required name, without copying its text.
    pub(crate) fn required_name<T: for<'t> TryFrom<&'t Arc<str>>>(
        &mut self,
        key: &'static str,
        expected: &str,
    ) -> Option<T> {
        self.require(key, expected);
        self.known.push(key);
        let name = T::try_from(self.entries.get(key)?).ok();
        if name.is_none() {
            self.reject(key, expected);
        }
        name
    }

    /// Reads a whole number from `min` to `max`; returns the default if it is absent or invalid.
    pub(crate) fn number(&mut self, key: &'static str, min: u64, max: u64, default: u64) -> u64 {
        let expected = format!("a whole number from {min} to {max}, such as 1_000, 5k or 2M");
        let parse = |text: &str| parse_number(text).filter(|n| (min..=max).contains(n));
        self.parse_with(key, &expected, parse).unwrap_or(default)
    }

    /// Reads one of the given keywords; returns the default if it is absent or invalid.
    pub(crate) fn choice<T: Copy>(
        &mut self,
        key: &'static str,
        choices: &[(&str, T)],
        default: T,
    ) -> T {
        let keywords: Vec<&str> = choices.iter().map(|(keyword, _)| *keyword).collect();
        let find = |text: &str| {
            choices
                .iter()
                .find(|(keyword, _)| *keyword == text)
                .map(|found| found.1)
        };
        self.parse_with(key, &keywords.join(" or "), find)
            .unwrap_or(default)
    }

    /// Reads a comma-separated list, which is empty if the key is absent or the list is invalid.
    pub(crate) fn list<T: FromStr>(&mut self, key: &'static str, expected: &str) -> Vec<T> {
        let parse = |text: &str| {
            let mut values = Vec::new();
            for part in text.split(',') {
                values.push(part.trim().parse().ok()?);
            }
            Some(values)
        };
        self.parse_with(key, expected, parse).unwrap_or_default()
    }

    /// Records an issue for each key that was not read, and returns the keys that were.
    pub(crate) fn finish(self) -> Vec<&'static str> {
        for (key, value) in self.entries {
            if self.known.contains(&key.as_ref()) {
                continue;
            }
            let expected = format!("one of the keys {}", self.known.join(", "));
            let mut issue = Issue::new(&self.header, key, Some(value), &expected);
            issue.hint = nearest(key, &self.known);
            self.issues.push(issue);
        }
        self.known
    }
}

/// Parses a whole number, with optional `_` separators and an optional suffix `k`, `M` or `G`.
pub(crate) fn parse_number(text: &str) -> Option<u64> {
    let (digits, factor) = match text.chars().last()? {
        'k' => (&text[..text.len() - 1], 1_000),
        'M' => (&text[..text.len() - 1], 1_000_000),
        'G' => (&text[..text.len() - 1], 1_000_000_000),
        _ => (text, 1),
    };
    if !digits.starts_with(|c: char| c.is_ascii_digit()) || digits.ends_with('_') {
        return None;
    }
    digits
        .replace('_', "")
        .parse::<u64>()
        .ok()?
        .checked_mul(factor)
}

impl Display for SectionName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.kind)?;
        if !self.name.is_empty() {
            write!(f, " {}", self.name)?;
        }
        Ok(())
    }
}
