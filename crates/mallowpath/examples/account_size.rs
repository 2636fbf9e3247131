//! Prints the resident memory of a keeper and a wallet per budget.

use mallowpath::{
    BudgetId, Incarnation, Keeper, KeeperSettings, Ledger, ReserveOutcome, Tokens, Version, Wallet,
    WalletSettings,
};
use std::{fs, mem};

const KEEPER: Incarnation = Incarnation(1);
const PAGE_BYTES: u64 = 4_096;

fn main() {
    for count in [6_100, 61_000] {
        let start = resident_bytes();
        let mut keeper = Keeper::new(KEEPER, Ledger::default(), KeeperSettings::default());
        let mut wallet = Wallet::new(Incarnation(2), WalletSettings::default());
        let mut budgets = Vec::new();
        for n in 0..count {
            let budget: BudgetId = format!("workspace-{}/budget-{n}", n % 1_400)
                .parse()
                .expect("the name is valid");
            keeper.set_limit(&budget, Version(1), Tokens(1_000_000));
            budgets.push(budget);
        }
        replay_batches(&mut keeper, 0);
        let with_ledger = resident_bytes();
        for budget in &budgets {
            wallet.reserve(budget, Tokens(600), 0);
        }
        let mut reserved = 0;
        for now_ms in [1_000_000, 2_000_000, 3_000_000] {
            for outgoing in wallet.due_requests(|_| Some(KEEPER), now_ms) {
                let reply = keeper.answer_final(&outgoing.request, now_ms);
                wallet.apply_reply(KEEPER, &reply, now_ms);
            }
            replay_batches(&mut keeper, now_ms);
            for budget in &budgets {
                let outcome = wallet.reserve(budget, Tokens(600), now_ms + 600_000);
                let ReserveOutcome::Reserved(reservation) = outcome else {
                    continue;
                };
                wallet.settle(reservation, Tokens(280));
                reserved += 1;
            }
        }
        let end = resident_bytes();
        println!(
            "{count} budgets, {reserved} reservations: names and ledger {} bytes, keeper and \
             wallet accounts {} bytes a budget",
            with_ledger.saturating_sub(start) / count,
            end.saturating_sub(with_ledger) / count,
        );
        // Memory that is freed here and reused in the next round would not show as growth there.
        mem::forget((keeper, wallet, budgets));
    }
}

/// Applies all pending batches of the keeper to its ledger, without a log service.
fn replay_batches(keeper: &mut Keeper, start_ms: u64) {
    let mut now_ms = start_ms;
    while let Some(batch) = keeper.next_batch(now_ms) {
        let next = keeper.ledger().next();
        keeper
            .replay(next, &batch, start_ms)
            .expect("the offset is next");
        now_ms += 1_000;
    }
}

fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
