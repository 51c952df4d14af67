//! One running instance: builds the features, connects them and serves until told to stop.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Router;
use axum::http::Uri;
use derive_more::Display;
use derive_more::Error;
use serde_json::json;
use tokio::net::TcpListener;

use crate::callers;
use crate::catalogue::CatalogueView;
use crate::catalogue::CatalogueWriter;
use crate::catalogue::Entry;
use crate::catalogue::MemoryCatalogue;
use crate::catalogue::RawEntry;
use crate::clock::SystemClock;
use crate::context::Context;
use crate::dev;
use crate::dispatch::direct::DirectDispatcher;
use crate::endpoints::directory::Directory;
use crate::endpoints::directory::RENEWAL_INTERVAL;
use crate::events;
use crate::events::EventNumber;
use crate::events::Recorder;
use crate::events::Subject;
use crate::metrics::Metrics;
use crate::operators;
use crate::programs::Programs;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;
use crate::settings::Settings;
use crate::transport::quic::QuicTransport;
use crate::transport::quic::StartError;
use crate::transport::tls::KeyError;
use crate::transport::tls::TlsConfigs;

/// What the HTTP handlers of an instance share.
pub struct Shared {
    /// The context of all features.
    pub cx: Context,
    /// The instance's settings.
    pub settings: Settings,
    /// The catalogue as applied here.
    pub catalogue: Arc<dyn CatalogueView>,
    /// Commits changes to the catalogue.
    pub catalogue_writer: Arc<dyn CatalogueWriter>,
    /// The endpoints known here.
    pub directory: Arc<Directory>,
    /// The programs whose home is here.
    pub programs: Arc<Programs>,
}

impl Shared {
    /// Returns the body of an address answer.
    pub fn addresses(&self) -> serde_json::Value {
        let instance = &self.settings.instance;
        let address = instance.advertise.unwrap_or(instance.listen);
        json!({
            "addresses": [{"address": address, "data_centre": instance.data_centre}],
            "ttl_ms": instance.addresses_ttl.as_millis() as u64,
        })
    }

    /// Returns whether the instance takes work.
    pub fn is_ready(&self) -> bool {
        true
    }
}

/// Says why an instance could not run.
#[derive(Debug)]
#[derive(Display, Error)]
pub enum RunError {
    /// An address could not be bound.
    #[display("{} cannot bind {address}: {cause}", ResultCode::BindFailed)]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the operating system reported.
        cause: std::io::Error,
    },
    /// The settings name no keys.
    #[display("{} the settings name no keys", ResultCode::InvalidSettings)]
    NoKeys,
    /// The keys could not be used.
    #[display("{} {cause}", ResultCode::ForeignCertificate)]
    Keys {
        /// What is wrong with them.
        cause: KeyError,
    },
    /// Serving failed.
    #[display("{} serving failed: {cause}", ResultCode::Internal)]
    Serve {
        /// What the operating system reported.
        cause: std::io::Error,
    },
    /// The metrics could not be set up.
    #[display("{} metrics: {cause}", ResultCode::Internal)]
    Metrics {
        /// What the metrics library reported.
        cause: prometheus::Error,
    },
}

fn context(settings: &Settings) -> Result<Context, RunError> {
    let clock = Arc::new(SystemClock::default());
    let name = settings.instance.name.clone();
    Ok(Context {
        instance: name.clone(),
        data_centre: settings.instance.data_centre.clone(),
        clock: clock.clone(),
        events: Arc::new(Recorder::new(name, clock)),
        metrics: Arc::new(Metrics::new().map_err(|cause| RunError::Metrics { cause })?),
    })
}

fn default_entry() -> Entry {
    let raw =
        RawEntry { name: "default".to_owned(), owner: "dev".to_owned(), ..Default::default() };
    Entry::try_from(raw).expect("the default entry is valid")
}

/// Runs one instance with embedded stand-ins until a signal asks it to stop.
///
/// # Errors
/// Fails if an address cannot be bound.
pub async fn run_dev(settings: Settings) -> Result<(), RunError> {
    let cx = context(&settings)?;
    let directory = Arc::new(Directory::default());
    let endpoints = dev::start_endpoints(&cx.data_centre)
        .await
        .map_err(|cause| RunError::Bind { address: settings.instance.listen, cause })?;
    tokio::spawn(renew_forever(cx.clone(), directory.clone(), endpoints));
    let catalogue = Arc::new(MemoryCatalogue::with_entries([default_entry()]));
    let dispatcher = Arc::new(DirectDispatcher::new(cx.clone(), directory.clone()));
    let programs = Arc::new(Programs::new(cx.clone(), catalogue.clone(), dispatcher));
    let shared = Arc::new(Shared {
        cx,
        settings,
        catalogue: catalogue.clone(),
        catalogue_writer: catalogue,
        directory,
        programs,
    });
    serve(shared).await
}

/// Runs one instance until a signal asks it to stop.
///
/// # Errors
/// Fails if keys cannot be used or an address cannot be bound.
pub async fn run(settings: Settings) -> Result<(), RunError> {
    let cx = context(&settings)?;
    let transport = start_transport(&cx, &settings)?;
    let directory = Arc::new(Directory::default());
    let catalogue = Arc::new(MemoryCatalogue::default());
    let dispatcher = Arc::new(DirectDispatcher::new(cx.clone(), directory.clone()));
    let programs = Arc::new(Programs::new(cx.clone(), catalogue.clone(), dispatcher));
    let shared = Arc::new(Shared {
        cx,
        settings,
        catalogue: catalogue.clone(),
        catalogue_writer: catalogue,
        directory,
        programs,
    });
    serve(shared).await?;
    transport.close();
    Ok(())
}

fn start_transport(cx: &Context, settings: &Settings) -> Result<Arc<QuicTransport>, RunError> {
    let files = settings.keys.as_ref().ok_or(RunError::NoKeys)?;
    let tls = TlsConfigs::load(files).map_err(|cause| RunError::Keys { cause })?;
    let peers = settings.cluster.peers.clone();
    let listen = settings.instance.peer_listen;
    let bind_error = |cause| RunError::Bind { address: listen, cause };
    let transport = QuicTransport::start(listen, tls, peers, cx.metrics.clone())
        .map_err(|StartError::Bind { cause, .. }| bind_error(cause))?;
    let address = transport.local_address().map_err(bind_error)?;
    println!("coriandergw {} peers at {address}", cx.instance);
    Ok(transport)
}

async fn renew_forever(
    cx: Context,
    directory: Arc<Directory>,
    endpoints: Vec<crate::endpoints::Announcement>,
) {
    loop {
        for announcement in &endpoints {
            directory.announce(announcement.clone(), cx.clock.now());
        }
        tokio::time::sleep(RENEWAL_INTERVAL).await;
    }
}

async fn serve(shared: Arc<Shared>) -> Result<(), RunError> {
    let address = shared.settings.instance.listen;
    let bind_error = |cause| RunError::Bind { address, cause };
    let listener = TcpListener::bind(address).await.map_err(bind_error)?;
    let address = listener.local_addr().map_err(bind_error)?;
    let routes = router(shared.clone());
    println!("coriandergw {} listens on http://{address}", shared.cx.instance);
    shared.cx.events.record(EventNumber::InstanceReady, Subject::default(), "ready");
    axum::serve(listener, routes)
        .with_graceful_shutdown(stop_signal())
        .await
        .map_err(|cause| RunError::Serve { cause })?;
    shared.cx.events.record(EventNumber::DrainFinished, Subject::default(), "stopped");
    Ok(())
}

/// Builds all HTTP routes of an instance.
pub fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .merge(callers::routes())
        .merge(operators::routes())
        .merge(events::routes::routes())
        .fallback(|uri: Uri| async move {
            Refusal::not_run(ResultCode::NotFound, format!("nothing is at {}", uri.path()))
        })
        .with_state(shared)
}

async fn stop_signal() {
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .expect("signals can be waited for");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}
