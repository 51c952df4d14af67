//! An HTTP server that can be stopped at once, open connections included.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use axum::Router;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

/// A running server; dropping it closes the listener and every connection.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Starts to serve `routes` on loopback, on a port of the system's choice.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start(routes: Router) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept_forever(listener, routes));
        Ok(Self { address, task })
    }

    /// Returns where the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_forever(listener: TcpListener, routes: Router) {
    // Aborting the task drops the set, which aborts every connection.
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve_connection(stream, routes.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection(stream: TcpStream, routes: Router) {
    let _ = stream.set_nodelay(true);
    let service = TowerToHyperService::new(routes);
    // An error here is the other side's hang-up, which the fakes see as a cancelled request.
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
