//! All warnings about a configuration that was read from files, with their locations.

use crate::config::{
    fleet::FleetConfig,
    ini::{IniDocument, RepeatedValue},
    section::Sections,
    warning::{
        config_warning::ConfigWarning, conflicting_limits::conflicting_limits,
        unused_entries::unused_entries,
    },
};
use std::sync::Arc;

impl IniDocument {
    /// Returns the warnings about the configuration that was parsed from this document, with their
    /// locations and in the order of these.
    ///
    /// `fleet` and `sections` are the result of [`FleetConfig::from_document`].
    pub fn warnings(&self, fleet: &FleetConfig, sections: &Sections) -> Vec<ConfigWarning> {
        let mut warnings = unused_entries(fleet, sections);
        warnings.extend(conflicting_limits(fleet, sections));
        for warning in &mut warnings {
            warning.location = self.location(&warning.section, &warning.key).cloned();
        }
        for repeated in &self.repeated {
            warnings.push(repeated_value(repeated));
        }
        warnings.sort();
        warnings
    }
}

fn repeated_value(repeated: &RepeatedValue) -> ConfigWarning {
    let text = format!("has this value at {} already", repeated.earlier);
    ConfigWarning {
        location: Some(repeated.location.clone()),
        section: Arc::clone(&repeated.section),
        key: Arc::clone(&repeated.key),
        text: Arc::from(text),
        hint: Arc::from("keep one of the two lines"),
    }
}
