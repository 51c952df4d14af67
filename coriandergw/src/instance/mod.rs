//! One running instance: builds the features, connects them and serves until told to stop.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Router;
use axum::http::Uri;

use crate::addresses::AddressProvider;
use crate::callers;
use crate::catalogue::CatalogueView;
use crate::catalogue::CatalogueWriter;
use crate::clock::SystemClock;
use crate::context::Context;
use crate::dispatch::engine_memory::HttpEngineMemory;
use crate::endpoints::directory::Directory;
use crate::events;
use crate::events::Recorder;
use crate::leases::ClusterStatus;
use crate::leases::Partitions;
use crate::log_groups::voters::Voters;
use crate::membership::Membership;
use crate::metrics::Metrics;
use crate::operators;
use crate::orders::MemorySweeper;
use crate::programs::ProgramLivenessClient;
use crate::programs::Programs;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;
use crate::settings::Settings;
use crate::transport::quic::QuicTransport;

mod adapters;
mod cluster;
mod dev;
mod drain;
mod error;
mod serve;

pub use cluster::run;
pub use dev::run_dev;
pub use drain::Lifecycle;
pub use error::RunError;

/// What the HTTP handlers of an instance share.
pub struct HandlerState {
    /// The context of all features.
    pub cx: Context,
    /// The instance's settings.
    pub settings: Settings,
    /// Where callers reach this instance.
    pub caller_address: SocketAddr,
    /// The catalogue as applied here.
    pub catalogue: Arc<dyn CatalogueView>,
    /// Commits changes to the catalogue.
    pub catalogue_writer: Arc<dyn CatalogueWriter>,
    /// Tells operators about the cluster.
    pub cluster: Arc<dyn ClusterStatus>,
    /// The endpoints known here.
    pub directory: Arc<Directory>,
    /// The programs whose home is here.
    pub programs: Arc<Programs>,
    /// The partitions' homes.
    pub partitions: Arc<dyn Partitions>,
    /// The addresses that callers are told.
    pub addresses: Arc<dyn AddressProvider>,
    /// Changes the voters of the log; on store instances only.
    pub voters: Option<Arc<dyn Voters>>,
    /// The transport between instances; none where there are no others.
    pub transport: Option<Arc<QuicTransport>>,
    /// Which other instances answer; none where there are no others.
    pub membership: Option<Arc<Membership>>,
    /// How far the instance is from its start to its stop.
    pub stage: Arc<Lifecycle>,
}

impl HandlerState {
    /// Returns whether the instance takes work.
    pub fn is_ready(&self) -> bool {
        !self.stage.is_draining() && self.partitions.is_fresh(self.cx.clock.now())
    }
}

/// Builds all HTTP routes of an instance.
pub fn router(shared: Arc<HandlerState>) -> Router {
    Router::new()
        .merge(callers::routes(shared.clone()))
        .merge(operators::routes())
        .merge(events::routes::routes())
        .fallback(|uri: Uri| async move {
            Refusal::not_run(ResultCode::NotFound, format!("nothing is at {}", uri.path()))
        })
        .with_state(shared)
}

fn start_sweeper(
    cx: &Context,
    directory: &Arc<Directory>,
    homes: ProgramLivenessClient,
) -> tokio::task::JoinHandle<()> {
    let memory = Arc::new(HttpEngineMemory::default());
    MemorySweeper::new(cx.clone(), directory.clone(), memory, Arc::new(homes)).start()
}

fn context(settings: &Settings) -> Result<Context, RunError> {
    let clock = Arc::new(SystemClock::default());
    let name = settings.instance.name.clone();
    let events = match &settings.data {
        Some(folder) => std::fs::create_dir_all(folder)
            .and_then(|()| Recorder::with_folder(name.clone(), clock.clone(), folder))
            .map_err(|cause| RunError::DataFolder { folder: folder.clone(), cause })?,
        None => Recorder::new(name.clone(), clock.clone()),
    };
    Ok(Context {
        instance: name,
        data_centre: settings.instance.data_centre.clone(),
        clock,
        events: Arc::new(events),
        metrics: Arc::new(Metrics::new().map_err(|cause| RunError::Metrics { cause })?),
        memory: Arc::default(),
        supervisor: Arc::default(),
    })
}
