//! Tests of requests around the planned stop of an entry instance.

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::events::EventNumber;
use crate::roles::tests::endpoint::Endpoint;
use crate::roles::tests::endpoint::Step;
use crate::roles::tests::endpoint::answer;
use crate::roles::tests::endpoint::chunk;
use crate::roles::tests::endpoint::event;
use crate::roles::tests::endpoint::stream_head;
use crate::roles::tests::world::World;
use crate::roles::tests::world::event_ids;
use crate::roles::tests::world::status;
use crate::test_support::WAIT_LIMIT;
use crate::test_support::wait_for;

/// The grace of the users' deployments.
const GRACE: Duration = Duration::from_secs(8);

/// A grace that ends soon after the callers' cached addresses have expired.
const SHORT_GRACE: Duration = Duration::from_secs(3);

/// Sends a request on a kept connection; without the end of its body if `is_whole` is false.
async fn send(stream: &mut TcpStream, path: &str, attempt: &str, more: &str, is_whole: bool) {
    let body = if is_whole { "body" } else { "bo" };
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: host\r\nattempt: {attempt}\r\n{more}content-length: 4\r\n\r\n\
         {body}"
    );
    stream.write_all(request.as_bytes()).await.expect("sent");
}

/// Returns all that arrives until the connection ends.
async fn receive(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    // A reset connection also ends the answer, so the error is ignored.
    let _ = tokio::time::timeout(WAIT_LIMIT, stream.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}

async fn answering_after(delay: Duration) -> Endpoint {
    Endpoint::start(move |_, seen| {
        let attempt = seen.header("attempt").unwrap_or_default();
        vec![Step::Wait(delay), Step::Send(answer(&attempt, "done"))]
    })
    .await
}

// Guards against requests that are cut by an exit long before the end of the grace.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_answers_what_ends_before_the_end_of_the_grace() {
    let world = World::start().await;
    let work = Duration::from_millis(4_950);
    let endpoint = answering_after(work).await;
    world.announce("a", "plain", &endpoint).await;
    let mut caller = world.connect().await;
    let asking = async {
        wait_for("the drain", || !world.entry.is_ready()).await;
        tokio::time::sleep(Duration::from_millis(1_600)).await;
        let sent_at = Instant::now();
        send(&mut caller, "/once/x", "t1", "deadline: 5000\r\n", true).await;
        (receive(&mut caller).await, sent_at)
    };
    let stopping = async {
        world.entry.stop(GRACE).await;
        Instant::now()
    };
    let (stopped_at, (reply, sent_at)) = tokio::join!(stopping, asking);
    assert!(reply.ends_with("done"), "{reply}");
    // The process exits when the stop returns.
    assert!(stopped_at >= sent_at + work, "the exit came before the endpoint's answer");
    let finished = EventNumber::DrainFinished.number();
    let finished = world.entry.cx.events.select(|event| event.number == finished);
    assert_eq!(finished.len(), 1, "{finished:?}");
    assert!(finished[0].message.contains("relayed=0"), "{finished:?}");
}

// Guards against requests that are taken during a stop and cut at its end: they might take longer
// than what is left of the grace.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_refuses_what_might_outlast_the_grace() {
    let world = World::start().await;
    let endpoint = answering_after(Duration::ZERO).await;
    world.announce("a", "plain", &endpoint).await;
    let mut callers = [world.connect().await, world.connect().await];
    let asking = async {
        wait_for("the drain", || !world.entry.is_ready()).await;
        let sent = Instant::now();
        send(&mut callers[0], "/once/x", "late", "deadline: 5000\r\n", true).await;
        send(&mut callers[1], "/once/x", "timely", "deadline: 1000\r\n", true).await;
        let reply = receive(&mut callers[0]).await;
        assert!(sent.elapsed() < Duration::from_secs(1), "refused late: {reply}");
        assert_eq!(status(&reply), "503", "{reply}");
        for part in ["CG-2005", "\"not_run\":true", "retry-after", "connection: close"] {
            assert!(reply.contains(part), "{part} is missing in {reply}");
        }
        assert!(receive(&mut callers[1]).await.ends_with("done"));
    };
    tokio::join!(world.entry.stop(SHORT_GRACE), asking);
    let passed_on: Vec<String> =
        endpoint.seen().iter().filter_map(|seen| seen.header("attempt")).collect();
    assert_eq!(passed_on, ["timely"]);
}

// Guards against a request that an endpoint refused and that is sent to the next one although it
// might outlast the grace by then.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_does_not_send_again_what_might_outlast_the_grace() {
    let world = World::start().await;
    let refusing = || {
        Endpoint::start(|_, _| {
            let head = "HTTP/1.1 503 Busy\r\nnot-run: yes\r\ncontent-length: 0\r\n\r\n";
            vec![Step::Wait(Duration::from_millis(500)), Step::Send(head.into())]
        })
    };
    let endpoints = [refusing().await, refusing().await];
    world.announce("a", "plain", &endpoints[0]).await;
    world.announce("b", "plain", &endpoints[1]).await;
    let mut caller = world.connect().await;
    send(&mut caller, "/once/x", "t1", "deadline: 5000\r\n", true).await;
    let seen = || endpoints.iter().map(|one| one.seen().len()).sum::<usize>();
    wait_for("the request at an endpoint", || seen() == 1).await;
    let ((), reply) = tokio::join!(world.entry.stop(SHORT_GRACE), receive(&mut caller));
    assert!(reply.contains("CG-2005") && reply.contains("\"not_run\":true"), "{reply}");
    assert_eq!(seen(), 1);
}

// Guards against requests that get no answer, or a wrong one, since they outlast the grace.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_outlasts_the_grace_is_answered_with_what_is_true() {
    let world = World::start().await;
    let hanging = Endpoint::start(|_, _| vec![Step::Hang]).await;
    world.announce("a", "plain", &hanging).await;
    let streaming = Endpoint::start(|_, seen| {
        let attempt = seen.header("attempt").unwrap_or_default();
        let begin = [stream_head(&attempt), chunk(&event(1)), chunk("id: 2\nda")].concat();
        vec![Step::Send(begin), Step::Hang]
    })
    .await;
    world.announce("b", "engines", &streaming).await;
    let cases = [
        ("/once/x", true, "502", "\"not_run\":false"),
        ("/safe/x", true, "504", "\"not_run\":false"),
        ("/once/x", false, "503", "\"not_run\":true"),
    ];
    let mut callers = Vec::new();
    for (number, (path, is_whole, _, _)) in cases.iter().enumerate() {
        let mut caller = world.connect().await;
        send(&mut caller, path, &format!("t{number}"), "", *is_whole).await;
        callers.push(caller);
    }
    let mut reader = world.connect().await;
    send(&mut reader, "/stream/x", "stream", "", true).await;
    wait_for("the stream", || streaming.seen().len() == 1).await;
    // One of the requests must not be repeated, the other is sent again when its first attempt is late.
    wait_for("the requests", || hanging.seen().len() >= 2).await;
    let receiving = async {
        for (caller, (path, _, expected, not_run)) in callers.iter_mut().zip(cases) {
            let reply = receive(caller).await;
            assert_eq!(status(&reply), expected, "{path}: {reply}");
            assert!(reply.contains(not_run), "{path}: {reply}");
        }
        let reply = receive(&mut reader).await;
        assert_eq!(event_ids(&reply), [1], "{reply}");
        assert!(!reply.ends_with("0\r\n\r\n"), "looks complete: {reply}");
    };
    let started = Instant::now();
    tokio::join!(world.entry.stop(SHORT_GRACE), receiving);
    assert!(started.elapsed() < SHORT_GRACE, "killed before the answers");
}
