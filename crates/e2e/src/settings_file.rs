//! The settings files of routers and sidecars.

use std::{
    fmt::Write,
    fs, io,
    path::{Path, PathBuf},
};

/// A settings file with one section, under construction.
#[derive(Debug)]
pub(crate) struct SettingsFile {
    text: String,
}

impl SettingsFile {
    /// Creates a file that holds the header of `section`.
    pub(crate) fn new(section: &str) -> Self {
        Self {
            text: format!("[{section}]\n"),
        }
    }

    /// Appends a key with its value.
    pub(crate) fn set(&mut self, key: &str, value: impl std::fmt::Display) -> &mut Self {
        writeln!(self.text, "{key} = {value}").expect("writing to a string does not fail");
        self
    }

    /// Writes the file to `name.ini` in `folder` and returns its path.
    pub(crate) fn write(&self, folder: &Path, name: &str) -> io::Result<PathBuf> {
        let path = folder.join(format!("{name}.ini"));
        fs::write(&path, &self.text)?;
        Ok(path)
    }
}
