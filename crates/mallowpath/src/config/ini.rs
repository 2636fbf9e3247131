//! Parsing and merging of INI files, with the file and line of every value.
//!
//! The files of a folder are merged in the order of their names. A section that is repeated, in one
//! file or in several, is merged key by key. If two files set the same key, the later file wins. A
//! key that is repeated within one file is an error, because one of the two is a mistake.
//!
//! The syntax (quotes, escapes, comments) is that of `rust-ini`. Each line is parsed separately,
//! because `rust-ini` does not record line numbers, and so that a report lists every invalid line.
//! A value therefore can't span several lines.

use crate::config::issue::{Issue, SourceLocation};
use ini::Ini;
use std::{
    collections::BTreeMap,
    fs, io,
    path::{Path, PathBuf},
    sync::Arc,
};

const EXPECTED_LINE: &str = "a [section], a key = value or a comment after ; or #";

/// A value and its location in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniValue {
    /// The value without quotes and escapes.
    pub text: Arc<str>,
    /// File and line of the value.
    pub location: SourceLocation,
}

/// The merged keys of one section.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniSection {
    /// File and line of the first header of the section.
    pub location: SourceLocation,
    /// Values by key.
    pub values: BTreeMap<Arc<str>, IniValue>,
}

/// A value that equals the one which an earlier file gives the same key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RepeatedValue {
    /// Header of the section, without brackets.
    pub section: Arc<str>,
    /// The key.
    pub key: Arc<str>,
    /// File and line of the value.
    pub location: SourceLocation,
    /// File and line of the value that it replaces.
    pub earlier: SourceLocation,
}

/// The merged content of one or more INI files, with the issues found while reading them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct IniDocument {
    /// Sections by header, with its words separated by one space.
    pub sections: BTreeMap<Arc<str>, IniSection>,
    /// Issues of lines and files that could not be read.
    pub issues: Vec<Issue>,
    /// Values that replace an equal value of an earlier file.
    pub repeated: Vec<RepeatedValue>,
}

impl IniDocument {
    /// Reads every `*.ini` of a folder and merges them in the order of their names.
    ///
    /// A folder or file that cannot be read becomes an issue of the document.
    pub fn read_folder(folder: &Path) -> Self {
        let mut document = Self::default();
        match ini_files(folder) {
            Ok(files) if files.is_empty() => {
                document.add_file_issue(folder, "a folder with at least one *.ini file");
            }
            Ok(files) => {
                for file in files {
                    document.merge_file(Path::new(&file));
                }
            }
            Err(error) => document.add_file_issue(folder, &format!("a readable folder ({error})")),
        }
        document
    }

    /// Reads one file.
    ///
    /// A file that cannot be read becomes an issue of the document.
    pub fn read_file(file: &Path) -> Self {
        let mut document = Self::default();
        document.merge_file(file);
        document
    }

    /// Merges a file's text into the document; its values replace those of earlier files.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut document = mallowpath::IniDocument::default();
    /// document.merge_text("10.ini", "[fleet]\nleave_within_ms = 2000");
    /// document.merge_text("20.ini", "[fleet]\nleave_within_ms = 3000");
    /// let value = &document.sections["fleet"].values["leave_within_ms"];
    /// assert_eq!((&*value.text, value.location.to_string().as_str()), ("3000", "20.ini:2"));
    /// ```
    pub fn merge_text(&mut self, file: &str, text: &str) {
        let file = Arc::<str>::from(file);
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        let mut header = None;
        for (line, raw) in (1..).zip(text.lines()) {
            let location = SourceLocation {
                file: Arc::clone(&file),
                line,
            };
            self.merge_line(&mut header, location, raw.trim());
        }
    }

    /// Returns the location of a key or, if its section lacks the key, that of the section.
    pub fn location(&self, header: &str, key: &str) -> Option<&SourceLocation> {
        let section = self.sections.get(header)?;
        Some(match section.values.get(key) {
            Some(value) => &value.location,
            None => &section.location,
        })
    }

    /// Sets the location of each issue that has none to that of its key or, failing that, its
    /// section.
    pub(crate) fn fill_locations(&self, issues: &mut [Issue]) {
        for issue in issues {
            if issue.location.is_none() {
                issue.location = self.location(&issue.section, &issue.key).cloned();
            }
        }
    }

    fn merge_file(&mut self, file: &Path) {
        match fs::read_to_string(file) {
            Ok(text) => self.merge_text(&file.display().to_string(), &text),
            Err(error) => self.add_file_issue(file, &format!("a readable UTF-8 file ({error})")),
        }
    }

    fn merge_line(&mut self, header: &mut Option<Arc<str>>, location: SourceLocation, line: &str) {
        if line.is_empty() {
            return;
        }
        let Ok(parsed) = Ini::load_from_str(line) else {
            return self.add_line_issue(header.as_deref(), location, line, EXPECTED_LINE);
        };
        for (section, properties) in &parsed {
            if let Some(section) = section {
                *header = Some(self.ensure_section(section, &location));
            }
            for (key, text) in properties {
                let Some(header) = header.as_deref() else {
                    self.add_line_issue(
                        None,
                        location.clone(),
                        line,
                        "a [section] before the first key",
                    );
                    continue;
                };
                let value = IniValue {
                    text: Arc::from(text),
                    location: location.clone(),
                };
                self.set_value(header, key, value);
            }
        }
    }

    fn ensure_section(&mut self, header: &str, location: &SourceLocation) -> Arc<str> {
        let words: Vec<&str> = header.split_whitespace().collect();
        let header = Arc::<str>::from(words.join(" "));
        self.sections
            .entry(Arc::clone(&header))
            .or_insert_with(|| IniSection {
                location: location.clone(),
                values: BTreeMap::new(),
            });
        header
    }

    fn set_value(&mut self, header: &str, key: &str, value: IniValue) {
        let Some(section) = self.sections.get_mut(header) else {
            return;
        };
        let earlier = section.values.get(key);
        if let Some(earlier) = earlier
            && earlier.location.file == value.location.file
        {
            let expected = format!(
                "each key once in a file; it is also on line {}",
                earlier.location.line
            );
            let mut issue = Issue::new(header, key, Some(&value.text), &expected);
            issue.location = Some(value.location);
            self.issues.push(issue);
            return;
        }
        if let Some(earlier) = earlier
            && earlier.text == value.text
        {
            self.repeated.push(RepeatedValue {
                section: Arc::from(header),
                key: Arc::from(key),
                location: value.location.clone(),
                earlier: earlier.location.clone(),
            });
        }
        section.values.insert(Arc::from(key), value);
    }

    #[cold]
    fn add_line_issue(
        &mut self,
        header: Option<&str>,
        location: SourceLocation,
        line: &str,
        expected: &str,
    ) {
        let mut issue = Issue::new(header.unwrap_or_default(), "", Some(line), expected);
        issue.location = Some(location);
        self.issues.push(issue);
    }

    #[cold]
    fn add_file_issue(&mut self, path: &Path, expected: &str) {
        let mut issue = Issue::new("", "", None, expected);
        issue.location = Some(SourceLocation {
            file: Arc::from(path.display().to_string()),
            line: 0,
        });
        self.issues.push(issue);
    }
}

fn ini_files(folder: &Path) -> io::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_none_or(|extension| extension != "ini") {
            continue;
        }
        files.push(path);
    }
    files.sort();
    Ok(files)
}
