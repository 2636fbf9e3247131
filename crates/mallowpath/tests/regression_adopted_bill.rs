//! Regression: if a router was wrongly considered lost and another router logged one of its bills,
//! the watermark of the first router never advanced past the request.

use mallowpath::{
    Bill, BillBook, BillOutcome, BillSettings, BillShelf, BillState, Incarnation, Recorded, Tokens,
};

#[test]
fn the_watermark_passes_a_bill_that_another_router_logged() {
    let mut first = BillBook::new(Incarnation(1), BillSettings::default());
    let mut second = BillBook::new(Incarnation(2), BillSettings::default());
    let mut shelf = BillShelf::default();
    let bill = Bill {
        request: first.open(),
        workspace: "workspace".parse().expect("the name is valid"),
        budget: "workspace/budget".parse().expect("the name is valid"),
        parts: Vec::new(),
        prompt_tokens: Tokens(1),
        completion_tokens: Tokens(1),
        outcome: BillOutcome::Cut,
    };
    shelf.keep(bill.clone());
    for adopted in shelf.handover(Incarnation(1)) {
        second.adopt(adopted);
    }
    let batch = second.batch(0).expect("a bill is final");
    for request in second.appended(batch.sequence) {
        shelf.logged(request);
    }
    assert_eq!(
        shelf.keep(bill),
        Recorded::Duplicate,
        "a late copy isn't kept again"
    );
    assert_eq!(first.watermark().logged_below, 1);
    for request in shelf.logged_elsewhere(Incarnation(1)) {
        first.logged_elsewhere(request);
        assert_eq!(first.state(request), Some(BillState::Logged));
    }
    assert_eq!(first.watermark().logged_below, 2);
    shelf.logged_below(first.watermark());
    assert!(shelf.logged_elsewhere(Incarnation(1)).is_empty());
}
