//! Finds out whether a backend server has ended.

use std::{io, net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, time::timeout};

/// Timeout of the connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Returns whether nothing accepts connections at `address` although its host answers.
pub async fn refuses_connections(address: SocketAddr) -> bool {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
