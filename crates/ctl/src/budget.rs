//! `budget`: shows budgets and adds tokens to them.

use crate::{
    args::{BudgetShow, BudgetTopUp},
    report::{EXIT_FAILED, EXIT_INVALID, Report},
};
use mallowpath::{
    Balance, BudgetId, LEDGER_SHARDS, LogClient, LogClientSettings, RecordEffect, Tokens, TopUpId,
    TopUpOutcome, VoidReason, new_top_up_id, parse_tokens, read_ledger, shard_of,
    top_up as apply_top_up,
};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// Runs `budget show`.
pub(crate) async fn show(show: &BudgetShow) -> Report {
    let log = LogClient::new(show.log, LogClientSettings::default());
    let mut shards = BTreeSet::new();
    for budget in &show.budgets {
        shards.insert(shard_of(budget, LEDGER_SHARDS));
    }
    if show.budgets.is_empty() {
        shards.extend(0..LEDGER_SHARDS);
    }
    let mut found = BTreeMap::new();
    for shard in shards {
        let ledger = match read_ledger(&log, shard).await {
            Ok(ledger) => ledger,
            Err(error) => return Report::from_error(&error),
        };
        for (budget, balance) in ledger.balances() {
            if show.budgets.is_empty() || show.budgets.contains(budget) {
                found.insert(budget.clone(), *balance);
            }
        }
    }
    let mut report = if show.json {
        Report::json(&balances_json(&found))
    } else {
        Report::text(balances_table(&found))
    };
    for budget in &show.budgets {
        if !found.contains_key(budget) {
            report = report.with_note(format_args!("budget {budget} was never used or topped up"));
            report.exit_status = EXIT_FAILED;
        }
    }
    report
}

/// Runs `budget top-up`.
pub(crate) async fn top_up(top_up: &BudgetTopUp) -> Report {
    let Some(tokens) = parse_tokens(&top_up.tokens).filter(|tokens| *tokens > Tokens::ZERO) else {
        return Report::invalid("TOKENS must be a number above 0, such as 1_000, 5k or 2M");
    };
    let log = LogClient::new(top_up.log, LogClientSettings::default());
    let id = match &top_up.id {
        Some(id) => id.clone(),
        None => match new_top_up_id(&log, &top_up.budget).await {
            Ok(id) => id,
            Err(error) => return Report::from_error(&error).with_note("nothing was added"),
        },
    };
    match apply_top_up(&log, &top_up.budget, &id, tokens).await {
        Ok(topped_up) => top_up_report(top_up, &id, &topped_up),
        Err(error) => {
            let report = Report::from_error(&error);
            if report.exit_status == EXIT_INVALID {
                return report;
            }
            report.with_note(format_args!(
                "the tokens may have been added; repeat the command with --id {id}, which adds \
                 them once"
            ))
        }
    }
}

fn top_up_report(top_up: &BudgetTopUp, id: &TopUpId, topped_up: &TopUpOutcome) -> Report {
    let budget = &top_up.budget;
    if !topped_up.is_applied() {
        return void_report(budget, id, topped_up.effect);
    }
    let balance = topped_up.balance.unwrap_or_default();
    let added = matches!(topped_up.effect, RecordEffect::ToppedUp(_));
    if top_up.json {
        return Report::json(&json!({
            "budget": budget,
            "id": id.to_string(),
            "added": added,
            "balance": balance_json(&balance),
        }));
    }
    let outcome = if added {
        "tokens added"
    } else {
        "nothing added, as an earlier try added the tokens"
    };
    Report::text(format_args!(
        "{outcome}: budget {budget} has {} left of {}; identifier {id}",
        balance.available(),
        paid_tokens(&balance),
    ))
}

#[cold]
fn void_report(budget: &BudgetId, id: &TopUpId, effect: RecordEffect) -> Report {
    let reason = match effect {
        RecordEffect::Void(VoidReason::Expired) => {
            "the identifier is too old to tell whether it was used; see budget show"
        }
        RecordEffect::Void(VoidReason::TooLarge) => "the sum of top-ups would be too large",
        RecordEffect::Void(VoidReason::Malformed) => "the identifier's offset is not there yet",
        _ => "the ledger does not take it",
    };
    Report::invalid(format_args!(
        "nothing added to budget {budget} under {id}: {reason}"
    ))
}

/// Returns the limit of the configuration and all top-ups.
fn paid_tokens(balance: &Balance) -> Tokens {
    balance.limit.saturating_add(balance.top_ups)
}

fn balances_table(balances: &BTreeMap<BudgetId, Balance>) -> String {
    let mut lines = vec![format!(
        "{:<24} {:>14} {:>14} {:>14} {:>14}",
        "BUDGET", "PAID", "LEFT", "GRANTED", "SPENT"
    )];
    for (budget, balance) in balances {
        lines.push(format!(
            "{:<24} {:>14} {:>14} {:>14} {:>14}",
            budget.as_str(),
            paid_tokens(balance).0,
            balance.available().0,
            balance.open.0,
            balance.spent.0,
        ));
    }
    lines.join("\n")
}

fn balances_json(balances: &BTreeMap<BudgetId, Balance>) -> Value {
    let mut budgets = serde_json::Map::new();
    for (budget, balance) in balances {
        budgets.insert(budget.to_string(), balance_json(balance));
    }
    Value::Object(budgets)
}

fn balance_json(balance: &Balance) -> Value {
    json!({
        "limit": balance.limit,
        "top_ups": balance.top_ups,
        "left": balance.available(),
        "granted": balance.open,
        "spent": balance.spent,
    })
}
