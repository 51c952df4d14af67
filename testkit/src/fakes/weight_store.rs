//! A fake weight store that hands out weights at a limited rate.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use axum::Router;
use axum::extract::Path;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;

use crate::fakes::server::Server;

/// What the store was asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fetch {
    /// The model.
    pub model: String,
    /// The version.
    pub version: String,
    /// Whether it was handed out; otherwise the store was busy.
    pub served: bool,
}

struct Shared {
    slots: tokio::sync::Semaphore,
    transfer: Duration,
    fetches: Mutex<Vec<Fetch>>,
}

/// A running fake weight store; dropping it stops it at once.
pub struct WeightStore {
    shared: Arc<Shared>,
    server: Server,
}

impl WeightStore {
    /// Starts a store that serves `concurrent` transfers of length `transfer` and refuses others.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start(concurrent: usize, transfer: Duration) -> std::io::Result<Self> {
        let slots = tokio::sync::Semaphore::new(concurrent);
        let shared = Arc::new(Shared { slots, transfer, fetches: Mutex::default() });
        let routes = Router::new()
            .route("/weights/{model}/{version}", get(fetch))
            .with_state(shared.clone());
        Ok(Self { shared, server: Server::start(routes).await? })
    }

    /// Returns where the store listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns what was asked for, oldest first.
    pub fn fetches(&self) -> Vec<Fetch> {
        self.shared.fetches.lock().expect("not poisoned").clone()
    }
}

async fn fetch(
    State(shared): State<Arc<Shared>>,
    Path((model, version)): Path<(String, String)>,
) -> StatusCode {
    let slot = shared.slots.try_acquire();
    let served = slot.is_ok();
    shared.fetches.lock().expect("not poisoned").push(Fetch { model, version, served });
    if !served {
        return StatusCode::TOO_MANY_REQUESTS;
    }
    tokio::time::sleep(shared.transfer).await;
    StatusCode::OK
}
