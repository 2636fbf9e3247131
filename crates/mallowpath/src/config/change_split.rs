//! Splits a configuration change that is too large for one record into several changes.
//!
//! Each of them has to result in a valid configuration, because each becomes a version of its own.

use crate::{
    config::change::{Delta, SectionNameRecord, SectionRecord, diff},
    config::fleet::FleetConfig,
    config::issue::IssueReport,
    config::section::{Section, SectionName, Sections},
};
use prost::Message;
use snafu::Snafu;
use std::collections::BTreeSet;

/// Allowance for the bytes that the encoding of a record adds to each section.
const SECTION_OVERHEAD_BYTES: usize = 8;

/// An error that prevents a change from being split.
#[derive(Debug, Snafu)]
pub enum SplitError {
    /// Sections that have to change together are larger than one record.
    #[snafu(display(
        "[{section}] and the sections that have to change together with it take {size_bytes} \
         bytes, more than the {max_bytes} bytes of one record; make them smaller"
    ))]
    TooLarge {
        /// The first of the sections.
        section: SectionName,
        /// Their total size.
        size_bytes: usize,
        /// The largest size of one change.
        max_bytes: usize,
    },
    /// A part would result in an invalid configuration.
    #[snafu(display(
        "the change is too large for one record, and part {part} of {parts} results in an invalid \
         configuration; publish the sections named below in a smaller change first:\n{issues}"
    ))]
    Invalid {
        /// The number of the part, from 1.
        part: usize,
        /// The number of parts.
        parts: usize,
        /// The issues of the configuration after that part.
        issues: IssueReport,
    },
}

/// Sections that have to change together.
#[derive(Debug, Default)]
struct SectionGroup {
    delta: Delta,
    size_bytes: usize,
}

/// Returns the changes, of at most `max_bytes` each, that turn `old` into `new`.
///
/// A change that fits is not split.
///
/// # Errors
///
/// Fails if no valid split is found. The caller then publishes no part of the change.
pub fn split_changes(
    old: &Sections,
    new: &Sections,
    max_bytes: usize,
) -> Result<Vec<Delta>, SplitError> {
    let delta = diff(old, new);
    let groups = group_sections(old, new, &delta);
    let size_bytes: usize = groups.iter().map(|group| group.size_bytes).sum();
    if size_bytes <= max_bytes {
        return Ok(vec![delta]);
    }
    let plan = pack_groups(groups, max_bytes)?;
    check_versions(old, &plan)?;
    Ok(plan)
}

/// Groups the sections and orders the groups by their references.
///
/// Each set section refers only to sections of its own group, of an earlier group or of `old`.
/// Removals come after all set sections, with the referring sections first.
fn group_sections(old: &Sections, new: &Sections, delta: &Delta) -> Vec<SectionGroup> {
    let mut grouped = BTreeSet::new();
    let mut groups = Vec::new();
    for kind in ["fleet", "service", "workspace", "budget", "backend"] {
        for section in &delta.set {
            let name = section.section_name();
            if &*section.kind != kind || !grouped.insert(name.clone()) {
                continue;
            }
            let mut group = SectionGroup::default();
            group.set(section);
            if let Some(budget) = default_budget(new, &name)
                && old.get(&budget.section_name()) != Some(budget)
                && grouped.insert(budget.section_name())
            {
                group.set(budget);
            }
            groups.push(group);
        }
    }
    let removed: BTreeSet<&SectionName> = delta.removed.iter().collect();
    let mut removals = Vec::new();
    for kind in ["service", "workspace", "budget", "backend", "fleet"] {
        for name in &delta.removed {
            if &*name.kind != kind || !grouped.insert(name.clone()) {
                continue;
            }
            let mut group = SectionGroup::default();
            group.remove(name);
            if let Some(budget) = default_budget(old, name)
                && removed.contains(&budget.section_name())
                && grouped.insert(budget.section_name())
            {
                group.remove(&budget.section_name());
            }
            removals.push(group);
        }
    }
    groups.extend(removals.into_iter().rev());
    groups
}

/// Returns the section of the budget that a workspace refers to.
///
/// The budget refers back to the workspace, so the two have to change together.
fn default_budget<'a>(sections: &'a Sections, name: &SectionName) -> Option<&'a Section> {
    if &*name.kind != "workspace" {
        return None;
    }
    let budget = sections.get(name)?.entries.get("budget")?;
    let header = format!("budget {budget}");
    sections.get(&SectionName::from_header(&header))
}

/// Combines consecutive groups into changes of at most `max_bytes`.
fn pack_groups(groups: Vec<SectionGroup>, max_bytes: usize) -> Result<Vec<Delta>, SplitError> {
    let mut plan = vec![SectionGroup::default()];
    for group in groups {
        if group.size_bytes > max_bytes {
            return TooLargeSnafu {
                section: group.first(),
                size_bytes: group.size_bytes,
                max_bytes,
            }
            .fail();
        }
        let last = plan.len() - 1;
        if plan[last].size_bytes + group.size_bytes > max_bytes {
            plan.push(group);
            continue;
        }
        plan[last].merge(group);
    }
    let mut deltas = Vec::with_capacity(plan.len());
    for group in plan {
        deltas.push(group.delta);
    }
    Ok(deltas)
}

/// Checks that the configuration is valid after each of the changes.
fn check_versions(old: &Sections, plan: &[Delta]) -> Result<(), SplitError> {
    let mut sections = old.clone();
    for (part, delta) in (1_usize..).zip(plan) {
        for name in &delta.removed {
            sections.remove(name);
        }
        for section in &delta.set {
            sections.insert(section.section_name(), section.clone());
        }
        if let Err(issues) = FleetConfig::from_sections(&sections) {
            let parts = plan.len();
            return InvalidSnafu {
                part,
                parts,
                issues,
            }
            .fail();
        }
    }
    Ok(())
}

impl SectionGroup {
    fn set(&mut self, section: &Section) {
        self.size_bytes += SectionRecord::from(section).encoded_len() + SECTION_OVERHEAD_BYTES;
        self.delta.set.push(section.clone());
    }

    fn remove(&mut self, name: &SectionName) {
        self.size_bytes += SectionNameRecord::from(name).encoded_len() + SECTION_OVERHEAD_BYTES;
        self.delta.removed.push(name.clone());
    }

    fn merge(&mut self, other: Self) {
        self.size_bytes += other.size_bytes;
        self.delta.set.extend(other.delta.set);
        self.delta.removed.extend(other.delta.removed);
    }

    #[cold]
    fn first(&self) -> SectionName {
        let set = self.delta.set.first().map(Section::section_name);
        set.or_else(|| self.delta.removed.first().cloned())
            .unwrap_or_else(|| SectionName::from_header(""))
    }
}
