//! Tests of routing and of callers' connections.

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::roles::tests::endpoint::Endpoint;
use crate::roles::tests::endpoint::Step;
use crate::roles::tests::endpoint::answer;
use crate::roles::tests::world::World;
use crate::roles::tests::world::get;
use crate::roles::tests::world::post;
use crate::roles::tests::world::status;
use crate::test_support::wait_for;

/// A grace that no request of these tests outlasts.
const STOP_GRACE: Duration = Duration::from_secs(30);

async fn echo() -> Endpoint {
    Endpoint::start(|_, seen| {
        let attempt = seen.header("attempt").unwrap_or_default();
        let body = format!("{} {}", seen.path(), String::from_utf8_lossy(&seen.body));
        vec![Step::Send(answer(&attempt, &body))]
    })
    .await
}

#[tokio::test]
async fn a_request_reaches_an_endpoint_unchanged_and_its_answer_comes_back() {
    let world = World::start().await;
    let endpoint = echo().await;
    world.announce("a", "plain", &endpoint).await;
    let reply = world.ask(&post("/once/x?y=1", "t1", "extra: kept\r\n", "body")).await;
    assert!(reply.ends_with("/once/x?y=1 body"), "{reply}");
    assert!(reply.contains("signed: yes"), "{reply}");
    let seen = endpoint.seen();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].header("endpoint").as_deref(), Some("a"));
    assert_eq!(seen[0].header("extra").as_deref(), Some("kept"));
    assert_eq!(seen[0].header("connection"), None);
}

#[tokio::test]
async fn an_instance_without_a_configuration_refuses_requests_with_retry_after() {
    let world = World::start_without_configuration().await;
    let reply = world.ask(&get("/safe/x", "t1", "")).await;
    assert_eq!(status(&reply), "503", "{reply}");
    assert!(reply.contains("retry-after"), "{reply}");
}

#[tokio::test]
async fn a_request_without_a_matching_route_gets_404() {
    let world = World::start().await;
    assert_eq!(status(&world.ask(&get("/unknown/x", "t1", "")).await), "404");
}

#[tokio::test]
async fn without_endpoints_a_request_is_refused_at_once_as_not_run() {
    let world = World::start().await;
    let reply = world.ask(&get("/safe/x", "t1", "")).await;
    assert_eq!(status(&reply), "503", "{reply}");
    assert!(reply.contains("\"not_run\":true"), "{reply}");
}

#[tokio::test]
async fn a_request_during_warm_up_waits_for_configuration_and_endpoints() {
    let world = World::start_cold().await;
    let endpoint = echo().await;
    let request = get("/safe/x", "t1", "");
    let asking = world.ask(&request);
    let configuring = async {
        world.core.versions.put(1, "1".into()).await.expect("committed");
        world.announce("a", "plain", &endpoint).await;
    };
    let (reply, ()) = tokio::join!(asking, configuring);
    assert_eq!(status(&reply), "200", "{reply}");
}

#[tokio::test]
async fn chunked_and_pipelined_requests_get_their_answers_in_order() {
    let world = World::start().await;
    let endpoint = echo().await;
    world.announce("a", "plain", &endpoint).await;
    let first = "POST /once/1 HTTP/1.1\r\nhost: host\r\nattempt: t1\r\n\
                 transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    let second = get("/safe/2", "t2", "");
    let reply = world.ask(&format!("{first}{second}")).await;
    let (one, two) = (reply.find("/once/1 abcde"), reply.find("/safe/2 "));
    assert!(one.is_some() && one < two, "{reply}");
}

#[tokio::test]
async fn a_disconnecting_caller_cancels_its_request() {
    let world = World::start().await;
    let endpoint = Endpoint::start(|_, _| vec![Step::Hang]).await;
    world.announce("a", "plain", &endpoint).await;
    let mut stream = world.connect().await;
    stream.write_all(get("/safe/x", "t1", "").as_bytes()).await.expect("sent");
    wait_for("the request at the endpoint", || endpoint.seen().len() == 1).await;
    drop(stream);
    wait_for("the end of the connection to the endpoint", || endpoint.closed() == 1).await;
}

#[tokio::test]
async fn a_stopping_entry_finishes_requests_in_progress() {
    let world = World::start().await;
    let endpoint = echo().await;
    world.announce("a", "plain", &endpoint).await;
    let mut open = world.connect().await;
    let stopping = world.entry.stop(STOP_GRACE);
    let asking = async {
        wait_for("the drain", || !world.entry.is_ready()).await;
        let request = "GET /safe/x HTTP/1.1\r\nhost: host\r\nattempt: t1\r\n\r\n";
        open.write_all(request.as_bytes()).await.expect("sent");
        let mut reply = Vec::new();
        open.read_to_end(&mut reply).await.expect("the whole reply");
        String::from_utf8_lossy(&reply).into_owned()
    };
    let ((), reply) = tokio::join!(stopping, asking);
    assert!(reply.ends_with("/safe/x "), "{reply}");
    assert!(reply.contains("connection: close"), "{reply}");
}

// A burst of short calls: an endpoint that reports many requests is left alone for a moment.
#[tokio::test]
async fn a_call_goes_to_an_endpoint_that_did_not_report_to_be_busy() {
    let world = World::start().await;
    let reporting = |running: u32| {
        Endpoint::start(move |_, seen| {
            let attempt = seen.header("attempt").unwrap_or_default();
            let head = format!(
                "HTTP/1.1 200 OK\r\nattempt: {attempt}\r\nsigned: yes\r\nrunning: {running}\r\n\
                 content-length: 2\r\n\r\nok"
            );
            vec![Step::Send(head.into_bytes())]
        })
    };
    let busy = reporting(9).await;
    world.announce("a", "plain", &busy).await;
    let idle = reporting(0).await;
    world.announce("b", "plain", &idle).await;
    // Counts only requests that ended while the last report was too fresh for its weight to matter.
    let mut reported_at = Instant::now();
    let mut counted = 0;
    while counted < 15 {
        let before = busy.seen().len();
        world.ask(&get("/safe/x", "t1", "")).await;
        let is_fresh = before > 0 && reported_at.elapsed() < Duration::from_millis(200);
        if busy.seen().len() > before {
            assert!(!is_fresh, "sent to the busy endpoint after {counted} requests");
            reported_at = Instant::now();
        } else if is_fresh {
            counted += 1;
        }
    }
}

/// Sends requests on one connection until the instance closes it; returns the attempts that got no
/// whole answer.
async fn ask_until_closed(mut stream: TcpStream, caller: usize) -> Vec<String> {
    for number in 0.. {
        let attempt = format!("t{caller}-{number}");
        let request = format!("GET /once/x HTTP/1.1\r\nhost: host\r\nattempt: {attempt}\r\n\r\n");
        if stream.write_all(request.as_bytes()).await.is_err() {
            return vec![attempt];
        }
        let mut reply = Vec::new();
        while !reply.ends_with(b"done") {
            let read = stream.read_buf(&mut reply).await;
            if read.is_err() || read.is_ok_and(|count| count == 0) {
                return vec![attempt];
            }
        }
        if String::from_utf8_lossy(&reply).contains("connection: close") {
            break;
        }
    }
    Vec::new()
}

// A planned stop under load: callers send on open connections until these are closed.
#[tokio::test]
async fn a_stopping_entry_answers_every_request_that_it_passed_on() {
    let world = World::start().await;
    let endpoint = Endpoint::start(|_, seen| {
        let attempt = seen.header("attempt").unwrap_or_default();
        vec![Step::Wait(Duration::from_millis(20)), Step::Send(answer(&attempt, "done"))]
    })
    .await;
    world.announce("a", "plain", &endpoint).await;
    let mut callers = JoinSet::new();
    for caller in 0..24 {
        callers.spawn(ask_until_closed(world.connect().await, caller));
    }
    wait_for("some load", || endpoint.seen().len() > 100).await;
    // New connections come during the whole stop as well.
    let arriving = async {
        for caller in 100.. {
            tokio::time::sleep(Duration::from_millis(10)).await;
            match TcpStream::connect(world.callers).await {
                Ok(stream) => callers.spawn(ask_until_closed(stream, caller)),
                Err(_) => return callers,
            };
        }
        callers
    };
    let ((), callers) = tokio::join!(world.entry.stop(STOP_GRACE), arriving);
    let unanswered: Vec<String> = callers.join_all().await.into_iter().flatten().collect();
    let passed_on: Vec<String> =
        endpoint.seen().iter().filter_map(|seen| seen.header("attempt")).collect();
    let cut: Vec<&String> = unanswered.iter().filter(|one| passed_on.contains(one)).collect();
    assert_eq!(cut, Vec::<&String>::new(), "{} were not passed on", unanswered.len());
}
