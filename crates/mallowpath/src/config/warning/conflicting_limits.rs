//! Warnings about limits of a valid configuration that contradict each other.

use crate::{
    config::fleet::{Budget, FleetConfig, Service, ServiceKind, Workspace},
    config::section::{SectionName, Sections, is_set},
    config::warning::config_warning::ConfigWarning,
    request::chat::MIN_RESERVED_PROMPT_TOKENS,
};

/// The smallest output limit that a request can ask for.
const MIN_OUTPUT_TOKENS: u64 = 1;

/// Services whose requests a budget can't pay for.
#[derive(Debug, Default)]
struct UnpaidServices<'a> {
    count: usize,
    /// The one with the smallest reservation, and that number of tokens.
    cheapest: Option<(&'a Service, u64)>,
}

/// Returns a warning for each limit that contradicts another one.
pub(crate) fn conflicting_limits(fleet: &FleetConfig, sections: &Sections) -> Vec<ConfigWarning> {
    let mut warnings = Vec::new();
    warn_of_unreachable_defaults(fleet, sections, &mut warnings);
    for workspace in fleet.workspaces.values() {
        let Some(budget) = fleet.budgets.get(&workspace.budget) else {
            continue;
        };
        warn_of_small_budget(fleet, workspace, budget, &mut warnings);
    }
    warnings
}

impl<'a> UnpaidServices<'a> {
    fn add(&mut self, service: &'a Service, reserved: u64) {
        self.count += 1;
        if self.cheapest.is_none_or(|(_, least)| reserved < least) {
            self.cheapest = Some((service, reserved));
        }
    }
}

/// Warns of default output limits that are above the limits of all workspaces.
fn warn_of_unreachable_defaults(
    fleet: &FleetConfig,
    sections: &Sections,
    warnings: &mut Vec<ConfigWarning>,
) {
    const KEY: &str = "default_output_tokens";
    for service in fleet.services.values() {
        let section = SectionName::new("service", service.id.as_str());
        if service.kind != ServiceKind::Model || !is_set(sections, &section, KEY) {
            continue;
        }
        let Some(largest) = largest_limit_of_callers(fleet, service) else {
            continue;
        };
        if service.default_output_tokens.0 <= largest {
            continue;
        }
        let text = format!(
            "is above max_output_tokens of every workspace that may call the service ({largest} at \
             most)"
        );
        let hint = "lower it, or raise max_output_tokens of a workspace";
        warnings.push(ConfigWarning::new(&section, KEY, &text, hint));
    }
}

/// Returns the largest output limit of a workspace that may call `service`, if there is one.
fn largest_limit_of_callers(fleet: &FleetConfig, service: &Service) -> Option<u64> {
    let mut largest = None;
    for workspace in fleet.workspaces.values() {
        if !workspace.services.allows(&service.id) {
            continue;
        }
        largest = largest.max(Some(workspace.max_output_tokens.0));
    }
    largest
}

/// Warns of a budget that is not empty but can't pay for requests that its workspace may send.
///
/// An empty budget results in no warning, as it may be meant to be filled by top-ups only.
fn warn_of_small_budget(
    fleet: &FleetConfig,
    workspace: &Workspace,
    budget: &Budget,
    warnings: &mut Vec<ConfigWarning>,
) {
    if budget.tokens.0 == 0 {
        return;
    }
    let mut unpaid = UnpaidServices::default();
    let mut unpaid_without_max_tokens = UnpaidServices::default();
    for service in fleet.services.values() {
        if !workspace.services.allows(&service.id) {
            continue;
        }
        // Validation keeps the default at or below the limit of the service.
        let default_output = service
            .default_output_tokens
            .min(workspace.max_output_tokens);
        let least = smallest_reservation(service, MIN_OUTPUT_TOKENS);
        let default = smallest_reservation(service, default_output.0);
        if least > budget.tokens.0 {
            unpaid.add(service, least);
        } else if default > budget.tokens.0 {
            unpaid_without_max_tokens.add(service, default);
        }
    }
    warnings.extend(small_budget_warning(budget, "request", &unpaid));
    warnings.extend(small_budget_warning(
        budget,
        "request without max_tokens",
        &unpaid_without_max_tokens,
    ));
}

/// Returns a warning if there are `unpaid` services; `request` says which requests are not paid.
fn small_budget_warning(
    budget: &Budget,
    request: &str,
    unpaid: &UnpaidServices<'_>,
) -> Option<ConfigWarning> {
    let (service, reserved) = unpaid.cheapest?;
    let services = match unpaid.count {
        1 => service.id.to_string(),
        count => format!("{count} services, such as {}", service.id),
    };
    let text = format!(
        "without a top-up, pays for no {request} to {services}; the smallest reserves \
         {reserved} tokens"
    );
    let hint = format!("set well above {reserved}, as each router holds a part of it only");
    let section = SectionName::new("budget", budget.id.as_str());
    Some(ConfigWarning::new(&section, "tokens", &text, &hint))
}

/// Returns the number of tokens that the smallest request to a service reserves; `output_tokens` is
/// its output limit if the service is a model.
fn smallest_reservation(service: &Service, output_tokens: u64) -> u64 {
    match service.kind {
        ServiceKind::Model => MIN_RESERVED_PROMPT_TOKENS + output_tokens,
        ServiceKind::Plain => service.tokens_per_call.0,
    }
}
