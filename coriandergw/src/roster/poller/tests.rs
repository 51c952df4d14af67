//! Tests of instances that receive a large configuration over narrow links.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use prost::Message as _;
use tokio::time::Instant;

use crate::clock::SystemClock;
use crate::config_fetch::client::ConfigClient;
use crate::config_fetch::server::ConfigServer;
use crate::ids::InstanceName;
use crate::roster::Presence;
use crate::roster::Role;
use crate::roster::generated as raw;
use crate::roster::poller::Roster;
use crate::roster::server::RosterServer;
use crate::roster::state::ConfigState;
use crate::test_support::context;
use crate::test_support::presence;
use crate::transport::Handler;
use crate::transport::Kind;
use crate::transport::Transport;
use crate::transport::TransportError;
use crate::transport::peers::Handlers;
use crate::transport::tcp::address_of;

/// The time after its publication by which a configuration has to be in force.
const APPLY_LIMIT: Duration = Duration::from_millis(2_500);

/// How long the instances poll before a configuration is published.
const SETTLED: Duration = Duration::from_secs(2);

/// The one-way delay between two instances.
const DELAY: Duration = Duration::from_micros(500);

/// The sending or the receiving side of a machine's link.
struct Side {
    bytes_per_second: f64,
    free_at: Mutex<Instant>,
}

impl Side {
    fn new(megabits_per_second: f64) -> Arc<Self> {
        let bytes_per_second = megabits_per_second * 1e6 / 8.0;
        Arc::new(Self { bytes_per_second, free_at: Mutex::new(Instant::now()) })
    }

    /// Returns when the last of the bytes has passed that begin to arrive at `from`. They take their time
    /// also if nobody waits for them any more.
    fn pass(&self, bytes: usize, from: Instant) -> Instant {
        let mut free_at = self.free_at.lock().expect("not poisoned");
        let time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
        *free_at = from.max(*free_at) + time;
        *free_at
    }
}

struct CoreInstance {
    handlers: Arc<Handlers>,
    uplink: Arc<Side>,
    server: Arc<RosterServer>,
}

/// The transport of one instance, whose answers from core instances pass two sides of links.
struct LinkedTransport {
    name: InstanceName,
    cores: Arc<BTreeMap<SocketAddr, CoreInstance>>,
    downlink: Arc<Side>,
}

#[async_trait]
impl Transport for LinkedTransport {
    fn send(&self, _to: &InstanceName, _kind: Kind, _payload: Bytes) {}

    async fn call(
        &self,
        to: &InstanceName,
        kind: Kind,
        payload: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, TransportError> {
        let core = address_of(to).and_then(|address| self.cores.get(&address));
        let core = core.ok_or_else(|| TransportError::UnknownPeer { peer: to.clone() })?;
        let handler = core.handlers.find(kind).expect("a handler");
        let answering = async {
            tokio::time::sleep(DELAY).await;
            let answer = handler.handle(&self.name, payload).await;
            let sent = core.uplink.pass(answer.as_ref().map_or(0, Bytes::len), Instant::now());
            let received = self.downlink.pass(answer.as_ref().map_or(0, Bytes::len), sent);
            tokio::time::sleep_until(received + DELAY).await;
            answer.map_err(|reason| TransportError::Refused { peer: to.clone(), reason })
        };
        let no_answer =
            |_| TransportError::NoAnswer { peer: to.clone(), reason: "timed out".to_owned() };
        tokio::time::timeout(timeout, answering).await.map_err(no_answer)?
    }

    fn register(&self, _kind: Kind, _handler: Arc<dyn Handler>) {}

    fn learn(&self, _peer: &InstanceName, _address: SocketAddr) {}
}

/// Core instances, and entry instances that poll them.
struct Site {
    cores: Arc<BTreeMap<SocketAddr, CoreInstance>>,
    entries: Vec<Arc<Roster>>,
}

fn core_instance(number: u8, link: f64) -> (SocketAddr, CoreInstance) {
    let address = SocketAddr::from(([10, 0, 0, number], 7_400));
    let name = InstanceName::try_from(format!("{address}/0")).expect("a name");
    let cx = context(name.clone(), "dc", Arc::new(SystemClock::default()));
    let server = RosterServer::new(cx, Duration::from_secs(60));
    let own = Presence { role: Role::Core, ..presence(name.as_str()) };
    server.record_presence(own);
    let handlers = Arc::<Handlers>::default();
    handlers.register(Kind::Roster, server.clone());
    let config_server = ConfigServer { roster_server: server.clone() };
    handlers.register(Kind::ConfigFetch, Arc::new(config_server));
    (address, CoreInstance { handlers, uplink: Side::new(link), server })
}

impl Site {
    /// Starts 6 core instances and `entries` others, with links of so many megabits a second.
    async fn start(core_link: f64, entries: usize, entry_link: f64) -> Self {
        let cores = (1..=6).map(|number| core_instance(number, core_link));
        let cores: Arc<BTreeMap<SocketAddr, CoreInstance>> = Arc::new(cores.collect());
        let start_entry = |number: usize| {
            let name = format!("10.1.0.{number}:7401/0");
            let presence = presence(&name);
            let cx = context(presence.name.clone(), "dc", Arc::new(SystemClock::default()));
            let downlink = Side::new(entry_link);
            let name = presence.name.clone();
            let transport = LinkedTransport { name, cores: cores.clone(), downlink };
            let roster = Roster::new(cx.clone(), presence);
            let seeds = cores.keys().copied().collect();
            let transport: Arc<dyn Transport> = Arc::new(transport);
            tokio::spawn(roster.clone().run(transport.clone(), seeds));
            tokio::spawn(ConfigClient { cx, roster: roster.clone(), transport }.run());
            roster
        };
        let entries = (1..=entries).map(start_entry).collect();
        tokio::time::sleep(SETTLED).await;
        Self { cores, entries }
    }

    fn publish(&self, config_version: u64, config: &Bytes) {
        for core in self.cores.values() {
            let config = config.clone();
            let state = ConfigState { config_version, config, ..ConfigState::default() };
            core.server.apply_config_state(state);
        }
    }

    /// Returns how many instances have received a version.
    fn received(&self, version: u64) -> usize {
        let has_it = |roster: &&Arc<Roster>| roster.with_view(|view| view.config().0) >= version;
        self.entries.iter().filter(has_it).count()
    }
}

/// A configuration with so many routes, about as operators write them.
fn document(routes: usize) -> Bytes {
    let route = |number: usize| {
        let random = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        format!(
            r#"{{"route":"r-{random:x}","host":"host.example","prefix":"/{:x}/","retries":"idempotent","timeout":2000,"target":400,"urgency":2,"service":"booking","endpoints_max":2,"affinity":false}}"#,
            random.rotate_left(17),
        )
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    format!(r#"{{"version":1,"routes":[{}]}}"#, routes.join(",")).into()
}

// Guards against an instance that serves by an old configuration for good: each response carried the
// whole document, had a fixed time for it, and was asked for again by all from its first byte.
#[tokio::test(start_paused = true)]
async fn a_large_configuration_reaches_many_instances_in_time() {
    let site = Site::start(100.0, 77, 22.0).await;
    site.publish(1, &document(1_500));
    tokio::time::sleep(APPLY_LIMIT).await;
    assert_eq!(site.received(1), 77);
}

#[tokio::test(start_paused = true)]
async fn a_large_configuration_reaches_an_instance_over_a_narrow_link_in_time() {
    let site = Site::start(100.0, 1, 4.0).await;
    site.publish(1, &document(2_000));
    tokio::time::sleep(APPLY_LIMIT).await;
    assert_eq!(site.received(1), 1);
}

// Guards against changes that follow each other so fast that none of them arrives.
#[tokio::test(start_paused = true)]
async fn of_changes_in_quick_succession_each_instance_receives_one_in_time() {
    let site = Site::start(100.0, 20, 22.0).await;
    let document = document(1_500);
    for version in 1..=40 {
        site.publish(version, &document);
        tokio::time::sleep(APPLY_LIMIT / 10).await;
        if version > 10 {
            assert_eq!(site.received(version - 10), 20, "version {version} is published");
        }
    }
}

// Guards against an instance that does not get a configuration while all core instances run an earlier
// build, which sends it with the answer and answers no requests for pieces.
#[tokio::test]
async fn a_document_in_an_answer_is_taken() {
    let presence = presence("10.1.0.1:7401/0");
    let cx = context(presence.name.clone(), "dc", Arc::new(SystemClock::default()));
    let roster = Roster::new(cx, presence);
    let core = SocketAddr::from(([10, 0, 0, 1], 7_400));
    let document = document(1);
    for (config_version, expected) in [(4, 4), (3, 4)] {
        let config = document.clone();
        let answer =
            raw::PollAnswer { core_start: 1, config_version, config, ..Default::default() };
        roster.merge(core, answer.encode_to_vec().into()).expect("an answer of use");
        assert_eq!(roster.with_view(|view| view.config().0), expected);
    }
    assert_eq!(roster.with_view(|view| view.config().1.clone()), document);
}
