//! Tests of the control group's state machine.

use bytes::Bytes;
use prost::Message as _;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::ids::EndpointName;
use crate::ids::InstanceName;
use crate::log_groups::StateMachine;
use crate::roster::EndpointKey;
use crate::roster::EndpointState;
use crate::roster::departure::Departure;
use crate::roster::state::ConfigState;
use crate::versions::generated as raw;
use crate::versions::machine::VersionsMachine;
use crate::versions::machine::decode_state;
use crate::versions::machine::encode_departure;

fn machine() -> (VersionsMachine, watch::Receiver<ConfigState>) {
    let (published, receiver) = watch::channel(ConfigState::default());
    (VersionsMachine::new(published, mpsc::unbounded_channel().0), receiver)
}

fn apply(machine: &mut VersionsMachine, kind: raw::command::Kind) -> ConfigState {
    let command = raw::Command { kind: Some(kind), ..raw::Command::default() };
    decode_state(machine.apply(1, &command.encode_to_vec())).expect("valid state")
}

fn put(machine: &mut VersionsMachine, version: u64, text: &str) -> ConfigState {
    let document = Bytes::copy_from_slice(text.as_bytes());
    apply(machine, raw::command::Kind::Put(raw::Put { version, document }))
}

#[test]
fn the_highest_version_wins_whatever_the_order() {
    let (mut machine, receiver) = machine();
    put(&mut machine, 5, "five");
    assert_eq!(put(&mut machine, 3, "three").config, "five");
    assert_eq!(put(&mut machine, 5, "another five").config, "five");
    assert_eq!(put(&mut machine, 9, "nine").config_version, 9);
    assert_eq!(receiver.borrow().config, "nine");
}

#[test]
fn the_first_voters_are_set_once() {
    let (mut machine, _) = machine();
    let found_command =
        |voter: &str| raw::command::Kind::Found(raw::Found { voters: vec![voter.to_owned()] });
    apply(&mut machine, found_command("10.0.0.1:7000/0"));
    let state = apply(&mut machine, found_command("10.0.0.2:7000/0"));
    let expected = InstanceName::try_from("10.0.0.1:7000/0").expect("valid name");
    assert_eq!(state.first_journal_voters, [expected]);
}

#[test]
fn a_snapshot_restores_the_whole_state_and_publishes_it() {
    let (mut first, _) = machine();
    put(&mut first, 5, "five");
    apply(&mut first, raw::command::Kind::Retire(raw::Retire { node: "m".to_owned() }));
    let (mut second, receiver) = machine();
    second.restore(&first.snapshot()).expect("valid");
    assert_eq!(receiver.borrow().config, "five");
    assert_eq!(second.snapshot(), first.snapshot());
}

#[test]
fn a_malformed_command_changes_nothing() {
    let (mut machine, _) = machine();
    put(&mut machine, 5, "five");
    let answer = machine.apply(2, b"\xff\xff\xff");
    assert_eq!(decode_state(answer).expect("valid state").config, "five");
}

fn depart(machine: &mut VersionsMachine, departure: &Departure) -> Bytes {
    let command = raw::Command { kind: None, departure: encode_departure(departure) };
    machine.apply(1, &command.encode_to_vec())
}

fn departure(endpoint: &str, state: EndpointState, sequence: u64) -> Departure {
    let id = EndpointName::try_from(endpoint).expect("valid name");
    let endpoint = EndpointKey { id, service: "models".into() };
    Departure { endpoint, started_ms: 1, state, sequence }
}

// Guards against a departure that a voter forgets when it takes over a snapshot.
#[test]
fn departures_are_part_of_a_snapshot_and_published_when_it_is_restored() {
    let (mut first, _) = machine();
    put(&mut first, 5, "five");
    let gone = departure("a", EndpointState::Gone, 3);
    assert_eq!(depart(&mut first, &gone), "", "the configuration is not part of the answer");
    depart(&mut first, &departure("a", EndpointState::Draining, 9));
    let (sender, mut published) = mpsc::unbounded_channel();
    let mut second = VersionsMachine::new(watch::channel(ConfigState::default()).0, sender);
    second.restore(&first.snapshot()).expect("valid");
    assert_eq!(second.snapshot(), first.snapshot());
    assert_eq!(published.try_recv().ok(), Some(gone), "the departure for good is kept");
    assert!(published.try_recv().is_err());
}

#[test]
fn a_malformed_departure_changes_nothing() {
    let (mut machine, _) = machine();
    depart(&mut machine, &departure("a", EndpointState::Gone, 3));
    let before = machine.snapshot();
    depart(&mut machine, &departure("b", EndpointState::Ready, 3));
    let command = raw::Command { kind: None, departure: "\u{7f}".into() };
    machine.apply(1, &command.encode_to_vec());
    assert_eq!(machine.snapshot(), before);
}
