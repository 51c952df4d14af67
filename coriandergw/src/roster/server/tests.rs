//! Tests of what a core instance waits for before it acknowledges a departure, and of what it answers
//! to instances of an earlier build.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use prost::Message as _;

use crate::clock::SystemClock;
use crate::ids::EndpointName;
use crate::ids::InstanceName;
use crate::roster::EndpointRecord;
use crate::roster::EndpointState;
use crate::roster::Presence;
use crate::roster::Role;
use crate::roster::generated as raw;
use crate::roster::server::RosterServer;
use crate::roster::state::ConfigState;
use crate::test_support::context;
use crate::test_support::presence;
use crate::transport::Handler;

const OTHER_CORE: &str = "10.0.0.2:7400/0";

fn server() -> Arc<RosterServer> {
    let own = InstanceName::try_from("10.0.0.1:7400/0").expect("a name");
    let cx = context(own, "dc", Arc::new(SystemClock::default()));
    RosterServer::new(cx, Duration::from_secs(60))
}

fn record(state: EndpointState, sequence: u64) -> EndpointRecord {
    EndpointRecord {
        id: EndpointName::try_from("a").expect("a name"),
        service: "models".into(),
        address: ([10, 1, 0, 1], 8_000).into(),
        data_centre: "dc".into(),
        slots: 4,
        state,
        started_ms: 1,
        sequence,
        cold_ms: 0,
        version: "v1".into(),
    }
}

/// Polls as an instance of the given role that has received everything up to `answer`.
async fn poll(
    server: &RosterServer,
    name: &str,
    role: Role,
    answer: &raw::PollAnswer,
) -> raw::PollAnswer {
    let presence = Presence { role, ..presence(name) };
    let poll = raw::Poll {
        presence: Some(raw::Presence::from(&presence)),
        core_start: answer.core_start,
        cursor: answer.cursor,
        config_version: 0,
        wait_ms: 0,
        relays_as_of: 0,
        fetches_config: false,
    };
    let answered = server.handle(&presence.name, poll.encode_to_vec().into()).await;
    raw::PollAnswer::decode(answered.expect("an answer")).expect("valid")
}

// Guards against requests to an endpoint whose departure was lost together with the core instance
// that had just acknowledged it.
#[tokio::test]
async fn a_departure_is_copied_to_another_core_instance_before_it_is_acknowledged() {
    let server = server();
    let first = poll(&server, OTHER_CORE, Role::Core, &raw::PollAnswer::default()).await;
    server.announce(record(EndpointState::Draining, 2));
    assert!(server.wait_for_copy().now_or_never().is_none(), "no other instance has it");
    let second = poll(&server, OTHER_CORE, Role::Core, &first).await;
    assert!(server.wait_for_copy().now_or_never().is_none(), "its answer may be lost");
    let entry = poll(&server, "10.0.0.3:7401/0", Role::Entry, &second).await;
    poll(&server, "10.0.0.3:7401/0", Role::Entry, &entry).await;
    assert!(server.wait_for_copy().now_or_never().is_none(), "an entry instance keeps no copy");
    let third = poll(&server, OTHER_CORE, Role::Core, &second).await;
    poll(&server, OTHER_CORE, Role::Core, &third).await;
    assert!(server.wait_for_copy().now_or_never().is_some(), "the other instance has it");
}

#[tokio::test]
async fn the_only_core_instance_acknowledges_at_once() {
    let server = server();
    server.announce(record(EndpointState::Draining, 2));
    assert!(server.wait_for_copy().now_or_never().is_some());
}

#[tokio::test(start_paused = true)]
async fn an_acknowledgement_does_not_wait_for_an_instance_that_is_lost() {
    let server = server();
    poll(&server, OTHER_CORE, Role::Core, &raw::PollAnswer::default()).await;
    server.announce(record(EndpointState::Draining, 2));
    let waited = tokio::time::timeout(Duration::from_secs(1), server.wait_for_copy()).await;
    assert!(waited.is_ok());
}

// Guards against an instance of an earlier build that never gets a configuration, and against one of
// this build that is sent a document with each answer.
#[tokio::test]
async fn the_document_is_sent_only_to_instances_that_do_not_fetch_it() {
    let server = server();
    let config = Bytes::from_static(b"routes");
    server.apply_config_state(ConfigState {
        config_version: 3,
        config: config.clone(),
        ..ConfigState::default()
    });
    for (fetches_config, expected) in [(false, config), (true, Bytes::new())] {
        let presence = presence("10.0.0.3:7401/0");
        let poll = raw::Poll {
            presence: Some(raw::Presence::from(&presence)),
            fetches_config,
            ..raw::Poll::default()
        };
        let answered = server.handle(&presence.name, poll.encode_to_vec().into()).await;
        let answer = raw::PollAnswer::decode(answered.expect("an answer")).expect("valid");
        assert_eq!((answer.config_version, answer.config), (3, expected));
    }
}
