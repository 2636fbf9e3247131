//! Checks that the metrics, log messages and commands on the operators' page exist.

use mallowpathctl::{EXIT_INVALID, EXIT_OK, run};
use std::{collections::BTreeSet, fs, path::Path};

const PAGE: &str = include_str!("../../../docs/OPERATORS.md");

/// Returns the source text of the library, including that of its subfolders.
fn library_source() -> String {
    let mut source = String::new();
    let mut folders = vec![Path::new(env!("CARGO_MANIFEST_DIR")).join("../mallowpath/src")];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).expect("the library source is readable") {
            let path = entry.expect("the folder entry is readable").path();
            if path.is_dir() {
                folders.push(path);
            } else {
                source += &fs::read_to_string(path).expect("the file is UTF-8 text");
            }
        }
    }
    source
}

/// Returns the words between single backticks that start with `prefix`.
fn quoted_words(text: &str, prefix: &str) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    for word in text.split('`') {
        if word.starts_with(prefix) && !word.contains(char::is_whitespace) {
            found.insert(word.to_owned());
        }
    }
    found
}

#[test]
fn page_names_exactly_the_metrics_of_the_library() {
    let mut known = BTreeSet::new();
    for word in library_source().split('"') {
        let is_name = |c: char| c.is_ascii_lowercase() || c == '_';
        if word.starts_with("mallowpath_") && word.chars().all(is_name) {
            known.insert(word.to_owned());
        }
    }
    assert_eq!(quoted_words(PAGE, "mallowpath_"), known);
}

#[test]
fn quoted_log_messages_and_fields_are_in_the_source() {
    let source = library_source();
    for text in [
        "no configuration from the log service",
        "no configuration from peers",
        "draining, {} requests go on",
        "bills that routers still hold",
        "is lost, logging {} bills for it",
        "is silent for {} ms",
        "\"no_work\"",
        "\"host_state\"",
        "\"hosts_age_ms\"",
        "\"config_author\"",
        "\"requests_without_bill\"",
        "\"in_one_zone\"",
        "\"in_two_zones\"",
        "\"held\"",
        "\"bills_kept\"",
    ] {
        assert!(source.contains(text), "{text}");
    }
}

#[tokio::test]
async fn every_command_of_the_page_exists() {
    let mut count = 0;
    for line in PAGE.split(['`', '\n']) {
        let Some(rest) = line.trim().strip_prefix("mallowpathctl ") else {
            continue;
        };
        let mut words = Vec::new();
        for word in rest.split(' ') {
            if word != "budget" && !words.is_empty() && words != ["budget"] {
                break;
            }
            words.push(word.to_owned());
        }
        if words == ["COMMAND"] {
            continue;
        }
        words.push("--help".to_owned());
        assert_eq!(run(&words).await.exit_status, EXIT_OK, "{words:?}");
        count += 1;
    }
    assert!(count > 8);
    assert_eq!(run(&["nothing".to_owned()]).await.exit_status, EXIT_INVALID);
}
