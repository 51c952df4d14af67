//! Routes requests to services by host and path prefix, with weighted services per route.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

use crate::accounts::AccountTable;

/// Whether and how a request may be retried after it may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    Once,
    /// An event stream that another endpoint may resume after the last event received.
    ResumableStream,
    /// An event stream that runs at most once.
    Stream,
}

impl RetryPolicy {
    /// Returns whether a request may be sent again although it may have run.
    pub fn allows_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A route from a host and path prefix to one or more services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The name of the route in the configuration, logs and errors.
    pub name: Arc<str>,
    /// The host name that requests must have.
    pub host: Arc<str>,
    /// The path prefix that requests must have; starts and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether requests may be retried, and whether their responses are streams.
    pub retry_policy: RetryPolicy,
    /// The maximum duration of a request, even if the caller would wait longer.
    pub timeout: Duration,
    /// The target for the time to the response, or to the first event of a stream.
    pub target: Duration,
    /// The target for the longest pause between two events of a stream.
    pub target_gap: Option<Duration>,
    /// The priority of the route's requests; 0 is the most urgent.
    pub priority: u8,
    /// The services of the route, with their weights.
    pub services: Vec<(Arc<str>, u32)>,
    /// The maximum number of endpoints that one request may run on.
    pub endpoints_max: u32,
    /// Whether requests for the same object are sent to the same endpoint if possible.
    pub sticky: bool,
    /// Whether requests need no account although the configuration lists accounts.
    pub allows_anonymous: bool,
    /// How long the turns of this route are kept, so that later turns need not carry them; `None`
    /// if each turn carries its whole prompt.
    pub retention: Option<Duration>,
}

impl Route {
    /// Returns the service for a key, or `None` if all weights are 0.
    ///
    /// The same key gets the same service as long as the weights do not change.
    pub fn service_for(&self, key: u64) -> Option<&Arc<str>> {
        let total: u64 = self.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut remainder = key.checked_rem(total)?;
        for (service, weight) in &self.services {
            if remainder < u64::from(*weight) {
                return Some(service);
            }
            remainder -= u64::from(*weight);
        }
        None
    }
}

/// The common properties of the engines of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineTraits {
    /// The number of requests that one engine runs at once.
    pub slots: u32,
    /// The number of tokens in one stream event.
    pub tokens_per_event: u32,
}

/// A service, whose endpoints run requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// The name of the service, which routes and endpoints refer to.
    pub name: Arc<str>,
    /// The number of connections that one endpoint accepts from all instances together.
    pub connections_max: u32,
    /// The properties of its engines, if the service consists of model engines.
    pub engine: Option<EngineTraits>,
}

/// The size and time limits for callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The maximum size of the request line and headers, in bytes.
    pub head_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// How long the request headers may take to arrive, from their first byte.
    pub head_timeout: Duration,
    /// How long a connection may stay idle between requests.
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

/// Why a configuration is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum RouteError {
    /// A route refers to a service that is not configured.
    #[display("route {route} refers to service {service}, which is not configured")]
    UnknownService {
        /// The name of the route.
        route: Arc<str>,
        /// The name of the missing service.
        service: Arc<str>,
    },
    /// Two routes have the same host and prefix.
    #[display("routes {first} and {second} have the same host and prefix")]
    DuplicatePrefix {
        /// The name of one route.
        first: Arc<str>,
        /// The name of the other route.
        second: Arc<str>,
    },
    /// All weights of a route are zero.
    #[display("the weights of route {route} add up to 0")]
    ZeroWeights {
        /// The name of the route.
        route: Arc<str>,
    },
    /// A timeout is zero.
    #[display("route {route} has a timeout of 0")]
    ZeroTimeout {
        /// The name of the route.
        route: Arc<str>,
    },
    /// A prefix does not start and end with a slash.
    #[display("the prefix of route {route} must start and end with a slash")]
    InvalidPrefix {
        /// The name of the route.
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
    accounts: Option<AccountTable>,
}

impl RouteTable {
    /// Validates a configuration and builds its table.
    ///
    /// # Errors
    /// Returns the first problem found.
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
            check_duplicates(routes)?;
        }
        Ok(Self { version, by_host, services, limits, accounts: None })
    }

    /// Adds the client accounts; requests then need a key.
    pub fn with_accounts(self, accounts: AccountTable) -> Self {
        Self { accounts: Some(accounts), ..self }
    }

    /// Returns the client accounts; `None` if callers need no account.
    pub fn accounts(&self) -> Option<&AccountTable> {
        self.accounts.as_ref()
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the route of a host whose prefix is the longest one that `path` starts with.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.by_host.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the limits for callers' requests.
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
        return Err(RouteError::ZeroWeights { route: name });
    }
    if route.timeout.is_zero() {
        return Err(RouteError::ZeroTimeout { route: name });
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(RouteError::InvalidPrefix { route: name });
    }
    Ok(())
}

fn check_duplicates(sorted: &[Arc<Route>]) -> Result<(), RouteError> {
    let duplicate = sorted.windows(2).find(|pair| pair[0].prefix == pair[1].prefix);
    match duplicate {
        Some(pair) => Err(RouteError::DuplicatePrefix {
            first: pair[0].name.clone(),
            second: pair[1].name.clone(),
        }),
        None => Ok(()),
    }
}

#[cfg(test)]
mod tests;
