//! Opens connections to endpoints for other instances and copies their bytes.

use std::io;
use std::io::ErrorKind;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use futures_util::future::join_all;
use rand::seq::IndexedRandom;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use crate::context::Context;
use crate::dialer;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::forwarding::paths::Fault;
use crate::ids::EndpointName;
use crate::relays;
use crate::relays::RelayError;
use crate::relays::generated as raw;
use crate::relays::stream::PART_MAX_BYTES;
use crate::relays::stream::write_part;
use crate::roster::EndpointRecord;
use crate::roster::EndpointState;
use crate::roster::poller::Roster;
use crate::supervision;

/// The maximum number of connections that one instance relays at the same time.
const RELAYED_MAX: usize = 256;

/// How long an asking instance may take to say which endpoint it wants.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// How long an endpoint may take to accept or refuse a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// How long an endpoint may take before others are tried to compare it with: above the usual round
/// trip.
const COMPARE_AFTER: Duration = Duration::from_millis(50);

/// The number of other endpoints that are tried before a failure is taken to be the endpoint's.
const COMPARED_ENDPOINTS: usize = 3;

/// How long the accept loop pauses after a failed accept, for example when no file descriptors are
/// left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The direct connections of this instance to endpoints.
#[async_trait]
pub trait DirectLinks: Send + Sync {
    /// Opens a direct connection within a time.
    ///
    /// # Errors
    /// Says how the endpoint failed to accept it.
    async fn dial(&self, endpoint: &EndpointRecord, limit: Duration) -> Result<TcpStream, Fault>;

    /// Returns the endpoints that requests may be sent to.
    fn endpoints(&self) -> Vec<EndpointRecord>;

    /// Returns whether this instance reaches endpoints directly, as far as it knows.
    fn has_links(&self) -> bool;

    /// Records that several endpoints failed to accept direct connections, and none accepted one.
    fn note_no_links(&self, failed: &[(EndpointRecord, Fault)]);
}

/// Relays connections for other instances.
pub struct RelayServer {
    cx: Context,
    roster: Arc<Roster>,
    links: Arc<dyn DirectLinks>,
    places: Arc<Semaphore>,
}

impl RelayServer {
    /// Creates a server that relays to the endpoints that the roster lists.
    pub fn new(cx: Context, roster: Arc<Roster>, links: Arc<dyn DirectLinks>) -> Arc<Self> {
        let places = Arc::new(Semaphore::new(RELAYED_MAX));
        Arc::new(Self { cx, roster, links, places })
    }

    /// Serves other instances until the task is dropped.
    pub async fn run(self: Arc<Self>, listener: TcpListener) {
        // The connections end with this task.
        let mut connections = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                Some(_) = connections.join_next() => continue,
            };
            match accepted {
                Ok((stream, _)) => {
                    let serving = self.clone().serve(stream);
                    connections.spawn(supervision::isolated("relay a connection", serving));
                }
                Err(cause) => {
                    log::warn!("failed to accept a connection to relay: {cause}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Declines further connections and waits until the relayed ones have ended.
    pub async fn finish(&self) {
        // Nobody else can take a place while this waits for all of them. The places are closed only
        // here, so an error says that nothing is relayed any more.
        if self.places.acquire_many(RELAYED_MAX as u32).await.is_ok() {
            self.places.close();
        }
    }

    /// Returns the number of relayed connections.
    pub fn relayed(&self) -> usize {
        RELAYED_MAX - self.places.available_permits()
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        if let Err(cause) = self.relay(stream).await {
            log::debug!("a relayed connection ended with an error: {cause}");
        }
    }

    async fn relay(&self, mut asking: TcpStream) -> io::Result<()> {
        dialer::configure(&asking)?;
        let reading = tokio::time::timeout(OPEN_TIMEOUT, relays::read_message(&mut asking));
        let open: raw::Open = reading.await.map_err(|_| ErrorKind::TimedOut)??;
        let place = self.places.try_acquire();
        let opened = match place.is_ok() {
            true => self.connect(&open).await,
            false => Err(RelayError::Busy),
        };
        let outcome = opened.as_ref().map(|_| ()).map_err(|cause| *cause);
        let label = if outcome.is_ok() { "opened" } else { "failed" };
        self.cx.metrics.endpoint_connects.with_label_values(&["for others", label]).inc();
        if let Err(cause) = outcome {
            let detail = format!("endpoint={} from={} {cause}", open.endpoint, open.from);
            let subject = Subject { peer: Some(open.endpoint.clone()), ..Subject::default() };
            self.cx.events.record(EventNumber::RelayDeclined, subject, detail);
        }
        let answer = raw::Opened { outcome: relays::encode_outcome(outcome) };
        relays::write_message(&mut asking, &answer).await?;
        let Ok(endpoint) = opened else {
            return Ok(());
        };
        let (asking_reader, asking_writer) = asking.into_split();
        let (endpoint_reader, endpoint_writer) = endpoint.into_split();
        // The asking instance closes its connection as a whole, so either end is the end of both.
        tokio::select! {
            copied = copy_to_endpoint(asking_reader, endpoint_writer) => copied,
            copied = copy_from_endpoint(endpoint_reader, asking_writer) => copied,
        }
    }

    /// Connects to a listed endpoint.
    async fn connect(&self, open: &raw::Open) -> Result<TcpStream, RelayError> {
        let endpoint = self.listed(open).ok_or(RelayError::Unlisted)?;
        if !self.links.has_links() {
            return Err(RelayError::NoLinks);
        }
        let mut dialing = pin!(self.links.dial(&endpoint, CONNECT_TIMEOUT));
        let early = tokio::time::timeout(COMPARE_AFTER, &mut dialing).await;
        let (dialed, reaches_others) = match early {
            Ok(Ok(stream)) => return Ok(stream),
            Ok(Err(fault)) => (Err(fault), self.compare(&endpoint, fault).await),
            Err(_) => tokio::join!(dialing, self.compare(&endpoint, Fault::Silent)),
        };
        // A relay without links of its own says nothing of the endpoint.
        match dialed {
            Err(_) if !reaches_others => Err(RelayError::NoLinks),
            dialed => dialed.map_err(RelayError::from),
        }
    }

    /// Returns the endpoint if the roster lists this incarnation at this address.
    fn listed(&self, open: &raw::Open) -> Option<EndpointRecord> {
        let id = EndpointName::try_from(open.endpoint.clone()).ok()?;
        let is_same = |record: &&EndpointRecord| {
            record.started_ms == open.started_ms
                && record.address.to_string() == open.address
                && record.state != EndpointState::Gone
        };
        self.roster.with_view(|view| view.endpoints_named(&id).find(is_same).cloned())
    }

    /// Returns whether any of a few other endpoints accepts a connection, or there is no other one.
    async fn compare(&self, endpoint: &EndpointRecord, fault: Fault) -> bool {
        let mut others = self.links.endpoints();
        others.retain(|record| record.id != endpoint.id);
        let chosen: Vec<EndpointRecord> =
            others.choose_multiple(&mut rand::rng(), COMPARED_ENDPOINTS).cloned().collect();
        let dials = chosen.iter().map(|other| self.links.dial(other, CONNECT_TIMEOUT));
        let dialed = join_all(dials).await;
        if dialed.is_empty() || dialed.iter().any(Result::is_ok) {
            return true;
        }
        let faults = dialed.into_iter().filter_map(Result::err);
        let mut failed: Vec<(EndpointRecord, Fault)> = chosen.into_iter().zip(faults).collect();
        failed.push((endpoint.clone(), fault));
        self.links.note_no_links(&failed);
        false
    }
}

async fn copy_to_endpoint(mut from: OwnedReadHalf, mut to: OwnedWriteHalf) -> io::Result<()> {
    let mut buf = vec![0; PART_MAX_BYTES];
    loop {
        let count = from.read(&mut buf).await?;
        if count == 0 {
            return Ok(());
        }
        to.write_all(&buf[..count]).await?;
    }
}

async fn copy_from_endpoint(mut from: OwnedReadHalf, mut to: OwnedWriteHalf) -> io::Result<()> {
    let mut buf = vec![0; PART_MAX_BYTES];
    loop {
        let count = from.read(&mut buf).await?;
        write_part(&mut to, &buf[..count]).await?;
        if count == 0 {
            return Ok(());
        }
    }
}
