//! The messages between processes.

// A later build has more fields than the released one.
#![allow(clippy::needless_update)]

use std::collections::BTreeMap;
use std::fmt::Debug;

use bytes::Bytes;
use prost::Message;

use crate::compatibility::encodings::released;
use crate::compatibility::encodings::with_newer_fields;
use crate::crashes::Crash;
use crate::crashes::generated as crashes;
use crate::endpoint_limits::generated as limits;
use crate::log_groups::generated as log;
use crate::log_groups::generated::group_message::Body;
use crate::log_groups::generated::propose_answer::Result as Proposed;
use crate::log_groups::wire;
use crate::relays::generated as relays;
use crate::roster::EndpointRecord;
use crate::roster::Presence;
use crate::roster::generated as roster;
use crate::token_budgets::generated as budgets;
use crate::versions::generated as versions;
use crate::versions::generated::command::Kind;

/// Returns whether bytes decode to the message.
type Check = Box<dyn Fn(&[u8]) -> bool>;

/// A message with a value in each field that the released build has.
struct Example {
    encoded: Vec<u8>,
    decodes_to_it: Check,
}

#[derive(Default)]
struct Examples(BTreeMap<String, Example>);

impl Examples {
    fn add<M>(&mut self, name: &str, message: M)
    where
        M: Message + Default + PartialEq + Debug + 'static,
    {
        let encoded = message.encode_to_vec();
        let decodes_to_it: Check =
            Box::new(move |bytes: &[u8]| M::decode(bytes).as_ref() == Ok(&message));
        self.0.insert(name.to_owned(), Example { encoded, decodes_to_it });
    }

    fn released(&self) -> BTreeMap<String, Vec<u8>> {
        let present = self.0.iter().map(|(name, example)| (name.clone(), example.encoded.clone()));
        released(&present.collect())
    }
}

fn texts(texts: &[&str]) -> Vec<String> {
    texts.iter().map(ToString::to_string).collect()
}

pub fn presence() -> roster::Presence {
    roster::Presence {
        name: "10.0.0.1:7381/5".to_owned(),
        role: 3,
        data_centre: "dc-1".to_owned(),
        node: "node-1".to_owned(),
        caller_address: "10.0.0.1:8149".to_owned(),
        ready: true,
        leaving: true,
        heard: true,
        started_ms: 1_700_000_000_001,
        term: 12,
        leads: true,
        voters: texts(&["10.0.0.1:7381/5", "10.0.0.2:7381/0"]),
        learners: texts(&["10.0.0.3:7381/9"]),
        is_founder: true,
        watchers: texts(&["10.0.0.4:7380/0"]),
        relay_address: "10.0.0.1:7383".to_owned(),
        lost_endpoints: true,
        ..roster::Presence::default()
    }
}

pub fn endpoint() -> roster::Endpoint {
    roster::Endpoint {
        id: "i-1".to_owned(),
        service: "models".to_owned(),
        address: "10.1.0.1:8184".to_owned(),
        data_centre: "dc-2".to_owned(),
        slots: 64,
        state: 2,
        started_ms: 1_700_000_000_002,
        sequence: 34,
        cold_ms: 900,
        version: "v1".to_owned(),
        ..roster::Endpoint::default()
    }
}

fn crash() -> crashes::Crash {
    crashes::Crash {
        endpoint: "i-1".to_owned(),
        started_ms: 1_700_000_000_002,
        suspects: (0..64).collect(),
        cleared: (100..132).collect(),
        ..crashes::Crash::default()
    }
}

fn stated_limit() -> limits::StatedLimit {
    limits::StatedLimit {
        endpoint: "i-1".to_owned(),
        started_ms: 1_700_000_000_002,
        limit: 2.5,
        age_ms: 40,
        ..limits::StatedLimit::default()
    }
}

fn add_roster(examples: &mut Examples) {
    let poll = roster::Poll {
        presence: Some(presence()),
        core_start: 1_700_000_000_000,
        cursor: 99,
        config_version: 7,
        wait_ms: 500,
        relays_as_of: 98,
        ..roster::Poll::default()
    };
    examples.add("roster.Poll", poll);
    let relay = roster::Relay {
        name: "10.0.0.6:7381/2".to_owned(),
        address: "10.0.0.6:7383".to_owned(),
        data_centre: "dc-1".to_owned(),
        ..roster::Relay::default()
    };
    let answer = roster::PollAnswer {
        core_start: 1_700_000_000_000,
        cursor: 100,
        endpoints: vec![endpoint()],
        instances: vec![presence()],
        config_version: 8,
        config: Bytes::from_static(b"{}"),
        first_journal_voters: texts(&["10.0.0.5:7382/0"]),
        retiring: texts(&["store-1"]),
        wants_presence: true,
        is_directory: true,
        entry_instances: 12,
        limits: vec![stated_limit().encode_to_vec().into()],
        crashes: vec![crash().encode_to_vec().into()],
        relays: vec![relay],
        relays_as_of: 97,
        ..roster::PollAnswer::default()
    };
    examples.add("roster.PollAnswer", answer);
    examples.add("roster.Presence", presence());
    examples.add("roster.Endpoint", endpoint());
}

fn members() -> log::Members {
    log::Members {
        voters: texts(&["10.0.0.1:7380/0", "10.0.0.2:7380/0"]),
        learners: texts(&["10.0.0.3:7380/4"]),
        replacement: Some(log::Replacement {
            old: "10.0.0.2:7380/0".to_owned(),
            new: "10.0.0.3:7380/4".to_owned(),
            ..log::Replacement::default()
        }),
        ..log::Members::default()
    }
}

fn bodies() -> Vec<Body> {
    let last = log::LastEntry { index: 41, term: 5, ..log::LastEntry::default() };
    let command = log::entry::Payload::Command(Bytes::from_static(b"command"));
    let payloads = [None, Some(command), Some(log::entry::Payload::Members(members()))];
    let entries = payloads.into_iter().zip(42..);
    let entries = entries.map(|(payload, index)| log::Entry {
        index,
        term: 5,
        payload,
        ..log::Entry::default()
    });
    let append = log::Append {
        prev_index: 41,
        prev_term: 5,
        commit: 40,
        entries: entries.collect(),
        ..log::Append::default()
    };
    let chunk = log::Chunk {
        index: 40,
        index_term: 5,
        members: Some(members()),
        offset: 64,
        total: 128,
        data: Bytes::from_static(b"chunk"),
        ..log::Chunk::default()
    };
    let received = log::ChunkAnswer { index: 40, received: 69, ..log::ChunkAnswer::default() };
    let heartbeat = log::Heartbeat { commit: 40, is_voter: true, ..log::Heartbeat::default() };
    vec![
        Body::PreVote(last),
        Body::PreVoteGranted(true),
        Body::Vote(last),
        Body::VoteGranted(true),
        Body::Append(append),
        Body::AppendMatched(44),
        Body::AppendRefusedNext(39),
        Body::Heartbeat(heartbeat),
        Body::HeartbeatAnswer(log::HeartbeatAnswer::default()),
        Body::Chunk(chunk),
        Body::ChunkAnswer(received),
    ]
}

fn add_log(examples: &mut Examples) {
    let messages = bodies().into_iter().map(|body| log::GroupMessage {
        group: 1,
        term: 6,
        sent_at_us: 123_456,
        counts: true,
        body: Some(body),
        ..log::GroupMessage::default()
    });
    let beat = log::Beat {
        group: 1,
        term: 6,
        counts: true,
        commit: 40,
        is_voter: true,
        ..log::Beat::default()
    };
    let pulse =
        log::Pulse { sent_at_us: 123_457, list: 3, beats: vec![beat], ..log::Pulse::default() };
    let pulses = log::Pulses {
        heartbeats: Some(pulse.clone()),
        answers: Some(log::Pulse { list: 4, ..pulse }),
        kept_heartbeats: 5,
        kept_answers: 6,
        ..log::Pulses::default()
    };
    let envelope = log::Envelope {
        cluster: "coriandergw".to_owned(),
        messages: messages.collect(),
        pulses: Some(pulses),
        ..log::Envelope::default()
    };
    examples.add("log_groups.Envelope", envelope);
    let request = log::ProposeRequest {
        group: 1,
        command: Bytes::from_static(b"command"),
        ..log::ProposeRequest::default()
    };
    examples.add("log_groups.ProposeRequest", request);
    let leader =
        log::NotLeader { leader: "10.0.0.2:7380/0".to_owned(), ..log::NotLeader::default() };
    let results = [
        ("applied", Proposed::Applied(Bytes::from_static(b"answer"))),
        ("not_leader", Proposed::NotLeader(leader)),
        ("not_proposed", Proposed::NotProposed("full".to_owned())),
        ("unknown", Proposed::Unknown("stopped".to_owned())),
    ];
    for (name, result) in results {
        let answer = log::ProposeAnswer { result: Some(result), ..log::ProposeAnswer::default() };
        examples.add(&format!("log_groups.ProposeAnswer.{name}"), answer);
    }
}

fn add_commands(examples: &mut Examples) {
    let reserve = budgets::Reserve {
        program: "p".to_owned(),
        turn: "t2".to_owned(),
        budget: 1_000,
        tokens: 200,
        engines: texts(&["i-1", "i-2"]),
        versions: texts(&["v1", "v2"]),
        resumes: "t1".to_owned(),
        limited: vec![false, true],
        ..budgets::Reserve::default()
    };
    let settle = budgets::Settle {
        program: "p".to_owned(),
        turn: "t1".to_owned(),
        tokens: 150,
        engine: "i-1".to_owned(),
        version: "v1".to_owned(),
        ..budgets::Settle::default()
    };
    let bind = budgets::Bind {
        program: "p".to_owned(),
        turn: "t1".to_owned(),
        version: "v1".to_owned(),
        ..budgets::Bind::default()
    };
    let command = budgets::Command {
        reserves: vec![reserve],
        settles: vec![settle],
        binds: vec![bind],
        wall_ms: 1_700_000_000_003,
        ..budgets::Command::default()
    };
    examples.add("token_budgets.Command", command);
    let verdict = budgets::Verdict {
        granted: true,
        left: 650,
        engine: "i-1".to_owned(),
        version: "v1".to_owned(),
        ..budgets::Verdict::default()
    };
    let answer = budgets::Answer { verdicts: vec![verdict], ..budgets::Answer::default() };
    examples.add("token_budgets.Answer", answer);
    let put = versions::Put {
        version: 8,
        document: Bytes::from_static(b"{}"),
        ..versions::Put::default()
    };
    let found =
        versions::Found { voters: texts(&["10.0.0.5:7382/0"]), ..versions::Found::default() };
    let retire = versions::Retire { node: "store-1".to_owned(), ..versions::Retire::default() };
    let kinds = [
        ("put", Kind::Put(put)),
        ("read", Kind::Read(versions::Read::default())),
        ("found", Kind::Found(found)),
        ("retire", Kind::Retire(retire)),
    ];
    for (name, kind) in kinds {
        let command = versions::Command { kind: Some(kind), ..versions::Command::default() };
        examples.add(&format!("versions.Command.{name}"), command);
    }
}

fn add_others(examples: &mut Examples) {
    let request = limits::PermitRequest {
        service: "models".to_owned(),
        candidates: vec![stated_limit()],
        has_alternative: true,
        ..limits::PermitRequest::default()
    };
    examples.add("endpoint_limits.PermitRequest", request);
    let answer =
        limits::PermitAnswer { granted: 1, retry_after_ms: 250, ..limits::PermitAnswer::default() };
    examples.add("endpoint_limits.PermitAnswer", answer);
    let report = crashes::CrashReport { crashes: vec![crash()], ..crashes::CrashReport::default() };
    examples.add("crashes.CrashReport", report);
    examples.add("crashes.Crash", crash());
    let open = relays::Open {
        endpoint: "i-1".to_owned(),
        started_ms: 1_700_000_000_002,
        address: "10.1.0.1:8184".to_owned(),
        from: "10.0.0.1:7381/5".to_owned(),
        ..relays::Open::default()
    };
    examples.add("relays.Open", open);
    examples.add("relays.Opened", relays::Opened { outcome: 6, ..relays::Opened::default() });
}

fn examples() -> Examples {
    let mut examples = Examples::default();
    add_roster(&mut examples);
    add_log(&mut examples);
    add_commands(&mut examples);
    add_others(&mut examples);
    examples
}

// Guards against a message of the released build that this build reads as another one.
#[test]
fn messages_of_the_released_build_are_read_as_they_were_meant() {
    let examples = examples();
    for (name, bytes) in examples.released() {
        if let Some(example) = examples.0.get(&name) {
            assert!((example.decodes_to_it)(&bytes), "{name}");
        }
    }
}

// Guards against a message of this build that the released build reads as another one.
#[test]
fn messages_are_encoded_as_the_released_build_encodes_them() {
    let examples = examples();
    let released = examples.released();
    for (name, example) in &examples.0 {
        assert_eq!(hex::encode(&example.encoded), hex::encode(&released[name]), "{name}");
    }
}

// Guards against a newer build's field that makes this build refuse the message or misread it.
#[test]
fn fields_of_a_newer_build_are_ignored() {
    let examples = examples();
    for (name, example) in &examples.0 {
        let newer = with_newer_fields(&example.encoded);
        assert!((example.decodes_to_it)(&newer), "{name}");
    }
}

// Guards against a check of received messages that refuses what the released build sends.
#[test]
fn messages_of_the_released_build_pass_the_checks_of_this_one() {
    let released = examples().released();
    let envelope = Bytes::from(released["log_groups.Envelope"].clone());
    let (messages, _) = wire::decode_envelope("coriandergw", envelope).expect("valid messages");
    assert_eq!(messages.len(), bodies().len());
    let bytes = Bytes::from(released["crashes.Crash"].clone());
    let crash = Crash::decode(bytes.clone()).expect("a valid crash");
    assert_eq!(crash.encode(), bytes);
    let raw = roster::Presence::decode(&released["roster.Presence"][..]).expect("a message");
    let checked = Presence::try_from(raw.clone()).expect("a valid presence");
    assert_eq!(roster::Presence::from(&checked), raw);
    let raw = roster::Endpoint::decode(&released["roster.Endpoint"][..]).expect("a message");
    let checked = EndpointRecord::try_from(raw.clone()).expect("a valid endpoint");
    assert_eq!(roster::Endpoint::from(&checked), raw);
}
