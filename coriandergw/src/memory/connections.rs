//! Decides which connections of a server are closed: at the bound and when a head does not end.
//!
//! Pure: time is an argument. The server asks it before it serves a connection.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::memory::budget::STALLED_AFTER;

/// Identifies a connection; never used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Activity {
    /// Nothing has arrived since the connection was accepted or its last request ended.
    Idle,
    /// A part of a head has arrived.
    Head,
    /// The body of a request arrives.
    Receiving,
    /// A request was answered before its body was read; what arrives may be the rest of the body.
    Unread,
    /// So many requests are served.
    Running(u32),
}

#[derive(Debug)]
struct Connection {
    activity: Activity,
    since: Timestamp,
    /// Whether a request was served on it before.
    has_served: bool,
    is_closing: bool,
}

/// The open connections of a server.
#[derive(Debug, Default)]
pub struct ConnectionTable {
    next_id: u64,
    open: BTreeMap<ConnectionId, Connection>,
}

impl ConnectionTable {
    /// Adds a connection that was accepted.
    pub fn open(&mut self, now: Timestamp) -> ConnectionId {
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        let connection = Connection {
            activity: Activity::Idle,
            since: now,
            has_served: false,
            is_closing: false,
        };
        self.open.insert(id, connection);
        id
    }

    /// Removes a connection that has ended.
    pub fn close(&mut self, id: ConnectionId) {
        self.open.remove(&id);
    }

    /// Returns how many connections are open.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Notes that bytes arrived.
    pub fn note_read(&mut self, id: ConnectionId, now: Timestamp) {
        let Some(connection) = self.open.get_mut(&id) else {
            return;
        };
        match connection.activity {
            Activity::Idle => {
                connection.activity = Activity::Head;
                connection.since = now;
            }
            Activity::Receiving => connection.since = now,
            // The time of a head counts from its first byte, however slowly the others come.
            Activity::Head | Activity::Unread | Activity::Running(_) => {}
        }
    }

    /// Notes that a head is whole, and whether a body follows.
    pub fn start_request(&mut self, id: ConnectionId, has_body: bool, now: Timestamp) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.activity = match connection.activity {
                Activity::Running(running) => Activity::Running(running + 1),
                _ if has_body => Activity::Receiving,
                _ => Activity::Running(1),
            };
            connection.since = now;
        }
    }

    /// Notes that the body of a request is whole.
    pub fn note_received(&mut self, id: ConnectionId) {
        if let Some(connection) = self.open.get_mut(&id)
            && connection.activity == Activity::Receiving
        {
            connection.activity = Activity::Running(1);
        }
    }

    /// Notes that the answer to a request has ended.
    pub fn end_request(&mut self, id: ConnectionId, now: Timestamp) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.activity = match connection.activity {
                Activity::Running(running) if running > 1 => Activity::Running(running - 1),
                Activity::Receiving => Activity::Unread,
                _ => Activity::Idle,
            };
            connection.since = now;
            connection.has_served = true;
        }
    }

    /// Chooses the connection to close for a new one, if any has no request that runs: one that never
    /// served a request before one that did, and of these the one without activity for longest. A body
    /// that arrives counts once it has made no progress for [`STALLED_AFTER`].
    ///
    /// A crowd that opens connections thus displaces itself before callers that reuse theirs.
    pub fn displace(&mut self, now: Timestamp) -> Option<ConnectionId> {
        let waiting = self.open.iter_mut().filter(|(_, connection)| {
            !connection.is_closing
                && match connection.activity {
                    Activity::Idle | Activity::Head | Activity::Unread => true,
                    Activity::Receiving => now.since(connection.since) >= STALLED_AFTER,
                    Activity::Running(_) => false,
                }
        });
        let oldest =
            waiting.min_by_key(|(id, connection)| (connection.has_served, connection.since, **id));
        let (id, connection) = oldest?;
        connection.is_closing = true;
        Some(*id)
    }

    /// Returns whether any connection was told to close and has not ended yet.
    pub fn is_closing_any(&self) -> bool {
        self.open.values().any(|connection| connection.is_closing)
    }

    /// Returns the connections whose head is not whole after `limit`; each is returned once.
    pub fn take_late_heads(&mut self, limit: Duration, now: Timestamp) -> Vec<ConnectionId> {
        let late = self.open.iter_mut().filter(|(_, connection)| {
            connection.activity == Activity::Head
                && !connection.is_closing
                && now.since(connection.since) >= limit
        });
        late.map(|(id, connection)| {
            connection.is_closing = true;
            *id
        })
        .collect()
    }
}

#[cfg(test)]
mod tests;
