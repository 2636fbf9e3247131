//! An answer that begins before the request was read and is reset, or whose status is 000, is never whole.

use bytes::Bytes;
use mallowpath::{AnswerEnd, BackendClient, SubmitMessage};
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::sleep,
};
use tokio_util::sync::CancellationToken;

/// Size of the request's body, more than the buffers of a connection hold.
const BODY_BYTES: usize = 4 << 20;

/// How often each request is sent: whether the reset meets a read or a write is up to chance.
const ROUNDS: usize = 20;

/// Returns how a run ended whose server reads a part of the request, writes `bytes` and resets the
/// connection.
async fn end_of(bytes: &'static str, model: bool) -> AnswerEnd {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = BackendClient::new(listener.local_addr().unwrap());
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1_024];
        assert!(stream.read(&mut request).await.unwrap() > 0);
        stream.write_all(bytes.as_bytes()).await.unwrap();
        sleep(Duration::from_millis(20)).await;
        // Closing the connection with unread bytes resets it.
    });
    let submit = SubmitMessage {
        method: "POST".to_owned(),
        path: "/x".to_owned(),
        body: Bytes::from(vec![b'x'; BODY_BYTES]),
        model,
        cap_tokens: 10,
        within_ms: 20_000,
        ..SubmitMessage::default()
    };
    let cancelled = CancellationToken::new();
    let end = client.run(&submit, "r1", &cancelled, |_| {}).await;
    server.await.unwrap();
    end
}

#[tokio::test]
async fn answers_that_are_reset_or_have_no_status_are_not_whole() {
    let cases = [
        ("HTTP/1.1 200 OK\r\n\r\na part of the answer", false),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\na part of the answer",
            false,
        ),
        (
            "HTTP/1.1 200 OK\r\n\r\ndata: {\"choices\":[{\"delta\":{\"content\":\"word\"}}]}\n\n",
            true,
        ),
        ("HTTP/1.1 000 None\r\ncontent-length: 2\r\n\r\nhi", false),
        ("HTTP/1.1 000 None\r\n\r\ndata: [DONE]\n\n", true),
    ];
    for (answer, model) in cases {
        for _ in 0..ROUNDS {
            let end = end_of(answer, model).await;
            assert!(!end.whole && end.ran, "{answer:?}: {end:?}");
        }
    }
}
