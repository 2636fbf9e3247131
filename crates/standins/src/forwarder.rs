//! A TCP forwarder that simulates network faults: blocked data, delays and closed connections.

use crate::server::{self, AbortOnDrop, SharedSettings};
use axum::Router;
use serde::{Deserialize, Serialize};
use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
    time::sleep,
};

const BUFFER_BYTES: usize = 16 << 10;

/// The network fault that the forwarder simulates.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// No fault: all data is forwarded.
    #[default]
    Open,
    /// Existing and new connections are closed.
    Cut,
    /// Connections stay open, and data is held back until another mode is set.
    BlackHole,
    /// Data from the client to the target is held back.
    BlackHoleToTarget,
    /// Data from the target to the client is held back.
    BlackHoleToClient,
    /// Existing connections forward no more data, new ones do.
    ///
    /// The forwarder then sets the mode back to `open`; the old connections stay blocked.
    StaleOld,
}

/// Settings and faults of the forwarder.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The address to listen at.
    pub listen: SocketAddr,
    /// The address of the control server.
    pub admin: SocketAddr,
    /// The address to which connections are forwarded.
    pub target: SocketAddr,
    /// The simulated network fault.
    pub mode: Mode,
    /// The delay of each chunk of data, in each direction.
    pub delay_ms: u64,
    /// The number of times [`Mode::StaleOld`] was set; the forwarder maintains it.
    pub stale_epoch: u64,
}

/// A running forwarder; it stops when the handle is dropped.
#[derive(Debug)]
pub struct Handle {
    /// The address at which the forwarder accepts connections.
    pub address: SocketAddr,
    /// The handle of the control server.
    pub admin: crate::Handle<Settings>,
    _accept_task: AbortOnDrop,
}

/// The direction of data on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    ToClient,
}

/// The forwarder's settings as they apply to one connection.
///
/// The connection is stale once `stale_epoch` exceeds the epoch in which it was accepted.
#[derive(Debug, Clone)]
struct ConnectionFaults {
    settings: watch::Receiver<Settings>,
    accepted_epoch: u64,
}

/// Starts a forwarder.
///
/// # Errors
///
/// Fails when an address can't be bound.
pub async fn start(settings: Settings) -> io::Result<Handle> {
    let listener = TcpListener::bind(settings.listen).await?;
    let address = listener.local_addr()?;
    let admin = settings.admin;
    let settings = SharedSettings::with_hook(settings, apply_stale_old);
    let accept = tokio::spawn(accept_connections(listener, settings.subscribe()));
    let admin = server::start(admin, Arc::clone(&settings), Router::new()).await?;
    Ok(Handle {
        address,
        admin,
        _accept_task: AbortOnDrop(accept.abort_handle()),
    })
}

impl Handle {
    /// Sets the simulated network fault.
    pub fn set_mode(&self, mode: Mode) {
        self.admin.change(|settings| settings.mode = mode);
    }

    /// Changes the settings of the running forwarder.
    pub fn change(&self, change: impl FnOnce(&mut Settings)) {
        self.admin.change(change);
    }
}

/// Makes the existing connections stale by starting a new epoch, then resets the mode.
fn apply_stale_old(settings: &mut Settings) {
    if settings.mode == Mode::StaleOld {
        settings.stale_epoch += 1;
        settings.mode = Mode::Open;
    }
}

async fn accept_connections(listener: TcpListener, settings: watch::Receiver<Settings>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let accepted_epoch = settings.borrow().stale_epoch;
                let faults = ConnectionFaults { settings: settings.clone(), accepted_epoch };
                connections.spawn(handle_connection(stream, faults));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn handle_connection(client: TcpStream, faults: ConnectionFaults) {
    let mut settings = faults.settings.clone();
    let cut_requested = settings.wait_for(|settings| settings.mode == Mode::Cut);
    tokio::select! {
        _ = cut_requested => {}
        result = forward_both_ways(client, faults) => {
            if let Err(e) = result {
                log::debug!("forwarding a connection failed; closing it: {e}");
            }
        }
    }
}

async fn forward_both_ways(mut client: TcpStream, mut faults: ConnectionFaults) -> io::Result<()> {
    faults.wait_open(Direction::ToTarget).await;
    let address = faults.settings.borrow().target;
    let mut target = TcpStream::connect(address).await?;
    client.set_nodelay(true)?;
    target.set_nodelay(true)?;
    let (client_reader, client_writer) = client.split();
    let (target_reader, target_writer) = target.split();
    let to_target = forward_one_way(
        client_reader,
        target_writer,
        faults.clone(),
        Direction::ToTarget,
    );
    let to_client = forward_one_way(target_reader, client_writer, faults, Direction::ToClient);
    tokio::try_join!(to_target, to_client)?;
    Ok(())
}

async fn forward_one_way<R, W>(
    mut reader: R,
    mut writer: W,
    mut faults: ConnectionFaults,
    direction: Direction,
) -> io::Result<()>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = reader.read(&mut buffer).await;
        // The end or reset of a connection is held back like data.
        faults.wait_open(direction).await;
        let size_bytes = read?;
        let delay_ms = faults.settings.borrow().delay_ms;
        if delay_ms > 0 {
            sleep(Duration::from_millis(delay_ms)).await;
            faults.wait_open(direction).await;
        }
        if size_bytes == 0 {
            return writer.shutdown().await;
        }
        writer.write_all(&buffer[..size_bytes]).await?;
    }
}

impl ConnectionFaults {
    /// Waits until data may be forwarded in `direction`; never returns for a stale connection.
    async fn wait_open(&mut self, direction: Direction) {
        let accepted_epoch = self.accepted_epoch;
        let is_open = |settings: &Settings| {
            let is_stale = settings.stale_epoch > accepted_epoch;
            !is_stale && forwards(settings.mode, direction)
        };
        if self.settings.wait_for(is_open).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

fn forwards(mode: Mode, direction: Direction) -> bool {
    match mode {
        Mode::Open | Mode::StaleOld => true,
        Mode::Cut | Mode::BlackHole => false,
        Mode::BlackHoleToTarget => direction == Direction::ToClient,
        Mode::BlackHoleToClient => direction == Direction::ToTarget,
    }
}

impl Default for Settings {
    fn default() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            listen: any_port,
            admin: any_port,
            target: any_port,
            mode: Mode::Open,
            delay_ms: 0,
            stale_epoch: 0,
        }
    }
}
