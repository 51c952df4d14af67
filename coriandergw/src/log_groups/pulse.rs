//! Sends the heartbeats of many groups as one short message while nothing in them changes.
//!
//! Heartbeats of all groups that leave in one turn share their sending time. Apart from it they
//! are the same each time in an idle log. A sender therefore numbers the list of them and leaves
//! the list out once the receiver has told that it keeps the list of that number; the receiver
//! puts the same messages together again. The answers to heartbeats travel in the same way.

use std::collections::BTreeMap;

use crate::clock::Timestamp;
use crate::ids::GroupId;
use crate::ids::InstanceName;
use crate::log_groups::core::Body;
use crate::log_groups::core::Message;
use crate::log_groups::generated::Beat;
use crate::log_groups::generated::Pulse;
use crate::log_groups::generated::Pulses;

/// How often a list is left out while the receiver does not confirm it again.
const UNCONFIRMED_MAX: u32 = 2;

/// The highest number of the first list that a process sends to a peer.
const FIRST_NUMBER_MAX: u64 = 1 << 42;

/// Whether messages are heartbeats or answers to them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Heartbeats,
    Answers,
}

/// What this instance and its peers keep of each other's lists.
#[derive(Debug, Default)]
pub struct PulseCodec {
    peers: BTreeMap<InstanceName, PeerPulses>,
}

#[derive(Debug, Default)]
struct PeerPulses {
    heartbeats: Lists,
    answers: Lists,
}

/// The lists of one way, to a peer and from it.
#[derive(Debug, Default)]
struct Lists {
    sent: Sent,
    kept: Kept,
}

/// The last list sent to a peer.
#[derive(Debug, Default)]
struct Sent {
    number: u64,
    beats: Vec<Beat>,
    /// Whether the peer told that it keeps the list.
    confirmed: bool,
    /// How often the list was left out since the peer last confirmed it.
    unconfirmed: u32,
}

/// The last list that came from a peer.
#[derive(Debug, Default)]
struct Kept {
    number: u64,
    beats: Vec<Beat>,
}

impl PulseCodec {
    /// Takes the heartbeats and answers out of the messages to a peer.
    pub fn pack(&mut self, to: &InstanceName, messages: &mut Vec<(GroupId, Message)>) -> Pulses {
        let peer = self.peers.entry(to.clone()).or_default();
        Pulses {
            heartbeats: peer.heartbeats.sent.pack(messages, Way::Heartbeats),
            answers: peer.answers.sent.pack(messages, Way::Answers),
            kept_heartbeats: peer.heartbeats.kept.number,
            kept_answers: peer.answers.kept.number,
        }
    }

    /// Returns the messages that the pulses of a peer stand for.
    ///
    /// A list that is left out and not kept here counts as lost; it comes again in full.
    pub fn unpack(&mut self, from: &InstanceName, pulses: Pulses) -> Vec<(GroupId, Message)> {
        let peer = self.peers.entry(from.clone()).or_default();
        peer.heartbeats.sent.confirm(pulses.kept_heartbeats);
        peer.answers.sent.confirm(pulses.kept_answers);
        let mut messages = peer.heartbeats.kept.unpack(pulses.heartbeats, Way::Heartbeats);
        messages.extend(peer.answers.kept.unpack(pulses.answers, Way::Answers));
        messages
    }
}

impl Sent {
    /// Takes the messages of one way that share a sending time.
    fn pack(&mut self, messages: &mut Vec<(GroupId, Message)>, way: Way) -> Option<Pulse> {
        let sent_at = messages.iter().find_map(|(_, message)| way.matches(message))?;
        let of_pulse =
            |(_, message): &mut (GroupId, Message)| way.matches(message) == Some(sent_at);
        let beats: Vec<Beat> = messages.extract_if(.., of_pulse).map(to_beat).collect();
        if beats != self.beats {
            *self = Self { number: next_number(self.number), beats, ..Self::default() };
        }
        let leaves_out = self.confirmed && self.unconfirmed < UNCONFIRMED_MAX;
        self.unconfirmed = if leaves_out { self.unconfirmed + 1 } else { 0 };
        let beats = if leaves_out { Vec::new() } else { self.beats.clone() };
        Some(Pulse { sent_at_us: sent_at.0, list: self.number, beats })
    }

    fn confirm(&mut self, number: u64) {
        self.confirmed = number == self.number && number != 0;
        if self.confirmed {
            self.unconfirmed = 0;
        }
    }
}

impl Kept {
    fn unpack(&mut self, pulse: Option<Pulse>, way: Way) -> Vec<(GroupId, Message)> {
        let Some(Pulse { sent_at_us, list, beats }) = pulse else {
            return Vec::new();
        };
        if !beats.is_empty() {
            *self = Self { number: list, beats };
        }
        if self.number != list {
            return Vec::new();
        }
        self.beats.iter().map(|beat| way.message(beat, Timestamp(sent_at_us))).collect()
    }
}

impl Way {
    /// Returns the sending time of a message of this way.
    fn matches(self, message: &Message) -> Option<Timestamp> {
        let is_of_way = match message.body {
            Body::Heartbeat { .. } => self == Self::Heartbeats,
            Body::HeartbeatAnswer => self == Self::Answers,
            _ => false,
        };
        is_of_way.then_some(message.sent_at)
    }

    fn message(self, beat: &Beat, sent_at: Timestamp) -> (GroupId, Message) {
        let body = match self {
            Self::Heartbeats => Body::Heartbeat { commit: beat.commit, is_voter: beat.is_voter },
            Self::Answers => Body::HeartbeatAnswer,
        };
        (GroupId(beat.group), Message { term: beat.term, sent_at, counts: beat.counts, body })
    }
}

fn to_beat((group, message): (GroupId, Message)) -> Beat {
    let (commit, is_voter) = match message.body {
        Body::Heartbeat { commit, is_voter } => (commit, is_voter),
        _ => (0, false),
    };
    Beat { group: group.0, term: message.term, counts: message.counts, commit, is_voter }
}

/// Returns the number of the next list; the first one differs from that of an earlier process.
fn next_number(last: u64) -> u64 {
    match last {
        0 => rand::random_range(1..FIRST_NUMBER_MAX),
        last => last + 1,
    }
}

#[cfg(test)]
mod tests;
