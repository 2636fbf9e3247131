//! The host list client against a simulated host list.

use mallowpath::{Backoff, HostClient, HostClientSettings, HostList, HostRole, HostState};
use mallowpath_standins::{
    Outage,
    host_list::{self, Host, Settings},
};
use std::{sync::Arc, time::Duration};
use tokio::{sync::watch, time::timeout};

fn host(name: &str, state: &str) -> Host {
    Host {
        name: name.to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        role: "sidecar".to_owned(),
        availability_zone: "z1".to_owned(),
        region: "r1".to_owned(),
        state: state.to_owned(),
        service: String::new(),
    }
}

#[tokio::test]
async fn watch_skips_invalid_entries_and_keeps_the_last_list_during_an_outage() {
    let hosts = vec![host("a", "leaving"), host("b", "odd")];
    let service = host_list::start(Settings {
        hosts,
        ..Settings::default()
    })
    .await
    .unwrap();
    let settings = HostClientSettings {
        answer_timeout_ms: 50,
        long_poll_ms: 20,
        backoff: Backoff {
            min_ms: 1,
            max_ms: 5,
        },
        ..HostClientSettings::default()
    };
    let client = HostClient::new(service.address, settings);
    // The state of `b` is invalid, so only `a` is listed.
    let (sender, mut lists) = watch::channel(Arc::new(HostList::default()));
    let task = tokio::spawn(async move { client.watch(sender).await });
    lists.changed().await.unwrap();
    let list = Arc::clone(&lists.borrow_and_update());
    assert_eq!(list.hosts.len(), 1);
    let entry = &list.hosts[0];
    assert_eq!((entry.name.as_str(), entry.zone.as_str()), ("a", "z1"));
    assert_eq!(
        (entry.role, entry.state),
        (HostRole::Sidecar, HostState::Leaving)
    );
    // During the outage no new list is published and the last one remains.
    service.change(|settings| settings.outage = Outage::Refuse);
    timeout(Duration::from_millis(100), lists.changed())
        .await
        .unwrap_err();
    assert_eq!(lists.borrow().hosts.len(), 1);
    // The task ends once the last receiver is dropped.
    drop(lists);
    timeout(Duration::from_secs(5), task)
        .await
        .unwrap()
        .unwrap();
}
