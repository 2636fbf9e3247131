//! A TCP forwarder between two addresses that loses, delays or cuts what passes.

use crate::server::{self, Live, Task};
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

/// What happens to connections and their data.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// All data passes.
    #[default]
    Open,
    /// Present and new connections close.
    Cut,
    /// Connections stay, and nothing passes until another mode is set.
    BlackHole,
    /// Nothing passes from the client to the target.
    BlackHoleToTarget,
    /// Nothing passes from the target to the client.
    BlackHoleToClient,
    /// Present connections stay silent for good, new ones are open; the mode then reads `open`.
    StaleOld,
}

/// Settings and faults of the forwarder.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The address to listen at.
    pub listen: SocketAddr,
    /// The address of the control call.
    pub admin: SocketAddr,
    /// Where connections lead.
    pub target: SocketAddr,
    /// What happens to connections and their data.
    pub mode: Mode,
    /// How long each piece of data is held in each direction.
    pub delay_ms: u64,
    /// How often [`Mode::StaleOld`] was set; kept by the forwarder.
    pub stale_epoch: u64,
}

/// A running forwarder, which stops when the handle drops.
#[derive(Debug)]
pub struct Handle {
    /// The address at which the forwarder takes connections.
    pub address: SocketAddr,
    /// The control call's server.
    pub admin: crate::Handle<Settings>,
    _accept: Task,
}

/// The ends between which a connection carries data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    ToClient,
}

/// The view of one connection on the settings.
#[derive(Debug, Clone)]
struct Gate {
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
    let settings = Live::with_hook(settings, note_stale);
    let accept = tokio::spawn(accept_all(listener, settings.subscribe()));
    let admin = server::start(admin, Arc::clone(&settings), Router::new()).await?;
    Ok(Handle {
        address,
        admin,
        _accept: Task(accept.abort_handle()),
    })
}

impl Handle {
    /// Sets what happens to connections and their data.
    pub fn set_mode(&self, mode: Mode) {
        self.admin.change(|settings| settings.mode = mode);
    }

    /// Changes the settings of the running forwarder.
    pub fn change(&self, change: impl FnOnce(&mut Settings)) {
        self.admin.change(change);
    }
}

fn note_stale(settings: &mut Settings) {
    if settings.mode == Mode::StaleOld {
        settings.stale_epoch += 1;
        settings.mode = Mode::Open;
    }
}

async fn accept_all(listener: TcpListener, settings: watch::Receiver<Settings>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let accepted_epoch = settings.borrow().stale_epoch;
                let gate = Gate { settings: settings.clone(), accepted_epoch };
                connections.spawn(forward(stream, gate));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn forward(client: TcpStream, gate: Gate) {
    let mut settings = gate.settings.clone();
    let is_cut = settings.wait_for(|settings| settings.mode == Mode::Cut);
    tokio::select! {
        _ = is_cut => {}
        result = carry(client, gate) => {
            if let Err(e) = result {
                log::debug!("connection ended: {e}");
            }
        }
    }
}

async fn carry(mut client: TcpStream, mut gate: Gate) -> io::Result<()> {
    gate.wait_open(Direction::ToTarget).await;
    let address = gate.settings.borrow().target;
    let mut target = TcpStream::connect(address).await?;
    client.set_nodelay(true)?;
    target.set_nodelay(true)?;
    let (client_reader, client_writer) = client.split();
    let (target_reader, target_writer) = target.split();
    let to_target = pump(
        client_reader,
        target_writer,
        gate.clone(),
        Direction::ToTarget,
    );
    let to_client = pump(target_reader, client_writer, gate, Direction::ToClient);
    tokio::try_join!(to_target, to_client)?;
    Ok(())
}

async fn pump<R, W>(
    mut reader: R,
    mut writer: W,
    mut gate: Gate,
    direction: Direction,
) -> io::Result<()>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = reader.read(&mut buffer).await;
        // An end or a reset of the connection passes no better than data.
        gate.wait_open(direction).await;
        let size_bytes = read?;
        let delay_ms = gate.settings.borrow().delay_ms;
        if delay_ms > 0 {
            sleep(Duration::from_millis(delay_ms)).await;
            gate.wait_open(direction).await;
        }
        if size_bytes == 0 {
            return writer.shutdown().await;
        }
        writer.write_all(&buffer[..size_bytes]).await?;
    }
}

impl Gate {
    /// Waits until data passes in `direction`; never returns on a stale connection.
    async fn wait_open(&mut self, direction: Direction) {
        let accepted_epoch = self.accepted_epoch;
        let is_open = |settings: &Settings| {
            let is_stale = settings.stale_epoch > accepted_epoch;
            !is_stale && passes(settings.mode, direction)
        };
        if self.settings.wait_for(is_open).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

fn passes(mode: Mode, direction: Direction) -> bool {
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
