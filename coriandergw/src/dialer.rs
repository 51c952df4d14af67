//! Opens TCP connections to endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// How long a peer may acknowledge nothing before the kernel closes the connection
/// (`TCP_USER_TIMEOUT`). It decides when keep-alive probes give up too, so it covers the time before
/// the first probe and a peer that stands still for more than a second.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// The idle time before the first TCP keep-alive probe, and the interval between probes.
const KEEPALIVE_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Opens connections to endpoints.
#[async_trait]
pub trait Dialer: Send + Sync {
    /// Opens a connection, without a timeout of its own.
    ///
    /// # Errors
    /// Fails if the connection is refused or the address is unreachable.
    async fn dial(&self, address: SocketAddr) -> std::io::Result<TcpStream>;
}

/// Opens connections through the operating system.
pub struct TcpDialer;

#[async_trait]
impl Dialer for TcpDialer {
    async fn dial(&self, address: SocketAddr) -> std::io::Result<TcpStream> {
        TcpStream::connect(address).await
    }
}

/// Sets the options of a connection that carries requests.
///
/// # Errors
/// Fails if the operating system refuses an option.
pub fn configure(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_PROBE_INTERVAL)
        .with_interval(KEEPALIVE_PROBE_INTERVAL);
    socket.set_tcp_keepalive(&probes)
}

#[cfg(test)]
mod tests;
