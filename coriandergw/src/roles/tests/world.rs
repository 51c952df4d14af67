//! Starts processes over loopback; each machine has its own address in 127.0.0.0/8.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::HeaderValue;
use tempfile::TempDir;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::account_limits::LimitTolerance;
use crate::accounts::Account;
use crate::accounts::AccountKey;
use crate::accounts::AccountLimit;
use crate::accounts::AccountTable;
use crate::accounts::Credential;
use crate::dialer::Dialer;
use crate::dialer::TcpDialer;
use crate::endpoint_limits::RateLimit;
use crate::forwarding::ForwardingHeaders;
use crate::forwarding::HeaderCodec;
use crate::forwarding::HeaderError;
use crate::forwarding::ProgramHeaders;
use crate::forwarding::ReportedLoad;
use crate::forwarding::RequestHeaders;
use crate::forwarding::ResponseHeaders;
use crate::forwarding::TokenDemand;
use crate::forwarding::forwarder::ConfigReader;
use crate::forwarding::forwarder::ForwarderAdapters;
use crate::ids::DataCentre;
use crate::ids::EndpointName;
use crate::kept_turns::KeptTurns;
use crate::roles::ProcessSettings;
use crate::roles::core::CoreProcess;
use crate::roles::entry::EntryProcess;
use crate::roles::journal::JournalProcess;
use crate::roles::tests::endpoint::Endpoint;
use crate::roster::EndpointRecord;
use crate::roster::EndpointState;
use crate::routes::CallerLimits;
use crate::routes::EngineTraits;
use crate::routes::RetryPolicy;
use crate::routes::Route;
use crate::routes::RouteTable;
use crate::routes::Service;
use crate::test_support::WAIT_LIMIT;
use crate::test_support::wait_for;

/// Header codec of the tests, with unprefixed header names.
struct PlainHeaders;

fn text(headers: &HeaderMap, name: &str) -> Option<Arc<str>> {
    Some(headers.get(name)?.to_str().ok()?.into())
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

impl HeaderCodec for PlainHeaders {
    fn read_request(&self, headers: &HeaderMap) -> Result<RequestHeaders, HeaderError> {
        Ok(RequestHeaders {
            attempt: text(headers, "attempt").ok_or(HeaderError { field: "attempt" })?,
            deadline: number(headers, "deadline").map(Duration::from_millis),
            program: text(headers, "program").map(|program| ProgramHeaders {
                program,
                budget: number(headers, "budget"),
                time_left: None,
            }),
            tokens: number(headers, "output-max")
                .map(|output_max| TokenDemand { prompt: 10, output_max }),
            affinity: None,
            last_event: number(headers, "last-event"),
            resumes: text(headers, "resumes"),
            credential: text(headers, "key")
                .map_or(Credential::Missing, |key| Credential::Key((&*key).into())),
            previous_turn: text(headers, "previous-turn"),
        })
    }

    fn write_forwarded(&self, headers: &mut HeaderMap, head: &ForwardingHeaders) {
        let endpoint = HeaderValue::try_from(head.endpoint.as_str()).expect("a header");
        headers.insert("endpoint", endpoint);
        if let Some(last_event) = head.last_event {
            headers.insert("last-event", HeaderValue::from(last_event));
        }
    }

    fn read_response(&self, headers: &HeaderMap) -> ResponseHeaders {
        ResponseHeaders {
            attempt: text(headers, "attempt"),
            is_signed: headers.contains_key("signed"),
            not_run: headers.contains_key("not-run"),
            answered_by: text(headers, "answered-by"),
            load: number(headers, "running").map(|running| ReportedLoad {
                running: running as u32,
                slots: number(headers, "slots").unwrap_or_default() as u32,
                pace: number(headers, "pace").map(|pace| pace as u32),
                ..ReportedLoad::default()
            }),
            is_leaving: headers.contains_key("leaving"),
            limit: text(headers, "limit")
                .and_then(|value| RateLimit::try_from(value.parse::<f64>().ok()?).ok()),
        }
    }
}

/// Reads a configuration that consists of its version and, separated by blanks, the client accounts:
/// either the limit of the account `limited` in requests a second, beside the account `free`, or the
/// names of accounts without a limit. Without either there are no accounts. The key of `limited` and
/// `free` is `k-` and the name, that of the others the name. The routes are fixed.
struct TestConfig;

/// Returns the table of accounts that are named like their keys.
fn named_accounts(names: &[&str]) -> AccountTable {
    let account = |name: &&str| {
        let account = Account { name: (*name).into(), limit: None, priority: None };
        (account, vec![AccountKey::from(*name)])
    };
    AccountTable::new(names.iter().map(account).collect()).expect("a table")
}

fn route(name: &str, retry_policy: RetryPolicy, service: &str) -> Route {
    Route {
        name: name.into(),
        host: "host".into(),
        prefix: format!("/{name}/").into(),
        retry_policy,
        timeout: Duration::from_secs(20),
        target: Duration::from_millis(500),
        target_gap: None,
        priority: 0,
        services: vec![(service.into(), 1)],
        endpoints_max: 2,
        sticky: false,
        allows_anonymous: false,
        retention: None,
    }
}

fn limited_accounts(per_second: f64) -> AccountTable {
    let account = |name: &str, limit| Account { name: name.into(), limit, priority: None };
    let limit = AccountLimit { per_second, burst: 0.0 };
    let accounts = [account("limited", Some(limit)), account("free", None)];
    let keyed = accounts.map(|account| {
        let key = format!("k-{}", account.name);
        (account, vec![key.as_str().into()])
    });
    AccountTable::new(keyed.into()).expect("different keys")
}

impl ConfigReader for TestConfig {
    fn read(&self, document: &[u8]) -> Result<RouteTable, String> {
        let text = std::str::from_utf8(document).map_err(|fault| fault.to_string())?;
        let mut words = text.split(' ');
        let version = words.next().and_then(|text| text.parse().ok()).ok_or("no version")?;
        let words: Vec<&str> = words.collect();
        let routes = vec![
            route("safe", RetryPolicy::Idempotent, "plain"),
            route("once", RetryPolicy::Once, "plain"),
            route("stream", RetryPolicy::ResumableStream, "engines"),
            route("fragile", RetryPolicy::Stream, "engines"),
            Route { endpoints_max: 1, ..route("single", RetryPolicy::ResumableStream, "engines") },
            Route {
                retention: Some(Duration::from_secs(60)),
                ..route("kept", RetryPolicy::ResumableStream, "engines")
            },
        ];
        let engine = EngineTraits { slots: 8, tokens_per_event: 3 };
        let service =
            |name: &str, engine| Service { name: name.into(), connections_max: 100, engine };
        let services = vec![service("plain", None), service("engines", Some(engine))];
        let table = RouteTable::new(version, routes, services, CallerLimits::default());
        let table = table.map_err(|fault| fault.to_string())?;
        Ok(match words.first().map(|word| word.parse()) {
            None => table,
            Some(Ok(per_second)) => table.with_accounts(limited_accounts(per_second)),
            Some(Err(_)) => table.with_accounts(named_accounts(&words)),
        })
    }
}

/// Returns what the entry instances of the tests are given.
pub fn adapters(dialer: Arc<dyn Dialer>) -> ForwarderAdapters {
    ForwarderAdapters { header_codec: Arc::new(PlainHeaders), reader: Arc::new(TestConfig), dialer }
}

/// The settings and the data folder of a simulated machine.
pub struct Machine {
    pub settings: ProcessSettings,
    _folder: TempDir,
}

/// Allocates machines at addresses that other tests are unlikely to use.
pub struct Site {
    third_octet: u8,
    fourth_octet: u8,
    first_port: u16,
    seeds: Vec<IpAddr>,
    tolerated_losses: usize,
}

impl Site {
    /// Creates a site whose first `seeds` machines are the seeds.
    pub async fn new(seeds: u8, tolerated_losses: usize) -> Self {
        let third_octet = rand::random_range(1..=250);
        // The port is known to be free at the first machine only; the random octet keeps the
        // machines of tests that run at the same time apart.
        let first_machine = SocketAddr::from(([127, 20, third_octet, 1], 0));
        let probe = tokio::net::TcpListener::bind(first_machine).await.expect("bound");
        let port = probe.local_addr().expect("address").port();
        let first_port = port.min(60_000);
        let ip = |fourth_octet| IpAddr::V4(Ipv4Addr::new(127, 20, third_octet, fourth_octet));
        let seeds = (1..=seeds).map(ip).collect();
        Self { third_octet, fourth_octet: 0, first_port, seeds, tolerated_losses }
    }

    /// Adds a machine with an empty disk.
    pub fn machine(&mut self, is_first_start: bool) -> Machine {
        self.fourth_octet += 1;
        let ip = IpAddr::V4(Ipv4Addr::new(127, 20, self.third_octet, self.fourth_octet));
        let folder = TempDir::new().expect("a folder");
        let settings = ProcessSettings {
            node: format!("machine-{}", self.fourth_octet).into(),
            data_centre: DataCentre::try_from("dc").expect("a name"),
            ip,
            first_port: self.first_port,
            seeds: self.seeds.clone(),
            data_folder: Some(folder.path().to_owned()),
            is_first_start,
            tolerated_losses: self.tolerated_losses,
            kept_turns_max_bytes: 16 << 20,
            endpoint_silence: Duration::from_secs(60),
            caller_address: Some(SocketAddr::new(ip, self.first_port + 5)),
            warm_up: Duration::ZERO,
            limit_tolerance: LimitTolerance::default(),
            limits: Default::default(),
        };
        Machine { settings, _folder: folder }
    }
}

/// One machine of each role, serving.
pub struct World {
    pub core: CoreProcess,
    _journal: JournalProcess,
    pub entry: EntryProcess,
    pub callers: SocketAddr,
    site: Site,
    machines: Vec<Machine>,
}

impl World {
    /// Starts all roles on one machine and applies the configuration of the tests.
    pub async fn start() -> Self {
        Self::start_with(Arc::new(TcpDialer)).await
    }

    /// Does the same with an entry instance that opens connections to endpoints through `dialer`.
    pub async fn start_with(dialer: Arc<dyn Dialer>) -> Self {
        Self::start_machine(Duration::ZERO, dialer, None).await.configured().await
    }

    /// Starts all roles with an entry instance that keeps turns through `kept_turns`.
    pub async fn start_keeping(kept_turns: Arc<dyn KeptTurns>) -> Self {
        let dialer = Arc::new(TcpDialer);
        let world = Self::start_machine(Duration::ZERO, dialer, Some(kept_turns)).await;
        world.configured().await
    }

    async fn configured(self) -> Self {
        self.core.versions.put(1, "1".into()).await.expect("committed");
        wait_for("the configuration", || self.entry.forwarder.is_ready()).await;
        self
    }

    pub async fn start_without_configuration() -> Self {
        Self::start_machine(Duration::ZERO, Arc::new(TcpDialer), None).await
    }

    /// Starts all roles without a configuration and with a warm-up period longer than any test, so
    /// that requests wait for the configuration and for endpoints.
    pub async fn start_cold() -> Self {
        Self::start_machine(WAIT_LIMIT, Arc::new(TcpDialer), None).await
    }

    async fn start_machine(
        warm_up: Duration,
        dialer: Arc<dyn Dialer>,
        kept_turns: Option<Arc<dyn KeptTurns>>,
    ) -> Self {
        let mut site = Site::new(1, 0).await;
        let mut machine = site.machine(true);
        machine.settings.warm_up = warm_up;
        let mut journal_settings = machine.settings.clone();
        let folder = machine.settings.data_folder.clone().expect("a folder");
        journal_settings.data_folder = Some(folder.join("journal"));
        let core = CoreProcess::start(&machine.settings).await.expect("the core starts");
        let journal = JournalProcess::start(&journal_settings).await.expect("the journal starts");
        let callers = machine.settings.caller_address.expect("an address");
        let adapters = adapters(dialer);
        let entry =
            EntryProcess::start_with(&machine.settings, callers, adapters, kept_turns).await;
        let entry = entry.expect("the entry starts");
        Self { core, _journal: journal, entry, callers, site, machines: vec![machine] }
    }

    /// Starts another entry instance on a machine of its own.
    pub async fn add_entry(&mut self) -> EntryProcess {
        self.add_entry_with(Arc::new(TcpDialer)).await
    }

    /// Does the same with an instance that opens connections to endpoints through `dialer`.
    pub async fn add_entry_with(&mut self, dialer: Arc<dyn Dialer>) -> EntryProcess {
        let machine = self.site.machine(false);
        let callers = machine.settings.caller_address.expect("an address");
        let entry = EntryProcess::start(&machine.settings, callers, adapters(dialer)).await;
        let entry = entry.expect("the entry starts");
        self.machines.push(machine);
        wait_for("the configuration", || entry.forwarder.is_ready()).await;
        entry
    }

    /// Announces an endpoint and waits until the entry instance knows it.
    pub async fn announce(&self, id: &str, service: &str, endpoint: &Endpoint) {
        let id = EndpointName::try_from(id).expect("a name");
        self.announce_record(record(&id, service, endpoint.address)).await;
    }

    /// Announces an endpoint by its record and waits until the entry instance knows it.
    pub async fn announce_record(&self, record: EndpointRecord) {
        let (id, started_ms) = (record.id.clone(), record.started_ms);
        self.core.roster_server.announce(record);
        let is_known = || {
            let known = self.entry.roster.with_view(|view| view.endpoint(&id).cloned());
            known.is_some_and(|known| known.started_ms == started_ms)
        };
        wait_for("the endpoint", is_known).await;
        // The forwarder applies the same change in a separate task.
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    /// Opens a caller's connection.
    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.callers).await.expect("connected")
    }

    /// Sends one request on a connection of its own and returns the whole answer as text.
    pub async fn ask(&self, request: &str) -> String {
        ask_at(self.callers, request).await
    }
}

/// Sends one request to an entry instance, see [`World::ask`].
pub async fn ask_at(callers: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(callers).await.expect("connected");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut answer = Vec::new();
    // A reset connection also ends the answer, so the error is ignored.
    let _ = tokio::time::timeout(WAIT_LIMIT, stream.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Returns the record of a ready endpoint.
pub fn record(id: &EndpointName, service: &str, address: SocketAddr) -> EndpointRecord {
    EndpointRecord {
        id: id.clone(),
        service: service.into(),
        address,
        data_centre: "dc".into(),
        slots: 4,
        state: EndpointState::Ready,
        started_ms: 1,
        sequence: 1,
        cold_ms: 0,
        version: "v1".into(),
    }
}

/// Returns a GET request with `connection: close`.
pub fn get(path: &str, attempt: &str, more: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: host\r\nattempt: {attempt}\r\n{more}connection: close\r\n\r\n"
    )
}

/// Returns a POST request with a body and `connection: close`.
pub fn post(path: &str, attempt: &str, more: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: host\r\nattempt: {attempt}\r\n{more}connection: close\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
}

/// Returns the status of an answer.
pub fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or_default()
}

/// Returns the IDs of the events in an answer, in order.
pub fn event_ids(answer: &str) -> Vec<u64> {
    let lines = answer.lines().filter_map(|line| line.strip_prefix("id: "));
    lines.filter_map(|id| id.parse().ok()).collect()
}
