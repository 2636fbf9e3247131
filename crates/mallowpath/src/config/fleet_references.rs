//! Checks of a configuration that involve more than one section.

use crate::{
    config::fleet::FleetConfig,
    config::issue::{Issue, nearest},
    config::section::{Section, SectionName, Sections},
};
use std::sync::Arc;

/// Keys that refer to other sections: kind of section, key, kind of the section referred to.
const REFERENCES: [(&str, &str, &str); 4] = [
    ("workspace", "budget", "budget"),
    ("workspace", "services", "service"),
    ("budget", "workspace", "workspace"),
    ("backend", "service", "service"),
];
/// Number of issues after which unknown names get no hint, because each hint compares all names.
const MAX_HINTS: usize = 64;

/// Rebuilds the index of bearer keys and checks that each key belongs to one workspace only.
pub(crate) fn index_bearer_keys(fleet: &mut FleetConfig, issues: &mut Vec<Issue>) {
    fleet.workspaces_by_key.clear();
    for workspace in fleet.workspaces.values() {
        for key in &workspace.keys {
            let Some(other) = fleet.workspaces_by_key.insert(*key, Arc::clone(workspace)) else {
                continue;
            };
            let expected = format!("a key of one workspace only; {} has it too", other.id);
            let header = format!("workspace {}", workspace.id);
            issues.push(Issue::new(
                &header,
                "key_sha256",
                Some(&key.to_string()),
                &expected,
            ));
        }
    }
}

/// Checks that the names in a section refer to existing sections.
///
/// The check reads the text of the section, so that a section that can't be parsed is checked too.
pub(crate) fn check_references(
    sections: &Sections,
    name: &SectionName,
    section: &Section,
    issues: &mut Vec<Issue>,
) {
    for (kind, key, target_kind) in REFERENCES {
        if &*name.kind != kind {
            continue;
        }
        let Some(value) = section.entries.get(key) else {
            continue;
        };
        for part in value.split(',') {
            check_reference(sections, name, key, (target_kind, part.trim()), issues);
        }
    }
}

fn check_reference(
    sections: &Sections,
    header: &SectionName,
    key: &str,
    (kind, name): (&str, &str),
    issues: &mut Vec<Issue>,
) {
    let target = SectionName {
        kind: Arc::from(kind),
        name: Arc::from(name),
    };
    if name == "*" || sections.contains_key(&target) {
        return;
    }
    let with_hint = issues.len() < MAX_HINTS;
    issues.push(missing_reference(
        sections,
        &header.to_string(),
        key,
        &target,
        with_hint,
    ));
}

/// Checks that the budget of each workspace belongs to that workspace.
pub(crate) fn check_budget_owners(sections: &Sections, issues: &mut Vec<Issue>) {
    for (name, section) in sections_of_kind(sections, "workspace") {
        let Some(budget) = section.entries.get("budget") else {
            continue;
        };
        let target = SectionName {
            kind: Arc::from("budget"),
            name: Arc::clone(budget),
        };
        let Some(owner) = sections
            .get(&target)
            .and_then(|section| section.entries.get("workspace"))
        else {
            continue;
        };
        if *owner == name.name {
            continue;
        }
        let expected = format!("a budget of this workspace; it is one of {owner}");
        issues.push(Issue::new(
            &name.to_string(),
            "budget",
            Some(budget),
            &expected,
        ));
    }
}

#[cold]
fn missing_reference(
    sections: &Sections,
    header: &str,
    key: &str,
    target: &SectionName,
    with_hint: bool,
) -> Issue {
    let expected = format!("the name of a [{} ...] section", target.kind);
    let mut issue = Issue::new(header, key, Some(&target.name), &expected);
    if with_hint {
        issue.hint = nearest_section(sections, target);
    }
    issue
}

fn nearest_section(sections: &Sections, target: &SectionName) -> Option<Arc<str>> {
    let mut names = Vec::new();
    for (name, _) in sections_of_kind(sections, &target.kind) {
        names.push(&*name.name);
    }
    nearest(&target.name, &names)
}

/// Returns the sections of a kind in the order of their names.
pub(crate) fn sections_of_kind<'a>(
    sections: &'a Sections,
    kind: &'a str,
) -> impl Iterator<Item = (&'a SectionName, &'a Section)> {
    let first = SectionName {
        kind: Arc::from(kind),
        name: Arc::from(""),
    };
    sections
        .range(first..)
        .take_while(move |(name, _)| &*name.kind == kind)
}
