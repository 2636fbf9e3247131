//! A message that expects no answer was answered by a process that does not serve it; the other
//! process did not serve the answer either and answered that, and so on without end.

use mallowpath::{
    BufferBudget, Endpoint, FrameBody, Heartbeat, Hello, HostLimits, Link, LinkLimits,
    LinkSettings, ReserveReply, SettleTokens, accept_links,
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{net::TcpListener, time::sleep};

/// Returns an endpoint that answers every message, and counts them in `received`.
fn answering_endpoint(received: &Arc<AtomicUsize>) -> Endpoint {
    let received = Arc::clone(received);
    Endpoint {
        hello: Hello::default(),
        settings: LinkSettings::default(),
        heartbeat: Arc::new(|_| Heartbeat::default()),
        on_heartbeat: Arc::new(|_, _| {}),
        on_call: Arc::new(move |_, responder| {
            received.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(async move {
                let answer = FrameBody::ReserveReply(ReserveReply::default());
                responder.send(answer).await;
            });
        }),
    }
}

#[tokio::test]
async fn message_that_expects_no_answer_gets_none() {
    let received = Arc::new(AtomicUsize::new(0));
    let endpoint = answering_endpoint(&received);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let host_limits = HostLimits::default();
    let buffers = BufferBudget::new(host_limits.buffer_max_bytes());
    let limits = LinkLimits::new("peers", &host_limits, &buffers);
    tokio::spawn(accept_links(
        listener,
        endpoint.clone(),
        limits,
        |_| async {},
    ));
    let link = Link::dial(address, &endpoint).await.unwrap();
    let message = FrameBody::SettleTokens(SettleTokens::default());
    link.send_oneway(message).await;
    sleep(Duration::from_millis(300)).await;
    assert_eq!(received.load(Ordering::SeqCst), 1);
    // A call is still answered.
    let message = FrameBody::SettleTokens(SettleTokens::default());
    let answer = link.call(message, Duration::from_secs(2)).await;
    assert!(matches!(answer, Ok(FrameBody::ReserveReply(_))));
}
