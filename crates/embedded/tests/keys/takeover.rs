//! Keys whose owner, witness, router or sidecar is lost before, during or after the run.

use crate::fleet::{
    Fleet, error_code, fast_settings, post, post_notice, request_id, retry_while_key_unavailable,
    shard_dump_key, wait_for,
};
use mallowpath_standins::forwarder::Mode;
use std::time::{Duration, Instant};

const NOTICE: &str = "POST /services/notices/post";

#[tokio::test(flavor = "multi_thread")]
async fn witness_keeps_the_answer_of_an_owner_lost_after_the_run() {
    let mut fleet = Fleet::start(3, fast_settings()).await;
    let key = fleet.key_with_role(0, "owner", "after").await;
    let first = fleet.post_notice(1, &key, "a notice").await;
    assert_eq!(first.status, 200, "{}", first.text);
    fleet.kill_router(0);
    for router in [1, 2] {
        let again =
            retry_while_key_unavailable(fleet.callers_address(router), &key, "a notice").await;
        assert_eq!(again.text, first.text);
        assert_eq!(request_id(&again), request_id(&first));
    }
    assert_eq!(fleet.notices_run_count().await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn next_router_takes_over_the_run_of_a_lost_owner() {
    let mut fleet = Fleet::start(3, fast_settings()).await;
    fleet.delay_notices(2500);
    let key = fleet.key_with_role(0, "owner", "during").await;
    let callers = fleet.callers_address(0);
    let first = {
        let key = key.clone();
        tokio::spawn(async move { post_notice(callers, &key, "a").await })
    };
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.kill_router(0);
    let again = retry_while_key_unavailable(fleet.callers_address(1), &key, "a").await;
    assert_eq!(again.status, 200, "{}", again.text);
    assert_eq!(again.json()["run"], 1);
    assert!(first.await.is_err(), "the first caller got no answer");
    assert_eq!(fleet.notices_run_count().await, 1);
    // The second router logs the bill by itself: this is long before the sidecar counts the first
    // router as lost and hands over its bills.
    tokio::time::sleep(Duration::from_millis(1500)).await;
    assert!(fleet.bills().await.contains_key(&request_id(&again)));
    assert_eq!(fleet.bills().await.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_witness_is_replaced() {
    let mut fleet = Fleet::start(3, fast_settings()).await;
    let key = fleet.key_with_role(0, "witness", "old").await;
    let fresh = fleet.key_with_role(0, "witness", "fresh").await;
    let first = fleet.post_notice(1, &key, "a notice").await;
    fleet.kill_router(0);
    let again = retry_while_key_unavailable(fleet.callers_address(2), &key, "a notice").await;
    assert_eq!(again.text, first.text);
    let other = retry_while_key_unavailable(fleet.callers_address(2), &fresh, "another").await;
    assert_eq!(other.status, 200, "{}", other.text);
    assert_eq!(fleet.notices_run_count().await, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_router_hands_over_its_shards_and_still_answers() {
    let fleet = Fleet::start(3, fast_settings()).await;
    let key = fleet.key_with_role(0, "owner", "leaving").await;
    let first = fleet.post_notice(0, &key, "a").await;
    fleet.set_router_state(0, "leaving").await;
    wait_for("router 0 holds no shard", || async {
        let dump = fleet.dump(0).await;
        dump["keys"]["shards"]
            .as_object()
            .is_some_and(serde_json::Map::is_empty)
    })
    .await;
    for router in [0, 1, 2] {
        let again = fleet.post_notice(router, &key, "a").await;
        assert_eq!(again.text, first.text);
    }
    assert_eq!(fleet.notices_run_count().await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_of_a_shard_without_replicas_are_refused_as_unknown() {
    let mut fleet = Fleet::start(4, fast_settings()).await;
    let key = fleet.key_with_role(0, "owner", "both").await;
    let other = fleet.other_replica(0, &key).await;
    fleet.kill_router(0);
    fleet.kill_router(other);
    let survivor = (1..4)
        .find(|router| *router != other)
        .expect("two routers survive");
    let refused = fleet.post_notice(survivor, &key, "a notice").await;
    assert_eq!(error_code(&refused), "key_unavailable", "{}", refused.text);
    assert_eq!(refused.json()["error"]["outcome"], "unknown");
    assert_eq!(fleet.notices_run_count().await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn next_router_runs_a_key_bound_by_a_router_lost_before_submit() {
    let mut fleet = Fleet::start(3, fast_settings()).await;
    let key = fleet.key_with_role(1, "owner", "between").await;
    let callers = fleet.callers_address(0);
    // The key is bound, but its submission to the sidecar is lost.
    fleet.notices[0].peers.set_mode(Mode::BlackHoleToTarget);
    let first = {
        let key = key.clone();
        tokio::spawn(async move { post_notice(callers, &key, "a").await })
    };
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.kill_router(0);
    assert!(first.await.is_err(), "the first caller got no answer");
    fleet.notices[0].peers.set_mode(Mode::Cut);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(fleet.notices_run_count().await, 0);
    fleet.notices[0].peers.set_mode(Mode::Open);
    fleet.wait_until_ready(2).await;
    let answer = retry_while_key_unavailable(fleet.callers_address(2), &key, "a").await;
    assert_eq!(answer.status, 200, "{}", answer.text);
    let again = retry_while_key_unavailable(fleet.callers_address(1), &key, "a").await;
    assert_eq!(again.text, answer.text);
    assert_eq!(fleet.notices_run_count().await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_every_server_refused_can_be_retried() {
    let mut settings = fast_settings();
    settings.sidecar_tuning.max_running = 1;
    let fleet = Fleet::start(3, settings).await;
    fleet.delay_notices(800);
    let blocker = {
        let callers = fleet.callers_address(1);
        tokio::spawn(async move { post(callers, NOTICE, None, "a").await })
    };
    wait_for("the blocker runs", || async {
        fleet.notices_run_count().await == 1
    })
    .await;
    let key = fleet.key_with_role(1, "owner", "refused").await;
    let refused = fleet.post_notice(0, &key, "b").await;
    assert_eq!(
        refused.json()["error"]["outcome"],
        "not_run",
        "{}",
        refused.text
    );
    for router in [1, fleet.other_replica(1, &key).await] {
        wait_for("the replica has dropped the key", || async {
            fleet.dump(router).await["keys"]["shards"][shard_dump_key(&key)]["keys"] == 0
        })
        .await;
    }
    assert_eq!(blocker.await.expect("a caller").status, 200);
    assert_eq!(fleet.post_notice(0, "later", "c").await.status, 200);
    let answer = fleet.post_notice(2, &key, "b").await;
    assert_eq!(answer.status, 200, "{}", answer.text);
    assert_eq!(fleet.notices_run_count().await, 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn stale_owner_binds_no_key_after_a_takeover() {
    let fleet = Fleet::start(4, fast_settings()).await;
    let key = fleet.key_with_role(0, "owner", "stale").await;
    let fresh = fleet.key_with_role(0, "owner", "fresh").await;
    let witness = fleet.other_replica(0, &fresh).await;
    let first = fleet.post_notice(0, &key, "a").await;
    assert_eq!(first.status, 200, "{}", first.text);
    // Router 0 reaches all processes except the log service, and none reaches router 0, so it
    // doesn't learn of the takeover.
    fleet.routers[0].log.set_mode(Mode::Cut);
    fleet.routers[0].peers.set_mode(Mode::Cut);
    wait_for("the witness is the owner", || async {
        let dump = fleet.dump(witness).await;
        dump["keys"]["shards"][shard_dump_key(&fresh)]["part"] == "owner"
    })
    .await;
    let dump = fleet.dump(0).await;
    assert_eq!(
        dump["keys"]["shards"][shard_dump_key(&fresh)]["part"],
        "owner",
        "router 0 is stale"
    );
    let stale = fleet.post_notice(0, &fresh, "b").await;
    assert_eq!(error_code(&stale), "key_unavailable", "{}", stale.text);
    let answer = retry_while_key_unavailable(fleet.callers_address(witness), &fresh, "b").await;
    assert_eq!(answer.status, 200, "{}", answer.text);
    let stale = fleet.post_notice(0, &fresh, "b").await;
    assert_eq!(error_code(&stale), "key_unavailable", "{}", stale.text);
    let again = fleet.post_notice(0, &key, "a").await;
    assert_eq!(
        again.text, first.text,
        "a key bound before the takeover still gives its answer"
    );
    assert_eq!(fleet.notices_run_count().await, 2);
    fleet.routers[0].log.set_mode(Mode::Open);
    fleet.routers[0].peers.set_mode(Mode::Open);
    let reconnected = retry_while_key_unavailable(fleet.callers_address(0), &fresh, "b").await;
    assert_eq!(reconnected.text, answer.text);
    assert_eq!(fleet.notices_run_count().await, 2);
}

/// Kills the sidecar of a running notice while another server could run it.
///
/// Checks that the caller is told within 3 s that the outcome is unknown.
async fn lose_sidecar(fleet: &mut Fleet, key: Option<&'static str>) {
    fleet.delay_notices(8000);
    let first = {
        let callers = fleet.callers_address(0);
        tokio::spawn(async move { post(callers, NOTICE, key, "a").await })
    };
    wait_for("the run began", || async {
        fleet.notices_run_count().await == 1
    })
    .await;
    fleet.add_notices_server().await;
    fleet.wait_until_ready(0).await;
    fleet.kill_notices_sidecar(0);
    let killed_at = Instant::now();
    let first = first.await.expect("a caller");
    let waited = killed_at.elapsed();
    assert!(
        waited < Duration::from_secs(3),
        "the caller waited {waited:?}"
    );
    let error = &first.json()["error"];
    assert_eq!(error["outcome"], "unknown", "{}", first.text);
}

#[tokio::test(flavor = "multi_thread")]
async fn key_whose_sidecar_was_lost_stays_unknown_and_does_not_run_again() {
    let mut fleet = Fleet::start(2, fast_settings()).await;
    lose_sidecar(&mut fleet, Some("lost")).await;
    for router in [0, 1] {
        let again = fleet.post_notice(router, "lost", "a").await;
        let error = &again.json()["error"];
        assert_eq!(error["outcome"], "unknown", "{}", again.text);
    }
    assert_eq!(fleet.notices_run_count().await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_without_a_key_is_not_retried_after_its_sidecar_was_lost() {
    let mut fleet = Fleet::start(2, fast_settings()).await;
    lose_sidecar(&mut fleet, None).await;
    assert_eq!(fleet.notices_run_count().await, 1);
}
