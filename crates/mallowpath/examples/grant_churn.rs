//! Prints the number of ledger records per request when many budgets are rarely used.
//!
//! Simulates one hour with the keeper of one availability zone and one router; messages arrive
//! without delay.

use mallowpath::{
    BudgetId, Incarnation, Keeper, KeeperSettings, Ledger, ReserveOutcome, Tokens, Version, Wallet,
    WalletSettings,
};

const KEEPER: Incarnation = Incarnation(1);
const BUDGETS: u64 = 200;
const BUDGET_TOKENS: u64 = 1_000_000;
const REQUEST_TOKENS: u64 = 600;
const SPENT_TOKENS: u64 = 280;
const STEP_MS: u64 = 100;
const HOUR_MS: u64 = 3_600_000;

struct Totals {
    requests: u64,
    /// Requests that did not get their reservation at once.
    delayed: u64,
    records: u64,
    batches: u64,
    bytes: u64,
    open_tokens: u64,
}

fn main() {
    let without_floor = KeeperSettings {
        floor_divisor: u64::MAX,
        idle_ms: 10_000,
        batch_interval_ms: 0,
        ..KeeperSettings::default()
    };
    for period_ms in [7_000, 72_000] {
        print(
            "no floor, idle 10 s",
            period_ms,
            &run(&without_floor, 2_000, period_ms),
        );
        let settings = KeeperSettings::default();
        let idle_ms = WalletSettings::default().idle_ms;
        print("default", period_ms, &run(&settings, idle_ms, period_ms));
    }
}

fn run(settings: &KeeperSettings, wallet_idle_ms: u64, period_ms: u64) -> Totals {
    use prost::Message;
    let mut keeper = Keeper::new(KEEPER, Ledger::default(), settings.clone());
    let wallet_settings = WalletSettings {
        idle_ms: wallet_idle_ms,
        ..WalletSettings::default()
    };
    let mut wallet = Wallet::new(Incarnation(2), wallet_settings);
    let mut budgets = Vec::new();
    for n in 0..BUDGETS {
        let budget: BudgetId = format!("budget-{n}").parse().expect("the name is valid");
        keeper.set_limit(&budget, Version(1), Tokens(BUDGET_TOKENS));
        budgets.push(budget);
    }
    let mut totals = Totals {
        requests: 0,
        delayed: 0,
        records: 0,
        batches: 0,
        bytes: 0,
        open_tokens: 0,
    };
    let mut waiting = Vec::new();
    for now_ms in (0..HOUR_MS).step_by(100) {
        for (n, budget) in (0..).zip(&budgets) {
            let phase_ms = n * period_ms / BUDGETS / STEP_MS * STEP_MS;
            if now_ms > 2_000 && now_ms % period_ms == phase_ms {
                waiting.push((budget.clone(), false));
                totals.requests += 1;
            }
        }
        waiting.retain_mut(|(budget, is_counted)| {
            let outcome = wallet.reserve(budget, Tokens(REQUEST_TOKENS), now_ms);
            let ReserveOutcome::Reserved(reservation) = outcome else {
                totals.delayed += u64::from(!*is_counted);
                *is_counted = true;
                return true;
            };
            wallet.settle(reservation, Tokens(SPENT_TOKENS));
            false
        });
        for outgoing in wallet.due_requests(|_| Some(KEEPER), now_ms) {
            let reply = keeper.answer_final(&outgoing.request, now_ms);
            wallet.apply_reply(KEEPER, &reply, now_ms);
        }
        for returned in wallet.due_returns(now_ms) {
            keeper.return_slice(&returned);
            wallet.acknowledge_return(&returned.budget, returned.slice.id);
        }
        keeper.tick(now_ms);
        if let Some(batch) = keeper.next_batch(now_ms) {
            totals.batches += 1;
            totals.records += batch.records.len() as u64;
            totals.bytes += batch.encoded_len() as u64;
            let next = keeper.ledger().next();
            keeper
                .replay(next, &batch, now_ms)
                .expect("the offset is next");
        }
    }
    for (_, balance) in keeper.ledger().balances() {
        totals.open_tokens += balance.open.0;
    }
    totals
}

fn print(name: &str, period_ms: u64, totals: &Totals) {
    let requests = totals.requests as f64;
    println!(
        "{name}, a request each {period_ms} ms a budget: {} requests, {} had to wait; per request \
         {:.3} records, {:.1} bytes; {:.2} appends/s; {:.2}% of the budgets in open grants",
        totals.requests,
        totals.delayed,
        totals.records as f64 / requests,
        totals.bytes as f64 / requests,
        totals.batches as f64 * 1_000.0 / HOUR_MS as f64,
        totals.open_tokens as f64 * 100.0 / (BUDGETS * BUDGET_TOKENS) as f64,
    );
}
