//! The example configuration of the embedded fleet.

use mallowpath::{IniDocument, Sections, sections_of_document};

/// The bearer key of workspace `demo` in the example configuration.
pub const EXAMPLE_KEY: &str = "demo-key";

const EXAMPLE: &str = include_str!("../example/fleet.ini");

/// Returns the sections of the example configuration.
pub fn example_configuration() -> Sections {
    let mut document = IniDocument::default();
    document.merge_text("example/fleet.ini", EXAMPLE);
    sections_of_document(&document)
}
