//! Serves HTTP towards callers, endpoints and operators, with TLS where keys are set.
//!
//! Slow and oversize senders are cut off by limits of the HTTP library; a stopping server finishes
//! the requests that it has begun.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use derive_more::Display;
use derive_more::Error;
use hyper_util::server::graceful::GracefulShutdown;
use rustls::ServerConfig;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::pem::PemObject;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_rustls::TlsAcceptor;

use crate::http_server::connection::ConnectionServer;
use crate::http_server::connection::PeerLimits;
use crate::memory::open_connections::OpenConnections;
use crate::memory::shared::MemoryBudget;
use crate::supervision;

mod connection;

/// The connections served at once; more wait to be accepted.
const CONNECTIONS_MAX: usize = 16_384;

/// How long the accept loop waits after a failed accept, for example without free descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Where the keys towards callers are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerKeyFiles {
    /// The certificate chain, PEM.
    pub certificate: PathBuf,
    /// The private key, PEM.
    pub key: PathBuf,
}

/// Says why keys towards callers could not be used.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("{}: {reason}", file.display())]
pub struct CallerKeyError {
    /// The file at fault.
    pub file: PathBuf,
    /// What is wrong with it.
    pub reason: String,
}

/// Loads the TLS settings towards callers.
///
/// # Errors
/// Fails if a file cannot be read or does not hold what it should.
pub fn load_caller_tls(files: &CallerKeyFiles) -> Result<TlsAcceptor, CallerKeyError> {
    let fault = |file: &Path, reason: String| CallerKeyError { file: file.to_owned(), reason };
    let chain = CertificateDer::pem_file_iter(&files.certificate)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .map_err(|cause| fault(&files.certificate, cause.to_string()))?;
    let key = PrivateKeyDer::from_pem_file(&files.key)
        .map_err(|cause| fault(&files.key, cause.to_string()))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .and_then(|builder| builder.with_no_client_auth().with_single_cert(chain, key))
        .map_err(|cause| fault(&files.certificate, cause.to_string()))?;
    Ok(TlsAcceptor::from(Arc::new(config)))
}

/// Accepts and serves connections until told to stop.
pub struct HttpServer {
    listener: TcpListener,
    address: SocketAddr,
    tls: Option<TlsAcceptor>,
    limits: PeerLimits,
    open: Arc<OpenConnections>,
}

impl HttpServer {
    /// Binds an address.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn bind(address: SocketAddr, tls: Option<TlsAcceptor>) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let open = OpenConnections::new(CONNECTIONS_MAX, Arc::default());
        Ok(Self { listener, address, tls, limits: PeerLimits::default(), open })
    }

    /// Serves at most `max` connections at once and reports those that are closed to `memory`.
    pub fn limit_connections(mut self, max: usize, memory: Arc<MemoryBudget>) -> Self {
        self.open = OpenConnections::new(max, memory);
        self
    }

    /// Returns the bound address.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until `stop` turns true, then finishes the requests that have begun.
    pub async fn serve(self, routes: Router, mut stop: watch::Receiver<bool>) {
        let graceful = GracefulShutdown::new();
        let (tls, limits) = (self.tls, self.limits);
        let connections = ConnectionServer { routes, tls, limits, stop: stop.clone() };
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                _ = stop.wait_for(|stop| *stop) => break,
            };
            let (stream, peer) = match accepted {
                Ok(accepted) => accepted,
                Err(cause) => {
                    log::warn!("a connection was not accepted: {cause}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            tokio::select! {
                () = self.open.make_room() => {}
                _ = stop.wait_for(|stop| *stop) => break,
            }
            let open = self.open.open(peer.ip());
            let watcher = graceful.watcher();
            let connection = connections.clone();
            let serving = async move {
                tokio::select! {
                    biased;
                    () = open.told_to_close() => {}
                    () = connection.serve(stream, peer, open.clone(), watcher) => {}
                }
            };
            tokio::spawn(supervision::isolated("serve a connection", serving));
        }
        drop(self.listener);
        graceful.shutdown().await;
    }
}

#[cfg(test)]
mod tests;
