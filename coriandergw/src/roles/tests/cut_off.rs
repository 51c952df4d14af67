//! Tests of answers that are cut off at any byte, and of answers that end with their connection.

use crate::roles::tests::endpoint::Endpoint;
use crate::roles::tests::endpoint::Seen;
use crate::roles::tests::endpoint::Step;
use crate::roles::tests::endpoint::answer;
use crate::roles::tests::endpoint::chunk;
use crate::roles::tests::endpoint::event;
use crate::roles::tests::endpoint::stream_head;
use crate::roles::tests::world::World;
use crate::roles::tests::world::event_ids;
use crate::roles::tests::world::get;
use crate::roles::tests::world::post;
use crate::roles::tests::world::status;
use crate::test_support::wait_for;

/// Number of events in a complete stream.
const EVENTS: u64 = 3;

/// The length of a body that is passed through and not buffered, in bytes.
const LONG_BODY_BYTES: usize = 3 << 20;

/// Returns the head of a signed answer without a length that is not in chunks.
fn unframed_head(attempt: &str, version: &str, more: &str) -> Vec<u8> {
    format!("{version} 200 OK\r\nattempt: {attempt}\r\nsigned: yes\r\n{more}\r\n").into_bytes()
}

/// Returns the attempt of a request, which is a number of digits that does not change with it.
fn numbered(number: usize) -> String {
    format!("t{number:04}")
}

fn number_of(seen: &Seen) -> usize {
    let attempt = seen.header("attempt").unwrap_or_default();
    attempt.trim_start_matches('t').parse().expect("a number")
}

fn with_length(attempt: &str) -> Vec<u8> {
    answer(attempt, "body")
}

fn in_chunks(attempt: &str) -> Vec<u8> {
    let head = unframed_head(attempt, "HTTP/1.1", "transfer-encoding: chunked\r\n");
    let body = "x".repeat(20);
    [head, chunk(&body), b"0\r\nchecksum: 1\r\n\r\n".to_vec()].concat()
}

fn without_length(attempt: &str) -> Vec<u8> {
    unframed_head(attempt, "HTTP/1.1", "")
}

fn old_without_length(attempt: &str) -> Vec<u8> {
    unframed_head(attempt, "HTTP/1.0", "")
}

fn event_stream(attempt: &str) -> Vec<u8> {
    let events = (1..=EVENTS).flat_map(|id| chunk(&event(id)));
    [stream_head(attempt), events.collect(), b"0\r\nchecksum: 1\r\n\r\n".to_vec()].concat()
}

/// Starts an endpoint that cuts off its answer after as many bytes as the attempt's number says;
/// it answers `/safe/` completely at the second time.
async fn cutting(whole: fn(&str) -> Vec<u8>, end: fn() -> Step) -> Endpoint {
    let asked = std::sync::Mutex::new(std::collections::HashSet::new());
    Endpoint::start(move |_, seen| {
        let mut bytes = whole(&seen.header("attempt").unwrap_or_default());
        let is_first = asked.lock().expect("not poisoned").insert(number_of(seen));
        if is_first || !seen.path().starts_with("/safe/") {
            bytes.truncate(number_of(seen));
        }
        vec![Step::Send(bytes), end()]
    })
    .await
}

// Guards against a part of an answer being passed on as a whole one, wherever it was cut off.
#[tokio::test]
async fn an_answer_that_is_cut_off_at_any_byte_is_lost() {
    for whole in [with_length, in_chunks, without_length, old_without_length] {
        for end in [|| Step::Close, || Step::Reset] {
            let world = World::start().await;
            let endpoint = cutting(whole, end).await;
            world.announce("a", "plain", &endpoint).await;
            let length = whole(&numbered(0)).len();
            for cut in 0..length {
                let reply = world.ask(&post("/once/x", &numbered(cut), "", "pay")).await;
                assert_eq!(status(&reply), "502", "cut after {cut} of {length}: {reply}");
                assert!(reply.contains("\"not_run\":false"), "cut after {cut}: {reply}");
            }
            assert_eq!(endpoint.seen().len(), length);
        }
    }
}

#[tokio::test]
async fn an_answer_that_is_cut_off_at_any_byte_is_asked_for_again() {
    for whole in [with_length, in_chunks] {
        let world = World::start().await;
        let endpoint = cutting(whole, || Step::Close).await;
        world.announce("a", "plain", &endpoint).await;
        let length = whole(&numbered(0)).len();
        for cut in 0..length {
            let reply = world.ask(&get("/safe/x", &numbered(cut), "")).await;
            assert_eq!(status(&reply), "200", "cut after {cut} of {length}: {reply}");
            let is_whole = reply.ends_with("body") || reply.contains(&"x".repeat(20));
            assert!(is_whole, "cut after {cut} of {length}: {reply}");
        }
    }
}

// Guards against a stream that is cut off in its head, a chunk's size or the trailers and looks
// complete.
#[tokio::test]
async fn a_stream_that_is_cut_off_at_any_byte_does_not_look_complete() {
    for end in [|| Step::Close, || Step::Reset] {
        let world = World::start().await;
        let endpoint = cutting(event_stream, end).await;
        world.announce("a", "engines", &endpoint).await;
        let head = stream_head(&numbered(0)).len();
        let length = event_stream(&numbered(0)).len();
        for cut in 0..length {
            let reply = world.ask(&post("/fragile/x", &numbered(cut), "", "prompt")).await;
            assert!(!reply.ends_with("0\r\n\r\n"), "cut after {cut} of {length}: {reply}");
            if cut < head {
                assert_eq!(status(&reply), "502", "cut after {cut} of {length}: {reply}");
            }
            let ids = event_ids(&reply);
            assert!(ids.iter().copied().eq(1..=ids.len() as u64), "cut after {cut}: {reply}");
            assert_eq!(reply.matches("data: piece").count(), ids.len(), "cut after {cut}: {reply}");
        }
        assert_eq!(endpoint.seen().len(), length);
    }
}

/// Starts an endpoint whose answers end with their connection, after an event stream on stream
/// routes and a long body at `/safe/long`.
async fn without_framing(version: &'static str, end: fn() -> Vec<Step>) -> Endpoint {
    Endpoint::start(move |number, seen| {
        let attempt = seen.header("attempt").unwrap_or_default();
        let (more, body) = match seen.path() {
            "/safe/long" => ("", "x".repeat(LONG_BODY_BYTES)),
            "/stream/x" | "/fragile/x" => {
                ("content-type: text/event-stream\r\n", (1..=EVENTS).map(event).collect())
            }
            _ => ("", "the body".to_owned()),
        };
        let mut steps =
            vec![Step::Send(unframed_head(&attempt, version, more)), Step::Send(body.into_bytes())];
        // The stream can be resumed only from an endpoint that ends it in order.
        match (seen.path(), number) {
            ("/stream/x", 1..) => steps.push(Step::Close),
            _ => steps.extend(end()),
        }
        steps
    })
    .await
}

// Guards against an answer that ends with its connection being lost, cut short, or its connection
// used again.
#[tokio::test]
async fn an_answer_that_ends_with_its_connection_is_passed_on_whole() {
    for version in ["HTTP/1.1", "HTTP/1.0"] {
        for end in [|| vec![Step::Close], || vec![Step::EndSending]] {
            let world = World::start().await;
            let endpoint = without_framing(version, end).await;
            world.announce("a", "plain", &endpoint).await;
            world.announce("b", "engines", &endpoint).await;
            for (closed, path) in
                ["/once/x", "/safe/x", "/safe/long", "/fragile/x"].into_iter().enumerate()
            {
                let reply = world.ask(&post(path, &format!("t{closed}"), "", "pay")).await;
                assert_eq!(status(&reply), "200", "{path}: {reply}");
                assert!(reply.contains("signed: yes"), "{path}: {reply}");
                let (_, body) = reply.split_once("\r\n\r\n").expect("a body");
                match path {
                    "/safe/long" => {
                        assert_eq!(body.matches('x').count(), LONG_BODY_BYTES);
                        assert!(reply.ends_with("\r\n0\r\n\r\n"), "the end is missing");
                    }
                    "/fragile/x" => {
                        assert_eq!(event_ids(body), [1, 2, 3], "{reply}");
                        assert!(reply.ends_with("\r\n0\r\n\r\n"), "{reply}");
                    }
                    _ => {
                        assert_eq!(body, "the body", "{path}");
                        assert!(reply.contains("content-length: 8"), "{path}: {reply}");
                    }
                }
                wait_for("the end of the connection", || endpoint.closed() > closed).await;
            }
            assert_eq!(endpoint.seen().len(), 4);
        }
    }
}

// Guards against an answer without a length whose connection is reset and that looks complete.
#[tokio::test]
async fn an_answer_without_length_whose_connection_is_reset_is_not_complete() {
    for version in ["HTTP/1.1", "HTTP/1.0"] {
        let world = World::start().await;
        let endpoint = without_framing(version, || vec![Step::Reset]).await;
        world.announce("a", "plain", &endpoint).await;
        world.announce("b", "engines", &endpoint).await;
        let reply = world.ask(&post("/once/x", "t1", "", "pay")).await;
        assert_eq!(status(&reply), "502", "{reply}");
        let reply = world.ask(&get("/safe/long", "t2", "")).await;
        assert!(!reply.ends_with("0\r\n\r\n"), "the answer looks complete");
        let reply = world.ask(&post("/fragile/x", "t3", "", "prompt")).await;
        assert!(!reply.ends_with("0\r\n\r\n"), "{reply}");
    }
}

// Guards against a resumable stream without a length whose reset is taken for its end.
#[tokio::test]
async fn a_stream_without_length_whose_connection_is_reset_is_resumed() {
    let world = World::start().await;
    let endpoint = without_framing("HTTP/1.1", || vec![Step::Reset]).await;
    world.announce("a", "engines", &endpoint).await;
    let reply = world.ask(&post("/stream/x", "t1", "", "prompt")).await;
    assert_eq!(event_ids(&reply), [1, 2, 3], "{reply}");
    assert!(reply.ends_with("0\r\n\r\n"), "{reply}");
    assert_eq!(endpoint.seen().len(), 2);
}

// Guards against the reuse of a connection that its endpoint, which speaks HTTP/1.0, is to close.
#[tokio::test]
async fn the_connection_of_an_old_endpoint_is_closed_after_an_answer_with_a_length() {
    let world = World::start().await;
    let endpoint = Endpoint::start(|_, seen| {
        let attempt = seen.header("attempt").unwrap_or_default();
        let head = unframed_head(&attempt, "HTTP/1.0", "content-length: 4\r\n");
        vec![Step::Send([head, b"body".to_vec()].concat())]
    })
    .await;
    world.announce("a", "plain", &endpoint).await;
    for closed in 1..=3 {
        let reply = world.ask(&post("/once/x", &format!("t{closed}"), "", "pay")).await;
        assert!(reply.ends_with("body"), "{reply}");
        wait_for("the end of the connection", || endpoint.closed() == closed).await;
    }
}

// Guards against a switch of protocols that nobody asked for being passed on to the caller.
#[tokio::test]
async fn a_switch_of_protocols_is_no_answer() {
    let world = World::start().await;
    let endpoint = Endpoint::start(|_, seen| {
        let attempt = seen.header("attempt").unwrap_or_default();
        let head = format!(
            "HTTP/1.1 101 Switching Protocols\r\nattempt: {attempt}\r\nsigned: yes\r\n\
             upgrade: other\r\nconnection: upgrade\r\n\r\n"
        );
        vec![Step::Send(head.into_bytes()), Step::Send(b"0\r\n\r\n".to_vec())]
    })
    .await;
    world.announce("a", "plain", &endpoint).await;
    let reply = world.ask(&post("/once/x", "t1", "", "pay")).await;
    assert_eq!(status(&reply), "502", "{reply}");
}
