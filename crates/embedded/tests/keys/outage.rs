//! Keys during an outage of the log service: only shards that lost a replica are unavailable.

use crate::fleet::{Fleet, error_code, fast_settings, post_notice, retry_while_key_unavailable};
use mallowpath_standins::{Outage, client::Response};
use tokio::task::JoinSet;

const REQUESTS: u32 = 60;

/// Posts notices through the routers in turn and returns how many were refused.
async fn count_refused(fleet: &Fleet, routers: &[usize], prefix: &str) -> u32 {
    let mut refused = 0;
    for number in 0..REQUESTS {
        let router = routers[number as usize % routers.len()];
        let answer = fleet
            .post_notice(router, &format!("{prefix}-{number}"), "a")
            .await;
        refused += u32::from(is_refused(&answer));
    }
    refused
}

fn is_refused(answer: &Response) -> bool {
    if answer.status == 200 {
        return false;
    }
    assert_eq!(error_code(answer), "key_unavailable", "{}", answer.text);
    assert_eq!(answer.json()["error"]["outcome"], "unknown");
    true
}

#[tokio::test(flavor = "multi_thread")]
async fn shards_with_both_replicas_bind_keys_during_a_log_outage() {
    for outage in [Outage::Refuse, Outage::Hang] {
        let fleet = Fleet::start(4, fast_settings()).await;
        // Gives each router a slice of the budget that it can spend during the outage.
        assert_eq!(count_refused(&fleet, &[0, 1, 2, 3], "before").await, 0);
        fleet.embedded.log_service.change(|log| log.outage = outage);
        assert_eq!(count_refused(&fleet, &[0, 1, 2, 3], "during").await, 0);
        assert_eq!(
            count_refused(&fleet, &[1, 2, 3, 0], "during").await,
            0,
            "retries"
        );
        assert_eq!(fleet.notices_run_count().await, u64::from(2 * REQUESTS));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn replica_lost_in_an_outage_blocks_only_its_shards() {
    let mut fleet = Fleet::start(4, fast_settings()).await;
    assert_eq!(count_refused(&fleet, &[0, 1, 2, 3], "before").await, 0);
    fleet
        .embedded
        .log_service
        .change(|log| log.outage = Outage::Refuse);
    fleet.kill_router(3);
    // Sent concurrently, as each refusal takes a second.
    let mut callers = JoinSet::new();
    for number in 0..REQUESTS {
        let address = fleet.callers_address(0);
        callers.spawn(async move { post_notice(address, &format!("during-{number}"), "a").await });
    }
    let mut refused = 0;
    for answer in callers.join_all().await {
        refused += u32::from(is_refused(&answer));
    }
    println!("one of four routers lost in an outage: {refused} of {REQUESTS} refused");
    assert!(
        refused < REQUESTS,
        "a shard with both replicas refused its requests"
    );
    fleet
        .embedded
        .log_service
        .change(|log| log.outage = Outage::None);
    for number in 0..REQUESTS {
        let answer =
            retry_while_key_unavailable(fleet.callers_address(1), &format!("during-{number}"), "a")
                .await;
        assert_eq!(answer.status, 200, "{}", answer.text);
    }
    assert_eq!(fleet.notices_run_count().await, u64::from(2 * REQUESTS));
}
