//! Tests of routes that keep turns, with turns that are kept in the memory of the test.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::kept_turns::Chain;
use crate::kept_turns::FindError;
use crate::kept_turns::KeepError;
use crate::kept_turns::KeptTurns;
use crate::kept_turns::TurnKey;
use crate::kept_turns::TurnRecord;
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
use crate::roles::tests::world::status;
use crate::test_support::WAIT_LIMIT;
use crate::test_support::wait_for;

/// Turns in memory, whose writes can be held up and made to fail.
struct FakeTurns {
    records: Mutex<HashMap<TurnKey, TurnRecord>>,
    may_write: watch::Sender<bool>,
    waiting: Mutex<usize>,
    fails: AtomicBool,
    is_uncertain: AtomicBool,
    is_full: AtomicBool,
}

impl FakeTurns {
    fn new() -> Arc<Self> {
        Arc::new(Self {
            records: Mutex::default(),
            may_write: watch::Sender::new(true),
            waiting: Mutex::default(),
            fails: AtomicBool::new(false),
            is_uncertain: AtomicBool::new(false),
            is_full: AtomicBool::new(false),
        })
    }

    fn get(&self, turn: &str) -> Option<TurnRecord> {
        let key = TurnKey { account: "".into(), turn: turn.into() };
        self.records.lock().expect("not poisoned").get(&key).cloned()
    }

    fn waiting(&self) -> usize {
        *self.waiting.lock().expect("not poisoned")
    }
}

#[async_trait]
impl KeptTurns for FakeTurns {
    async fn find(&self, key: &TurnKey, _: Duration, _: Instant) -> Result<Chain, FindError> {
        if self.is_uncertain.load(Ordering::Relaxed) {
            return Err(FindError::Uncertain { reason: "no answer".to_owned() });
        }
        let known = self.records.lock().expect("not poisoned");
        let mut chain = Chain::default();
        let mut turn = Some(key.turn.clone());
        while let Some(one) = turn {
            let key = TurnKey { account: key.account.clone(), turn: one };
            let record = known.get(&key).ok_or(FindError::Unknown)?;
            turn = record.previous.clone();
            chain.records.insert(0, record.clone());
        }
        Ok(chain)
    }

    fn check_writable(&self) -> Result<(), KeepError> {
        match self.is_full.load(Ordering::Relaxed) {
            true => Err(KeepError { written: 0, wanted: 1, reason: "no space".to_owned() }),
            false => Ok(()),
        }
    }

    async fn keep(&self, record: TurnRecord, _: &Chain, _: Instant) -> Result<(), KeepError> {
        *self.waiting.lock().expect("not poisoned") += 1;
        self.may_write.subscribe().wait_for(|may| *may).await.expect("the sender lives");
        if self.fails.load(Ordering::Relaxed) {
            return Err(KeepError { written: 0, wanted: 1, reason: "no disk".to_owned() });
        }
        self.records.lock().expect("not poisoned").insert(record.key.clone(), record);
        Ok(())
    }
}

/// Sends the events after the request's `last-event` up to event 3, and ends the stream.
fn answer(seen: &Seen) -> Vec<Step> {
    let after = seen.header("last-event").and_then(|id| id.parse().ok()).unwrap_or(0);
    let mut bytes = stream_head(&seen.header("attempt").unwrap_or_default());
    (after + 1..=3).for_each(|id| bytes.extend(chunk(&event(id))));
    bytes.extend(last_chunk());
    vec![Step::Send(bytes)]
}

/// Sends two events and nothing more.
fn unfinished_answer(seen: &Seen) -> Vec<Step> {
    let mut bytes = stream_head(&seen.header("attempt").unwrap_or_default());
    (1..=2).for_each(|id| bytes.extend(chunk(&event(id))));
    vec![Step::Send(bytes), Step::Hang]
}

async fn start<F>(script: F) -> (World, Arc<FakeTurns>, Endpoint)
where
    F: Fn(usize, &Seen) -> Vec<Step> + Send + Sync + 'static,
{
    let turns = FakeTurns::new();
    let world = World::start_keeping(turns.clone()).await;
    let endpoint = Endpoint::start(script).await;
    world.announce("a", "engines", &endpoint).await;
    (world, turns, endpoint)
}

/// Sends a turn that continues from `previous`, if it is not empty.
async fn turn(world: &World, attempt: &str, previous: &str, more: &str, input: &str) -> String {
    let previous = match previous {
        "" => String::new(),
        turn => format!("previous-turn: {turn}\r\n"),
    };
    world.ask(&post("/kept/x", attempt, &format!("{previous}{more}"), input)).await
}

/// The output of a whole answer.
const OUTPUT: &str = "piece 1\npiece 2\npiece 3\n";

fn last_body(endpoint: &Endpoint) -> String {
    let seen = endpoint.seen();
    String::from_utf8(seen.last().expect("a request").body.clone()).expect("text")
}

fn is_whole(reply: &str) -> bool {
    reply.ends_with("0\r\n\r\n")
}

async fn read_until(stream: &mut TcpStream, answer: &mut Vec<u8>, text: &str) {
    let reading = async {
        while !String::from_utf8_lossy(answer).contains(text) {
            assert_ne!(stream.read_buf(answer).await.expect("read"), 0, "ended before {text}");
        }
    };
    tokio::time::timeout(WAIT_LIMIT, reading).await.expect("in time");
}

// Guards against a prompt that lacks a turn, repeats one or has one of another branch.
#[tokio::test]
async fn each_turn_reaches_its_endpoint_with_the_whole_chain_before_it() {
    let (world, _turns, endpoint) = start(|_, seen| answer(seen)).await;
    let mut bodies = Vec::new();
    for (attempt, previous) in [("t1", ""), ("t2", "t1"), ("t3", "t2"), ("t4", "t2"), ("t5", "t4")]
    {
        let reply = turn(&world, attempt, previous, "", &format!("[{attempt}]")).await;
        assert!(status(&reply) == "200" && is_whole(&reply), "{reply}");
        bodies.push(last_body(&endpoint));
    }
    assert_eq!(bodies[0], "[t1]");
    assert_eq!(bodies[1], format!("[t1]{OUTPUT}[t2]"));
    assert_eq!(bodies[2], format!("[t1]{OUTPUT}[t2]{OUTPUT}[t3]"));
    assert_eq!(bodies[3], format!("[t1]{OUTPUT}[t2]{OUTPUT}[t4]"));
    assert_eq!(bodies[4], format!("[t1]{OUTPUT}[t2]{OUTPUT}[t4]{OUTPUT}[t5]"));
}

// Guards against a route that does not keep turns and is changed by those that do.
#[tokio::test]
async fn a_route_without_retention_keeps_nothing_and_adds_nothing() {
    let (world, turns, endpoint) = start(|_, seen| answer(seen)).await;
    turns.fails.store(true, Ordering::Relaxed);
    let reply = world.ask(&post("/stream/x", "t1", "previous-turn: t0\r\n", "prompt")).await;
    assert!(status(&reply) == "200" && is_whole(&reply), "{reply}");
    assert_eq!((last_body(&endpoint).as_str(), turns.waiting()), ("prompt", 0));
}

// Guards against an account that reads another one's turns, or learns that they exist.
#[tokio::test]
async fn a_turn_of_another_account_is_answered_like_one_that_does_not_exist() {
    let (world, _turns, endpoint) = start(|_, seen| answer(seen)).await;
    world.core.versions.put(2, "2 red blue".into()).await.expect("committed");
    let has_accounts = || {
        let applied = world.entry.cx.metrics.states.with_label_values(&["config_version"]).get();
        applied == 2
    };
    wait_for("the accounts", has_accounts).await;
    let reply = turn(&world, "t1", "", "key: red\r\n", "a").await;
    assert_eq!(status(&reply), "200", "{reply}");
    let foreign = turn(&world, "t2", "t1", "key: blue\r\n", "b").await;
    let missing = turn(&world, "t2", "t9", "key: blue\r\n", "b").await;
    assert_eq!((status(&foreign), foreign.contains("CG-1022")), ("404", true), "{foreign}");
    let without_date = |reply: &str| reply.split("\r\n\r\n").nth(1).map(str::to_owned);
    assert_eq!(without_date(&foreign), without_date(&missing));
    assert_eq!(endpoint.seen().len(), 1);
    let reply = turn(&world, "t3", "t1", "key: red\r\n", "b").await;
    assert_eq!((status(&reply), last_body(&endpoint)), ("200", format!("a{OUTPUT}b")));
}

// Guards against a 404 for a turn that may exist, and against one that runs without its chain or
// without a disk to keep it.
#[tokio::test]
async fn a_turn_that_cannot_be_looked_up_or_kept_is_refused_and_not_run() {
    let (world, turns, endpoint) = start(|_, seen| answer(seen)).await;
    turn(&world, "t1", "", "", "a").await;
    turns.is_uncertain.store(true, Ordering::Relaxed);
    let reply = turn(&world, "t2", "t1", "", "b").await;
    assert_eq!(status(&reply), "503", "{reply}");
    assert!(reply.contains("CG-2016") && reply.contains("\"not_run\":true"), "{reply}");
    assert!(reply.to_ascii_lowercase().contains("retry-after: 0.5"), "{reply}");
    turns.is_uncertain.store(false, Ordering::Relaxed);
    turns.is_full.store(true, Ordering::Relaxed);
    let reply = turn(&world, "t3", "", "", "b").await;
    assert!(status(&reply) == "503" && reply.contains("CG-2016"), "{reply}");
    assert_eq!(endpoint.seen().len(), 1);
}

// Guards against a turn that is run and can then be neither written nor read.
#[tokio::test]
async fn a_turn_that_is_too_long_with_its_chain_is_refused_and_not_run() {
    let (world, turns, endpoint) = start(|_, seen| answer(seen)).await;
    turn(&world, "t1", "", "", "a").await;
    let mut long = turns.get("t1").expect("kept");
    long.output = vec![b'x'; 7 << 20].into();
    turns.records.lock().expect("not poisoned").insert(long.key.clone(), long);
    let reply = turn(&world, "t2", "t1", "", "b").await;
    assert!(status(&reply) == "413" && reply.contains("\"not_run\":true"), "{reply}");
    assert_eq!(endpoint.seen().len(), 1);
}

// Guards against a caller that has the end of an answer, or its last event, before the turn is kept.
#[tokio::test]
async fn the_last_event_and_the_end_of_an_answer_wait_until_the_turn_is_kept() {
    let (world, turns, _endpoint) = start(|_, seen| answer(seen)).await;
    turns.may_write.send_replace(false);
    let mut caller = world.connect().await;
    caller.write_all(post("/kept/x", "t1", "", "a").as_bytes()).await.expect("sent");
    let mut reply = Vec::new();
    read_until(&mut caller, &mut reply, "piece 2").await;
    wait_for("the write", || turns.waiting() == 1).await;
    let more = caller.read_buf(&mut reply);
    assert!(tokio::time::timeout(Duration::from_millis(100), more).await.is_err(), "{reply:?}");
    turns.may_write.send_replace(true);
    caller.read_to_end(&mut reply).await.expect("read");
    let reply = String::from_utf8(reply).expect("text");
    assert!(event_ids(&reply) == [1, 2, 3] && is_whole(&reply), "{reply}");
}

// Guards against a caller that takes an answer for whole although its turn is lost.
#[tokio::test]
async fn an_answer_whose_turn_cannot_be_kept_is_broken_off() {
    let (world, turns, _endpoint) = start(|_, seen| answer(seen)).await;
    turns.fails.store(true, Ordering::Relaxed);
    let reply = turn(&world, "t1", "", "", "a").await;
    assert_eq!(event_ids(&reply), [1, 2], "{reply}");
    assert!(!is_whole(&reply), "{reply}");
}

// Guards against events that are lost or doubled in the output when an endpoint is lost on the way.
#[tokio::test]
async fn a_stream_that_goes_on_at_another_endpoint_is_kept_as_one_output() {
    let (world, turns, _endpoint) = start(|number, seen| match number {
        0 => {
            let mut bytes = stream_head(&seen.header("attempt").unwrap_or_default());
            bytes.extend(chunk(&event(1)));
            bytes.extend(chunk("id: 2\ndata: pie"));
            vec![Step::Send(bytes), Step::Close]
        }
        _ => answer(seen),
    })
    .await;
    let reply = turn(&world, "t1", "", "", "a").await;
    assert!(event_ids(&reply) == [1, 2, 3] && is_whole(&reply), "{reply}");
    assert_eq!(turns.get("t1").expect("kept").output, OUTPUT);
}

// Guards against a resumed turn whose output lacks the events before the resumption, or has those
// twice that the caller did not get.
#[tokio::test]
async fn a_turn_that_its_caller_resumes_is_kept_whole_under_both_attempts() {
    let (world, turns, endpoint) = start(|number, seen| match number {
        1 => unfinished_answer(seen),
        _ => answer(seen),
    })
    .await;
    turn(&world, "t0", "", "", "z").await;
    let mut caller = world.connect().await;
    let request = post("/kept/x", "t1", "previous-turn: t0\r\n", "a");
    caller.write_all(request.as_bytes()).await.expect("sent");
    read_until(&mut caller, &mut Vec::new(), "piece 2").await;
    drop(caller);
    wait_for("the partial record", || turns.get("t1").is_some()).await;
    assert!(turns.get("t1").expect("kept").is_partial);
    let unfinished = turn(&world, "t3", "t1", "", "b").await;
    assert_eq!(status(&unfinished), "503", "{unfinished}");
    let beyond = turn(&world, "t3", "t0", "last-event: 3\r\nresumes: t1\r\n", "a").await;
    assert_eq!(status(&beyond), "503", "{beyond}");
    let reply = turn(&world, "t2", "t0", "last-event: 1\r\nresumes: t1\r\n", "a").await;
    assert!(event_ids(&reply) == [2, 3] && is_whole(&reply), "{reply}");
    assert_eq!(last_body(&endpoint), format!("z{OUTPUT}a"));
    for (attempt, previous) in [("t4", "t1"), ("t5", "t2")] {
        let reply = turn(&world, attempt, previous, "", "b").await;
        assert_eq!(status(&reply), "200", "{reply}");
        assert_eq!(last_body(&endpoint), format!("z{OUTPUT}a{OUTPUT}b"));
    }
}

// Guards against a resumed turn that is kept without its beginning.
#[tokio::test]
async fn a_resumption_without_the_events_before_it_is_refused_and_not_run() {
    let (world, turns, endpoint) = start(|_, seen| answer(seen)).await;
    let reply = turn(&world, "t2", "", "last-event: 1\r\nresumes: t1\r\n", "a").await;
    assert_eq!((status(&reply), reply.contains("CG-2016")), ("503", true), "{reply}");
    assert!(endpoint.seen().is_empty() && turns.get("t2").is_none());
}

// Guards against a turn that cannot be continued since its caller lost the connection just before
// the end of the answer.
#[tokio::test]
async fn a_turn_that_is_kept_whole_can_be_resumed() {
    let (world, turns, endpoint) = start(|_, seen| answer(seen)).await;
    turn(&world, "t1", "", "", "a").await;
    let reply = turn(&world, "t2", "", "last-event: 2\r\nresumes: t1\r\n", "a").await;
    assert!(event_ids(&reply) == [3] && is_whole(&reply), "{reply}");
    assert_eq!(turns.get("t2").expect("kept").output, OUTPUT);
    assert_eq!(last_body(&endpoint), "a");
}
