//! Regression: a closing keeper drew new grants, which stayed open after it had ended.

use mallowpath::{
    BudgetId, Incarnation, Keeper, KeeperSettings, Ledger, SliceAnswer, SliceRequest, Tokens,
    Version,
};

fn append_all(keeper: &mut Keeper, now_ms: u64) {
    while let Some(batch) = keeper.next_batch(now_ms) {
        let next = keeper.ledger().next();
        keeper
            .replay(next, &batch, now_ms)
            .expect("the offset is next");
    }
}

#[test]
fn a_closing_keeper_neither_draws_nor_grants() {
    let budget: BudgetId = "workspace/budget".parse().expect("the name is valid");
    let mut keeper = Keeper::new(Incarnation(1), Ledger::default(), KeeperSettings::default());
    keeper.set_limit(&budget, Version(1), Tokens(1_000_000));
    append_all(&mut keeper, 0);
    let mut request = SliceRequest {
        router: Incarnation(2),
        number: 1,
        budget: budget.clone(),
        needed: Tokens(10),
        expected: Tokens(10_000),
        reservation: Tokens(10),
    };
    keeper.answer_final(&request, 0);
    append_all(&mut keeper, 0);
    keeper.close();
    request.number = 2;
    let reply = keeper.answer_final(&request, 1);
    assert!(matches!(reply.answer, SliceAnswer::Short { .. }));
    for now_ms in 1..100 {
        keeper.tick(now_ms * 100);
        append_all(&mut keeper, now_ms * 100);
    }
    let balance = keeper.ledger().balance(&budget).expect("the limit was set");
    assert_eq!((balance.open, balance.spent), (Tokens::ZERO, Tokens::ZERO));
}
