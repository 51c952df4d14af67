//! Tests of event streams that are interrupted and resumed.

use std::time::Duration;

use crate::roles::tests::endpoint::Endpoint;
use crate::roles::tests::endpoint::Seen;
use crate::roles::tests::endpoint::Step;
use crate::roles::tests::endpoint::chunk;
use crate::roles::tests::endpoint::event;
use crate::roles::tests::endpoint::last_chunk;
use crate::roles::tests::endpoint::stream_head;
use crate::roles::tests::world::World;
use crate::roles::tests::world::event_ids;
use crate::roles::tests::world::post;
use crate::test_support::wait_for;

/// Pause between two events of a slow stream; longer than the target of the route.
const SLOW_GAP: Duration = Duration::from_millis(700);

/// Number of events in a complete stream.
const EVENTS: u64 = 6;

/// Sends the events after the request's `last-event`, up to the end of the stream.
fn remaining_events(seen: &Seen) -> Vec<Step> {
    let attempt = seen.header("attempt").unwrap_or_default();
    let after = seen.header("last-event").and_then(|id| id.parse().ok()).unwrap_or(0);
    let mut bytes = stream_head(&attempt);
    for id in after + 1..=EVENTS {
        bytes.extend(chunk(&event(id)));
    }
    bytes.extend(last_chunk());
    vec![Step::Send(bytes)]
}

/// Sends three events and a part of the fourth, then closes the connection.
fn truncated_stream(seen: &Seen) -> Vec<Step> {
    let attempt = seen.header("attempt").unwrap_or_default();
    let mut bytes = stream_head(&attempt);
    for id in 1..=3 {
        bytes.extend(chunk(&event(id)));
    }
    bytes.extend(chunk("id: 4\ndata: pie"));
    vec![Step::Send(bytes), Step::Close]
}

#[tokio::test]
async fn a_stream_that_breaks_within_an_event_goes_on_without_loss_or_repetition() {
    let world = World::start().await;
    let endpoint = Endpoint::start(|number, seen| match number {
        0 => truncated_stream(seen),
        _ => remaining_events(seen),
    })
    .await;
    world.announce("a", "engines", &endpoint).await;
    let reply = world.ask(&post("/stream/x", "t1", "", "prompt")).await;
    assert_eq!(event_ids(&reply), [1, 2, 3, 4, 5, 6], "{reply}");
    assert!(reply.ends_with("0\r\n\r\n"), "{reply}");
    let seen = endpoint.seen();
    assert_eq!(seen.len(), 2);
    assert_eq!(seen[1].header("last-event").as_deref(), Some("3"));
    assert_eq!(seen[1].body, b"prompt");
}

#[tokio::test]
async fn a_stream_that_must_not_repeat_does_not_look_complete_when_it_breaks() {
    let world = World::start().await;
    let endpoint = Endpoint::start(|_, seen| truncated_stream(seen)).await;
    world.announce("a", "engines", &endpoint).await;
    let reply = world.ask(&post("/fragile/x", "t1", "", "prompt")).await;
    assert_eq!(event_ids(&reply), [1, 2, 3], "{reply}");
    assert!(!reply.ends_with("0\r\n\r\n"), "{reply}");
    assert_eq!(endpoint.seen().len(), 1);
}

#[tokio::test]
async fn events_that_the_caller_has_are_not_repeated_by_an_endpoint_that_starts_anew() {
    let world = World::start().await;
    let endpoint = Endpoint::start(|_, seen| {
        let without = Seen { head: seen.head.replace("last-event", "ignored"), ..seen.clone() };
        remaining_events(&without)
    })
    .await;
    world.announce("a", "engines", &endpoint).await;
    let reply = world.ask(&post("/stream/x", "t1", "last-event: 4\r\n", "prompt")).await;
    assert_eq!(event_ids(&reply), [5, 6], "{reply}");
}

#[tokio::test]
async fn the_turns_of_a_program_go_to_one_engine() {
    let world = World::start().await;
    let mut engines = Vec::new();
    for name in ["a", "b", "c", "d"] {
        let engine = Endpoint::start(|_, seen| remaining_events(seen)).await;
        world.announce(name, "engines", &engine).await;
        engines.push(engine);
    }
    for attempt in 0..8 {
        let more = "program: p1\r\n";
        world.ask(&post("/stream/x", &format!("t{attempt}"), more, "prompt")).await;
    }
    let counts: Vec<usize> = engines.iter().map(|engine| engine.seen().len()).collect();
    assert_eq!(counts.iter().max(), Some(&8), "{counts:?}");
}

#[tokio::test]
async fn a_slow_stream_is_passed_on_whole() {
    let world = World::start().await;
    let endpoint = Endpoint::start(|_, seen| {
        let attempt = seen.header("attempt").unwrap_or_default();
        let mut steps = vec![Step::Send(stream_head(&attempt))];
        for id in 1..=EVENTS {
            steps.extend([Step::Wait(SLOW_GAP), Step::Send(chunk(&event(id)))]);
        }
        steps.push(Step::Send(last_chunk()));
        steps
    })
    .await;
    world.announce("a", "engines", &endpoint).await;
    let reply = world.ask(&post("/fragile/x", "t1", "deadline: 15000\r\n", "prompt")).await;
    assert_eq!(event_ids(&reply), [1, 2, 3, 4, 5, 6], "{reply}");
    assert!(reply.ends_with("0\r\n\r\n"), "{reply}");
}

// The bytes that still arrive do not extend the time that the stream may take.
#[tokio::test]
async fn a_stream_that_sends_single_bytes_without_an_event_ends_at_the_deadline() {
    let world = World::start().await;
    let endpoint = Endpoint::start(|_, seen| {
        let attempt = seen.header("attempt").unwrap_or_default();
        let mut steps = vec![Step::Send(stream_head(&attempt)), Step::Send(chunk(&event(1)))];
        // Longer than the test may take.
        for _ in 0..2_000 {
            steps.extend([Step::Wait(Duration::from_millis(50)), Step::Send(chunk(":"))]);
        }
        steps
    })
    .await;
    world.announce("a", "engines", &endpoint).await;
    let reply = world.ask(&post("/stream/x", "t1", "deadline: 600\r\n", "prompt")).await;
    assert_eq!(event_ids(&reply), [1], "{reply}");
    assert!(!reply.ends_with("0\r\n\r\n"), "it does not look complete: {reply}");
    wait_for("the end of the connection to the endpoint", || endpoint.closed() == 1).await;
}

/// What the caller must not find in its stream.
const FOREIGN: &str = "foreign text";

/// Returns the head of an answer with the attempt of a request and a signature.
fn signed_head(seen: &Seen, status: &str, more: &str) -> Vec<u8> {
    let attempt = seen.header("attempt").unwrap_or_default();
    format!("HTTP/1.1 {status}\r\nattempt: {attempt}\r\nsigned: yes\r\n{more}\r\n").into_bytes()
}

/// Returns an answer whose body is `body`.
fn whole(seen: &Seen, status: &str, content_type: &str, body: &str) -> Vec<Step> {
    let more = format!("content-type: {content_type}\r\ncontent-length: {}\r\n", body.len());
    vec![Step::Send([signed_head(seen, status, &more), body.as_bytes().to_vec()].concat())]
}

/// An answer of the next endpoint that does not continue the stream.
type WrongAnswer = fn(&Seen) -> Vec<Step>;

const EVENT_STREAM: &str = "text/event-stream";

const WRONG_ANSWERS: [(&str, WrongAnswer); 12] = [
    ("500", |seen| whole(seen, "500 Failed", "text/plain", &format!("{FOREIGN}\n\n"))),
    ("500 with an event", |seen| {
        whole(seen, "500 Failed", EVENT_STREAM, &format!("id: 4\ndata: {FOREIGN}\n\n"))
    }),
    ("503, not run", |seen| {
        let more = format!("not-run: 1\r\ncontent-length: {}\r\n", FOREIGN.len());
        let head = signed_head(seen, "503 Busy", &more);
        vec![Step::Send([head, FOREIGN.as_bytes().to_vec()].concat())]
    }),
    ("200, plain", |seen| whole(seen, "200 OK", "text/plain", &format!("{FOREIGN}\n\n"))),
    ("200, plain with an event", |seen| {
        whole(seen, "200 OK", "application/json", &format!("id: 4\ndata: {FOREIGN}\n\n"))
    }),
    ("200, no content", |seen| whole(seen, "200 OK", "text/plain", "")),
    ("a gap", |seen| whole(seen, "200 OK", EVENT_STREAM, &format!("id: 6\ndata: {FOREIGN}\n\n"))),
    ("no id", |seen| whole(seen, "200 OK", EVENT_STREAM, &format!("data: {FOREIGN}\n\n"))),
    ("an error and no id", |seen| {
        let error = format!("event: error\ndata: {FOREIGN}\n\n");
        whole(seen, "200 OK", EVENT_STREAM, &format!("{}{error}", event(3)))
    }),
    ("an earlier end", |seen| {
        whole(seen, "200 OK", EVENT_STREAM, &format!("{}{}", event(1), event(2)))
    }),
    ("204", |seen| vec![Step::Send(signed_head(seen, "204 No Content", ""))]),
    ("206", |seen| whole(seen, "206 Partial Content", EVENT_STREAM, &event(4))),
];

// Guards against an answer that does not continue a stream being found in the stream, or taken for
// its end.
#[tokio::test]
async fn a_stream_is_broken_off_when_the_next_answer_does_not_continue_it() {
    for (name, wrong) in WRONG_ANSWERS {
        let world = World::start().await;
        let endpoint = Endpoint::start(move |number, seen| match number {
            0 => truncated_stream(seen),
            _ => wrong(seen),
        })
        .await;
        world.announce("a", "engines", &endpoint).await;
        let reply = world.ask(&post("/stream/x", "t1", "deadline: 3000\r\n", "prompt")).await;
        assert_eq!(event_ids(&reply), [1, 2, 3], "{name}: {reply}");
        assert!(!reply.contains(FOREIGN), "{name}: {reply}");
        assert_eq!(reply.matches("HTTP/1.1").count(), 1, "{name}: {reply}");
        assert!(!reply.ends_with("0\r\n\r\n"), "{name}: {reply}");
        assert!(endpoint.seen().len() >= 2, "{name}: the stream was to be resumed");
    }
}

// Guards against a stream that lost just its end being broken off for good.
#[tokio::test]
async fn a_stream_that_lacks_only_its_end_is_complete_when_nothing_follows() {
    for events in [vec![], vec![3], vec![1, 2, 3]] {
        let world = World::start().await;
        let endpoint = Endpoint::start(move |number, seen| match number {
            0 => truncated_stream(seen),
            _ => {
                let body: String = events.iter().map(|id| event(*id)).collect();
                whole(seen, "200 OK", "text/event-stream; charset=utf-8", &body)
            }
        })
        .await;
        world.announce("a", "engines", &endpoint).await;
        let reply = world.ask(&post("/stream/x", "t1", "", "prompt")).await;
        assert_eq!(event_ids(&reply), [1, 2, 3], "{reply}");
        assert!(reply.ends_with("0\r\n\r\n"), "{reply}");
    }
}

// Guards against events that are passed on twice because they have no ID to resume after.
#[tokio::test]
async fn a_stream_whose_events_have_no_ids_is_not_resumed() {
    let world = World::start().await;
    let endpoint = Endpoint::start(|_, seen| {
        let attempt = seen.header("attempt").unwrap_or_default();
        let bytes = [stream_head(&attempt), chunk("data: one\n\n"), chunk("data: tw")].concat();
        vec![Step::Send(bytes), Step::Close]
    })
    .await;
    world.announce("a", "engines", &endpoint).await;
    let reply = world.ask(&post("/stream/x", "t1", "deadline: 1000\r\n", "prompt")).await;
    assert_eq!(reply.matches("data: one").count(), 1, "{reply}");
    assert!(!reply.ends_with("0\r\n\r\n"), "{reply}");
    assert_eq!(endpoint.seen().len(), 1);
}

/// Returns the answers that end in order within the fourth event: in chunks, with a length, and with
/// their connection.
fn ended_within_event(seen: &Seen) -> [Vec<Step>; 3] {
    let attempt = seen.header("attempt").unwrap_or_default();
    let part = "id: 4\ndata: pie\n";
    let events: String = (1..=3).map(event).collect();
    let body = format!("{events}{part}");
    let chunked = [stream_head(&attempt), chunk(&events), chunk(part), last_chunk()].concat();
    let head = signed_head(seen, "200 OK", "content-type: text/event-stream\r\n");
    let until_close = [head, body.as_bytes().to_vec()].concat();
    [
        vec![Step::Send(chunked)],
        whole(seen, "200 OK", EVENT_STREAM, &body),
        vec![Step::Send(until_close), Step::Close],
    ]
}

// Guards against a stream that ends in order within an event being taken for complete, or the part
// of the event being passed on.
#[tokio::test]
async fn a_stream_that_ends_in_order_within_an_event_is_not_complete() {
    for framing in 0..3 {
        let world = World::start().await;
        let endpoint = Endpoint::start(move |number, seen| match (number, seen.path()) {
            (0, _) | (_, "/fragile/x") => {
                ended_within_event(seen).into_iter().nth(framing).expect("an answer")
            }
            _ => remaining_events(seen),
        })
        .await;
        world.announce("a", "engines", &endpoint).await;
        let reply = world.ask(&post("/stream/x", "t1", "", "prompt")).await;
        assert_eq!(event_ids(&reply), [1, 2, 3, 4, 5, 6], "framing {framing}: {reply}");
        assert!(!reply.contains("pie\n"), "framing {framing}: {reply}");
        assert!(reply.ends_with("0\r\n\r\n"), "framing {framing}: {reply}");
        assert_eq!(endpoint.seen().len(), 2, "framing {framing}");
        let reply = world.ask(&post("/fragile/x", "t2", "", "prompt")).await;
        assert_eq!(event_ids(&reply), [1, 2, 3], "framing {framing}: {reply}");
        assert!(!reply.contains("pie\n"), "framing {framing}: {reply}");
        assert!(!reply.ends_with("0\r\n\r\n"), "framing {framing}: {reply}");
        assert_eq!(endpoint.seen().len(), 3, "framing {framing}");
    }
}

// Guards against a stream that is resumed without end at an endpoint that breaks it off each time.
#[tokio::test]
async fn a_stream_that_breaks_without_a_new_event_is_resumed_a_few_times_only() {
    let world = World::start().await;
    let endpoint = Endpoint::start(|_, seen| truncated_stream(seen)).await;
    world.announce("a", "engines", &endpoint).await;
    let reply = world.ask(&post("/stream/x", "t1", "deadline: 2000\r\n", "prompt")).await;
    assert!(!reply.ends_with("0\r\n\r\n"), "{reply}");
    let sends = endpoint.seen().len();
    assert!(sends <= 10, "{sends} sends of one request");
}
