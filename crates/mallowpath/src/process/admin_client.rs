//! A client of a process's admin listener, for operators' tools.

use crate::{
    error::{Category, Error, Result},
    id::Incarnation,
    peer::link::{Endpoint, Link, LinkSettings},
    peer::wire::{Heartbeat, Hello},
    stream::http_call::{HttpCall, HttpCaller},
};
use bytes::Bytes;
use http::{Method, StatusCode};
use serde_json::Value;
use std::{net::SocketAddr, sync::Arc};

const CONNECT_TIMEOUT_MS: u64 = 1_000;
const ANSWER_TIMEOUT_MS: u64 = 3_000;

/// A client of one process's admin listener.
#[derive(Debug, Clone)]
pub struct AdminClient {
    caller: HttpCaller,
}

impl AdminClient {
    /// Creates a client of the admin listener at `address`; it connects on its first call.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            caller: HttpCaller::new(address, CONNECT_TIMEOUT_MS),
        }
    }

    /// Returns the state of the process.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be reached or its answer is invalid.
    pub async fn dump(&self) -> Result<Value> {
        const STEP: &str = "read a dump";
        let body = self.call(STEP, Method::GET, "/dump").await?;
        match serde_json::from_slice(&body) {
            Ok(dump) => Ok(dump),
            Err(error) => {
                let invalid =
                    self.caller
                        .error(Category::Protocol, STEP, "the answer is not valid JSON");
                Err(invalid.with_source(error))
            }
        }
    }

    /// Starts a graceful shutdown of the process.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be reached; with [`Category::Unknown`] it may still drain.
    pub async fn drain(&self) -> Result<()> {
        self.call("start a drain", Method::POST, "/drain").await?;
        Ok(())
    }

    async fn call(&self, operation: &'static str, method: Method, path: &str) -> Result<Bytes> {
        let call = HttpCall {
            operation,
            method,
            path: path.to_owned(),
            body: Bytes::new(),
            timeout_ms: ANSWER_TIMEOUT_MS,
        };
        let answer = self.caller.call(call).await?;
        if answer.status != StatusCode::OK {
            return Err(self.caller.status_error(operation, &answer));
        }
        Ok(answer.body)
    }
}

/// Returns the admin address of the process that listens for peers at `peer`.
///
/// An unspecified address, such as `0.0.0.0`, is replaced by that of `peer`.
///
/// # Errors
///
/// Fails when the process can't be reached or announces no valid admin address.
pub async fn find_admin(peer: SocketAddr) -> Result<SocketAddr> {
    let endpoint = Endpoint {
        hello: Hello {
            incarnation: Incarnation::random().0,
            ..Hello::default()
        },
        settings: LinkSettings::default(),
        heartbeat: Arc::new(|_| Heartbeat::default()),
        on_heartbeat: Arc::new(|_, _| {}),
        on_call: Arc::new(|_, _| {}),
    };
    let link = Link::dial(peer, &endpoint).await?;
    link.close();
    let Ok(mut admin) = link.peer().admin.parse::<SocketAddr>() else {
        let message = "the process announces no valid admin address";
        return Err(Error::new(
            Category::Protocol,
            "find the admin address",
            peer,
            message,
        ));
    };
    if admin.ip().is_unspecified() {
        admin.set_ip(peer.ip());
    }
    Ok(admin)
}
