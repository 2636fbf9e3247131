//! Regression: the audit did not count a bill that another router had logged if the request's own
//! router was live, had advanced its watermark past the request, and had its stream read first.

use mallowpath::{
    Bill, BillAudit, BillBatch, BillOutcome, BillSettings, GrantId, Incarnation, PendingBills,
    SliceId, SlicePart, Tokens,
};

fn own_and_adopted() -> (BillBatch, BillBatch) {
    let mut own = PendingBills::new(Incarnation(1), BillSettings::default());
    let mut other = PendingBills::new(Incarnation(2), BillSettings::default());
    let slice = SlicePart {
        slice: SliceId {
            incarnation: Incarnation(9),
            sequence: 1,
        },
        grant: GrantId {
            incarnation: Incarnation(9),
            sequence: 1,
        },
        tokens: Tokens(7),
    };
    let bill = |request| Bill {
        request,
        workspace: "workspace".parse().expect("the name is valid"),
        budget: "workspace/budget".parse().expect("the name is valid"),
        parts: vec![slice],
        prompt_tokens: Tokens(3),
        completion_tokens: Tokens(4),
        outcome: BillOutcome::Complete,
    };
    let lost = own.open();
    other.adopt(bill(lost));
    let adopted = other.batch(0).expect("a bill is final");
    own.logged_elsewhere(lost);
    let next = own.open();
    own.finish(bill(next), true);
    own.open();
    let batch = own.batch(0).expect("a bill is final");
    (batch, adopted)
}

#[test]
fn an_adopted_bill_counts_whatever_its_router_says_later() {
    let (own, adopted) = own_and_adopted();
    assert!(own.logged_below > 1, "its watermark covers the request");
    let mut audit = BillAudit::default();
    for batch in [&own, &adopted, &adopted] {
        audit.apply_adopted(batch);
    }
    for batch in [&own, &adopted, &own] {
        audit.apply_own(batch);
    }
    let mut totals = audit.budgets().values();
    let total = totals.next().expect("the budget is billed");
    assert_eq!((total.bills, total.tokens), (2, Tokens(14)));
    assert_eq!((audit.conflict_count(), audit.malformed_count()), (0, 0));
}
