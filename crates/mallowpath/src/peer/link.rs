//! Multiplexed connections between processes of the fleet.
//!
//! A [`Link`] is one TCP connection that carries many concurrent calls. Both sides send heartbeats.
//! A side that receives nothing for [`LinkSettings::silent_after_ms`] closes the connection, even
//! if TCP reports no error, and all calls on it end at once.

pub use crate::process::clock::now_ms;
use crate::{
    error::{Category, Error, Result},
    id::Incarnation,
    memory::{
        frame_codec::FrameCodec,
        unread_answer::{UnreadAnswer, UnreadPart},
    },
    peer::link_tasks::{
        FRAME_MAX_BYTES, exchange_hello, read_frames, send_heartbeats, write_frames,
    },
    peer::wire::{Cancel, Frame, FrameBody, Heartbeat, Hello},
};
use bytes::Bytes;
use futures_util::StreamExt;
use std::{
    collections::HashMap,
    fmt,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{net::TcpStream, sync::mpsc, time::timeout};
use tokio_util::sync::CancellationToken;

/// Capacity of the queue of frames to write; senders wait while it is full.
const OUTGOING_QUEUE_FRAMES: usize = 1024;

/// Timing of a connection.
#[derive(Debug, Clone)]
pub struct LinkSettings {
    /// Interval between heartbeats, in milliseconds.
    pub heartbeat_interval_ms: u64,
    /// Time without a message from the peer after which the connection is closed, in milliseconds.
    pub silent_after_ms: u64,
    /// Timeout for opening a connection, and again for the peer's hello message, in milliseconds.
    pub connect_timeout_ms: u64,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval_ms: 500,
            silent_after_ms: 1750,
            connect_timeout_ms: 1000,
        }
    }
}

/// A callback that is called with each heartbeat of a peer.
pub type HeartbeatHook = Arc<dyn Fn(&Arc<Link>, Heartbeat) + Send + Sync>;

/// The identity, the timing and the callbacks that a process uses on all its connections.
#[derive(Clone)]
pub struct Endpoint {
    /// The first message on each connection, which identifies the process.
    pub hello: Hello,
    /// Timing of the connections.
    pub settings: LinkSettings,
    /// Creates the heartbeat for the peer that sent the given hello message.
    pub heartbeat: Arc<dyn Fn(&Hello) -> Heartbeat + Send + Sync>,
    /// Handles a heartbeat of a peer.
    pub on_heartbeat: HeartbeatHook,
    /// Handles a call that a peer opens, and messages of a peer that expect no answer.
    pub on_call: Arc<dyn Fn(FrameBody, Responder) + Send + Sync>,
}

/// One connection to a peer.
pub struct Link {
    peer: Hello,
    remote: SocketAddr,
    outgoing: mpsc::Sender<Frame>,
    calls: Mutex<Calls>,
    /// `sent_at_ms` of the last heartbeat received, which the next heartbeat sent echoes.
    echo_ms: Mutex<Option<u64>>,
    closed: CancellationToken,
}

struct Calls {
    next_id: u64,
    /// Calls that this process opened, with the senders of their answers.
    answer_senders: HashMap<u64, AnswerSender>,
    /// Calls that the peer opened, with the tokens that cancel them.
    cancel_tokens: HashMap<u64, CancellationToken>,
}

/// Where a connection puts the messages of a call's answer.
struct AnswerSender {
    messages: mpsc::UnboundedSender<Received>,
    /// Accounts for the parts of an answer that is passed on to a caller.
    unread: Option<Arc<UnreadAnswer>>,
}

/// A message of an answer, with its memory if it is accounted for.
type Received = (FrameBody, Option<UnreadPart>);

/// A call that this process opened; dropping it before [`Call::finish`] cancels it at the peer.
#[derive(Debug)]
pub struct Call {
    id: u64,
    link: Arc<Link>,
    incoming: mpsc::UnboundedReceiver<Received>,
    finished: bool,
}

/// The serving end of a call that a peer opened, through which the answer is sent.
#[derive(Debug)]
pub struct Responder {
    id: u64,
    link: Arc<Link>,
    cancelled: CancellationToken,
}

impl Link {
    /// Opens a connection to `remote` and exchanges hello messages.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Refused`] if the peer cannot be reached or sends no hello message within
    /// [`LinkSettings::connect_timeout_ms`].
    pub async fn dial(remote: SocketAddr, endpoint: &Endpoint) -> Result<Arc<Self>> {
        let connect_timeout = Duration::from_millis(endpoint.settings.connect_timeout_ms);
        let stream = match timeout(connect_timeout, TcpStream::connect(remote)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(connect_error(remote, &error.to_string())),
            Err(_) => return Err(connect_error(remote, "no connection in time")),
        };
        let codec = FrameCodec::new(FRAME_MAX_BYTES);
        Self::establish(stream, remote, endpoint, codec, 1).await
    }

    /// Sets up a connection that a peer opened and exchanges hello messages.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Refused`] if the peer sends no hello message within
    /// [`LinkSettings::connect_timeout_ms`].
    pub async fn accept(
        stream: TcpStream,
        remote: SocketAddr,
        endpoint: &Endpoint,
        codec: FrameCodec,
    ) -> Result<Arc<Self>> {
        Self::establish(stream, remote, endpoint, codec, 2).await
    }

    async fn establish(
        stream: TcpStream,
        remote: SocketAddr,
        endpoint: &Endpoint,
        codec: FrameCodec,
        first_call_id: u64,
    ) -> Result<Arc<Self>> {
        let (peer, framed) = exchange_hello(stream, remote, endpoint, codec).await?;
        let (outgoing, queue) = mpsc::channel(OUTGOING_QUEUE_FRAMES);
        let link = Arc::new(Self {
            peer,
            remote,
            outgoing,
            calls: Mutex::new(Calls {
                next_id: first_call_id,
                answer_senders: HashMap::new(),
                cancel_tokens: HashMap::new(),
            }),
            echo_ms: Mutex::new(None),
            closed: CancellationToken::new(),
        });
        let (sink, source) = framed.split();
        tokio::spawn(write_frames(Arc::clone(&link), queue, sink));
        tokio::spawn(read_frames(Arc::clone(&link), endpoint.clone(), source));
        tokio::spawn(send_heartbeats(Arc::clone(&link), endpoint.clone()));
        Ok(link)
    }

    /// Returns the hello message of the peer.
    pub fn peer(&self) -> &Hello {
        &self.peer
    }

    /// Returns the incarnation of the peer.
    pub fn peer_incarnation(&self) -> Incarnation {
        Incarnation(self.peer.incarnation)
    }

    /// Returns the address of the peer's end of the connection.
    pub fn remote(&self) -> SocketAddr {
        self.remote
    }

    /// Closes the connection, which ends all calls on it.
    pub fn close(&self) {
        self.closed.cancel();
    }

    /// Returns whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.closed.is_cancelled()
    }

    /// Waits until the connection is closed.
    pub async fn closed(&self) {
        self.closed.cancelled().await;
    }

    /// Opens a call with the message `body`.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Refused`] if the connection was closed before the message was queued, so
    /// the peer never receives it.
    pub async fn open_call(self: &Arc<Self>, body: FrameBody) -> Result<Call> {
        self.open_answer_call(body, None).await
    }

    /// Opens a call with the message `body`, for the parts of whose answer `unread` accounts.
    ///
    /// # Errors
    ///
    /// Fails like [`Link::open_call`].
    pub(crate) async fn open_answer_call(
        self: &Arc<Self>,
        body: FrameBody,
        unread: Option<Arc<UnreadAnswer>>,
    ) -> Result<Call> {
        let (messages, incoming) = mpsc::unbounded_channel();
        let id = {
            let mut calls = self.calls();
            let id = calls.next_id;
            calls.next_id += 2;
            let sender = AnswerSender { messages, unread };
            calls.answer_senders.insert(id, sender);
            id
        };
        let call = Call {
            id,
            link: Arc::clone(self),
            incoming,
            finished: false,
        };
        if self.is_closed() || !self.send(id, body).await {
            return Err(Error::new(
                Category::Refused,
                "open a call",
                self.remote,
                "the connection is closed",
            ));
        }
        Ok(call)
    }

    /// Opens a call that has a single answer and waits for it.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Refused`] if the call was certainly not sent, and [`Category::Unknown`]
    /// if no answer arrived within `answer_timeout` or the connection closed first.
    pub async fn call(
        self: &Arc<Self>,
        body: FrameBody,
        answer_timeout: Duration,
    ) -> Result<FrameBody> {
        let mut call = self.open_call(body).await?;
        match timeout(answer_timeout, call.next()).await {
            Ok(Some(answer)) => {
                call.finish();
                Ok(answer)
            }
            Ok(None) => Err(self.answer_error("the connection closed before the answer")),
            Err(_) => Err(self.answer_error("no answer in time")),
        }
    }

    /// Sends a message that expects no answer; the message is dropped if the connection is closed.
    pub async fn send_oneway(&self, body: FrameBody) {
        let sent = self.send(0, body).await;
        if !sent {
            log::debug!(
                "dropped a message to {}: the connection is closed",
                self.remote
            );
        }
    }

    #[cold]
    fn answer_error(&self, message: &str) -> Error {
        Error::new(
            Category::Unknown,
            "wait for an answer",
            self.remote,
            message,
        )
    }

    /// Queues a message and returns whether it was queued before the connection closed.
    pub(crate) async fn send(&self, call: u64, body: FrameBody) -> bool {
        let frame = Frame {
            call,
            body: Some(body),
        };
        tokio::select! {
            sent = self.outgoing.send(frame) => sent.is_ok(),
            () = self.closed.cancelled() => false,
        }
    }

    /// Returns the locked `sent_at_ms` of the last heartbeat received.
    pub(crate) fn echo_ms(&self) -> MutexGuard<'_, Option<u64>> {
        self.echo_ms.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn calls(&self) -> MutexGuard<'_, Calls> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the answers of all outgoing calls and cancels all incoming ones.
    pub(crate) fn end_calls(&self) {
        let mut calls = self.calls();
        calls.answer_senders.clear();
        for (_, token) in calls.cancel_tokens.drain() {
            token.cancel();
        }
    }

    /// Routes a received message to its call; a message of an unknown call opens a new one.
    pub(crate) fn dispatch(self: &Arc<Self>, call: u64, body: FrameBody, endpoint: &Endpoint) {
        let responder = {
            let mut calls = self.calls();
            if let Some(sender) = calls.answer_senders.get(&call) {
                // Sending fails if the caller has dropped the call; its answer is discarded.
                drop(sender.messages.send(sender.account_for(body)));
                return;
            }
            if let FrameBody::Cancel(_) = body {
                if let Some(token) = calls.cancel_tokens.remove(&call) {
                    token.cancel();
                }
                return;
            }
            if call != 0 && call % 2 == calls.next_id % 2 {
                // A late or repeated answer to a call of this process that has ended.
                return;
            }
            let cancelled = CancellationToken::new();
            if call != 0 {
                calls.cancel_tokens.insert(call, cancelled.clone());
            }
            Responder {
                id: call,
                link: Arc::clone(self),
                cancelled,
            }
        };
        (endpoint.on_call)(body, responder);
    }
}

impl Call {
    /// Waits for the next message of the answer; returns `None` once the connection is closed.
    pub async fn next(&mut self) -> Option<FrameBody> {
        let (body, _) = self.next_part().await?;
        Some(body)
    }

    /// Waits for the next message of the answer, which is accounted for until the second value is dropped.
    pub(crate) async fn next_part(&mut self) -> Option<Received> {
        self.incoming.recv().await
    }

    /// Marks the call as finished, so that dropping it does not cancel it at the peer, and discards what is
    /// left of its answer.
    pub fn finish(&mut self) {
        self.finished = true;
        self.link.calls().answer_senders.remove(&self.id);
        self.incoming.close();
        while self.incoming.try_recv().is_ok() {}
    }

    /// Returns the connection of the call.
    pub fn link(&self) -> &Arc<Link> {
        &self.link
    }
}

impl AnswerSender {
    /// Accounts for a part of an answer, in memory of its own: what was read from the connection at once is
    /// one piece of memory that all messages in it keep.
    fn account_for(&self, body: FrameBody) -> Received {
        match (body, &self.unread) {
            (FrameBody::Chunk(mut chunk), Some(unread)) => {
                chunk.data = Bytes::copy_from_slice(&chunk.data);
                let part = unread.hold(chunk.data.len() + size_of::<Received>());
                (FrameBody::Chunk(chunk), Some(part))
            }
            (body, _) => (body, None),
        }
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.link.calls().answer_senders.remove(&self.id);
        if self.finished || self.link.is_closed() {
            return;
        }
        let link = Arc::clone(&self.link);
        let id = self.id;
        tokio::spawn(async move { link.send(id, FrameBody::Cancel(Cancel {})).await });
    }
}

impl Responder {
    /// Queues a message of the answer and returns whether it was queued.
    ///
    /// Returns `false` if the peer has cancelled the call, the connection is closed, or the message
    /// expects no answer.
    pub async fn send(&self, body: FrameBody) -> bool {
        if self.id == 0 || self.cancelled.is_cancelled() {
            return false;
        }
        self.link.send(self.id, body).await
    }

    /// Waits until the peer cancels the call or the connection closes.
    pub async fn cancelled(&self) {
        self.cancelled.cancelled().await;
    }

    /// Returns the connection of the call.
    pub fn link(&self) -> &Arc<Link> {
        &self.link
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        self.link.calls().cancel_tokens.remove(&self.id);
    }
}

#[cold]
pub(crate) fn connect_error(remote: SocketAddr, message: &str) -> Error {
    Error::new(Category::Refused, "connect to a peer", remote, message)
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Link")
            .field("peer", &self.peer)
            .field("remote", &self.remote)
            .finish_non_exhaustive()
    }
}

impl fmt::Debug for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Endpoint")
            .field("hello", &self.hello)
            .finish_non_exhaustive()
    }
}
