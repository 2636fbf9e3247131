//! The configuration that an embedded fleet uses by default.

use mallowpath::{IniDocument, Sections, sections_of_document};

/// Bearer key of the workspace `demo` in the example configuration.
pub const EXAMPLE_BEARER_KEY: &str = "demo-key";

const EXAMPLE_INI: &str = include_str!("../example/fleet.ini");

/// Returns the sections of the example configuration.
pub fn example_configuration() -> Sections {
    let mut document = IniDocument::default();
    document.merge_text("example/fleet.ini", EXAMPLE_INI);
    sections_of_document(&document)
}
