//! An HTTP server that can drop its answers, and settings that change while it runs.

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
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use tokio::{
    net::{TcpListener, TcpStream},
    task::{AbortHandle, JoinSet},
};

/// A running stand-in, which stops when the handle drops.
#[derive(Debug)]
pub struct Handle<S> {
    /// The address at which the stand-in listens.
    pub address: SocketAddr,
    settings: Arc<Live<S>>,
    _accept: Task,
}

impl<S: Clone> Handle<S> {
    /// Changes the settings of the running stand-in.
    pub fn change(&self, change: impl FnOnce(&mut S)) {
        change(&mut lock(&self.settings.0));
    }
}

/// Settings that may change at any time.
#[derive(Debug)]
pub(crate) struct Live<S>(Mutex<S>);

impl<S: Clone> Live<S> {
    pub(crate) fn new(settings: S) -> Arc<Self> {
        Arc::new(Self(Mutex::new(settings)))
    }

    /// Returns the settings as they are now.
    pub(crate) fn get(&self) -> S {
        lock(&self.0).clone()
    }
}

/// Marks an answer that must not reach the caller: the connection closes in its place.
#[derive(Debug, Clone)]
struct Lost;

/// A task that ends when the value drops.
#[derive(Debug)]
pub(crate) struct Task(pub(crate) AbortHandle);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Serves `router` and the control call at `listen`.
pub(crate) async fn start<S>(
    listen: SocketAddr,
    settings: Arc<Live<S>>,
    router: Router,
) -> io::Result<Handle<S>>
where
    S: Clone + Serialize + DeserializeOwned + Send + 'static,
{
    let control = Router::new()
        .route("/control", post(control::<S>))
        .with_state(Arc::clone(&settings));
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let accept = tokio::spawn(accept_all(listener, control.merge(router)));
    Ok(Handle {
        address,
        settings,
        _accept: Task(accept.abort_handle()),
    })
}

/// Locks, also after a holder panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Builds an answer that the caller never sees.
pub(crate) fn lost() -> Response {
    let mut response = Response::new(Body::empty());
    response.extensions_mut().insert(Lost);
    response
}

/// Builds an error answer.
pub(crate) fn error(status: StatusCode, text: &str) -> Response {
    (status, Json(json!({ "error": text }))).into_response()
}

/// Builds an error answer that says when to come back.
pub(crate) fn retry_after(status: StatusCode, text: &str, retry_after_ms: u64) -> Response {
    let body = json!({ "error": text, "retry_after_ms": retry_after_ms });
    (status, Json(body)).into_response()
}

async fn control<S>(State(live): State<Arc<Live<S>>>, Json(changes): Json<Value>) -> Response
where
    S: Clone + Serialize + DeserializeOwned,
{
    let mut settings = lock(&live.0);
    match merged(&*settings, changes) {
        Ok(changed) => {
            *settings = changed;
            Json(json!({})).into_response()
        }
        Err(e) => error(StatusCode::BAD_REQUEST, &e.to_string()),
    }
}

fn merged<S: Serialize + DeserializeOwned>(settings: &S, changes: Value) -> serde_json::Result<S> {
    let mut value = serde_json::to_value(settings)?;
    if let (Value::Object(fields), Value::Object(changes)) = (&mut value, changes) {
        fields.extend(changes);
    }
    serde_json::from_value(value)
}

async fn accept_all(listener: TcpListener, router: Router) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn(serve(stream, router.clone()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve(stream: TcpStream, router: Router) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(move |request: hyper::Request<Incoming>| {
        let service = TowerToHyperService::new(router.clone());
        async move {
            let response = hyper::service::Service::call(&service, request).await;
            let response = response.unwrap_or_else(|never| match never {});
            if response.extensions().get::<Lost>().is_some() {
                return Err(io::Error::other("answer lost"));
            }
            Ok(response)
        }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(e) = connection.await {
        log::debug!("connection ended: {e}");
    }
}
