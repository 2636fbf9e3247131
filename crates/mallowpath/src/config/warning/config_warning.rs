//! The warning type.

use crate::config::{issue::SourceLocation, section::SectionName};
use std::{
    fmt::{self, Display},
    sync::Arc,
};

/// One warning about a valid configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigWarning {
    /// The location in the file; `None` if the section is in no file.
    pub location: Option<SourceLocation>,
    /// Header of the section, without brackets.
    pub section: Arc<str>,
    /// The key, which may be absent from the section; empty if the warning concerns the section
    /// itself.
    pub key: Arc<str>,
    /// What has no effect or contradicts another entry, and why.
    pub text: Arc<str>,
    /// How to change it.
    pub hint: Arc<str>,
}

impl ConfigWarning {
    /// Builds a warning without a location.
    pub(crate) fn new(section: &SectionName, key: &str, text: &str, hint: &str) -> Self {
        Self {
            location: None,
            section: Arc::from(section.to_string()),
            key: Arc::from(key),
            text: Arc::from(text),
            hint: Arc::from(hint),
        }
    }
}

impl Display for ConfigWarning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(location) = &self.location {
            write!(f, "{location}: ")?;
        }
        write!(f, "[{}]", self.section)?;
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        write!(f, ": {}; {}", self.text, self.hint)
    }
}
