//! Tests with engines that refuse turns as full.

use crate::roles::tests::endpoint::Endpoint;
use crate::roles::tests::endpoint::Step;
use crate::roles::tests::endpoint::chunk;
use crate::roles::tests::endpoint::event;
use crate::roles::tests::endpoint::last_chunk;
use crate::roles::tests::endpoint::stream_head;
use crate::roles::tests::world::World;
use crate::roles::tests::world::post;
use crate::roles::tests::world::status;

const ENGINES: usize = 6;

/// Starts engines that answer attempts whose name begins with "free" and refuse all others as full.
/// `load` is the lines of the head that state the load of a full engine.
async fn start_engines(world: &World, load: &'static str) -> Vec<Endpoint> {
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let engine = Endpoint::start(move |_, seen| {
            let attempt = seen.header("attempt").unwrap_or_default();
            if attempt.starts_with("free") {
                let mut bytes = stream_head(&attempt);
                bytes.extend(chunk(&event(1)));
                bytes.extend(last_chunk());
                return vec![Step::Send(bytes)];
            }
            let head = format!(
                "HTTP/1.1 503 Service Unavailable\r\nattempt: {attempt}\r\nnot-run: 1\r\n{load}\
                 content-length: 0\r\n\r\n"
            );
            vec![Step::Send(head.into_bytes())]
        })
        .await;
        world.announce(&format!("e{number}"), "engines", &engine).await;
        engines.push(engine);
    }
    engines
}

const WITH_PACE: &str = "running: 32\r\nslots: 8\r\npace: 100\r\n";

const WITHOUT_PACE: &str = "running: 32\r\nslots: 8\r\n";

fn sends(engines: &[Endpoint]) -> usize {
    engines.iter().map(|engine| engine.seen().len()).sum()
}

fn turn(attempt: &str, program: &str) -> String {
    let more = format!("program: {program}\r\nbudget: 1000\r\noutput-max: 10\r\n");
    post("/stream/x", attempt, &more, "prompt")
}

/// Sends one turn that all engines refuse; returns to how many engines it was sent.
async fn sends_of(world: &World, engines: &[Endpoint], request: &str) -> usize {
    let before = sends(engines);
    let reply = world.ask(request).await;
    assert_eq!(status(&reply), "503", "{reply}");
    assert!(reply.contains("CG-2001") && reply.contains("\"not_run\":true"), "{reply}");
    assert!(reply.contains("retry-after: "), "{reply}");
    sends(engines) - before
}

// Guards against a turn that is sent to one full engine after the other, each at the cost of a
// connection.
#[tokio::test(flavor = "multi_thread")]
async fn full_engines_that_state_their_pace_are_sent_a_turn_three_times_at_most() {
    let world = World::start().await;
    let engines = start_engines(&world, WITH_PACE).await;
    // Without a program it is not known whether the turn is a first one.
    let sent = sends_of(&world, &engines, &post("/stream/x", "t1", "", "prompt")).await;
    assert_eq!(sent, 3);
}

// Guards against a new program that takes the room of programs in progress.
#[tokio::test(flavor = "multi_thread")]
async fn full_engines_are_sent_the_first_turn_of_a_program_less_often_than_its_later_turns() {
    let world = World::start().await;
    let engines = start_engines(&world, WITH_PACE).await;
    assert_eq!(sends_of(&world, &engines, &turn("t1", "p1")).await, 2);
    // A refused first turn is still the first one when it comes back.
    let known_as_full = sends_of(&world, &engines, &turn("t2", "p1")).await;
    assert!(known_as_full <= 2, "{known_as_full} sends");
    let world = World::start().await;
    let engines = start_engines(&world, WITH_PACE).await;
    let reply = world.ask(&turn("free", "p2")).await;
    assert_eq!(status(&reply), "200", "{reply}");
    assert_eq!(sends_of(&world, &engines, &turn("t3", "p2")).await, 3);
}

// Guards against a new connection after each refusal: on the heaviest measured day most connections were
// opened because of that.
#[tokio::test(flavor = "multi_thread")]
async fn the_connection_of_a_refusal_carries_the_next_turn() {
    let world = World::start().await;
    let engine = Endpoint::start(|number, seen| {
        let attempt = seen.header("attempt").unwrap_or_default();
        if number < 5 {
            let head = format!(
                "HTTP/1.1 503 Service Unavailable\r\nattempt: {attempt}\r\nnot-run: 1\r\n\
                 content-length: 4\r\n\r\nfull"
            );
            return vec![Step::Send(head.into_bytes())];
        }
        let mut bytes = stream_head(&attempt);
        bytes.extend(chunk(&event(1)));
        bytes.extend(last_chunk());
        vec![Step::Send(bytes)]
    })
    .await;
    world.announce("e0", "engines", &engine).await;
    // A turn is sent again after each pause between two rounds, each time on a connection that has not
    // refused it.
    let reply = world.ask(&post("/stream/x", "t1", "", "prompt")).await;
    assert_eq!(status(&reply), "503", "{reply}");
    let reply = world.ask(&post("/stream/x", "t2", "", "prompt")).await;
    assert_eq!(status(&reply), "200", "{reply}");
    let reply = world.ask(&post("/stream/x", "t3", "", "prompt")).await;
    assert_eq!(status(&reply), "200", "{reply}");
    // The youngest idle connection is taken first, and none is opened for the second turn and the third.
    let connections: Vec<usize> = engine.seen().iter().map(|seen| seen.connection).collect();
    assert_eq!(connections, [0, 1, 2, 2, 1, 0, 0]);
}

// Guards against other behaviour of deployments whose engines state no pace.
#[tokio::test(flavor = "multi_thread")]
async fn full_engines_that_state_no_pace_are_all_tried_as_before() {
    let world = World::start().await;
    let engines = start_engines(&world, WITHOUT_PACE).await;
    let sent = sends_of(&world, &engines, &turn("t1", "p1")).await;
    assert!(sent >= ENGINES, "{sent} sends");
    assert!(engines.iter().all(|engine| !engine.seen().is_empty()));
}
