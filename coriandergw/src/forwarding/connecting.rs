//! Opens connections to endpoints, directly or through another instance.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::clock::Timestamp;
use crate::context::Context;
use crate::dialer;
use crate::dialer::Dialer;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::forwarding::paths::Change;
use crate::forwarding::paths::Fault;
use crate::forwarding::paths::Path;
use crate::forwarding::paths::Paths;
use crate::forwarding::pool;
use crate::forwarding::pool::Connection;
use crate::forwarding::pool::ConnectionPath;
use crate::forwarding::pool::SharedPool;
use crate::ids::EndpointName;
use crate::ids::InstanceName;
use crate::relays::RelayError;
use crate::relays::client;
use crate::relays::server::DirectLinks;
use crate::roster::EndpointRecord;
use crate::roster::Relay;
use crate::roster::poller::Roster;
use crate::supervision;

/// The timeout of a direct connection: enough for several round trips between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a direct connection may take before another instance is asked for one as well: above the
/// usual round trip, below the retransmission of a lost packet.
pub(super) const RELAY_AFTER: Duration = Duration::from_millis(150);

/// How long an endpoint that lost a response may take to accept or refuse a connection: several round
/// trips between data centres.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(50);

/// The maximum number of relays that are asked for one connection.
const RELAYS_ASKED: usize = 4;

/// How long a relay may take to answer before the next one is asked as well: above its round trips to
/// this instance and to the endpoint.
const NEXT_RELAY_AFTER: Duration = Duration::from_millis(100);

/// How long a relay that failed is asked after all others; doubled with each further failure.
const RELAY_BACKOFF_INITIAL: Duration = Duration::from_secs(1);

/// The longest time that a relay is asked after all others.
const RELAY_BACKOFF_MAX: Duration = Duration::from_secs(8);

/// Says why no connection to an endpoint could be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NoConnection {
    /// The endpoint refuses or does not answer another instance too, which reaches other endpoints, or
    /// there is no other instance.
    EndpointEnded,
    /// The endpoint cannot be reached; others can perhaps.
    EndpointUnreachable,
    /// This instance reaches no endpoint, directly or through another instance.
    NoPath,
}

/// A failure to open a connection.
#[derive(Debug)]
pub(super) struct ConnectFailure {
    pub(super) kind: NoConnection,
    pub(super) reason: String,
}

/// The use and the failures of one relay.
#[derive(Debug, Clone, Default)]
struct RelayUse {
    /// The number of connections of this instance through the relay, idle ones included.
    connections: Arc<AtomicUsize>,
    /// The number of consecutive failures.
    failures: u32,
    avoided_until: Timestamp,
}

impl RelayUse {
    fn note_failure(&mut self, now: Timestamp) {
        let backoff = RELAY_BACKOFF_INITIAL * 2u32.pow(self.failures.min(5));
        self.failures += 1;
        self.avoided_until = now + backoff.min(RELAY_BACKOFF_MAX);
    }
}

/// Counts one connection through a relay until it is dropped.
#[derive(Debug)]
pub(super) struct RelayUseGuard(Arc<AtomicUsize>);

impl RelayUseGuard {
    fn new(connections: &Arc<AtomicUsize>) -> Self {
        connections.fetch_add(1, Ordering::Relaxed);
        Self(connections.clone())
    }
}

impl Drop for RelayUseGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Opens the connections of an entry instance to endpoints.
pub(super) struct Connector {
    pub(super) cx: Context,
    dialer: Arc<dyn Dialer>,
    pub(super) pool: SharedPool,
    pub(super) roster: Arc<Roster>,
    paths: Mutex<Paths>,
    /// The endpoints that requests may be sent to.
    known: Mutex<Vec<EndpointRecord>>,
    relays: Mutex<HashMap<InstanceName, RelayUse>>,
    /// Wakes the trials when a path is lost.
    path_lost: Notify,
}

impl Connector {
    pub(super) fn new(
        cx: Context,
        dialer: Arc<dyn Dialer>,
        pool: SharedPool,
        roster: Arc<Roster>,
    ) -> Arc<Self> {
        Arc::new(Self {
            cx,
            dialer,
            pool,
            roster,
            paths: Mutex::default(),
            known: Mutex::default(),
            relays: Mutex::default(),
            path_lost: Notify::new(),
        })
    }

    pub(super) fn now(&self) -> Timestamp {
        self.cx.clock.now()
    }

    pub(super) fn with_paths<T, F>(&self, action: F) -> T
    where
        F: FnOnce(&mut Paths) -> T,
    {
        action(&mut self.paths.lock().expect("not poisoned"))
    }

    /// Replaces the endpoints that requests may be sent to.
    pub(super) fn set_known(&self, known: Vec<EndpointRecord>) {
        self.with_paths(|paths| paths.retain(|id| known.iter().any(|record| record.id == *id)));
        *self.known.lock().expect("not poisoned") = known;
    }

    fn known_count(&self) -> usize {
        self.known.lock().expect("not poisoned").len()
    }

    /// Returns whether an idle connection may carry another request. An instance that stops is named
    /// as a relay no more, some time before it closes its connections.
    pub(super) fn is_usable(&self, path: &ConnectionPath) -> bool {
        match path {
            ConnectionPath::Direct => true,
            ConnectionPath::Relayed { relay, .. } => {
                let now = self.now();
                self.roster.with_view(|view| view.relays(now)).contains(relay)
            }
        }
    }

    /// Opens a connection to an endpoint.
    ///
    /// # Errors
    /// Says whether the endpoint is the reason or the links of this instance.
    pub(super) async fn open(
        &self,
        endpoint: &EndpointRecord,
    ) -> Result<Connection, ConnectFailure> {
        match self.with_paths(|paths| paths.to(&endpoint.id)) {
            Path::Direct => self.open_direct_first(endpoint).await,
            Path::Relayed => self.open_relayed(endpoint).await.map_err(|fault| {
                let is_cut_off = self.with_paths(|paths| paths.is_cut_off());
                let kind = match fault {
                    RelayError::Silent | RelayError::Refused => NoConnection::EndpointEnded,
                    _ if is_cut_off => NoConnection::NoPath,
                    _ => NoConnection::EndpointUnreachable,
                };
                ConnectFailure { kind, reason: format!("no direct path; {fault}") }
            }),
        }
    }

    /// Opens a direct connection. If it fails or takes long, another instance is asked as well, and
    /// the first connection that opens is used.
    async fn open_direct_first(
        &self,
        endpoint: &EndpointRecord,
    ) -> Result<Connection, ConnectFailure> {
        let mut direct = pin!(self.connect(endpoint, CONNECT_TIMEOUT));
        let mut fault = None;
        tokio::select! {
            dialed = &mut direct => match dialed {
                Ok(connection) => return Ok(connection),
                Err(cause) => fault = Some(cause),
            },
            () = tokio::time::sleep(RELAY_AFTER) => {}
        }
        let mut relayed = pin!(self.open_relayed(endpoint));
        let relayed = tokio::select! {
            relayed = &mut relayed => relayed,
            dialed = &mut direct, if fault.is_none() => match dialed {
                Ok(connection) => return Ok(connection),
                Err(cause) => {
                    fault = Some(cause);
                    relayed.await
                }
            },
        };
        let error = match relayed {
            Ok(connection) => {
                self.note_lost(endpoint, fault.unwrap_or(Fault::Silent));
                return Ok(connection);
            }
            Err(error) => error,
        };
        let fault = match fault {
            Some(fault) => fault,
            None => match direct.await {
                Ok(connection) => return Ok(connection),
                Err(fault) => fault,
            },
        };
        Err(self.direct_failure(endpoint, fault, error))
    }

    /// Returns the failure of a connection that was neither opened directly nor by a relay.
    pub(super) fn direct_failure(
        &self,
        endpoint: &EndpointRecord,
        fault: Fault,
        error: RelayError,
    ) -> ConnectFailure {
        if fault == Fault::Silent && !error.is_of_endpoint() {
            let known = self.known_count();
            let change =
                self.with_paths(|paths| paths.note_silent(&endpoint.id, known, self.now()));
            self.record(endpoint, change, "does not answer, and no relay says whether it can");
        }
        let kind = match (fault, error) {
            (Fault::Refused, RelayError::Refused) | (Fault::Silent, RelayError::Silent) => {
                NoConnection::EndpointEnded
            }
            _ if self.is_alone() => NoConnection::EndpointEnded,
            _ if self.with_paths(|paths| paths.is_cut_off()) => NoConnection::NoPath,
            _ => NoConnection::EndpointUnreachable,
        };
        ConnectFailure { kind, reason: format!("{fault:?}; {error}") }
    }

    /// Returns whether no other instance could be asked for its view of an endpoint.
    fn is_alone(&self) -> bool {
        let now = self.now();
        let entry_instances = self.roster.with_view(|view| view.entry_instances(now));
        entry_instances.is_some_and(|count| count <= 1)
    }

    /// Returns whether an endpoint has ended: it refuses connections of another instance that reaches
    /// other endpoints, and of this one unless it does not reach the endpoint anyway.
    pub(super) async fn has_ended(&self, endpoint: &EndpointRecord) -> bool {
        let is_direct = self.with_paths(|paths| paths.to(&endpoint.id)) == Path::Direct;
        if is_direct {
            match self.connect(endpoint, REFUSAL_TIMEOUT).await {
                Ok(connection) => {
                    self.pool.put(&endpoint.id, endpoint.address, connection, self.now());
                    return false;
                }
                // Without an answer, an end cannot be told from a cut.
                Err(Fault::Silent) => return false,
                Err(Fault::Refused) => {}
            }
        }
        match self.open_relayed(endpoint).await {
            Err(RelayError::Refused) => true,
            Err(_) => is_direct && self.is_alone(),
            Ok(connection) => {
                if is_direct {
                    self.note_lost(endpoint, Fault::Refused);
                }
                self.pool.put(&endpoint.id, endpoint.address, connection, self.now());
                false
            }
        }
    }

    /// Opens a direct connection for requests.
    pub(super) async fn connect(
        &self,
        endpoint: &EndpointRecord,
        limit: Duration,
    ) -> Result<Connection, Fault> {
        let stream = self.dial(endpoint, limit).await?;
        pool::open_on(stream, ConnectionPath::Direct).await.map_err(|cause| {
            log::debug!("connection to endpoint {} failed: {cause}", endpoint.id);
            Fault::Refused
        })
    }

    /// Opens a direct connection.
    async fn dial(&self, endpoint: &EndpointRecord, limit: Duration) -> Result<TcpStream, Fault> {
        let dialed = tokio::time::timeout(limit, self.dialer.dial(endpoint.address)).await;
        let configured = dialed
            .map(|dialed| dialed.and_then(|stream| dialer::configure(&stream).map(|()| stream)));
        let fault = match configured {
            Ok(Ok(stream)) => {
                self.count("direct", "opened");
                let change =
                    self.with_paths(|paths| paths.note_connected(&endpoint.id, self.now()));
                self.record(endpoint, change, "accepts a connection");
                return Ok(stream);
            }
            Ok(Err(cause)) if cause.kind() == ErrorKind::ConnectionRefused => Fault::Refused,
            Ok(Err(cause)) => {
                log::debug!("connection to endpoint {} failed: {cause}", endpoint.id);
                Fault::Silent
            }
            Err(_) => Fault::Silent,
        };
        self.count("direct", if fault == Fault::Refused { "refused" } else { "silent" });
        Err(fault)
    }

    /// Opens a connection through one of the relays. One after the other is asked, the next one also
    /// while those before have not answered.
    ///
    /// # Errors
    /// What a relay says of the endpoint, else the last failure of a relay.
    pub(super) async fn open_relayed(
        &self,
        endpoint: &EndpointRecord,
    ) -> Result<Connection, RelayError> {
        let mut relays = self.choose_relays().into_iter();
        let mut asked = FuturesUnordered::new();
        let mut last = RelayError::NoLinks;
        loop {
            let next = relays.next();
            let has_next = next.is_some();
            asked.extend(next.map(|relay| self.ask_relay(relay, endpoint)));
            let answer = tokio::select! {
                answer = asked.next() => answer,
                () = tokio::time::sleep(NEXT_RELAY_AFTER), if has_next => continue,
            };
            match answer {
                Some(Ok(connection)) => return Ok(connection),
                Some(Err(fault)) if fault.is_of_endpoint() => return Err(fault),
                Some(Err(fault)) => last = fault,
                None if has_next => {}
                None => return Err(last),
            }
        }
    }

    async fn ask_relay(
        &self,
        relay: Relay,
        endpoint: &EndpointRecord,
    ) -> Result<Connection, RelayError> {
        match client::open(&relay, endpoint, &self.cx.instance).await {
            Ok(stream) => {
                let guard = self.note_relay_used(&relay.name);
                let path = ConnectionPath::Relayed { relay: relay.clone(), _guard: guard };
                let connection = pool::open_on(stream, path).await.map_err(|cause| {
                    log::debug!("connection through relay {} failed: {cause}", relay.name);
                    RelayError::Unreachable
                })?;
                self.count("relayed", "opened");
                Ok(connection)
            }
            Err(fault) => {
                let outcome = match fault.is_of_endpoint() {
                    true => "endpoint failed",
                    false => "relay failed",
                };
                self.count("relayed", outcome);
                if !fault.is_of_endpoint() {
                    self.note_relay_failed(&relay.name);
                }
                Err(fault)
            }
        }
    }

    /// Returns the relays to ask, in order: those in backoff last, then those that carry the fewest
    /// connections of this instance.
    fn choose_relays(&self) -> Vec<Relay> {
        let now = self.now();
        let mut relays = self.roster.with_view(|view| view.relays(now));
        let mut uses = self.relays.lock().expect("not poisoned");
        uses.retain(|_, one| {
            one.connections.load(Ordering::Relaxed) > 0
                || now < one.avoided_until + RELAY_BACKOFF_MAX
        });
        relays.sort_by_key(|relay| {
            let is_far = relay.data_centre != self.cx.data_centre;
            uses.get(&relay.name).map_or((false, 0, is_far), |one| {
                (now < one.avoided_until, one.connections.load(Ordering::Relaxed), is_far)
            })
        });
        relays.truncate(RELAYS_ASKED);
        relays
    }

    /// Records that a relay opened a connection; returns the guard that counts it.
    fn note_relay_used(&self, relay: &InstanceName) -> RelayUseGuard {
        let mut uses = self.relays.lock().expect("not poisoned");
        let known = uses.entry(relay.clone()).or_default();
        known.failures = 0;
        RelayUseGuard::new(&known.connections)
    }

    pub(super) fn note_relay_failed(&self, relay: &InstanceName) {
        let now = self.now();
        let mut uses = self.relays.lock().expect("not poisoned");
        uses.entry(relay.clone()).or_default().note_failure(now);
    }

    fn count(&self, path: &str, outcome: &str) {
        self.cx.metrics.endpoint_connects.with_label_values(&[path, outcome]).inc();
    }

    pub(super) fn note_lost(&self, endpoint: &EndpointRecord, fault: Fault) {
        let (known, now) = (self.known_count(), self.now());
        let change = self.with_paths(|paths| paths.note_lost(&endpoint.id, fault, known, now));
        if fault == Fault::Silent {
            // Open connections are held up too, until their next request has waited in vain.
            self.pool
                .close(|id, path| *id == endpoint.id && matches!(path, ConnectionPath::Direct));
        }
        self.record(endpoint, change, &format!("{fault:?} here, reached by another instance"));
    }

    /// Logs a change of the paths and tells the other instances whether this one reaches endpoints.
    pub(super) fn record(&self, endpoint: &EndpointRecord, change: Change, detail: &str) {
        let number = match change {
            Change::None => return,
            Change::PairLost => EventNumber::PathLost,
            Change::PairRegained => EventNumber::PathRegained,
            Change::CutOff => EventNumber::LinksLost,
            Change::LinksRegained => EventNumber::LinksRegained,
        };
        let subject = Subject { peer: Some(endpoint.id.to_string()), ..Subject::default() };
        self.cx.events.record(number, subject, detail);
        match change {
            Change::CutOff => self.pool.close(|_, path| matches!(path, ConnectionPath::Direct)),
            Change::PairRegained => self.pool.close(|id, path| {
                *id == endpoint.id && matches!(path, ConnectionPath::Relayed { .. })
            }),
            _ => {}
        }
        let known = self.known_count();
        let lost_endpoints = self.with_paths(|paths| paths.has_lost_most(known));
        self.roster.update_presence(|presence| presence.lost_endpoints = lost_endpoints);
        self.path_lost.notify_one();
    }

    /// Tries direct connections where the path is lost, until the process ends. One that opens is
    /// kept for the next request.
    pub(super) async fn regain_paths(self: Arc<Self>) {
        loop {
            let Some(due) = self.with_paths(|paths| paths.next_trial_at()) else {
                self.path_lost.notified().await;
                continue;
            };
            tokio::select! {
                () = tokio::time::sleep(due.since(self.now())) => {}
                () = self.path_lost.notified() => continue,
            }
            let known = self.known.lock().expect("not poisoned").clone();
            let names: Vec<EndpointName> = known.iter().map(|record| record.id.clone()).collect();
            let due = self.with_paths(|paths| paths.take_trials(&names, self.now()));
            for record in known.into_iter().filter(|record| due.contains(&record.id)) {
                let connector = self.clone();
                let trying = async move { connector.try_direct(record).await };
                tokio::spawn(supervision::isolated("try a direct path", trying));
            }
        }
    }

    async fn try_direct(&self, endpoint: EndpointRecord) {
        if let Ok(connection) = self.connect(&endpoint, CONNECT_TIMEOUT).await {
            self.pool.put(&endpoint.id, endpoint.address, connection, self.now());
        }
    }
}

#[async_trait]
impl DirectLinks for Connector {
    fn endpoints(&self) -> Vec<EndpointRecord> {
        self.known.lock().expect("not poisoned").clone()
    }

    async fn dial(&self, endpoint: &EndpointRecord, limit: Duration) -> Result<TcpStream, Fault> {
        Connector::dial(self, endpoint, limit).await
    }

    fn has_links(&self) -> bool {
        let known = self.known_count();
        !self.with_paths(|paths| paths.has_lost_most(known))
    }

    fn note_no_links(&self, failed: &[(EndpointRecord, Fault)]) {
        let known = self.known_count();
        for (endpoint, fault) in failed {
            let change = self.with_paths(|paths| match fault {
                Fault::Silent => paths.note_silent(&endpoint.id, known, self.now()),
                Fault::Refused => paths.note_lost(&endpoint.id, *fault, known, self.now()),
            });
            self.record(endpoint, change, &format!("{fault:?} here, like others"));
        }
    }
}
