//! The follower's handling of entries, heartbeats and snapshot chunks.

use bytes::BytesMut;

use crate::clock::Timestamp;
use crate::ids::InstanceName;
use crate::log_groups::core::Body;
use crate::log_groups::core::Core;
use crate::log_groups::core::Entry;
use crate::log_groups::core::Snapshot;

/// The largest snapshot that is accepted, in bytes.
const SNAPSHOT_MAX_BYTES: u64 = 1 << 30;

/// A snapshot of which some chunks have been received.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    index: u64,
    index_term: u64,
    buf: BytesMut,
}

impl Core {
    pub(super) fn on_append(
        &mut self,
        from: &InstanceName,
        sent_at: Timestamp,
        (prev_index, prev_term): (u64, u64),
        commit: u64,
        mut entries: Vec<Entry>,
    ) {
        if self.is_leader() || !are_consecutive(prev_index, &entries) {
            return;
        }
        let matched = prev_index + entries.len() as u64;
        let prev_matches =
            prev_index <= self.commit || self.log.term_at(prev_index) == Some(prev_term);
        if !prev_matches {
            let next = self.retry_index(prev_index);
            return self.answer_after_sync(from, sent_at, Body::AppendRefused { next });
        }
        // Committed entries are the same on every later leader.
        let is_known = |entry: &Entry| {
            entry.index <= self.commit || self.log.term_at(entry.index) == Some(entry.term)
        };
        let known = entries.iter().take_while(|entry| is_known(entry)).count();
        entries.drain(..known);
        if let Some(first) = entries.first() {
            if first.index <= self.log.last_index() {
                self.truncate(first.index);
            }
            self.push_entries(entries);
        }
        self.leader_commit = self.leader_commit.max(commit.min(matched));
        self.advance_follower_commit();
        self.answer_after_sync(from, sent_at, Body::AppendAnswer { matched });
    }

    /// Returns the next index for the leader to try, given that the logs differ at `prev_index`.
    fn retry_index(&self, prev_index: u64) -> u64 {
        if prev_index > self.log.last_index() {
            return self.log.last_index() + 1;
        }
        self.log.first_of_term(prev_index).max(self.commit + 1)
    }

    pub(super) fn on_heartbeat(
        &mut self,
        from: &InstanceName,
        sent_at: Timestamp,
        commit: u64,
        is_voter: bool,
    ) {
        if self.is_leader() {
            return;
        }
        // A member that is not a voter in the committed membership may vote once it becomes one.
        if self.log_lost && !is_voter {
            self.regain_vote();
        }
        self.leader_commit = self.leader_commit.max(commit);
        self.advance_follower_commit();
        let last_index = self.log.last_index();
        let body = match commit > last_index {
            // This member lost its log: the leader knows that it once held more.
            true => Body::AppendRefused { next: last_index + 1 },
            false => Body::HeartbeatAnswer,
        };
        self.answer_term(from, sent_at, body);
    }

    /// Advances the commit index to the leader's, limited to what is synced here.
    pub(super) fn advance_follower_commit(&mut self) {
        let commit = self.leader_commit.min(self.durable_index());
        self.commit = self.commit.max(commit);
    }

    pub(super) fn on_chunk(&mut self, from: &InstanceName, sent_at: Timestamp, chunk: Body) {
        let Body::Chunk { index, index_term, members, offset, total, data } = chunk else {
            return;
        };
        if self.is_leader() || total > SNAPSHOT_MAX_BYTES {
            return;
        }
        if index <= self.commit {
            self.incoming = None;
            return self.answer_after_sync(from, sent_at, Body::AppendAnswer { matched: index });
        }
        let buf = self.incoming_buf(index, index_term);
        if offset == buf.len() as u64 {
            buf.extend_from_slice(&data);
        }
        let received = buf.len() as u64;
        if received < total {
            let body = Body::ChunkAnswer { index, received };
            return self.answer_after_sync(from, sent_at, body);
        }
        let data = std::mem::take(buf).freeze();
        self.incoming = None;
        self.install(Snapshot { index, term: index_term, members, data });
        self.answer_after_sync(from, sent_at, Body::AppendAnswer { matched: index });
    }

    fn incoming_buf(&mut self, index: u64, index_term: u64) -> &mut BytesMut {
        let is_same = |incoming: &IncomingSnapshot| {
            incoming.index == index && incoming.index_term == index_term
        };
        let kept = self.incoming.take().filter(is_same);
        let new_incoming = || IncomingSnapshot { index, index_term, buf: BytesMut::new() };
        &mut self.incoming.insert(kept.unwrap_or_else(new_incoming)).buf
    }
}

fn are_consecutive(prev_index: u64, entries: &[Entry]) -> bool {
    let indices = prev_index.saturating_add(1)..;
    entries.iter().zip(indices).all(|(entry, index)| entry.index == index)
}
