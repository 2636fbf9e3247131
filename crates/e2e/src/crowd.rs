//! Many callers at once that send more than they may or less than they announce, and stay connected.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpSocket, TcpStream},
    task::JoinSet,
    time::{Instant, sleep},
};

/// Time after which [`Crowd::wait_until_sent`] gives up on callers whose peer reads no more.
const SEND_LIMIT: Duration = Duration::from_secs(20);

/// Small chunks are written together up to this size.
const BLOCK_BYTES: usize = 1 << 16;

/// Small, so that the kernel does not take an answer that nobody reads.
const RECEIVE_BUFFER_BYTES: u32 = 4_096;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What each caller of a crowd sends.
#[derive(Debug, Clone, Default)]
pub struct Sent {
    /// The bytes that come first, such as the head of a request.
    pub start: Vec<u8>,
    /// The bytes that follow `blocks` times.
    pub block: Vec<u8>,
    /// How often `block` is sent.
    pub blocks: usize,
    /// The pause before each block, in milliseconds.
    pub pause_ms: u64,
}

/// Callers with one connection each, which stay open until the value is dropped or the peer closes them.
///
/// They read nothing.
#[derive(Debug)]
pub struct Crowd {
    callers: usize,
    sent: Arc<AtomicUsize>,
    _tasks: JoinSet<()>,
}

impl Sent {
    /// Returns a body of `length` bytes that is announced in `head` and of which `bytes` are sent.
    ///
    /// `head` has no empty line at its end.
    pub fn announced(head: &str, length: usize, bytes: usize, block_bytes: usize) -> Self {
        Self {
            start: format!("{head}content-length: {length}\r\n\r\n").into_bytes(),
            block: vec![b'x'; block_bytes],
            blocks: bytes / block_bytes,
            pause_ms: 0,
        }
    }

    /// Returns a whole request with `body`; `head` has no empty line at its end.
    pub fn request(head: &str, body: &str) -> Self {
        Self {
            start: format!("{head}content-length: {}\r\n\r\n{body}", body.len()).into_bytes(),
            ..Self::default()
        }
    }

    /// Returns a body of which `bytes` are sent in chunks of `chunk_bytes`, without the last chunk.
    pub fn chunked(head: &str, bytes: usize, chunk_bytes: usize) -> Self {
        // Small chunks are written together, since a write for each would take longer than the test.
        let chunks_per_block = BLOCK_BYTES.div_ceil(chunk_bytes);
        let data = "x".repeat(chunk_bytes);
        let chunk = format!("{chunk_bytes:x}\r\n{data}\r\n");
        Self {
            start: format!("{head}transfer-encoding: chunked\r\n\r\n").into_bytes(),
            block: chunk.repeat(chunks_per_block).into_bytes(),
            blocks: bytes / (chunk_bytes * chunks_per_block),
            pause_ms: 0,
        }
    }

    /// Returns a head of a request of which `bytes` are sent, without its end.
    pub fn unfinished_head(head: &str, bytes: usize) -> Self {
        Self {
            start: head.as_bytes().to_vec(),
            block: format!("x-more: {}\r\n", "x".repeat(8_000)).into_bytes(),
            blocks: bytes / 8_000,
            pause_ms: 0,
        }
    }

    /// Returns a message of `length` bytes, of which `bytes` follow the length in four bytes.
    pub fn frame(length: u32, bytes: usize) -> Self {
        Self {
            start: length.to_be_bytes().to_vec(),
            block: vec![0; 1 << 16],
            blocks: bytes >> 16,
            pause_ms: 0,
        }
    }
}

impl Crowd {
    /// Connects `callers` callers to `address`, each of which sends `sent`.
    pub fn start(address: SocketAddr, callers: usize, sent: &Sent) -> Self {
        let sent = Arc::new(sent.clone());
        let sent_count = Arc::new(AtomicUsize::new(0));
        let mut tasks = JoinSet::new();
        for _ in 0..callers {
            let (sent, sent_count) = (Arc::clone(&sent), Arc::clone(&sent_count));
            tasks.spawn(async move {
                // The process may refuse or close a connection at any time.
                let stream = send(address, &sent).await;
                sent_count.fetch_add(1, Ordering::SeqCst);
                std::future::pending::<()>().await;
                drop(stream);
            });
        }
        Self {
            callers,
            sent: sent_count,
            _tasks: tasks,
        }
    }

    /// Waits until each caller has sent everything or was cut off, or the peer reads no more.
    pub async fn wait_until_sent(&self) {
        let deadline = Instant::now() + SEND_LIMIT;
        while self.sent.load(Ordering::SeqCst) < self.callers && Instant::now() < deadline {
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// Returns the connection, which the peer may have closed.
async fn send(address: SocketAddr, sent: &Sent) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).ok()?;
    let mut stream = socket.connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(&sent.start).await.ok()?;
    for _ in 0..sent.blocks {
        if sent.pause_ms > 0 {
            sleep(Duration::from_millis(sent.pause_ms)).await;
        }
        if stream.write_all(&sent.block).await.is_err() {
            // Kept, as a caller that ignores the answer does.
            return Some(stream);
        }
    }
    Some(stream)
}
