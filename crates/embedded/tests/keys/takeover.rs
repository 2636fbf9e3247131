//! Keys whose owner, witness, router or sidecar is lost.

use crate::fleet::{Fleet, code, fast, insist, notice, request_id, wait_for};
use std::time::Duration;

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_lost_after_the_run_leaves_the_answer_to_its_witness() {
    let mut fleet = Fleet::start(3, fast()).await;
    let key = fleet.key_of(0, "owner", "after").await;
    let first = fleet.notice(1, &key, "a notice").await;
    assert_eq!(first.status, 200, "{}", first.text);
    fleet.kill(0);
    for router in [1, 2] {
        let again = insist(fleet.callers(router), &key, "a notice").await;
        assert_eq!(again.text, first.text);
        assert_eq!(request_id(&again), request_id(&first));
    }
    assert_eq!(fleet.runs().await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_lost_during_the_run_it_serves_leaves_it_to_the_next_router() {
    let mut fleet = Fleet::start(3, fast()).await;
    fleet.slow_notices(2500);
    let key = fleet.key_of(0, "owner", "during").await;
    let callers = fleet.callers(0);
    let first = {
        let key = key.clone();
        tokio::spawn(async move { notice(callers, &key, "a").await })
    };
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.kill(0);
    let again = insist(fleet.callers(1), &key, "a").await;
    assert_eq!(again.status, 200, "{}", again.text);
    assert_eq!(again.json()["run"], 1);
    assert!(first.await.is_err(), "the first caller got no answer");
    assert_eq!(fleet.runs().await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_witness_lost_is_replaced() {
    let mut fleet = Fleet::start(3, fast()).await;
    let key = fleet.key_of(0, "witness", "old").await;
    let fresh = fleet.key_of(0, "witness", "fresh").await;
    let first = fleet.notice(1, &key, "a notice").await;
    fleet.kill(0);
    let again = insist(fleet.callers(2), &key, "a notice").await;
    assert_eq!(again.text, first.text);
    let other = insist(fleet.callers(2), &fresh, "another").await;
    assert_eq!(other.status, 200, "{}", other.text);
    assert_eq!(fleet.runs().await, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_shard_that_lost_both_holders_is_refused_not_run() {
    let mut fleet = Fleet::start(4, fast()).await;
    let (key, index) = both_holders(&fleet).await;
    for holder in index {
        fleet.kill(holder);
    }
    let left = (0..4)
        .find(|router| !index.contains(router))
        .expect("two are left");
    let refused = notice(fleet.callers(left), &key, "a notice").await;
    assert_eq!(code(&refused), "key_unavailable", "{}", refused.text);
    assert_eq!(refused.json()["error"]["outcome"], "not_run");
    assert_eq!(fleet.runs().await, 0);
}

/// Returns a key and the two routers that hold its shard.
async fn both_holders(fleet: &Fleet) -> (String, [usize; 2]) {
    let key = fleet.key_of(0, "owner", "both").await;
    let dump = fleet.dump(0).await;
    let peer = dump["keys"]["shards"][&crate::fleet::shard_of(&key)]["peer"].clone();
    for (index, host) in fleet.routers.iter().enumerate() {
        if peer == host.addresses.peers.to_string() {
            return (key, [0, index]);
        }
    }
    panic!("no router serves at {peer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_lost_between_commit_and_submit_leaves_the_key_to_the_next() {
    let mut settings = fast();
    settings.sidecar_tuning.max_running = 1;
    let mut fleet = Fleet::start(3, settings).await;
    fleet.slow_notices(1500);
    // The only place is taken, so the next request is bound and not submitted for a while.
    let blocker = {
        let callers = fleet.callers(1);
        tokio::spawn(async move { notice(callers, "blocker", "a").await })
    };
    tokio::time::sleep(Duration::from_millis(200)).await;
    let key = fleet.key_of(1, "owner", "between").await;
    let refused = fleet.notice(0, &key, "b").await;
    assert_eq!(
        refused.json()["error"]["outcome"],
        "not_run",
        "{}",
        refused.text
    );
    fleet.kill(0);
    assert_eq!(blocker.await.expect("a caller").status, 200);
    let answer = insist(fleet.callers(2), &key, "b").await;
    assert_eq!(answer.status, 200, "{}", answer.text);
    assert_eq!(answer.json()["run"], 1);
    assert_eq!(fleet.runs().await, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_sidecar_lost_during_the_run_is_unknown_and_nothing_runs_again() {
    let mut fleet = Fleet::start(2, fast()).await;
    fleet.slow_notices(3000);
    let first = {
        let callers = fleet.callers(0);
        tokio::spawn(async move { notice(callers, "lost", "a").await })
    };
    tokio::time::sleep(Duration::from_millis(300)).await;
    wait_for("the run began", || async { fleet.runs().await == 1 }).await;
    fleet.kill_notices(0);
    let first = first.await.expect("a caller");
    assert_eq!(
        first.json()["error"]["outcome"],
        "unknown",
        "{}",
        first.text
    );
    for router in [0, 1] {
        let again = fleet.notice(router, "lost", "a").await;
        assert_eq!(
            again.json()["error"]["outcome"],
            "unknown",
            "{}",
            again.text
        );
    }
    assert_eq!(fleet.runs().await, 1);
}
