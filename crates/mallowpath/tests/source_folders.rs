//! Checks the source folders against docs/DESIGN.md and limits the number of files in each.

use std::{collections::BTreeSet, fs, path::Path};

/// Keeps the file list of a folder short enough to read at a glance.
const MAX_FILES_PER_FOLDER: usize = 20;

fn subfolders(root: &Path) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for entry in fs::read_dir(root).expect("the sources") {
        let entry = entry.expect("an entry");
        if entry.path().is_dir() {
            names.insert(entry.file_name().to_string_lossy().into_owned());
        }
    }
    names
}

#[test]
fn the_design_page_lists_exactly_the_source_folders() {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let design = fs::read_to_string(package.join("../../docs/DESIGN.md")).expect("the page");
    let (_, tree) = design
        .split_once("## Folders")
        .expect("a section on folders");
    let tree = tree.split("\n## ").next().expect("the section");
    let mut named = BTreeSet::new();
    for line in tree.lines() {
        let Some(row) = line.strip_prefix("| `") else {
            continue;
        };
        let (name, _) = row.split_once("/`").expect("a folder's name");
        named.insert(name.to_owned());
    }
    assert_eq!(named, subfolders(&package.join("src")));
}

#[test]
fn no_source_folder_exceeds_the_file_limit() {
    let sources = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    for name in subfolders(&sources) {
        let files = fs::read_dir(sources.join(&name)).expect("a folder").count();
        assert!(files <= MAX_FILES_PER_FOLDER, "{name} has {files} files");
    }
}
