//! Keys while the log service is out: pairs go on, and only shards that lost a holder wait.

use crate::fleet::{Fleet, code, fast, insist, notice};
use mallowpath_standins::{Outage, client::Response};
use tokio::task::JoinSet;

const REQUESTS: u32 = 60;

/// Posts notices through the routers in turn and returns how many were refused.
async fn refused(fleet: &Fleet, routers: &[usize], prefix: &str) -> u32 {
    let mut refused = 0;
    for number in 0..REQUESTS {
        let router = routers[number as usize % routers.len()];
        let answer = fleet
            .notice(router, &format!("{prefix}-{number}"), "a")
            .await;
        refused += u32::from(is_refused(&answer));
    }
    refused
}

fn is_refused(answer: &Response) -> bool {
    if answer.status == 200 {
        return false;
    }
    assert_eq!(code(answer), "key_unavailable", "{}", answer.text);
    assert_eq!(answer.json()["error"]["outcome"], "unknown");
    true
}

#[tokio::test(flavor = "multi_thread")]
async fn pairs_bind_keys_while_the_log_is_out() {
    for outage in [Outage::Refuse, Outage::Hang] {
        let fleet = Fleet::start(4, fast()).await;
        // Slices of the budget are at hand, as in a fleet that has worked before.
        assert_eq!(refused(&fleet, &[0, 1, 2, 3], "before").await, 0);
        fleet.site.log.change(|log| log.outage = outage);
        assert_eq!(refused(&fleet, &[0, 1, 2, 3], "during").await, 0);
        assert_eq!(refused(&fleet, &[1, 2, 3, 0], "during").await, 0, "retries");
        assert_eq!(fleet.runs().await, u64::from(2 * REQUESTS));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_holder_lost_in_an_outage_costs_only_its_shards() {
    let mut fleet = Fleet::start(4, fast()).await;
    assert_eq!(refused(&fleet, &[0, 1, 2, 3], "before").await, 0);
    fleet.site.log.change(|log| log.outage = Outage::Refuse);
    fleet.kill(3);
    // At the same time, as each refusal takes a second.
    let mut callers = JoinSet::new();
    for number in 0..REQUESTS {
        let address = fleet.callers(0);
        callers.spawn(async move { notice(address, &format!("during-{number}"), "a").await });
    }
    let mut lost = 0;
    for answer in callers.join_all().await {
        lost += u32::from(is_refused(&answer));
    }
    println!("one of four routers lost in an outage: {lost} of {REQUESTS} refused");
    assert!(lost < REQUESTS, "some shards have both holders");
    fleet.site.log.change(|log| log.outage = Outage::None);
    for number in 0..REQUESTS {
        let answer = insist(fleet.callers(1), &format!("during-{number}"), "a").await;
        assert_eq!(answer.status, 200, "{}", answer.text);
    }
    assert_eq!(fleet.runs().await, u64::from(2 * REQUESTS));
}
