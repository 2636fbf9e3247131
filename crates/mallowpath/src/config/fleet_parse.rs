//! Parses a [`FleetConfig`] from sections and validates it as a whole.

use crate::{
    config::entries::Entries,
    config::fleet::{
        BackendMode, BackendRule, BearerHash, Budget, FleetConfig, FleetRules, Service,
        ServiceKind, Services, WhenUnconfirmed, Workspace,
    },
    config::fleet_references::{check_budget_owners, check_references, index_bearer_keys},
    config::ini::IniDocument,
    config::issue::{Issue, IssueReport, nearest},
    config::section::{
        Section, SectionName, SectionReader, Sections, YES_OR_NO, sections_of_document,
    },
    id::{ServiceId, Tokens},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    str::FromStr,
    sync::Arc,
};

const SECTION_KINDS: [&str; 5] = ["backend", "budget", "fleet", "service", "workspace"];
const EXPECTED_NAME: &str = "a name of letters, digits and - _ . / :";
const EXPECTED_HASHES: &str = "SHA-256 hashes of 64 hexadecimal digits, separated by commas";

const DEFAULT_WEIGHT: u64 = 1;
const MAX_WEIGHT: u64 = 1_000;
const DEFAULT_MAX_RUNNING: u64 = 256;
const MAX_RUNNING: u64 = 100_000;
const DEFAULT_PRIORITY: u64 = 5;
const MAX_PRIORITY: u64 = 9;
const DEFAULT_OUTPUT_TOKENS: u64 = 1_024;
const DEFAULT_MAX_OUTPUT_TOKENS: u64 = 8_192;
const MAX_OUTPUT_TOKENS: u64 = 10_000_000;
const MAX_BUDGET_TOKENS: u64 = 1_000_000_000_000_000;
const DEFAULT_TIMEOUT_MS: u64 = 600_000;
const MAX_TIMEOUT_MS: u64 = 24 * 3_600_000;
const MAX_LEAVE_WITHIN_MS: u64 = 5_000;
const MIN_BODY_BYTES: u64 = 1_024;
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;
const MIN_UNCONFIRMED_AFTER_MS: u64 = 1_000;

impl FleetConfig {
    /// Parses and validates a whole configuration.
    ///
    /// # Errors
    ///
    /// Returns every issue: unknown sections and keys, invalid values, and names that refer to
    /// sections that don't exist.
    pub fn from_sections(sections: &Sections) -> Result<Self, IssueReport> {
        let mut issues = Vec::new();
        let fleet = read_fleet(sections, &mut issues);
        if issues.is_empty() {
            Ok(fleet)
        } else {
            Err(IssueReport::new(issues))
        }
    }

    /// Parses and validates the merged files of a folder; also returns the sections to publish.
    ///
    /// # Errors
    ///
    /// Returns every issue with its file and line, including those found while reading the files.
    pub fn from_document(document: &IniDocument) -> Result<(Self, Sections), IssueReport> {
        let sections = sections_of_document(document);
        let mut issues = document.issues.clone();
        let fleet = read_fleet(&sections, &mut issues);
        document.fill_locations(&mut issues);
        if issues.is_empty() {
            Ok((fleet, sections))
        } else {
            Err(IssueReport::new(issues))
        }
    }

    /// Returns every key that a section of this kind may contain; none for an unknown kind.
    pub fn allowed_keys(kind: &str) -> Vec<&'static str> {
        let section = Section {
            kind: Arc::from(kind),
            name: Arc::from("x"),
            entries: Entries::default(),
        };
        read_section(
            &mut Self::default(),
            &section.section_name(),
            &section,
            &mut Vec::new(),
        )
    }

    /// Parses and validates a configuration that differs from this one in the `changed` sections.
    ///
    /// The result equals that of [`FleetConfig::from_sections`]. Only the changed sections are
    /// parsed, and the references of all sections are checked only after a removal, so the cost is
    /// mostly that of the change.
    ///
    /// # Errors
    ///
    /// Returns the issues of the changed sections and of other sections that become invalid.
    pub(crate) fn updated(
        &self,
        sections: &Sections,
        changed: &[&SectionName],
    ) -> Result<Self, IssueReport> {
        let mut issues = Vec::new();
        let mut fleet = self.clone();
        let mut has_removed = false;
        for name in changed {
            remove_section(&mut fleet, name);
            let Some(section) = sections.get(*name) else {
                has_removed = true;
                continue;
            };
            read_section(&mut fleet, name, section, &mut issues);
            check_references(sections, name, section, &mut issues);
        }
        if has_removed {
            for (name, section) in sections {
                check_references(sections, name, section, &mut issues);
            }
        }
        index_bearer_keys(&mut fleet, &mut issues);
        check_budget_owners(sections, &mut issues);
        if issues.is_empty() {
            Ok(fleet)
        } else {
            Err(IssueReport::new(issues))
        }
    }
}

/// Parses a number of tokens, such as `1_000_000`, `5k` or `2M`.
pub fn parse_tokens(text: &str) -> Option<Tokens> {
    crate::config::section::parse_number(text).map(Tokens)
}

fn read_fleet(sections: &Sections, issues: &mut Vec<Issue>) -> FleetConfig {
    let mut fleet = FleetConfig::default();
    for (name, section) in sections {
        read_section(&mut fleet, name, section, issues);
    }
    index_bearer_keys(&mut fleet, issues);
    for (name, section) in sections {
        check_references(sections, name, section, issues);
    }
    check_budget_owners(sections, issues);
    fleet
}

/// Resets or removes the parsed value of a section.
fn remove_section(fleet: &mut FleetConfig, name: &SectionName) {
    match &*name.kind {
        "fleet" if name.name.is_empty() => fleet.rules = FleetRules::default(),
        "workspace" => remove_by_name(&mut fleet.workspaces, &name.name),
        "budget" => remove_by_name(&mut fleet.budgets, &name.name),
        "service" => remove_by_name(&mut fleet.services, &name.name),
        "backend" => remove_by_name(&mut fleet.backends, &name.name),
        _ => {}
    }
}

fn remove_by_name<K: FromStr + Ord, V>(table: &mut BTreeMap<K, V>, name: &str) {
    let Ok(id) = name.parse() else {
        return;
    };
    table.remove(&id);
}

/// Parses a section into the fleet and returns the keys that its kind may contain.
fn read_section(
    fleet: &mut FleetConfig,
    name: &SectionName,
    section: &Section,
    issues: &mut Vec<Issue>,
) -> Vec<&'static str> {
    if !SECTION_KINDS.contains(&&*section.kind) {
        let mut issue = Issue::new(
            &name.to_string(),
            "",
            Some(&section.kind),
            &format!("a section of kind {}", SECTION_KINDS.join(", ")),
        );
        issue.hint = nearest(&section.kind, &SECTION_KINDS);
        issues.push(issue);
        return Vec::new();
    }
    let mut reader = SectionReader::new(section, issues);
    match &*section.kind {
        "fleet" => read_rules(fleet, &section.name, &mut reader),
        "workspace" => read_workspace(fleet, &section.name, &mut reader),
        "budget" => read_budget(fleet, &section.name, &mut reader),
        "service" => read_service(fleet, &section.name, &mut reader),
        _ => read_backend(fleet, &section.name, &mut reader),
    }
    reader.finish()
}

fn read_rules(fleet: &mut FleetConfig, name: &str, reader: &mut SectionReader<'_>) {
    if !name.is_empty() {
        reader.reject("", "the section [fleet], without a name");
    }
    let default = FleetRules::default();
    fleet.rules = FleetRules {
        leave_within_ms: reader.number(
            "leave_within_ms",
            0,
            MAX_LEAVE_WITHIN_MS,
            default.leave_within_ms,
        ),
        max_body_bytes: reader.number(
            "max_body_bytes",
            MIN_BODY_BYTES,
            MAX_BODY_BYTES,
            default.max_body_bytes,
        ),
        unconfirmed_after_ms: reader.number(
            "unconfirmed_after_ms",
            MIN_UNCONFIRMED_AFTER_MS,
            MAX_TIMEOUT_MS,
            default.unconfirmed_after_ms,
        ),
    };
}

fn read_workspace(fleet: &mut FleetConfig, name: &Arc<str>, reader: &mut SectionReader<'_>) {
    let id = read_name(name, reader);
    let keys = reader.list::<BearerHash>("key_sha256", EXPECTED_HASHES);
    let budget = reader.required("budget", "the name of a budget of this workspace");
    let services = read_services(reader);
    let home_region = reader.required("home_region", EXPECTED_NAME);
    let weight = reader.number("weight", 1, MAX_WEIGHT, DEFAULT_WEIGHT);
    let max_running = reader.number("max_running", 1, MAX_RUNNING, DEFAULT_MAX_RUNNING);
    let priority = reader.number("priority", 0, MAX_PRIORITY, DEFAULT_PRIORITY);
    let max_output_tokens =
        reader.number("max_output_tokens", 1, MAX_OUTPUT_TOKENS, MAX_OUTPUT_TOKENS);
    let when_unconfirmed = reader.choice(
        "when_unconfirmed",
        &[
            ("serve", WhenUnconfirmed::Serve),
            ("refuse", WhenUnconfirmed::Refuse),
        ],
        WhenUnconfirmed::Serve,
    );
    let (Some(id), Some(budget), Some(home_region)) = (id, budget, home_region) else {
        return;
    };
    let workspace = Workspace {
        id,
        keys,
        budget,
        services,
        home_region,
        weight: saturating_u32(weight),
        max_running: saturating_u32(max_running),
        priority: u8::try_from(priority).unwrap_or(u8::MAX),
        max_output_tokens: Tokens(max_output_tokens),
        when_unconfirmed,
    };
    fleet
        .workspaces
        .insert(workspace.id.clone(), Arc::new(workspace));
}

fn read_services(reader: &mut SectionReader<'_>) -> Services {
    let parse = |text: &str| {
        if text == "*" {
            return Some(Services::All);
        }
        let mut named = BTreeSet::new();
        for part in text.split(',') {
            named.insert(part.trim().parse().ok()?);
        }
        Some(Services::Named(named))
    };
    let expected = "names of services separated by commas, or * for all";
    reader
        .parse_with("services", expected, parse)
        .unwrap_or(Services::Named(BTreeSet::new()))
}

fn read_budget(fleet: &mut FleetConfig, name: &Arc<str>, reader: &mut SectionReader<'_>) {
    let id = read_name(name, reader);
    let workspace = reader.required_name("workspace", "the name of a workspace");
    reader.require(
        "tokens",
        "the number of tokens paid for, such as 1_000, 5k or 2M",
    );
    let tokens = reader.number("tokens", 0, MAX_BUDGET_TOKENS, 0);
    let (Some(id), Some(workspace)) = (id, workspace) else {
        return;
    };
    let budget = Budget {
        id,
        workspace,
        tokens: Tokens(tokens),
    };
    fleet.budgets.insert(budget.id.clone(), budget);
}

fn read_service(fleet: &mut FleetConfig, name: &Arc<str>, reader: &mut SectionReader<'_>) {
    let id = read_name::<ServiceId>(name, reader);
    if name.contains(':') {
        reader.reject("", "a service name without :, which sets off an adapter");
    }
    let kinds = [("model", ServiceKind::Model), ("plain", ServiceKind::Plain)];
    let kind = reader.choice("kind", &kinds, ServiceKind::Model);
    let repeatable = reader.choice("repeatable", &YES_OR_NO, kind == ServiceKind::Model);
    let max_output_tokens = reader.number(
        "max_output_tokens",
        1,
        MAX_OUTPUT_TOKENS,
        DEFAULT_MAX_OUTPUT_TOKENS,
    );
    let default = DEFAULT_OUTPUT_TOKENS.min(max_output_tokens);
    let default_output_tokens =
        reader.number("default_output_tokens", 1, max_output_tokens, default);
    let tokens_per_call = reader.number("tokens_per_call", 0, MAX_OUTPUT_TOKENS, 0);
    if kind == ServiceKind::Model && tokens_per_call > 0 {
        reader.reject("tokens_per_call", "the key only where kind = plain");
    }
    let timeout_ms = reader.number("timeout_ms", 1, MAX_TIMEOUT_MS, DEFAULT_TIMEOUT_MS);
    let adapters = reader.list::<ServiceId>("adapters", "names of adapters separated by commas");
    if kind == ServiceKind::Plain && !adapters.is_empty() {
        reader.reject("adapters", "the key only where kind = model");
    }
    let Some(id) = id else {
        return;
    };
    let service = Service {
        id,
        kind,
        repeatable,
        max_output_tokens: Tokens(max_output_tokens),
        default_output_tokens: Tokens(default_output_tokens),
        tokens_per_call: Tokens(tokens_per_call),
        timeout_ms,
        adapters: adapters
            .iter()
            .map(|adapter| Arc::from(adapter.as_str()))
            .collect(),
    };
    fleet.services.insert(service.id.clone(), Arc::new(service));
}

fn read_backend(fleet: &mut FleetConfig, name: &Arc<str>, reader: &mut SectionReader<'_>) {
    let id = read_name(name, reader);
    let states = [
        ("active", BackendMode::Active),
        ("leaving", BackendMode::Leaving),
        ("excluded", BackendMode::Excluded),
    ];
    let state = reader.choice("state", &states, BackendMode::Active);
    let service = reader.required("service", "the name of a service");
    let text = |text: &str| (!text.is_empty()).then(|| Arc::from(text));
    let role = reader.parse_with("role", "the name of a role", text);
    let version = reader.parse_with("version", "a version of the service's model", text);
    let (Some(id), Some(service)) = (id, service) else {
        return;
    };
    let backend = BackendRule {
        id,
        state,
        service,
        role,
        version,
    };
    fleet.backends.insert(backend.id.clone(), backend);
}

fn read_name<T: for<'a> TryFrom<&'a Arc<str>>>(
    name: &Arc<str>,
    reader: &mut SectionReader<'_>,
) -> Option<T> {
    let id = T::try_from(name).ok();
    if id.is_none() {
        reader.reject(
            "",
            &format!("a name behind the kind of section: {EXPECTED_NAME}"),
        );
    }
    id
}

fn saturating_u32(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
