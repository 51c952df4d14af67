//! Tests with faulty endpoints: truncated, duplicate, misattributed, unsigned and non-HTTP answers.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::roles::tests::endpoint::Endpoint;
use crate::roles::tests::endpoint::Seen;
use crate::roles::tests::endpoint::Step;
use crate::roles::tests::endpoint::answer;
use crate::roles::tests::endpoint::chunk;
use crate::roles::tests::endpoint::last_chunk;
use crate::roles::tests::endpoint::stream_head;
use crate::roles::tests::world::World;
use crate::roles::tests::world::get;
use crate::roles::tests::world::post;
use crate::roles::tests::world::status;

/// Starts an endpoint that is faulty on the first request and answers all others correctly.
async fn faulty_first(fault: fn(&str) -> Vec<Step>) -> Endpoint {
    Endpoint::start(move |number, seen| {
        let attempt = seen.header("attempt").unwrap_or_default();
        match number {
            0 => fault(&attempt),
            _ => vec![Step::Send(answer(&attempt, &format!("good {attempt}")))],
        }
    })
    .await
}

fn truncated(attempt: &str) -> Vec<Step> {
    let mut bytes = answer(attempt, "good but cut");
    bytes.truncate(bytes.len() - 4);
    vec![Step::Send(bytes), Step::Close]
}

fn not_http(_attempt: &str) -> Vec<Step> {
    vec![Step::Send(b"\x16\x03\x01 this is no answer\r\n\r\n".to_vec()), Step::Close]
}

fn wrong_attempt(_attempt: &str) -> Vec<Step> {
    vec![Step::Send(answer("somebody-else", "good but foreign"))]
}

fn reset(_attempt: &str) -> Vec<Step> {
    vec![Step::Reset]
}

fn unsigned(attempt: &str) -> Vec<Step> {
    let head = format!("HTTP/1.1 200 OK\r\nattempt: {attempt}\r\ncontent-length: 4\r\n\r\nfake");
    vec![Step::Send(head.into_bytes())]
}

fn without_attempt(_attempt: &str) -> Vec<Step> {
    let head = "HTTP/1.1 200 OK\r\nsigned: yes\r\ncontent-length: 4\r\n\r\nfake";
    vec![Step::Send(head.as_bytes().to_vec())]
}

const FAULTS: [fn(&str) -> Vec<Step>; 6] =
    [truncated, not_http, wrong_attempt, reset, unsigned, without_attempt];

#[tokio::test]
async fn an_idempotent_request_is_repeated_until_its_own_whole_answer_comes() {
    for fault in FAULTS {
        let world = World::start().await;
        let endpoint = faulty_first(fault).await;
        world.announce("a", "plain", &endpoint).await;
        let reply = world.ask(&get("/safe/x", "t1", "")).await;
        assert!(reply.ends_with("good t1"), "{reply}");
        assert_eq!(endpoint.seen().len(), 2);
    }
}

#[tokio::test]
async fn a_request_that_must_not_repeat_is_sent_once_and_never_said_not_to_have_run() {
    for fault in FAULTS {
        let world = World::start().await;
        let endpoint = faulty_first(fault).await;
        world.announce("a", "plain", &endpoint).await;
        let reply = world.ask(&post("/once/x", "t1", "", "pay")).await;
        assert_eq!(status(&reply), "502", "{reply}");
        assert!(reply.contains("\"not_run\":false"), "{reply}");
        assert_eq!(endpoint.seen().len(), 1);
    }
}

#[tokio::test]
async fn bytes_after_an_answer_are_not_used_for_the_next_request() {
    let world = World::start().await;
    let endpoint = faulty_first(|attempt| {
        let mut bytes = answer(attempt, "first");
        bytes.extend(answer(attempt, "extra"));
        vec![Step::Send(bytes)]
    })
    .await;
    world.announce("a", "plain", &endpoint).await;
    let first = world.ask(&post("/once/x", "t1", "", "pay")).await;
    assert!(first.ends_with("first"), "{first}");
    let second = world.ask(&get("/safe/x", "t2", "")).await;
    assert!(second.ends_with("good t2"), "{second}");
}

// A second copy of an answer comes late, when the connection already carries the next request.
#[tokio::test]
async fn a_late_second_copy_of_an_answer_does_not_reach_the_next_caller() {
    for states_attempt in [true, false] {
        let world = World::start().await;
        let endpoint = Endpoint::start(move |number, seen| {
            let attempt = seen.header("attempt").unwrap_or_default();
            let copy = match states_attempt {
                true => answer("t1", "of t1"),
                false => {
                    b"HTTP/1.1 200 OK\r\nsigned: yes\r\ncontent-length: 5\r\n\r\nof t1".to_vec()
                }
            };
            match number {
                1 => vec![Step::Send(copy), Step::Send(answer(&attempt, "of t2"))],
                _ => vec![Step::Send(answer(&attempt, &format!("of {attempt}")))],
            }
        })
        .await;
        world.announce("a", "plain", &endpoint).await;
        let first = world.ask(&get("/safe/x", "t1", "")).await;
        assert!(first.ends_with("of t1"), "{first}");
        let second = world.ask(&get("/safe/x", "t2", "")).await;
        assert!(second.ends_with("of t2"), "{second}");
        assert_eq!(endpoint.seen().len(), 3, "the second request was sent again");
    }
}

/// The status lines and headers of refusals and failures that an endpoint writes.
const REFUSALS: [&str; 6] = [
    "503 Busy\r\nnot-run: 1",
    "429 Slow Down\r\nnot-run: 1",
    "421 Misdirected\r\nnot-run: 1",
    "400 Bad\r\nnot-run: 1",
    "503 Busy",
    "500 Failed",
];

/// Returns a refusal that states the attempt of another request or none.
fn refusal_of(refusal: &str, attempt: Option<&str>) -> Vec<u8> {
    let attempt = attempt.map(|attempt| format!("attempt: {attempt}\r\n")).unwrap_or_default();
    format!("HTTP/1.1 {refusal}\r\n{attempt}content-length: 0\r\n\r\n").into_bytes()
}

/// Returns a whole answer to a request, an event stream where the route has those.
fn whole_answer(seen: &Seen) -> Vec<u8> {
    let attempt = seen.header("attempt").unwrap_or_default();
    match seen.path() {
        "/fragile/x" | "/stream/x" => {
            [stream_head(&attempt), chunk(&format!("id: 1\ndata: of {attempt}\n\n")), last_chunk()]
                .concat()
        }
        _ => answer(&attempt, &format!("of {attempt}")),
    }
}

// Guards against a late copy of an earlier refusal that is taken for the answer to a request that
// the endpoint runs: told as not run, or run a second time.
#[tokio::test]
async fn a_late_copy_of_a_refusal_is_not_the_answer_to_the_next_request() {
    for path in ["/once/x", "/fragile/x"] {
        for (refusal, attempt) in REFUSALS.iter().flat_map(|one| [(one, None), (one, Some("t1"))]) {
            let world = World::start().await;
            let endpoint = Endpoint::start(move |number, seen| match number {
                1 => vec![Step::Send(refusal_of(refusal, attempt)), Step::Send(whole_answer(seen))],
                _ => vec![Step::Send(whole_answer(seen))],
            })
            .await;
            world.announce("a", "plain", &endpoint).await;
            world.announce("b", "engines", &endpoint).await;
            let first = world.ask(&post(path, "t1", "", "pay")).await;
            assert!(first.contains("of t1"), "{first}");
            let second = world.ask(&post(path, "t2", "", "pay")).await;
            assert_eq!(status(&second), "502", "{path}, {refusal}, {attempt:?}: {second}");
            assert!(second.contains("\"not_run\":false"), "{path}, {refusal}: {second}");
            assert_eq!(endpoint.seen().len(), 2, "{path}, {refusal}, {attempt:?}");
        }
    }
}

// Guards against a copy of a refusal that arrives around the time at which the next request is
// written, before or after it.
#[tokio::test]
async fn a_copy_of_a_refusal_on_an_idle_connection_is_not_the_answer_to_the_next_request() {
    for pause in [0, 0, 0, 0, 1, 1, 2, 3, 5, 30].map(Duration::from_millis) {
        for refusal in REFUSALS {
            let world = World::start().await;
            let endpoint = Endpoint::start(move |number, seen| match number {
                0 => vec![Step::Send(whole_answer(seen)), Step::Send(refusal_of(refusal, None))],
                _ => vec![Step::Send(whole_answer(seen))],
            })
            .await;
            world.announce("a", "plain", &endpoint).await;
            world.ask(&post("/once/x", "t1", "", "pay")).await;
            tokio::time::sleep(pause).await;
            let second = world.ask(&post("/once/x", "t2", "", "pay")).await;
            let is_own = second.ends_with("of t2") || status(&second) == "502";
            assert!(is_own, "{refusal} after {pause:?}: {second}");
            assert_eq!(endpoint.seen().len(), 2, "{refusal} after {pause:?}: {second}");
        }
    }
}

/// Starts an endpoint that refuses the first `refused` requests as full and runs all others. Before its
/// answer to a request, it sends a copy of what it answered last on the same connection.
async fn copying(refusal: &'static str, refused: usize) -> Endpoint {
    let last_sent: Mutex<HashMap<usize, Vec<u8>>> = Mutex::default();
    Endpoint::start(move |number, seen| {
        let answer = match number < refused {
            true => refusal_of(refusal, seen.header("attempt").as_deref()),
            false => whole_answer(seen),
        };
        let mut last_sent = last_sent.lock().expect("not poisoned");
        let copy = last_sent.insert(seen.connection, answer.clone());
        copy.into_iter().chain([answer]).map(Step::Send).collect()
    })
    .await
}

// Guards against a late copy of a refusal that is taken for the answer when the same attempt is sent
// again on the connection of the refusal: told as not run while it runs, or run twice.
#[tokio::test]
async fn a_late_copy_of_a_refusal_is_not_the_answer_to_the_same_attempt() {
    for path in ["/once/x", "/fragile/x"] {
        for (refusal, refused) in REFUSALS[..4].iter().flat_map(|one| [(one, 1), (one, 2)]) {
            let world = World::start().await;
            let endpoint = copying(refusal, refused).await;
            world.announce("a", "plain", &endpoint).await;
            world.announce("b", "engines", &endpoint).await;
            let reply = world.ask(&post(path, "t1", "", "pay")).await;
            assert!(reply.contains("of t1"), "{path}, {refusal}, {refused}: {reply}");
            let runs = endpoint.seen().len() - refused;
            assert_eq!(runs, 1, "{path}, {refusal}, {refused}");
        }
    }
}

/// Statuses that tell callers that a request has not run, as endpoints write them after they ran it.
const UNPROVEN: [&str; 4] =
    ["408 Request Timeout", "429 Too Many Requests", "503 Unavailable", "421 Misdirected Request"];

/// Returns an answer of an endpoint that does not state that the request has not run.
fn unproven(status_line: &str, attempt: Option<&str>) -> Vec<u8> {
    let attempt = attempt.map(|attempt| format!("attempt: {attempt}\r\n")).unwrap_or_default();
    format!(
        "HTTP/1.1 {status_line}\r\n{attempt}signed: yes\r\nretry-after: 1\r\ncontent-length: 9\r\n\r\n\
         no stores"
    )
    .into_bytes()
}

// Guards against a request that ran and whose caller is told that it has not: a caller sends it again.
#[tokio::test]
async fn a_status_that_promises_is_not_passed_on_for_a_request_that_may_have_run() {
    for path in ["/once/x", "/fragile/x"] {
        for (status_line, attempt) in
            UNPROVEN.iter().flat_map(|one| [(one, None), (one, Some("t1"))])
        {
            let world = World::start().await;
            let endpoint =
                Endpoint::start(move |_, _| vec![Step::Send(unproven(status_line, attempt))]).await;
            world.announce("a", "plain", &endpoint).await;
            world.announce("b", "engines", &endpoint).await;
            let reply = world.ask(&post(path, "t1", "", "pay")).await;
            assert_eq!(status(&reply), "502", "{path}, {status_line}, {attempt:?}: {reply}");
            assert!(reply.contains("\"not_run\":false"), "{path}, {status_line}: {reply}");
            assert!(!reply.contains("signed: ") && !reply.contains("retry-after: "), "{reply}");
            assert_eq!(endpoint.seen().len(), 1, "{path}, {status_line}, {attempt:?}");
        }
    }
}

// Guards against a request that is lost because another endpoint has the address of the one that it was
// sent to, and against one that runs twice since 421 alone was taken for that.
#[tokio::test]
async fn a_421_has_not_run_if_it_names_another_endpoint() {
    for (named, expected, sends) in [("b", "200", 2), ("a", "502", 1)] {
        let world = World::start().await;
        let endpoint = Endpoint::start(move |number, seen| match number {
            0 => {
                let head = format!(
                    "HTTP/1.1 421 Misdirected\r\nanswered-by: {named}\r\ncontent-length: 0\r\n\r\n"
                );
                vec![Step::Send(head.into_bytes())]
            }
            _ => vec![Step::Send(whole_answer(seen))],
        })
        .await;
        world.announce("a", "plain", &endpoint).await;
        let reply = world.ask(&post("/once/x", "t1", "", "pay")).await;
        assert_eq!(status(&reply), expected, "{named}: {reply}");
        assert_eq!(endpoint.seen().len(), sends, "{named}");
    }
}

/// Starts endpoints of both services. The first `failing` requests that reach any of them are answered
/// with `status_line` without proof, all others with a whole answer.
async fn start_unproven(
    world: &World,
    status_line: &'static str,
    count: usize,
    failing: usize,
) -> Vec<Endpoint> {
    let served = Arc::new(AtomicUsize::new(0));
    let mut endpoints = Vec::new();
    for number in 0..count {
        let served = served.clone();
        let endpoint = Endpoint::start(move |_, seen| {
            let is_failing = served.fetch_add(1, Ordering::Relaxed) < failing;
            let attempt = seen.header("attempt");
            vec![Step::Send(match is_failing {
                true => unproven(status_line, attempt.as_deref()),
                false => whole_answer(seen),
            })]
        })
        .await;
        world.announce(&format!("p{number}"), "plain", &endpoint).await;
        world.announce(&format!("e{number}"), "engines", &endpoint).await;
        endpoints.push(endpoint);
    }
    endpoints
}

fn sends(endpoints: &[Endpoint]) -> Vec<usize> {
    endpoints.iter().map(|endpoint| endpoint.seen().len()).collect()
}

// Guards against a failure of one endpoint that reaches a caller whose request another one could serve.
#[tokio::test]
async fn a_repeatable_request_goes_to_another_endpoint_after_a_status_without_proof() {
    for path in ["/safe/x", "/stream/x"] {
        for status_line in UNPROVEN {
            let world = World::start().await;
            let endpoints = start_unproven(&world, status_line, 2, 1).await;
            let reply = world.ask(&post(path, "t1", "", "")).await;
            assert!(reply.contains("of t1"), "{path}, {status_line}: {reply}");
            assert_eq!(sends(&endpoints), [1, 1], "{path}, {status_line}");
        }
    }
}

// Guards against a request that is run again and again because each endpoint fails it, and against a
// status that promises at the end of the attempts.
#[tokio::test]
async fn a_repeatable_request_that_all_endpoints_fail_runs_once_at_as_many_as_the_route_allows() {
    for path in ["/safe/x", "/stream/x"] {
        for (count, ran) in [(1, 1), (2, 2), (4, 2)] {
            let world = World::start().await;
            let endpoints = start_unproven(&world, UNPROVEN[2], count, usize::MAX).await;
            let reply = world.ask(&post(path, "t1", "", "")).await;
            assert_eq!(status(&reply), "502", "{path}, {count}: {reply}");
            assert!(reply.contains("CG-3002"), "{path}, {count}: {reply}");
            assert!(reply.contains("\"not_run\":false"), "{path}, {count}: {reply}");
            let sends = sends(&endpoints);
            assert!(sends.iter().all(|sends| *sends <= 1), "{path}, {count}: {sends:?}");
            assert_eq!(sends.iter().sum::<usize>(), ran, "{path}, {count}");
        }
    }
}

// Guards against a turn that ran and is told that its budget is spent, which also promises that it has
// not run and ends the program.
#[tokio::test]
async fn a_spent_budget_is_never_the_word_of_an_engine() {
    let more = "program: p1\r\nbudget: 1000\r\noutput-max: 10\r\n";
    for (path, more, expected) in
        [("/fragile/x", more, "502"), ("/stream/x", more, "200"), ("/once/x", "", "402")]
    {
        let world = World::start().await;
        start_unproven(&world, "402 Payment Required", 2, 1).await;
        let reply = world.ask(&post(path, "t1", more, "")).await;
        assert_eq!(status(&reply), expected, "{path}: {reply}");
    }
}

// Guards against refusals that do not state the attempt being taken for lost answers although no
// other request was sent on their connection.
#[tokio::test]
async fn a_refusal_without_an_attempt_on_a_new_connection_has_not_run() {
    for refusal in &REFUSALS[..4] {
        let world = World::start().await;
        let endpoint = Endpoint::start(move |number, seen| match number {
            0 => vec![Step::Send(refusal_of(refusal, None))],
            _ => vec![Step::Send(whole_answer(seen))],
        })
        .await;
        world.announce("a", "plain", &endpoint).await;
        let reply = world.ask(&post("/once/x", "t1", "", "pay")).await;
        assert!(reply.ends_with("of t1"), "{refusal}: {reply}");
        assert_eq!(endpoint.seen().len(), 2, "{refusal}");
    }
}

#[tokio::test]
async fn a_refusal_that_has_not_run_goes_to_another_endpoint() {
    let world = World::start().await;
    let refusing = || {
        Endpoint::start(|_, seen| {
            let attempt = seen.header("attempt").unwrap_or_default();
            let head = format!(
                "HTTP/1.1 421 Misdirected\r\nattempt: {attempt}\r\nnot-run: 1\r\n\
                 content-length: 0\r\n\r\n"
            );
            vec![Step::Send(head.into_bytes())]
        })
    };
    let good = Endpoint::start(|_, seen| {
        let attempt = seen.header("attempt").unwrap_or_default();
        vec![Step::Send(answer(&attempt, "good"))]
    })
    .await;
    let (first, second) = (refusing().await, refusing().await);
    world.announce("a", "plain", &first).await;
    world.announce("b", "plain", &second).await;
    world.announce("c", "plain", &good).await;
    for attempt in ["t1", "t2", "t3", "t4"] {
        let reply = world.ask(&post("/once/x", attempt, "", "pay")).await;
        assert!(reply.ends_with("good"), "{reply}");
    }
    assert_eq!(good.seen().len(), 4);
}

#[tokio::test]
async fn an_answer_that_comes_before_the_body_was_read_is_passed_on() {
    let world = World::start().await;
    let endpoint = Endpoint::start(|_, seen| {
        let attempt = seen.header("attempt").unwrap_or_default();
        vec![Step::Send(answer(&attempt, &format!("{} bytes", seen.body.len())))]
    })
    .await;
    world.announce("a", "plain", &endpoint).await;
    let body = "x".repeat(300_000);
    let reply = world.ask(&post("/once/x", "t1", "", &body)).await;
    assert!(reply.ends_with("300000 bytes"), "{reply}");
    let reply = world.ask(&get("/safe/x", "t2", "")).await;
    assert!(reply.ends_with("0 bytes"), "{reply}");
}

#[tokio::test]
async fn a_request_whose_endpoint_is_gone_after_a_lost_send_is_not_said_not_to_have_run() {
    let world = World::start().await;
    let endpoint = Endpoint::start_once(|_, _| vec![Step::Reset]).await;
    world.announce("a", "plain", &endpoint).await;
    let reply = world.ask(&get("/safe/x", "t1", "")).await;
    assert_eq!(endpoint.seen().len(), 1);
    assert!(reply.contains("\"not_run\":false"), "{reply}");
}

/// Sends raw bytes, in which a second request may be smuggled; returns the reply and the paths that
/// reached the endpoint.
async fn reply_and_paths(raw: &str) -> (String, Vec<String>) {
    let world = World::start().await;
    let endpoint = Endpoint::start(|_, seen| {
        let attempt = seen.header("attempt").unwrap_or_default();
        vec![Step::Send(answer(&attempt, "done"))]
    })
    .await;
    world.announce("a", "plain", &endpoint).await;
    let reply = world.ask(raw).await;
    (reply, endpoint.seen().iter().map(|seen| seen.path().to_owned()).collect())
}

#[tokio::test]
async fn a_request_hidden_behind_two_lengths_does_not_run() {
    let hidden =
        "GET /safe/hidden HTTP/1.1\r\nhost: host\r\nattempt: t2\r\nconnection: close\r\n\r\n";
    let head = "POST /once/x HTTP/1.1\r\nhost: host\r\nattempt: t1\r\n";
    let both = format!(
        "{head}content-length: {}\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{hidden}",
        hidden.len() + 5
    );
    let (reply, ran) = reply_and_paths(&both).await;
    assert!(!ran.contains(&"/safe/hidden".to_owned()), "{reply}");
    let two_lengths =
        format!("{head}content-length: 0\r\ncontent-length: {}\r\n\r\n{hidden}", hidden.len());
    let (reply, ran) = reply_and_paths(&two_lengths).await;
    assert!(ran.is_empty(), "{reply}");
}

#[tokio::test]
async fn a_request_hidden_in_a_body_is_part_of_the_body() {
    let hidden = "GET /safe/hidden HTTP/1.1\r\nhost: host\r\nattempt: t2\r\n\r\n";
    let raw = format!(
        "POST /once/x HTTP/1.1\r\nhost: host\r\nattempt: t1\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{hidden}",
        hidden.len()
    );
    let (reply, ran) = reply_and_paths(&raw).await;
    assert_eq!(ran, ["/once/x"], "{reply}");
}

/// Numbers that are no status of HTTP/1.1, and status lines without a number.
const NO_STATUSES: [&str; 9] =
    ["000 OK", "000", "099 OK", "600 OK", "999 OK", "20 OK", "2000 OK", "-01 OK", "OK"];

fn without_status(status: &str, attempt: &str) -> Vec<u8> {
    let answer = String::from_utf8(answer(attempt, "no answer")).expect("text");
    answer.replacen("200 OK", status, 1).into_bytes()
}

// Guards against an answer with a status such as 000 that a caller gets as an answer.
#[tokio::test]
async fn an_answer_without_a_status_of_http_is_lost() {
    for status_line in NO_STATUSES {
        for (path, expected) in [("/safe/x", "200"), ("/once/x", "502"), ("/fragile/x", "502")] {
            let world = World::start().await;
            let endpoint = Endpoint::start(move |number, seen| {
                let attempt = seen.header("attempt").unwrap_or_default();
                match number {
                    0 => vec![Step::Send(without_status(status_line, &attempt))],
                    _ => vec![Step::Send(answer(&attempt, "good"))],
                }
            })
            .await;
            world.announce("a", "plain", &endpoint).await;
            world.announce("b", "engines", &endpoint).await;
            let reply = world.ask(&post(path, "t1", "", "pay")).await;
            assert_eq!(status(&reply), expected, "{status_line}, {path}: {reply}");
            assert!(!reply.contains("no answer"), "{status_line}, {path}: {reply}");
        }
    }
}
