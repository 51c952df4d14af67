//! Tests with endpoints that send bytes without end, in the head or in the body of an answer, until
//! the connection is closed.

use std::time::Duration;

use tokio::io::AsyncWriteExt;

use crate::roles::tests::endpoint::Endpoint;
use crate::roles::tests::endpoint::Step;
use crate::roles::tests::endpoint::answer;
use crate::roles::tests::endpoint::chunk;
use crate::roles::tests::endpoint::stream_head;
use crate::roles::tests::world::World;
use crate::roles::tests::world::get;
use crate::roles::tests::world::post;
use crate::roles::tests::world::status;
use crate::test_support::wait_for;

/// The most bytes that may be taken from an endpoint for one request whose caller reads nothing: by
/// default Linux keeps up to 10 MB of each of the two connections.
const TAKEN_MAX_BYTES: usize = 24 << 20;

/// How long nothing must have been taken from an endpoint until nothing more is expected.
const STANDSTILL: Duration = Duration::from_millis(500);

/// A part of an answer that is followed by a part that is repeated without end.
type EndlessAnswer = fn(&str) -> (Vec<u8>, Vec<u8>);

fn header_lines(attempt: &str) -> (Vec<u8>, Vec<u8>) {
    let head = format!("HTTP/1.1 200 OK\r\nattempt: {attempt}\r\n");
    (head.into_bytes(), b"more: and more\r\n".repeat(64))
}

fn one_header(attempt: &str) -> (Vec<u8>, Vec<u8>) {
    let head = format!("HTTP/1.1 200 OK\r\nattempt: {attempt}\r\nmore: ");
    (head.into_bytes(), b"x".repeat(1_024))
}

fn status_line(_attempt: &str) -> (Vec<u8>, Vec<u8>) {
    (b"HTTP/1.1 200 ".to_vec(), b"x".repeat(1_024))
}

fn noise(_attempt: &str) -> (Vec<u8>, Vec<u8>) {
    (Vec::new(), b"\x16\x03\x01\x02".repeat(256))
}

fn interim_answers(_attempt: &str) -> (Vec<u8>, Vec<u8>) {
    (Vec::new(), b"HTTP/1.1 103 Early Hints\r\nmore: and more\r\n\r\n".repeat(64))
}

fn signed_head(attempt: &str, more: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nattempt: {attempt}\r\nsigned: yes\r\n{more}\r\n").into_bytes()
}

fn chunk_size(attempt: &str) -> (Vec<u8>, Vec<u8>) {
    (signed_head(attempt, "transfer-encoding: chunked\r\n"), b"0".repeat(1_024))
}

fn chunk_extension(attempt: &str) -> (Vec<u8>, Vec<u8>) {
    let mut head = signed_head(attempt, "transfer-encoding: chunked\r\n");
    head.extend(b"5;");
    (head, b"x".repeat(1_024))
}

fn trailers(attempt: &str) -> (Vec<u8>, Vec<u8>) {
    let mut head = signed_head(attempt, "transfer-encoding: chunked\r\n");
    head.extend(b"0\r\n");
    (head, b"more: and more\r\n".repeat(64))
}

/// Answers that are malformed, so that the request can be sent elsewhere at once.
const MALFORMED: [EndlessAnswer; 8] = [
    header_lines,
    one_header,
    status_line,
    noise,
    interim_answers,
    chunk_size,
    chunk_extension,
    trailers,
];

/// Starts an endpoint that sends an endless answer to the first request and proper ones to others.
async fn endless_first(endless: EndlessAnswer) -> Endpoint {
    Endpoint::start(move |number, seen| {
        let attempt = seen.header("attempt").unwrap_or_default();
        let (start, repeated) = endless(&attempt);
        match number {
            0 => vec![Step::Send(start), Step::Flood(repeated)],
            _ => vec![Step::Send(answer(&attempt, "good"))],
        }
    })
    .await
}

// Guards against an instance that reads a malformed answer without end instead of closing the
// connection and sending the request again.
#[tokio::test(flavor = "multi_thread")]
async fn a_malformed_answer_without_end_is_cut_off_and_the_request_repeated() {
    for (number, endless) in MALFORMED.into_iter().enumerate() {
        let world = World::start().await;
        let endpoint = endless_first(endless).await;
        world.announce("a", "plain", &endpoint).await;
        let reply = world.ask(&get("/safe/x", "t1", "")).await;
        assert!(reply.ends_with("good"), "answer {number}: {reply}");
        assert!(endpoint.flooded() <= TAKEN_MAX_BYTES, "answer {number}: {}", endpoint.flooded());
        wait_for("the end of the connection", || endpoint.closed() >= 1).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_malformed_answer_without_end_to_a_request_that_must_not_repeat_is_a_lost_answer() {
    for (number, endless) in MALFORMED.into_iter().enumerate() {
        let world = World::start().await;
        let endpoint = endless_first(endless).await;
        world.announce("a", "plain", &endpoint).await;
        let reply = world.ask(&post("/once/x", "t1", "", "pay")).await;
        assert_eq!(status(&reply), "502", "answer {number}: {reply}");
        assert_eq!(endpoint.seen().len(), 1, "answer {number}");
        wait_for("the end of the connection", || endpoint.closed() >= 1).await;
    }
}

/// Sends a request whose answer the caller does not read, and waits until nothing more is taken
/// from the endpoint or the most that may be taken is exceeded; returns how much was taken. The
/// caller then closes its connection.
async fn taken_for_a_caller_that_does_not_read(path: &str, endpoint: &Endpoint) -> usize {
    let world = World::start().await;
    world.announce("a", "plain", endpoint).await;
    world.announce("b", "engines", endpoint).await;
    let mut caller = world.connect().await;
    caller.write_all(get(path, "t1", "").as_bytes()).await.expect("sent");
    wait_for("the flood", || endpoint.flooded() > 0).await;
    let mut taken = 0;
    while taken < endpoint.flooded() && taken <= TAKEN_MAX_BYTES {
        taken = endpoint.flooded();
        tokio::time::sleep(STANDSTILL).await;
    }
    drop(caller);
    wait_for("the end of the connection", || endpoint.closed() >= 1).await;
    taken
}

// Guards against an instance whose memory grows with a body that does not end.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_without_length_and_end_is_not_kept_in_memory() {
    let endpoint = Endpoint::start(|_, seen| {
        let attempt = seen.header("attempt").unwrap_or_default();
        vec![Step::Send(signed_head(&attempt, "")), Step::Flood(b"x".repeat(4_096))]
    })
    .await;
    let taken = taken_for_a_caller_that_does_not_read("/safe/x", &endpoint).await;
    assert!(taken <= TAKEN_MAX_BYTES, "{taken} bytes");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_event_without_end_is_not_kept_in_memory() {
    let endpoint = Endpoint::start(|_, seen| {
        let attempt = seen.header("attempt").unwrap_or_default();
        let chunk = format!("1000\r\n{}\r\n", "x".repeat(4_096));
        vec![Step::Send(stream_head(&attempt)), Step::Flood(chunk.into_bytes())]
    })
    .await;
    let taken = taken_for_a_caller_that_does_not_read("/fragile/x", &endpoint).await;
    assert!(taken <= TAKEN_MAX_BYTES, "{taken} bytes");
}

#[tokio::test(flavor = "multi_thread")]
async fn events_without_end_wait_for_the_caller() {
    let endpoint = Endpoint::start(|_, seen| {
        let attempt = seen.header("attempt").unwrap_or_default();
        let event = format!(": {}\n\n", "x".repeat(4_092));
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        vec![Step::Send(stream_head(&attempt)), Step::Flood(chunk.into_bytes())]
    })
    .await;
    let taken = taken_for_a_caller_that_does_not_read("/fragile/x", &endpoint).await;
    assert!(taken <= TAKEN_MAX_BYTES, "{taken} bytes");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_long_body_without_length_that_ends_is_passed_on_whole() {
    const LENGTH: usize = 3 << 20;
    let endpoint = Endpoint::start(|_, seen| {
        let attempt = seen.header("attempt").unwrap_or_default();
        vec![Step::Send(signed_head(&attempt, "")), Step::Send(b"x".repeat(LENGTH)), Step::Close]
    })
    .await;
    let world = World::start().await;
    world.announce("a", "plain", &endpoint).await;
    let reply = world.ask(&get("/safe/x", "t1", "")).await;
    let body = reply.split_once("\r\n\r\n").map(|(_, body)| body).unwrap_or_default();
    assert_eq!(body.matches('x').count(), LENGTH);
    assert!(reply.ends_with("\r\n0\r\n\r\n"), "the end of the body is missing");
}

/// The time after which the routes of the tests end a stream by themselves.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(20);

/// The callers whose streams stop within an event.
const CALLERS: usize = 80;

/// The size of the incomplete event of each stream, in bytes; below the limit of one event.
const INCOMPLETE_EVENT_BYTES: usize = 900 << 10;

// Guards against many endpoints that together fill the memory of an instance with events that do not
// end, so that the requests of other callers end with it.
#[tokio::test(flavor = "multi_thread")]
async fn incomplete_events_of_many_streams_take_bounded_memory() {
    let endpoint = Endpoint::start(|_, seen| {
        let attempt = seen.header("attempt").unwrap_or_default();
        let event = chunk(&"x".repeat(INCOMPLETE_EVENT_BYTES));
        vec![Step::Send(stream_head(&attempt)), Step::Send(event), Step::Hang]
    })
    .await;
    let world = World::start().await;
    world.announce("b", "engines", &endpoint).await;
    let budget = world.entry.cx.memory.limits().budget_bytes() as usize;
    assert!(CALLERS * INCOMPLETE_EVENT_BYTES > budget, "the streams exceed the budget");
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let mut caller = world.connect().await;
        let req = get("/fragile/x", &format!("t{number}"), "");
        caller.write_all(req.as_bytes()).await.expect("sent");
        callers.push(caller);
    }
    wait_for("all requests", || endpoint.seen().len() == CALLERS).await;
    let bounded = || (CALLERS - endpoint.closed()) * INCOMPLETE_EVENT_BYTES <= budget;
    let ended = wait_for("the end of the streams for which there is no memory", bounded);
    let ended = tokio::time::timeout(ROUTE_TIMEOUT / 2, ended).await;
    assert!(ended.is_ok(), "{} streams are open", CALLERS - endpoint.closed());
    assert!(endpoint.closed() < CALLERS, "those for which there is memory go on");
}
