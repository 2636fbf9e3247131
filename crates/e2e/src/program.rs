//! The programs under test and their paths.

use crate::BoxError;
use std::{
    env,
    path::{Path, PathBuf},
};

/// A program of the Cargo workspace.
#[derive(Debug, Clone, Copy)]
pub enum Program {
    /// `mallowpath-router`.
    Router,
    /// `mallowpath-sidecar`.
    Sidecar,
    /// `mallowpath-standins`.
    Standins,
    /// `mallowpath-platform`.
    Platform,
}

impl Program {
    fn name(self) -> &'static str {
        match self {
            Self::Router => "mallowpath-router",
            Self::Sidecar => "mallowpath-sidecar",
            Self::Standins => "mallowpath-standins",
            Self::Platform => "mallowpath-platform",
        }
    }

    /// Returns the path of the program in the build folder of the running test.
    ///
    /// # Errors
    ///
    /// Fails when the program is not built.
    pub fn path(self) -> Result<PathBuf, BoxError> {
        let test = env::current_exe()?;
        let folder = test.parent();
        // Cargo puts test executables into `deps`, one folder below the programs.
        let profile = match folder {
            Some(folder) if folder.ends_with("deps") => folder.parent(),
            _ => folder,
        };
        let path = profile.unwrap_or(Path::new(".")).join(self.name());
        if path.is_file() {
            return Ok(path);
        }
        let text = format!(
            "{} is not built; run `cargo build --workspace` first, or test the whole workspace",
            path.display()
        );
        Err(text.into())
    }
}
