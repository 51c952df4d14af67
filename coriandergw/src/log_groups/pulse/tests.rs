//! Tests of the compression of heartbeats.

use prost::Message as _;

use crate::clock::Timestamp;
use crate::ids::GroupId;
use crate::ids::InstanceName;
use crate::log_groups::core::Body;
use crate::log_groups::core::Message;
use crate::log_groups::generated::Pulses;
use crate::log_groups::pulse::PulseCodec;

/// The number of groups on an instance that stores the log, at the planned size.
const GROUPS: u32 = 20;

fn name(raw: &str) -> InstanceName {
    InstanceName::try_from(raw).expect("a valid name")
}

fn heartbeats(at: u64, commit: u64) -> Vec<(GroupId, Message)> {
    let body = Body::Heartbeat { commit, is_voter: true };
    let message = Message { term: 7, sent_at: Timestamp(at), counts: true, body };
    (0..GROUPS).map(|group| (GroupId(group), message.clone())).collect()
}

fn answers(at: u64) -> Vec<(GroupId, Message)> {
    let answer = |(group, message)| (group, Message { body: Body::HeartbeatAnswer, ..message });
    heartbeats(at, 0).into_iter().map(answer).collect()
}

/// A leader `a` and a follower `b`.
struct Pair {
    a: PulseCodec,
    b: PulseCodec,
}

impl Pair {
    fn new() -> Self {
        Self { a: PulseCodec::default(), b: PulseCodec::default() }
    }

    fn send_from_a(&mut self, mut messages: Vec<(GroupId, Message)>) -> Pulses {
        let pulses = self.a.pack(&name("b"), &mut messages);
        assert!(messages.is_empty());
        pulses
    }

    fn receive_at_b(&mut self, pulses: Pulses) -> Vec<(GroupId, Message)> {
        self.b.unpack(&name("a"), pulses)
    }

    /// Sends heartbeats and answers, checks that both arrive unchanged, and returns their encoded
    /// sizes in bytes.
    fn exchange(&mut self, at: u64, commit: u64) -> (usize, usize) {
        let pulses = self.send_from_a(heartbeats(at, commit));
        let pulses_bytes = pulses.encoded_len();
        assert_eq!(self.receive_at_b(pulses), heartbeats(at, commit));
        let answer_pulses = self.b.pack(&name("a"), &mut answers(at));
        let answer_bytes = answer_pulses.encoded_len();
        assert_eq!(self.a.unpack(&name("b"), answer_pulses), answers(at));
        (pulses_bytes, answer_bytes)
    }
}

#[test]
fn lists_are_omitted_until_something_in_them_changes() {
    let mut pair = Pair::new();
    let full = pair.exchange(100, 5);
    pair.exchange(200, 5);
    let short = pair.exchange(300, 5);
    assert!(short.0 * 5 < full.0 && short.1 * 5 < full.1, "{full:?}, then {short:?} bytes");
    let changed = pair.exchange(400, 6);
    assert!(changed.0 > short.0 * 5, "a new commit index must be sent");
    pair.exchange(500, 6);
    assert_eq!(pair.exchange(600, 6).0, short.0);
}

#[test]
fn a_restarted_peer_gets_the_list_again() {
    let mut pair = Pair::new();
    (1..5).for_each(|at| _ = pair.exchange(at, 5));
    pair.b = PulseCodec::default();
    let got = (5..10).map(|at| {
        let pulses = pair.send_from_a(heartbeats(at, 5));
        pair.receive_at_b(pulses)
    });
    let got: Vec<_> = got.collect();
    // No messages are restored from a list that is not stored.
    assert!(got.iter().all(|got| got.is_empty() || got.len() == GROUPS as usize));
    assert!(got[..3].iter().any(|got| !got.is_empty()), "the list was not sent again");
}

#[test]
fn a_late_list_is_not_taken_for_a_newer_one() {
    let mut pair = Pair::new();
    pair.exchange(1, 5);
    let late = pair.send_from_a(heartbeats(2, 6));
    pair.exchange(3, 7);
    pair.exchange(4, 7);
    assert_eq!(pair.receive_at_b(late), heartbeats(2, 6));
    for at in 5..9 {
        let pulses = pair.send_from_a(heartbeats(at, 7));
        let got = pair.receive_at_b(pulses);
        assert!(got.is_empty() || got == heartbeats(at, 7));
    }
    pair.exchange(9, 7);
}

#[test]
fn other_messages_and_other_sending_times_stay_as_they_are() {
    let mut codec = PulseCodec::default();
    let mut messages = heartbeats(1, 5);
    let later = heartbeats(2, 5).swap_remove(0);
    let append = Message { body: Body::AppendAnswer { matched: 3 }, ..later.1.clone() };
    messages.push(later.clone());
    messages.push((GroupId(1), append.clone()));
    let pulses = codec.pack(&name("b"), &mut messages);
    assert_eq!(messages, [later, (GroupId(1), append)]);
    assert_eq!(PulseCodec::default().unpack(&name("a"), pulses), heartbeats(1, 5));
}
