//! Converts between the generated Protocol Buffers types and the validated types of the core.

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use prost::Message as _;

use crate::clock::Timestamp;
use crate::ids::GroupId;
use crate::ids::InstanceName;
use crate::ids::NameError;
use crate::log_groups::core::Body;
use crate::log_groups::core::Entry;
use crate::log_groups::core::Members;
use crate::log_groups::core::Message;
use crate::log_groups::core::Payload;
use crate::log_groups::core::Record;
use crate::log_groups::core::Replacement;
use crate::log_groups::core::Snapshot;
use crate::log_groups::generated as raw;

/// The reason why bytes cannot be decoded as a message or record.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum WireError {
    /// The bytes are not a valid encoding.
    #[display("malformed: {reason}")]
    Malformed {
        /// The error of the decoder.
        reason: String,
    },
    /// A required part is missing.
    #[display("{part} is missing")]
    Missing {
        /// The description of the missing part.
        part: &'static str,
    },
    /// An instance name is not valid.
    #[display("invalid name: {cause}")]
    Name {
        /// The fault in the name.
        cause: NameError,
    },
    /// The message was sent by an instance of another cluster.
    #[display("the message is from the cluster {cluster:?}")]
    ForeignCluster {
        /// The name of that cluster.
        #[error(not(source))]
        cluster: String,
    },
}

impl From<NameError> for WireError {
    fn from(cause: NameError) -> Self {
        Self::Name { cause }
    }
}

impl From<prost::DecodeError> for WireError {
    fn from(cause: prost::DecodeError) -> Self {
        Self::Malformed { reason: cause.to_string() }
    }
}

fn names<I>(raw: I) -> Result<std::collections::BTreeSet<InstanceName>, WireError>
where
    I: IntoIterator<Item = String>,
{
    let checked: Result<_, NameError> = raw.into_iter().map(InstanceName::try_from).collect();
    Ok(checked?)
}

impl From<Members> for raw::Members {
    fn from(members: Members) -> Self {
        let replacement = members.replacement.map(|replacement| raw::Replacement {
            old: replacement.old.into(),
            new: replacement.new.into(),
        });
        Self {
            voters: members.voters.into_iter().map(String::from).collect(),
            learners: members.learners.into_iter().map(String::from).collect(),
            replacement,
        }
    }
}

impl TryFrom<raw::Members> for Members {
    type Error = WireError;

    fn try_from(raw: raw::Members) -> Result<Self, WireError> {
        let replacement = match raw.replacement {
            Some(replacement) => Some(Replacement {
                old: InstanceName::try_from(replacement.old)?,
                new: InstanceName::try_from(replacement.new)?,
            }),
            None => None,
        };
        Ok(Self { voters: names(raw.voters)?, learners: names(raw.learners)?, replacement })
    }
}

impl From<Entry> for raw::Entry {
    fn from(entry: Entry) -> Self {
        let payload = match entry.payload {
            Payload::Empty => None,
            Payload::Command(command) => Some(raw::entry::Payload::Command(command)),
            Payload::Members(members) => Some(raw::entry::Payload::Members(members.into())),
        };
        Self { index: entry.index, term: entry.term, payload }
    }
}

impl TryFrom<raw::Entry> for Entry {
    type Error = WireError;

    fn try_from(raw: raw::Entry) -> Result<Self, WireError> {
        let payload = match raw.payload {
            None => Payload::Empty,
            Some(raw::entry::Payload::Command(command)) => Payload::Command(command),
            Some(raw::entry::Payload::Members(members)) => Payload::Members(members.try_into()?),
        };
        Ok(Self { index: raw.index, term: raw.term, payload })
    }
}

fn entries(raw: Vec<raw::Entry>) -> Result<Vec<Entry>, WireError> {
    raw.into_iter().map(Entry::try_from).collect()
}

fn raw_entries(entries: Vec<Entry>) -> Vec<raw::Entry> {
    entries.into_iter().map(raw::Entry::from).collect()
}

fn members(raw: Option<raw::Members>) -> Result<Members, WireError> {
    raw.ok_or(WireError::Missing { part: "the list of members" })?.try_into()
}

impl From<Snapshot> for raw::Snapshot {
    fn from(snapshot: Snapshot) -> Self {
        let Snapshot { index, term, members, data } = snapshot;
        Self { index, term, members: Some(members.into()), data }
    }
}

impl TryFrom<raw::Snapshot> for Snapshot {
    type Error = WireError;

    fn try_from(raw: raw::Snapshot) -> Result<Self, WireError> {
        let raw::Snapshot { index, term, members: raw_members, data } = raw;
        Ok(Self { index, term, members: members(raw_members)?, data })
    }
}

impl From<Body> for raw::group_message::Body {
    fn from(body: Body) -> Self {
        match body {
            Body::PreVote { last_index: index, last_term: term } => {
                Self::PreVote(raw::LastEntry { index, term })
            }
            Body::PreVoteAnswer { granted } => Self::PreVoteGranted(granted),
            Body::Vote { last_index: index, last_term: term } => {
                Self::Vote(raw::LastEntry { index, term })
            }
            Body::VoteAnswer { granted } => Self::VoteGranted(granted),
            Body::Append { prev_index, prev_term, commit, entries } => {
                let entries = raw_entries(entries);
                Self::Append(raw::Append { prev_index, prev_term, commit, entries })
            }
            Body::AppendAnswer { matched } => Self::AppendMatched(matched),
            Body::AppendRefused { next } => Self::AppendRefusedNext(next),
            Body::Heartbeat { commit, is_voter } => {
                Self::Heartbeat(raw::Heartbeat { commit, is_voter })
            }
            Body::HeartbeatAnswer => Self::HeartbeatAnswer(raw::HeartbeatAnswer {}),
            Body::Chunk { index, index_term, members, offset, total, data } => {
                let members = Some(members.into());
                Self::Chunk(raw::Chunk { index, index_term, members, offset, total, data })
            }
            Body::ChunkAnswer { index, received } => {
                Self::ChunkAnswer(raw::ChunkAnswer { index, received })
            }
        }
    }
}

impl TryFrom<raw::group_message::Body> for Body {
    type Error = WireError;

    fn try_from(body: raw::group_message::Body) -> Result<Self, WireError> {
        use raw::group_message::Body as Raw;
        Ok(match body {
            Raw::PreVote(last) => Self::PreVote { last_index: last.index, last_term: last.term },
            Raw::PreVoteGranted(granted) => Self::PreVoteAnswer { granted },
            Raw::Vote(last) => Self::Vote { last_index: last.index, last_term: last.term },
            Raw::VoteGranted(granted) => Self::VoteAnswer { granted },
            Raw::Append(raw::Append { prev_index, prev_term, commit, entries: raw_entries }) => {
                Self::Append { prev_index, prev_term, commit, entries: entries(raw_entries)? }
            }
            Raw::AppendMatched(matched) => Self::AppendAnswer { matched },
            Raw::AppendRefusedNext(next) => Self::AppendRefused { next },
            Raw::Heartbeat(raw::Heartbeat { commit, is_voter }) => {
                Self::Heartbeat { commit, is_voter }
            }
            Raw::HeartbeatAnswer(_) => Self::HeartbeatAnswer,
            Raw::Chunk(chunk) => Self::Chunk {
                index: chunk.index,
                index_term: chunk.index_term,
                members: members(chunk.members)?,
                offset: chunk.offset,
                total: chunk.total,
                data: chunk.data,
            },
            Raw::ChunkAnswer(raw::ChunkAnswer { index, received }) => {
                Self::ChunkAnswer { index, received }
            }
        })
    }
}

fn group_message(raw: raw::GroupMessage) -> Result<(GroupId, Message), WireError> {
    let body = raw.body.ok_or(WireError::Missing { part: "the message's body" })?;
    let message = Message {
        term: raw.term,
        sent_at: Timestamp(raw.sent_at_us),
        counts: raw.counts,
        body: body.try_into()?,
    };
    Ok((GroupId(raw.group), message))
}

fn raw_group_message(group: GroupId, message: Message) -> raw::GroupMessage {
    raw::GroupMessage {
        group: group.0,
        term: message.term,
        sent_at_us: message.sent_at.0,
        counts: message.counts,
        body: Some(message.body.into()),
    }
}

/// Encodes the messages of all groups to one peer, and the pulses that hold heartbeats.
pub fn encode_envelope(
    cluster: &str,
    messages: Vec<(GroupId, Message)>,
    pulses: raw::Pulses,
) -> Bytes {
    let messages =
        messages.into_iter().map(|(group, message)| raw_group_message(group, message)).collect();
    let pulses = Some(pulses);
    let envelope = raw::Envelope { cluster: cluster.to_owned(), messages, pulses };
    envelope.encode_to_vec().into()
}

/// Decodes the messages of all groups from one peer, and the pulses that hold heartbeats.
///
/// # Errors
/// Fails if the bytes are malformed or come from another cluster.
pub fn decode_envelope(
    cluster: &str,
    bytes: Bytes,
) -> Result<(Vec<(GroupId, Message)>, raw::Pulses), WireError> {
    let envelope = raw::Envelope::decode(bytes)?;
    if envelope.cluster != cluster {
        return Err(WireError::ForeignCluster { cluster: envelope.cluster });
    }
    let messages = envelope.messages.into_iter().map(group_message);
    Ok((messages.collect::<Result<_, _>>()?, envelope.pulses.unwrap_or_default()))
}

impl From<(GroupId, Record)> for raw::Record {
    fn from((group, record): (GroupId, Record)) -> Self {
        use raw::record::Content;
        let content = match record {
            Record::HardState { term, voted_for } => {
                let voted_for = voted_for.map(String::from).unwrap_or_default();
                Content::HardState(raw::HardState { term, voted_for })
            }
            Record::Entries(entries) => {
                Content::Entries(raw::Entries { entries: raw_entries(entries) })
            }
            Record::Snapshot(snapshot) => Content::Snapshot(snapshot.into()),
            Record::VoteRegained => Content::VoteRegained(raw::VoteRegained {}),
        };
        Self { group: group.0, content: Some(content) }
    }
}

impl TryFrom<raw::Record> for (GroupId, Record) {
    type Error = WireError;

    fn try_from(raw: raw::Record) -> Result<Self, WireError> {
        use raw::record::Content;
        let record = match raw.content {
            Some(Content::HardState(raw::HardState { term, voted_for })) => {
                let voted_for = match voted_for.is_empty() {
                    true => None,
                    false => Some(InstanceName::try_from(voted_for)?),
                };
                Record::HardState { term, voted_for }
            }
            Some(Content::Entries(raw)) => Record::Entries(entries(raw.entries)?),
            Some(Content::Snapshot(snapshot)) => Record::Snapshot(snapshot.try_into()?),
            Some(Content::VoteRegained(_)) => Record::VoteRegained,
            None => return Err(WireError::Missing { part: "the record's content" }),
        };
        Ok((GroupId(raw.group), record))
    }
}

/// Encodes the records of a batch.
pub fn encode_records(records: Vec<(GroupId, Record)>) -> Vec<u8> {
    let records = records.into_iter().map(raw::Record::from).collect();
    raw::RecordBatch { records }.encode_to_vec()
}

/// Decodes the records of a batch.
///
/// # Errors
/// Fails if the bytes are malformed.
pub fn decode_records(bytes: &[u8]) -> Result<Vec<(GroupId, Record)>, WireError> {
    let batch = raw::RecordBatch::decode(bytes)?;
    batch.records.into_iter().map(TryFrom::try_from).collect()
}

/// Encodes a snapshot, including its data.
pub fn encode_snapshot(snapshot: Snapshot) -> Vec<u8> {
    raw::Snapshot::from(snapshot).encode_to_vec()
}

/// Decodes a snapshot, including its data.
///
/// # Errors
/// Fails if the bytes are malformed.
pub fn decode_snapshot(bytes: &[u8]) -> Result<Snapshot, WireError> {
    raw::Snapshot::decode(bytes)?.try_into()
}
