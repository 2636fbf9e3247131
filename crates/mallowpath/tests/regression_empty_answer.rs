//! A backend server that ended as its answer began closed the connection; the sidecar passed on a success
//! without a body as whole.

use mallowpath::{AnswerEnd, BackendClient, SubmitMessage};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};
use tokio_util::sync::CancellationToken;

/// Returns how a run ended whose server writes `bytes` and closes the connection.
async fn end_of(bytes: &'static str) -> AnswerEnd {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = BackendClient::new(listener.local_addr().unwrap());
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1_024];
        assert!(stream.read(&mut request).await.unwrap() > 0);
        stream.write_all(bytes.as_bytes()).await.unwrap();
    });
    let submit = SubmitMessage {
        method: "POST".to_owned(),
        path: "/x".to_owned(),
        within_ms: 20_000,
        ..SubmitMessage::default()
    };
    let cancelled = CancellationToken::new();
    let end = client.run(&submit, "r1", &cancelled, |_| {}).await;
    server.await.unwrap();
    end
}

#[tokio::test]
async fn success_without_framing_and_body_is_not_whole() {
    for head in ["HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n"] {
        let end = end_of(head).await;
        assert!(!end.whole && end.ran, "{head:?}: {end:?}");
    }
}

#[tokio::test]
async fn answers_whose_end_shows_are_whole() {
    for answer in [
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\nbody",
        "HTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 404 Not Found\r\n\r\n",
    ] {
        let end = end_of(answer).await;
        assert!(end.whole, "{answer:?}: {end:?}");
    }
}
