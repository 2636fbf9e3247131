//! An HTTP server with settings that can change at run time and responses that can be dropped.

use axum::{
    Json, Router,
    body::Body,
    extract::State,
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::post,
};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{rt::TokioIo, service::TowerToHyperService};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Notify, watch},
    task::{AbortHandle, JoinSet},
    time::sleep,
};

/// A running stand-in; it stops when the handle is dropped.
#[derive(Debug)]
pub struct Handle<S> {
    /// The address at which the stand-in listens.
    pub address: SocketAddr,
    settings: Arc<SharedSettings<S>>,
    _accept_task: AbortOnDrop,
}

impl<S: Clone> Handle<S> {
    /// Changes the settings of the running stand-in.
    pub fn change(&self, change: impl FnOnce(&mut S)) {
        self.settings.change(change);
    }
}

/// Shared settings that can change while the stand-in runs.
#[derive(Debug)]
pub(crate) struct SharedSettings<S> {
    current: watch::Sender<S>,
    after_change: fn(&mut S),
}

impl<S: Clone> SharedSettings<S> {
    pub(crate) fn new(settings: S) -> Arc<Self> {
        Self::with_hook(settings, |_| {})
    }

    /// Creates settings that are passed to `after_change` after every change.
    pub(crate) fn with_hook(settings: S, after_change: fn(&mut S)) -> Arc<Self> {
        Arc::new(Self {
            current: watch::Sender::new(settings),
            after_change,
        })
    }

    /// Returns a copy of the current settings.
    pub(crate) fn get(&self) -> S {
        self.current.borrow().clone()
    }

    /// Returns a receiver that is notified of every change.
    pub(crate) fn subscribe(&self) -> watch::Receiver<S> {
        self.current.subscribe()
    }

    /// Applies `change` to the settings and runs the hook before receivers are notified.
    pub(crate) fn change(&self, change: impl FnOnce(&mut S)) {
        self.current.send_modify(|settings| {
            change(settings);
            (self.after_change)(settings);
        });
    }
}

/// How a stand-in responds during an outage.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// There is no outage.
    #[default]
    None,
    /// Every request gets status `503`.
    Refuse,
    /// Requests get no response and have no effect.
    Hang,
}

impl Outage {
    /// Returns the response that replaces the usual one, or `None` without an outage.
    ///
    /// Never returns for [`Outage::Hang`].
    pub(crate) async fn override_response(self) -> Option<Response> {
        match self {
            Self::None => None,
            Self::Refuse => Some(retry_after(StatusCode::SERVICE_UNAVAILABLE, "outage", 100)),
            Self::Hang => std::future::pending().await,
        }
    }
}

/// Time between the crash of a server and its restart at the same address.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Marks a response that is not sent; the server closes the connection instead.
#[derive(Debug, Clone)]
struct CloseUnanswered;

/// Marks a response that is not sent; the server closes all connections and stops listening for
/// [`RESTART_DELAY`].
#[derive(Debug, Clone)]
struct Crash;

/// A task that is aborted when this value is dropped.
#[derive(Debug)]
pub(crate) struct AbortOnDrop(pub(crate) AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Serves `router` and `POST /control` at `listen`.
pub(crate) async fn start<S>(
    listen: SocketAddr,
    settings: Arc<SharedSettings<S>>,
    router: Router,
) -> io::Result<Handle<S>>
where
    S: Clone + Serialize + DeserializeOwned + Send + Sync + 'static,
{
    let control = Router::new()
        .route("/control", post(change_settings::<S>))
        .with_state(Arc::clone(&settings));
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let router = control.merge(router);
    let accept = tokio::spawn(accept_connections(listener, address, router));
    Ok(Handle {
        address,
        settings,
        _accept_task: AbortOnDrop(accept.abort_handle()),
    })
}

/// Locks `mutex`, even if it is poisoned.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Builds a response that is not sent: the client sees the connection close.
pub(crate) fn close_without_response() -> Response {
    let mut response = Response::new(Body::empty());
    response.extensions_mut().insert(CloseUnanswered);
    response
}

/// Builds a response that is not sent: the server crashes and restarts.
pub(crate) fn crash() -> Response {
    let mut response = close_without_response();
    response.extensions_mut().insert(Crash);
    response
}

/// Builds an error response.
pub(crate) fn error(status: StatusCode, text: &str) -> Response {
    (status, Json(json!({ "error": text }))).into_response()
}

/// Builds an error response that says after how many milliseconds to retry.
pub(crate) fn retry_after(status: StatusCode, text: &str, retry_after_ms: u64) -> Response {
    let body = json!({ "error": text, "retry_after_ms": retry_after_ms });
    (status, Json(body)).into_response()
}

async fn change_settings<S>(
    State(shared): State<Arc<SharedSettings<S>>>,
    Json(changes): Json<Value>,
) -> Response
where
    S: Clone + Serialize + DeserializeOwned,
{
    match merge_settings(&shared.get(), changes) {
        Ok(changed) => {
            shared.change(|settings| *settings = changed);
            Json(json!({})).into_response()
        }
        Err(e) => error(StatusCode::BAD_REQUEST, &e.to_string()),
    }
}

/// Returns a copy of `settings` in which the fields of the JSON object `changes` are replaced.
///
/// # Errors
///
/// Fails when a field is unknown or its value has the wrong type.
pub fn merge_settings<S: Serialize + DeserializeOwned>(
    settings: &S,
    changes: Value,
) -> serde_json::Result<S> {
    let mut value = serde_json::to_value(settings)?;
    if let (Value::Object(fields), Value::Object(changes)) = (&mut value, changes) {
        fields.extend(changes);
    }
    serde_json::from_value(value)
}

async fn accept_connections(mut listener: TcpListener, address: SocketAddr, router: Router) {
    loop {
        serve_until_crash(listener, &router).await;
        sleep(RESTART_DELAY).await;
        listener = match TcpListener::bind(address).await {
            Ok(listener) => listener,
            Err(e) => {
                log::error!("the stand-in can't restart at {address}: {e}");
                return;
            }
        };
    }
}

/// Serves connections until a request crashes the server, then closes all of them.
async fn serve_until_crash(listener: TcpListener, router: &Router) {
    let crash = Arc::new(Notify::new());
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn(serve_connection(stream, router.clone(), Arc::clone(&crash)));
            }
            Some(_) = connections.join_next() => {}
            () = crash.notified() => return,
        }
    }
}

async fn serve_connection(stream: TcpStream, router: Router, crash: Arc<Notify>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(move |request: hyper::Request<Incoming>| {
        let service = TowerToHyperService::new(router.clone());
        let crash = Arc::clone(&crash);
        async move {
            let response = hyper::service::Service::call(&service, request).await;
            let response = response.unwrap_or_else(|never| match never {});
            if response.extensions().get::<Crash>().is_some() {
                crash.notify_one();
            }
            if response.extensions().get::<CloseUnanswered>().is_some() {
                return Err(io::Error::other("answer lost"));
            }
            Ok(response)
        }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(e) = connection.await {
        log::debug!("serving a connection failed; closing it: {e}");
    }
}
