//! A backend server that sends a second copy of an answer late, on a connection in use again: no caller
//! may get an answer that isn't its own.

mod common;

use common::{
    gateway::{KEY, TestGateway, read_answer},
    server::{ScriptStep, ScriptedServer},
};
use tokio::io::AsyncWriteExt;

/// An answer whose body names the attempt that it answers.
const ANSWER: &str = "HTTP/1.1 200 OK\r\nx-attempt: ATTEMPT\r\nx-signature: s\r\n\
                      content-length: 7\r\n\r\nATTEMPT";

async fn call(test: &TestGateway, attempt: &str) -> (u16, String) {
    let mut stream = test.connect().await;
    let request = format!(
        "POST /once/ HTTP/1.1\r\nhost: h\r\nx-attempt: {attempt}\r\nx-key: {KEY}\r\n\
         connection: close\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let got = read_answer(stream).await;
    (got.status, got.body)
}

#[tokio::test]
async fn no_caller_gets_a_late_second_copy() {
    for delay_ms in [0, 5, 30] {
        // The copy of one answer is sent where the next one is due.
        let steps = vec![
            ScriptStep::Write(ANSWER.to_owned()),
            ScriptStep::Wait(delay_ms),
            ScriptStep::Write(ANSWER.to_owned()),
        ];
        let server = ScriptedServer::start(steps).await;
        let test = TestGateway::start(&[server.address]).await;
        let mut whole = 0;
        for number in 0..30 {
            let attempt = format!("call-{number:02}");
            let (status, body) = call(&test, &attempt).await;
            match status {
                200 => assert_eq!(body, attempt),
                // Sent on the connection on which the copy arrived, or not sent to a server that
                // failed like this before.
                502 | 503 => {}
                other => panic!("status {other}"),
            }
            whole += u32::from(status == 200);
        }
        assert!(
            whole > 0,
            "no answer was delivered with a delay of {delay_ms} ms"
        );
    }
}
