//! Engines, services and dispatchers of one run.

use std::sync::Arc;
use std::time::Duration;

use coriandergw::clock::Clock;
use coriandergw::clock::SystemClock;
use coriandergw::context::Context;
use coriandergw::dispatch::scheduled::ScheduledDispatcher;
use coriandergw::endpoints::Announcement;
use coriandergw::endpoints::directory::Directory;
use coriandergw::endpoints::directory::FAR_SPONSOR_LEASE;
use coriandergw::endpoints::directory::RENEWAL_INTERVAL;
use coriandergw::endpoints::gossip::NoPeers;
use coriandergw::events::Recorder;
use coriandergw::ids::InstanceName;
use coriandergw::metrics::Metrics;
use tokio::task::JoinHandle;

use crate::experiment::Options;
use crate::experiment::policy::Policy;
use crate::experiment::workload;
use crate::fakes::engine::Engine;
use crate::fakes::engine::EngineOptions;
use crate::fakes::engine_core::CoreOptions;
use crate::fakes::service::Behaviour;
use crate::fakes::service::Service;
use crate::fakes::service::ServiceOptions;

/// The model that all engines serve.
pub const MODEL: &str = "model-a";

/// What all services serve.
pub const SERVICE: &str = "service-a";

/// The instances that share the engines.
const INSTANCES: usize = 3;

/// The tokens that the prefix cache of an engine holds.
const CACHE_TOKENS: u64 = 40_000;

/// The share of cache events that is lost.
const EVENT_LOSS: f64 = 0.02;

/// The time of a service call, in the engines' time.
const SERVICE_TIME: Duration = Duration::from_millis(400);

/// The running parts of one run.
pub struct Site {
    /// The dispatchers of the instances.
    pub dispatchers: Vec<Arc<ScheduledDispatcher>>,
    _engines: Vec<Engine>,
    _services: Vec<Service>,
    renewals: JoinHandle<()>,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.renewals.abort();
    }
}

impl Site {
    /// Starts everything.
    pub async fn start(options: &Options, policy: Policy, seed: u64) -> std::io::Result<Self> {
        let mut engines = Vec::new();
        for number in 0..options.deployment.engines() {
            engines.push(Engine::start(engine_options(options, number, seed)).await?);
        }
        let mut services = Vec::new();
        for number in 0..options.deployment.services() {
            let name = format!("service-{number}");
            let service = Service::start(ServiceOptions { name, ..Default::default() }).await?;
            service.set_usual(Behaviour::Late(SERVICE_TIME.mul_f64(options.time_scale)));
            services.push(service);
        }
        let clock = Arc::new(SystemClock::default());
        let directories: Vec<(InstanceName, Arc<Directory>)> =
            (0..INSTANCES).map(|number| (instance(number), Arc::default())).collect();
        let mut sources: Vec<Box<dyn Fn() -> Announcement + Send + Sync>> = Vec::new();
        for engine in &engines {
            sources.push(Box::new(engine.announcements()));
        }
        for service in &services {
            let announcement = service.announcement();
            sources.push(Box::new(move || announcement.clone()));
        }
        renew(&sources, &directories, clock.as_ref());
        let dispatchers = directories.iter().map(|(name, directory)| {
            let settings = policy.settings(options.time_scale, seed);
            let cx = context(name, clock.clone());
            ScheduledDispatcher::start(cx, directory.clone(), Arc::new(NoPeers), settings)
        });
        let dispatchers = dispatchers.collect();
        let renewing = clock.clone();
        let interval = RENEWAL_INTERVAL.mul_f64(options.time_scale);
        let renewals = tokio::spawn(async move {
            loop {
                tokio::time::sleep(interval).await;
                renew(&sources, &directories, renewing.as_ref());
            }
        });
        Ok(Self { dispatchers, _engines: engines, _services: services, renewals })
    }
}

fn engine_options(options: &Options, number: usize, seed: u64) -> EngineOptions {
    EngineOptions {
        name: format!("engine-{number}"),
        models: vec![MODEL.to_owned()],
        core: CoreOptions {
            batch: workload::limits(),
            cache_tokens: CACHE_TOKENS,
            answer_tokens: u64::MAX,
            event_loss: EVENT_LOSS,
            seed: seed * 1_000 + number as u64,
            ..CoreOptions::default()
        },
        time_scale: options.time_scale,
        ..EngineOptions::default()
    }
}

fn instance(number: usize) -> InstanceName {
    format!("instance-{number}").try_into().expect("a valid name")
}

fn context(name: &InstanceName, clock: Arc<SystemClock>) -> Context {
    Context {
        instance: name.clone(),
        data_centre: "dc-a".try_into().expect("a valid name"),
        clock: clock.clone(),
        events: Arc::new(Recorder::new(name.clone(), clock)),
        metrics: Arc::new(Metrics::new().expect("metrics can be registered once")),
        memory: Arc::default(),
        supervisor: Arc::default(),
    }
}

/// Renews each endpoint at one instance; the others know it through that sponsor.
fn renew(
    sources: &[Box<dyn Fn() -> Announcement + Send + Sync>],
    directories: &[(InstanceName, Arc<Directory>)],
    clock: &SystemClock,
) {
    for (number, source) in sources.iter().enumerate() {
        let announcement = source();
        let sponsor = number % directories.len();
        for (index, (_, directory)) in directories.iter().enumerate() {
            if index == sponsor {
                directory.announce(announcement.clone(), clock.now());
                continue;
            }
            let (name, _) = &directories[sponsor];
            directory.renew_sponsor(name, FAR_SPONSOR_LEASE, clock.now());
            directory.upsert_sponsored(name, announcement.clone(), clock.now());
        }
    }
}
