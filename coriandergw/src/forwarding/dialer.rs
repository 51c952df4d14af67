//! Opens TCP connections to other machines.

use std::net::SocketAddr;

use async_trait::async_trait;
use tokio::net::TcpStream;

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
