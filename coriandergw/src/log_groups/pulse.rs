//! Compresses the heartbeats of many groups into one short message while they do not change.
//!
//! All heartbeats sent in one turn of the driver share their sending time. In an idle log, the
//! rest of their content is the same each time. A sender therefore numbers the list of heartbeats,
//! and omits the list once the receiver has confirmed that it stores the list with that number; the
//! receiver restores the messages from the stored list. Answers to heartbeats are sent in the same
//! way.

use std::collections::BTreeMap;

use crate::clock::Timestamp;
use crate::ids::GroupId;
use crate::ids::InstanceName;
use crate::log_groups::core::Body;
use crate::log_groups::core::Message;
use crate::log_groups::generated::Beat;
use crate::log_groups::generated::Pulse;
use crate::log_groups::generated::Pulses;

/// How many times in a row a list is omitted without a new confirmation by the receiver.
const MAX_OMISSIONS: u32 = 2;

/// The exclusive upper bound of the number of the first list that a process sends to a peer.
const FIRST_NUMBER_END: u64 = 1 << 42;

/// The kind of the messages in a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ListKind {
    Heartbeats,
    Answers,
}

/// For each peer, the lists last sent to it and last received from it.
#[derive(Debug, Default)]
pub struct PulseCodec {
    peers: BTreeMap<InstanceName, PeerPulses>,
}

#[derive(Debug, Default)]
struct PeerPulses {
    heartbeats: ListPair,
    answers: ListPair,
}

/// The lists of one kind: the one sent to a peer and the one received from it.
#[derive(Debug, Default)]
struct ListPair {
    sent: SentList,
    received: ReceivedList,
}

/// The last list sent to a peer, and its confirmation.
#[derive(Debug, Default)]
struct SentList {
    number: u64,
    beats: Vec<Beat>,
    /// Whether the peer confirmed that it stores the list.
    confirmed: bool,
    /// How many times in a row the list was omitted since the peer last confirmed it.
    omissions: u32,
}

/// The last list received from a peer.
#[derive(Debug, Default)]
struct ReceivedList {
    number: u64,
    beats: Vec<Beat>,
}

impl PulseCodec {
    /// Moves heartbeats and answers from the messages to a peer into pulses.
    pub fn pack(&mut self, to: &InstanceName, messages: &mut Vec<(GroupId, Message)>) -> Pulses {
        let peer = self.peers.entry(to.clone()).or_default();
        Pulses {
            heartbeats: peer.heartbeats.sent.pack(messages, ListKind::Heartbeats),
            answers: peer.answers.sent.pack(messages, ListKind::Answers),
            kept_heartbeats: peer.heartbeats.received.number,
            kept_answers: peer.answers.received.number,
        }
    }

    /// Restores the messages that the pulses of a peer represent.
    ///
    /// The messages of an omitted list that is not stored here are lost; the peer sends the list in
    /// full again.
    pub fn unpack(&mut self, from: &InstanceName, pulses: Pulses) -> Vec<(GroupId, Message)> {
        let peer = self.peers.entry(from.clone()).or_default();
        peer.heartbeats.sent.confirm(pulses.kept_heartbeats);
        peer.answers.sent.confirm(pulses.kept_answers);
        let mut messages = peer.heartbeats.received.unpack(pulses.heartbeats, ListKind::Heartbeats);
        messages.extend(peer.answers.received.unpack(pulses.answers, ListKind::Answers));
        messages
    }
}

impl SentList {
    /// Moves the messages of one kind that share the sending time of the first into a pulse.
    fn pack(&mut self, messages: &mut Vec<(GroupId, Message)>, kind: ListKind) -> Option<Pulse> {
        let sent_at = messages.iter().find_map(|(_, message)| kind.sent_at(message))?;
        let is_in_pulse =
            |(_, message): &mut (GroupId, Message)| kind.sent_at(message) == Some(sent_at);
        let beats: Vec<Beat> = messages.extract_if(.., is_in_pulse).map(to_beat).collect();
        if beats != self.beats {
            *self = Self { number: next_number(self.number), beats, ..Self::default() };
        }
        let omits_list = self.confirmed && self.omissions < MAX_OMISSIONS;
        self.omissions = if omits_list { self.omissions + 1 } else { 0 };
        let beats = if omits_list { Vec::new() } else { self.beats.clone() };
        Some(Pulse { sent_at_us: sent_at.0, list: self.number, beats })
    }

    fn confirm(&mut self, number: u64) {
        self.confirmed = number == self.number && number != 0;
        if self.confirmed {
            self.omissions = 0;
        }
    }
}

impl ReceivedList {
    fn unpack(&mut self, pulse: Option<Pulse>, kind: ListKind) -> Vec<(GroupId, Message)> {
        let Some(Pulse { sent_at_us, list, beats }) = pulse else {
            return Vec::new();
        };
        if !beats.is_empty() {
            *self = Self { number: list, beats };
        }
        if self.number != list {
            return Vec::new();
        }
        self.beats.iter().map(|beat| kind.message(beat, Timestamp(sent_at_us))).collect()
    }
}

impl ListKind {
    /// Returns the sending time of a message of this kind; `None` for other messages.
    fn sent_at(self, message: &Message) -> Option<Timestamp> {
        let is_of_kind = match message.body {
            Body::Heartbeat { .. } => self == Self::Heartbeats,
            Body::HeartbeatAnswer => self == Self::Answers,
            _ => false,
        };
        is_of_kind.then_some(message.sent_at)
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

/// Returns the number of the next list.
///
/// The first number is random, so that it differs from those of an earlier process.
fn next_number(last: u64) -> u64 {
    match last {
        0 => rand::random_range(1..FIRST_NUMBER_END),
        last => last + 1,
    }
}

#[cfg(test)]
mod tests;
