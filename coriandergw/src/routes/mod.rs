//! Which service takes a request: routes by host and path prefix, with weights over services.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

/// What may be repeated of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once.
    Once,
    /// A stream of events that may go on elsewhere after its last event.
    ResumableStream,
    /// A stream of events that runs at most once.
    Stream,
}

impl RetryPolicy {
    /// Returns whether a request that may have run may be sent again.
    pub fn allows_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The host that it belongs to.
    pub host: Arc<str>,
    /// The start of the paths that it takes; starts and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub repetition: RetryPolicy,
    /// How long a caller is kept waiting at most.
    pub timeout: Duration,
    /// The time within which an answer (of a stream, the first event) is worth most.
    pub target: Duration,
    /// The longest pause between two events that is still on time.
    pub target_gap: Option<Duration>,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// The services that it goes to, with their weights.
    pub services: Vec<(Arc<str>, u32)>,
    /// The endpoints on which one request may run at most.
    pub endpoints_max: u32,
    /// Whether requests on one object go to one endpoint where possible.
    pub sticky: bool,
}

impl Route {
    /// Returns the service for a key: the same key gets the same service while weights stand.
    pub fn service_for(&self, key: u64) -> Option<&Arc<str>> {
        let total: u64 = self.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut place = key.checked_rem(total)?;
        for (service, weight) in &self.services {
            if place < u64::from(*weight) {
                return Some(service);
            }
            place -= u64::from(*weight);
        }
        None
    }
}

/// What a model engine service shares about its endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineTraits {
    /// The requests that run at once on one engine.
    pub slots: u32,
    /// The tokens in one event of a stream.
    pub tokens_per_event: u32,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// The connections that one endpoint accepts from all callers together.
    pub connections_max: u32,
    /// What its engines have in common, if it is a service of engines.
    pub engine: Option<EngineTraits>,
}

/// What a caller may send and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest head of a request, in bytes.
    pub head_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// How long a head may take to arrive.
    pub head_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Says why a configuration is not valid.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum RouteError {
    /// A route names a service that the configuration does not have.
    #[display("route {route} goes to service {service}, which is not configured")]
    UnknownService {
        /// The route.
        route: Arc<str>,
        /// The service.
        service: Arc<str>,
    },
    /// Two routes take the same paths.
    #[display("routes {first} and {second} have the same host and prefix")]
    SamePlace {
        /// One route.
        first: Arc<str>,
        /// The other one.
        second: Arc<str>,
    },
    /// The weights of a route add up to zero.
    #[display("the weights of route {route} add up to 0")]
    NoWeight {
        /// The route.
        route: Arc<str>,
    },
    /// A timeout is zero.
    #[display("route {route} has a timeout of 0")]
    NoTimeout {
        /// The route.
        route: Arc<str>,
    },
    /// A prefix does not start and end with a slash.
    #[display("the prefix of route {route} must start and end with a slash")]
    BadPrefix {
        /// The route.
        route: Arc<str>,
    },
}

/// All routes and services of one configuration.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    version: u64,
    by_host: BTreeMap<Arc<str>, Vec<Arc<Route>>>,
    services: BTreeMap<Arc<str>, Service>,
    limits: CallerLimits,
}

impl RouteTable {
    /// Checks and indexes a configuration.
    ///
    /// # Errors
    /// Fails with the first fault.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: CallerLimits,
    ) -> Result<Self, RouteError> {
        let services: BTreeMap<Arc<str>, Service> =
            services.into_iter().map(|service| (service.name.clone(), service)).collect();
        let mut by_host: BTreeMap<Arc<str>, Vec<Arc<Route>>> = BTreeMap::new();
        for route in routes {
            check_route(&route, &services)?;
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by(|a, b| (b.prefix.len(), &b.prefix).cmp(&(a.prefix.len(), &a.prefix)));
            check_places(routes)?;
        }
        Ok(Self { version, by_host, services, limits })
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the route of a host with the longest prefix of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.by_host.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns what callers may send.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }
}

fn check_route(route: &Route, services: &BTreeMap<Arc<str>, Service>) -> Result<(), RouteError> {
    let name = route.name.clone();
    if let Some((service, _)) = route.services.iter().find(|(s, _)| !services.contains_key(s)) {
        return Err(RouteError::UnknownService { route: name, service: service.clone() });
    }
    if route.services.iter().all(|(_, weight)| *weight == 0) {
        return Err(RouteError::NoWeight { route: name });
    }
    if route.timeout.is_zero() {
        return Err(RouteError::NoTimeout { route: name });
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(RouteError::BadPrefix { route: name });
    }
    Ok(())
}

fn check_places(sorted: &[Arc<Route>]) -> Result<(), RouteError> {
    let same = sorted.windows(2).find(|pair| pair[0].prefix == pair[1].prefix);
    match same {
        Some(pair) => {
            Err(RouteError::SamePlace { first: pair[0].name.clone(), second: pair[1].name.clone() })
        }
        None => Ok(()),
    }
}

#[cfg(test)]
mod tests;
