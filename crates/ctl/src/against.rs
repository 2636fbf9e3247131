//! The configuration that `check --against` compares with.

use crate::{
    args::Against,
    check::read_folder,
    differences::{SectionDifference, differences},
    report::Report,
};
use mallowpath::{ConfigState, LogClient, LogClientSettings, Sections, Version, diff, load_config};
use serde_json::{Value, json};
use std::path::Path;

/// What differs between a folder and the configuration that it is compared with.
#[derive(Debug)]
pub(crate) struct Comparison {
    /// Names the other configuration in a sentence.
    label: String,
    /// Identifies the other configuration in JSON.
    origin: Value,
    differences: Vec<SectionDifference>,
}

impl Comparison {
    /// Loads the configuration named by `against` and compares `sections` with it.
    ///
    /// # Errors
    ///
    /// Returns the report of a configuration that can't be loaded.
    pub(crate) async fn load(against: &Against, sections: &Sections) -> Result<Self, Report> {
        match against {
            Against::Folder(folder) => Self::with_folder(folder, sections),
            Against::Log(address) => {
                let log = LogClient::new(*address, LogClientSettings::default());
                match load_config(&log).await {
                    Ok(state) => Ok(Self::with_state(&state, sections)),
                    Err(error) => Err(Report::from_error(&error).with_note("nothing was compared")),
                }
            }
        }
    }

    /// Returns the comparison as the lines of a text.
    pub(crate) fn lines(&self) -> Vec<String> {
        if self.differences.is_empty() {
            return vec![format!("nothing differs from {}", self.label)];
        }
        let mut lines = vec![format!("compared with {}", self.label)];
        for difference in &self.differences {
            lines.push(difference.to_string());
            for entry in &difference.entries {
                lines.push(format!("    {entry}"));
            }
        }
        lines
    }

    /// Returns what identifies the other configuration, as JSON.
    pub(crate) fn origin_json(&self) -> Value {
        self.origin.clone()
    }

    /// Returns the differences as JSON.
    pub(crate) fn differences_json(&self) -> Value {
        let mut list = Vec::new();
        for difference in &self.differences {
            list.push(difference.to_json());
        }
        Value::from(list)
    }

    fn with_folder(folder: &Path, sections: &Sections) -> Result<Self, Report> {
        let (_, old) = read_folder(folder).map_err(|issues| {
            Report::invalid(issues)
                .with_note("the folder of --against is not valid; nothing was compared")
        })?;
        Ok(Self {
            label: folder.display().to_string(),
            origin: json!({"folder": folder.display().to_string()}),
            differences: differences(&old, &diff(&old, sections)),
        })
    }

    fn with_state(state: &ConfigState, sections: &Sections) -> Self {
        let old = state.sections();
        Self {
            label: in_force_label(state),
            origin: json!({"version": state.version(), "author": state.author()}),
            differences: differences(old, &diff(old, sections)),
        }
    }
}

fn in_force_label(state: &ConfigState) -> String {
    match state.version() {
        Version(0) => "an empty configuration, as none is in force yet".to_owned(),
        version => format!("version {version} by {}, which is in force", state.author()),
    }
}
