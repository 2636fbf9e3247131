//! Regression: until the log held the limit of a budget, each request queued the same limit record
//! again, so an outage of the log service exhausted the memory of the keeper.

use mallowpath::{Incarnation, Keeper, KeeperSettings, Ledger, Tokens, Version};

#[test]
fn the_limit_of_a_version_is_queued_once() {
    let budget = "workspace/budget".parse().expect("the name is valid");
    let mut keeper = Keeper::new(Incarnation(1), Ledger::default(), KeeperSettings::default());
    for version in [1, 1, 1, 2, 1, 2] {
        keeper.set_limit(&budget, Version(version), Tokens(100));
    }
    let batch = keeper.next_batch(0).expect("records are queued");
    assert_eq!(batch.records.len(), 2);
    let next = keeper.ledger().next();
    keeper.replay(next, &batch, 0).expect("the offset is next");
    keeper.set_limit(&budget, Version(3), Tokens(50));
    assert_eq!(
        keeper.next_batch(0).map(|batch| batch.records.len()),
        Some(1)
    );
}
