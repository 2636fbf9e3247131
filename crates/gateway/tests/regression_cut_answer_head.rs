//! A backend server that ended as its answer began closed the connection; callers got a success without a
//! body, which was framed as whole.

mod common;

use common::{
    gateway::{Answer, TestGateway},
    server::{ScriptStep, ScriptedServer},
};

/// The routes of which an answer is read whole before it is forwarded.
const PATHS: [&str; 2] = ["/once/", "/again/"];

/// The head of a signed answer, up to its framing.
const HEAD: &str = "200 OK\r\nx-attempt: ATTEMPT\r\nx-signature: s\r\n";

/// Returns what callers get of a server that writes `bytes` and closes the connection.
async fn answer_to(path: &str, bytes: &str) -> Answer {
    let steps = vec![ScriptStep::Write(bytes.to_owned()), ScriptStep::Close];
    let server = ScriptedServer::start(steps).await;
    let test = TestGateway::start(&[server.address]).await;
    let answer = test.call(path, "").await;
    assert!(server.count() > 0, "the request did not reach the server");
    answer
}

#[tokio::test]
async fn answer_without_framing_and_body_is_no_success() {
    for path in PATHS {
        for protocol in ["HTTP/1.1", "HTTP/1.0"] {
            let bytes = format!("{protocol} {HEAD}\r\n");
            let answer = answer_to(path, &bytes).await;
            assert_eq!(answer.status, 502, "{path} {protocol}: {answer:?}");
        }
    }
}

#[tokio::test]
async fn answer_that_is_cut_anywhere_is_no_success() {
    let whole = format!("HTTP/1.1 {HEAD}content-length: 5\r\n\r\nhello");
    for path in PATHS {
        assert_eq!(answer_to(path, &whole).await.status, 200);
        for length in (0..whole.len()).step_by(5) {
            let answer = answer_to(path, &whole[..length]).await;
            assert_eq!(answer.status, 502, "{path}, {length} bytes: {answer:?}");
        }
    }
}

#[tokio::test]
async fn repeatable_request_is_sent_elsewhere_after_an_empty_answer() {
    let bytes = format!("HTTP/1.1 {HEAD}\r\n");
    let script = move |number| match number {
        0 => vec![ScriptStep::Write(bytes.clone()), ScriptStep::Close],
        _ => vec![common::server::success("hello")],
    };
    let server = ScriptedServer::start_numbered(script).await;
    // The same server under two registrations.
    let test = TestGateway::start(&[server.address, server.address]).await;
    let answer = test.call("/again/", "").await;
    assert_eq!((answer.status, &*answer.body), (200, "hello"));
}

#[tokio::test]
async fn whole_answers_without_a_length_are_delivered() {
    let with_body = format!("HTTP/1.1 {HEAD}\r\nhello");
    let answer = answer_to("/once/", &with_body).await;
    assert_eq!((answer.status, &*answer.body), (200, "hello"));
    let no_content = "HTTP/1.1 204 No Content\r\nx-attempt: ATTEMPT\r\nx-signature: s\r\n\r\n";
    assert_eq!(answer_to("/once/", no_content).await.status, 204);
    let failure = "HTTP/1.1 404 Not Found\r\nx-attempt: ATTEMPT\r\n\r\n";
    assert_eq!(answer_to("/once/", failure).await.status, 404);
}
