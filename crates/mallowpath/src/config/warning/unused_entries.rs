//! Warnings about entries of a valid configuration that never have an effect.

use crate::{
    config::fleet::{FleetConfig, Service, ServiceKind, Services, WhenUnconfirmed, Workspace},
    config::fleet_references::sections_of_kind,
    config::section::{Section, SectionName, Sections, is_set},
    config::warning::config_warning::ConfigWarning,
};
use std::{collections::BTreeSet, sync::Arc};

/// Lists in which a repeated name has no effect: kind of section, key.
const LISTS: [(&str, &str); 2] = [("service", "adapters"), ("workspace", "services")];
/// Keys that have an effect on services of kind `model` only.
const MODEL_KEYS: [&str; 2] = ["default_output_tokens", "max_output_tokens"];

/// Returns a warning for each entry that never has an effect.
pub(crate) fn unused_entries(fleet: &FleetConfig, sections: &Sections) -> Vec<ConfigWarning> {
    let mut warnings = Vec::new();
    for workspace in fleet.workspaces.values() {
        warn_of_unusable_workspace(workspace, &mut warnings);
        warn_of_output_limit_without_model(fleet, sections, workspace, &mut warnings);
    }
    warn_of_unused_budgets(fleet, &mut warnings);
    warn_of_uncallable_services(fleet, &mut warnings);
    warn_of_model_keys_of_plain_services(fleet, sections, &mut warnings);
    warn_of_unused_age_limit(fleet, sections, &mut warnings);
    warn_of_repeated_names(sections, &mut warnings);
    warnings
}

fn warn_of_unusable_workspace(workspace: &Workspace, warnings: &mut Vec<ConfigWarning>) {
    let section = SectionName::new("workspace", workspace.id.as_str());
    if workspace.keys.is_empty() {
        warnings.push(ConfigWarning::new(
            &section,
            "key_sha256",
            "no caller can use the workspace, as it has no bearer key",
            "set the SHA-256 hash of a key",
        ));
    }
    if matches!(&workspace.services, Services::Named(named) if named.is_empty()) {
        warnings.push(ConfigWarning::new(
            &section,
            "services",
            "the workspace may call no service",
            "name services, or * for all",
        ));
    }
}

fn warn_of_output_limit_without_model(
    fleet: &FleetConfig,
    sections: &Sections,
    workspace: &Workspace,
    warnings: &mut Vec<ConfigWarning>,
) {
    const KEY: &str = "max_output_tokens";
    let section = SectionName::new("workspace", workspace.id.as_str());
    if !is_set(sections, &section, KEY) {
        return;
    }
    let mut callable = fleet.services.values().collect::<Vec<_>>();
    callable.retain(|service| workspace.services.allows(&service.id));
    let is_model = |service: &&Arc<Service>| service.kind == ServiceKind::Model;
    if callable.is_empty() || callable.iter().any(is_model) {
        return;
    }
    warnings.push(ConfigWarning::new(
        &section,
        KEY,
        "limits nothing, as the workspace may call plain services only",
        "remove the key, or name a model in services",
    ));
}

/// Warns of budgets that no workspace names.
///
/// A request is paid from the budget that its workspace names; it can't choose another. A workspace
/// names one of its own budgets.
fn warn_of_unused_budgets(fleet: &FleetConfig, warnings: &mut Vec<ConfigWarning>) {
    for budget in fleet.budgets.values() {
        let (id, owner) = (&budget.id, &budget.workspace);
        let Some(workspace) = fleet.workspaces.get(owner) else {
            continue;
        };
        if workspace.budget == *id {
            continue;
        }
        let text = format!(
            "no request spends the budget, as [workspace {owner}] has budget = {}",
            workspace.budget
        );
        let hint = format!("to have it spent, set budget = {id} in [workspace {owner}]");
        let section = SectionName::new("budget", id.as_str());
        warnings.push(ConfigWarning::new(&section, "workspace", &text, &hint));
    }
}

fn warn_of_uncallable_services(fleet: &FleetConfig, warnings: &mut Vec<ConfigWarning>) {
    for id in fleet.services.keys() {
        let mut workspaces = fleet.workspaces.values();
        if workspaces.any(|workspace| workspace.services.allows(id)) {
            continue;
        }
        let section = SectionName::new("service", id.as_str());
        let hint = format!("add {id} to services of a workspace");
        warnings.push(ConfigWarning::new(
            &section,
            "",
            "no workspace may call the service",
            &hint,
        ));
    }
}

fn warn_of_model_keys_of_plain_services(
    fleet: &FleetConfig,
    sections: &Sections,
    warnings: &mut Vec<ConfigWarning>,
) {
    for service in fleet.services.values() {
        if service.kind != ServiceKind::Plain {
            continue;
        }
        let section = SectionName::new("service", service.id.as_str());
        for key in MODEL_KEYS {
            if !is_set(sections, &section, key) {
                continue;
            }
            warnings.push(ConfigWarning::new(
                &section,
                key,
                "has no effect where kind = plain",
                "remove the key, or set kind = model",
            ));
        }
    }
}

/// Warns of an age limit that applies to no workspace.
fn warn_of_unused_age_limit(
    fleet: &FleetConfig,
    sections: &Sections,
    warnings: &mut Vec<ConfigWarning>,
) {
    const KEY: &str = "unconfirmed_after_ms";
    let section = SectionName::new("fleet", "");
    let refuses =
        |workspace: &Arc<Workspace>| workspace.when_unconfirmed == WhenUnconfirmed::Refuse;
    if !is_set(sections, &section, KEY) || fleet.workspaces.values().any(refuses) {
        return;
    }
    warnings.push(ConfigWarning::new(
        &section,
        KEY,
        "has no effect, as no workspace has when_unconfirmed = refuse",
        "remove the key, or set when_unconfirmed = refuse in a workspace",
    ));
}

fn warn_of_repeated_names(sections: &Sections, warnings: &mut Vec<ConfigWarning>) {
    for (kind, key) in LISTS {
        for (name, section) in sections_of_kind(sections, kind) {
            for repeated in repeated_names(section, key) {
                let text = format!("names {repeated} more than once");
                warnings.push(ConfigWarning::new(name, key, &text, "name it once"));
            }
        }
    }
}

fn repeated_names<'a>(section: &'a Section, key: &str) -> BTreeSet<&'a str> {
    let mut seen = BTreeSet::new();
    let mut repeated = BTreeSet::new();
    let Some(list) = section.entries.get(key) else {
        return repeated;
    };
    for name in list.split(',').map(str::trim) {
        if !seen.insert(name) {
            repeated.insert(name);
        }
    }
    repeated
}
