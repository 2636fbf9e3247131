//! Checks that concurrent requests are linearizable, with each key a write-once register.

use crate::fleet::{Fleet, error_code, fast_settings, post_via_any_router, request_id};
use mallowpath_standins::forwarder::Mode;
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};
use todc_utils::{
    linearizability::{
        WGLChecker,
        history::{Action, History},
    },
    specifications::Specification,
};

const CLIENTS: usize = 6;
const CALLS: usize = 25;
const KEYS: usize = 7;
const BODIES: [&str; 2] = ["one", "two"];

/// A request with a key, or its outcome as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
enum KeyOperation {
    Request,
    /// The caller got the answer of the request with this identifier and body.
    Answered {
        id: String,
        body: usize,
    },
    /// The request with this body was refused, as the key is bound to another body.
    Reused {
        body: usize,
    },
    NotRun,
}

struct KeyRegister;

impl Specification for KeyRegister {
    type State = Option<(String, usize)>;
    type Operation = KeyOperation;

    fn init() -> Self::State {
        None
    }

    fn apply(op: &Self::Operation, state: &Self::State) -> (bool, Self::State) {
        match (op, state) {
            (KeyOperation::Answered { id, body }, None) => (true, Some((id.clone(), *body))),
            (KeyOperation::Answered { id, body }, Some(bound)) => {
                (*bound == (id.clone(), *body), state.clone())
            }
            (KeyOperation::Reused { body }, Some((_, bound))) => (bound != body, state.clone()),
            (KeyOperation::NotRun, _) => (true, state.clone()),
            (KeyOperation::Request | KeyOperation::Reused { .. }, _) => (false, state.clone()),
        }
    }
}

type Actions = BTreeMap<usize, Vec<(usize, Action<KeyOperation>)>>;

/// Sends requests as a caller that goes to the next router when one doesn't answer.
async fn client(fleet: Arc<Fleet>, number: usize, history: Arc<Mutex<Actions>>) {
    for call in 0..CALLS {
        let key = (call * 5 + number * 3) % KEYS;
        let body = (call / KEYS + number) % BODIES.len();
        let record = |action| {
            let mut history = history.lock().expect("no panic");
            history.entry(key).or_default().push((number, action));
        };
        record(Action::Call(KeyOperation::Request));
        let first = call + number;
        let answer = post_via_any_router(&fleet, first, &format!("key-{key}"), BODIES[body]).await;
        record(Action::Response(match error_code(&answer).as_str() {
            "" => KeyOperation::Answered {
                id: request_id(&answer),
                body,
            },
            "key_reused" => KeyOperation::Reused { body },
            refused => {
                // If the key can't be looked up, an earlier request with it may have run.
                let outcome = match refused {
                    "key_unavailable" => "unknown",
                    _ => "not_run",
                };
                let error = &answer.json()["error"];
                assert_eq!(error["outcome"], outcome, "{}", answer.text);
                KeyOperation::NotRun
            }
        }));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_bind_once_while_replicas_are_unreachable() {
    let fleet = Arc::new(Fleet::start(4, fast_settings()).await);
    let history = Arc::new(Mutex::new(Actions::new()));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let requests = client(Arc::clone(&fleet), number, Arc::clone(&history));
        clients.push(tokio::spawn(requests));
    }
    // Makes one router unreachable to the others, then another one.
    for router in [1, 2] {
        fleet.routers[router].peers.set_mode(Mode::Cut);
        tokio::time::sleep(Duration::from_millis(900)).await;
        fleet.routers[router].peers.set_mode(Mode::Open);
    }
    for client in clients {
        client.await.expect("no panic");
    }
    let history = history.lock().expect("no panic").clone();
    let mut bound = 0;
    for (key, actions) in &history {
        let answered = |action: &(usize, Action<KeyOperation>)| {
            matches!(action.1, Action::Response(KeyOperation::Answered { .. }))
        };
        bound += u64::from(actions.iter().any(answered));
        let history = History::from_actions(actions.clone());
        assert!(
            WGLChecker::<KeyRegister>::is_linearizable(history),
            "key {key}: {actions:?}"
        );
    }
    assert!(bound > 0, "no key was answered");
    assert_eq!(
        fleet.notices_run_count().await,
        bound,
        "one run for each key"
    );
}
