//! Tests of streams while endpoints of two software versions serve side by side.

use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::ids::EndpointName;
use crate::roles::entry::EntryProcess;
use crate::roles::tests::endpoint::Endpoint;
use crate::roles::tests::endpoint::Seen;
use crate::roles::tests::endpoint::Step;
use crate::roles::tests::endpoint::chunk;
use crate::roles::tests::endpoint::event;
use crate::roles::tests::endpoint::last_chunk;
use crate::roles::tests::endpoint::stream_head;
use crate::roles::tests::world::World;
use crate::roles::tests::world::ask_at;
use crate::roles::tests::world::event_ids;
use crate::roles::tests::world::post;
use crate::roles::tests::world::record;
use crate::roles::tests::world::status;
use crate::roster::EndpointRecord;
use crate::roster::EndpointState;
use crate::test_support::wait_for;

/// The number of streams of a test; enough that some would change their version by chance.
const STREAMS: usize = 12;

/// The events that a stream has when it breaks, and when it is complete.
const FIRST_EVENTS: u64 = 3;
const EVENTS: u64 = 6;

/// Two endpoints of each of two versions, and two entry instances.
struct Fleet {
    world: World,
    other: EntryProcess,
    /// Name, version and endpoint.
    endpoints: Vec<(&'static str, &'static str, Endpoint)>,
}

impl Fleet {
    /// Starts endpoints that send the first events of a stream, then do `after`, and send the rest
    /// when it is resumed.
    async fn start(after: fn() -> Step) -> Self {
        let mut world = World::start().await;
        let other = world.add_entry().await;
        let mut endpoints = Vec::new();
        for (name, version) in [("a1", "v1"), ("a2", "v1"), ("b1", "v2"), ("b2", "v2")] {
            let endpoint = Endpoint::start(move |_, seen| stream_part(seen, after)).await;
            world.announce_record(at_version(name, version, &endpoint)).await;
            endpoints.push((name, version, endpoint));
        }
        let count = || {
            other
                .roster
                .with_view(|view| view.usable_endpoints(|_| true).values().flatten().count())
        };
        wait_for("the endpoints at the other instance", || count() == endpoints.len()).await;
        Self { world, other, endpoints }
    }

    fn other_callers(&self) -> SocketAddr {
        self.other.roster.presence().caller_address.expect("an address")
    }

    /// Lets an endpoint drain and waits until no instance uses it.
    async fn drain(&self, name: &str) {
        let (_, version, endpoint) =
            self.endpoints.iter().find(|(known, ..)| *known == name).expect("known");
        let ready = at_version(name, version, endpoint);
        let draining = EndpointRecord { state: EndpointState::Draining, sequence: 2, ..ready };
        self.world.core.roster_server.announce(draining);
        let id = EndpointName::try_from(name).expect("a name");
        let is_used = |entry: &EntryProcess| {
            entry.roster.with_view(|view| {
                view.usable_endpoints(|_| true).values().flatten().any(|record| record.id == id)
            })
        };
        wait_for("no use", || !is_used(&self.world.entry) && !is_used(&self.other)).await;
        // The forwarder applies the same change in a separate task.
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }

    /// Returns the versions of the endpoints that a request with this attempt reached.
    fn versions_of(&self, attempt: &str) -> Vec<&'static str> {
        let has_seen = |endpoint: &Endpoint| {
            endpoint.seen().iter().any(|seen| seen.header("attempt").as_deref() == Some(attempt))
        };
        let reached = self.endpoints.iter().filter(|(.., endpoint)| has_seen(endpoint));
        let mut versions: Vec<&str> = reached.map(|(_, version, _)| *version).collect();
        versions.dedup();
        versions
    }

    /// Starts a stream at the first instance and leaves after its first events, as if that instance
    /// had been killed.
    async fn begin_stream(&self, number: usize) {
        let mut caller = TcpStream::connect(self.world.callers).await.expect("connected");
        let request = post("/stream/x", &format!("first-{number}"), &turn_of(number), "prompt");
        caller.write_all(request.as_bytes()).await.expect("sent");
        let mut answer = Vec::new();
        let last = format!("piece {FIRST_EVENTS}\n\n");
        while !String::from_utf8_lossy(&answer).contains(&last) {
            let read = caller.read_buf(&mut answer).await.expect("readable");
            assert!(read > 0, "{}", String::from_utf8_lossy(&answer));
        }
    }

    /// Resumes a stream at the other instance.
    async fn resume(&self, number: usize, attempt: &str, first: &str) -> String {
        let more = format!("{}last-event: {FIRST_EVENTS}\r\nresumes: {first}\r\n", turn_of(number));
        ask_at(self.other_callers(), &post("/stream/x", attempt, &more, "prompt")).await
    }
}

fn at_version(name: &str, version: &str, endpoint: &Endpoint) -> EndpointRecord {
    let id = EndpointName::try_from(name).expect("a name");
    EndpointRecord { version: version.into(), ..record(&id, "engines", endpoint.address) }
}

/// Returns the headers of a turn, or, for every other number, of a stream without a program.
fn turn_of(number: usize) -> String {
    if number % 2 == 1 {
        return "deadline: 5000\r\n".to_owned();
    }
    format!("program: p{number}\r\nbudget: 1000\r\noutput-max: 30\r\ndeadline: 5000\r\n")
}

fn stream_part(seen: &Seen, after: fn() -> Step) -> Vec<Step> {
    let attempt = seen.header("attempt").unwrap_or_default();
    let last = seen.header("last-event").and_then(|id| id.parse().ok());
    let (from, to) = last.map_or((1, FIRST_EVENTS), |last: u64| (last + 1, EVENTS));
    let mut bytes = stream_head(&attempt);
    for id in from..=to {
        bytes.extend(chunk(&event(id)));
    }
    if last.is_none() {
        return vec![Step::Send(bytes), after()];
    }
    bytes.extend(last_chunk());
    vec![Step::Send(bytes)]
}

// Guards against a stream with events of two versions in one answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_goes_on_at_the_version_that_began_it() {
    let fleet = Fleet::start(|| Step::Close).await;
    for number in 0..STREAMS {
        let attempt = format!("t{number}");
        let request = post("/stream/x", &attempt, &turn_of(number), "prompt");
        let answer = fleet.world.ask(&request).await;
        assert_eq!(event_ids(&answer), [1, 2, 3, 4, 5, 6], "{answer}");
        let versions = fleet.versions_of(&attempt);
        assert_eq!(versions.len(), 1, "stream {number} has events of {versions:?}");
    }
}

// Guards against a stream with events of two versions after its caller resumed it at an instance that
// did not begin it.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_resumes_a_stream_at_the_version_that_began_it() {
    let fleet = Fleet::start(|| Step::Hang).await;
    for number in 0..STREAMS {
        fleet.begin_stream(number).await;
    }
    // The engines that remain are one of each version.
    fleet.drain("a1").await;
    fleet.drain("b1").await;
    for number in 0..STREAMS {
        let first = format!("first-{number}");
        let began = fleet.versions_of(&first);
        // The second resumption still names the attempt of the first event.
        for attempt in [format!("second-{number}"), format!("third-{number}")] {
            let answer = fleet.resume(number, &attempt, &first).await;
            assert_eq!(event_ids(&answer), [4, 5, 6], "{answer}");
            assert_eq!(fleet.versions_of(&attempt), began, "stream {number}");
        }
    }
}

// Guards against a guess where nobody knows which version began a stream.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_unknown_version_is_not_resumed_while_versions_differ() {
    let fleet = Fleet::start(|| Step::Hang).await;
    let answer = fleet.resume(0, "second", "never-sent").await;
    assert_eq!(status(&answer), "503", "{answer}");
    assert!(answer.contains("\"not_run\":true"), "{answer}");
    assert!(answer.contains("retry-after: "), "{answer}");
    assert!(fleet.versions_of("second").is_empty());
}

// Guards against another version taking over the streams of one that has left.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_version_has_left_is_refused_with_a_code_of_its_own() {
    let fleet = Fleet::start(|| Step::Hang).await;
    fleet.drain("b1").await;
    fleet.drain("b2").await;
    fleet.begin_stream(0).await;
    fleet.drain("a1").await;
    fleet.drain("a2").await;
    for (name, version, endpoint) in &fleet.endpoints[2..] {
        let again = at_version(name, version, endpoint);
        fleet.world.announce_record(EndpointRecord { started_ms: 2, ..again }).await;
    }
    let answer = fleet.resume(0, "second", "first-0").await;
    assert_eq!(status(&answer), "503", "{answer}");
    assert!(answer.contains("CG-2013"), "{answer}");
    assert!(fleet.versions_of("second").is_empty());
}
