//! Regression: if a router was wrongly considered lost and another router logged one of its bills,
//! the watermark of the first router never advanced past the request.

use mallowpath::{
    Bill, BillOutcome, BillSettings, BillState, Incarnation, KeptBills, PendingBills, RecordedBill,
    Tokens,
};

#[test]
fn the_watermark_passes_a_bill_that_another_router_logged() {
    let mut first = PendingBills::new(Incarnation(1), BillSettings::default());
    let mut second = PendingBills::new(Incarnation(2), BillSettings::default());
    let mut kept = KeptBills::default();
    let bill = Bill {
        request: first.open(),
        workspace: "workspace".parse().expect("the name is valid"),
        budget: "workspace/budget".parse().expect("the name is valid"),
        parts: Vec::new(),
        prompt_tokens: Tokens(1),
        completion_tokens: Tokens(1),
        outcome: BillOutcome::Cut,
    };
    kept.keep(bill.clone());
    for adopted in kept.bills_to_hand_over(Incarnation(1)) {
        second.adopt(adopted);
    }
    let batch = second.batch(0).expect("a bill is final");
    for request in second.appended(batch.sequence) {
        kept.logged(request);
    }
    assert_eq!(
        kept.keep(bill),
        RecordedBill::Duplicate,
        "a late copy isn't kept again"
    );
    assert_eq!(first.watermark().logged_below, 1);
    for request in kept.logged_elsewhere(Incarnation(1)) {
        first.logged_elsewhere(request);
        assert_eq!(first.state(request), Some(BillState::Logged));
    }
    assert_eq!(first.watermark().logged_below, 2);
    kept.logged_below(first.watermark());
    assert!(kept.logged_elsewhere(Incarnation(1)).is_empty());
}
