//! Messages between instances.
//!
//! A message has a [`Kind`] that names the slice which understands it and a payload that only this
//! slice parses. The transport knows neither.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;

use crate::ids::InstanceName;

pub mod memory;
pub mod peers;
pub mod quic;
pub mod tcp;
pub mod tls;

/// The largest payload of one message, in bytes.
pub const PAYLOAD_MAX_BYTES: usize = 8 * 1024 * 1024;

/// Names the slice that a message is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum Kind {
    /// Messages of the replicated log between voters.
    Log = 1,
    /// A command proposed to the leader of a log group.
    Propose = 2,
    /// Lease renewals and configuration distribution.
    Control = 3,
    /// Membership probes.
    Membership = 4,
    /// Endpoint announcements passed between instances.
    Endpoints = 5,
    /// Requests for the events of an instance.
    Events = 6,
    /// Requests about programs between homes and journal replicas.
    Programs = 7,
    /// Polls of the roster: who lives, which endpoints there are, the version of the configuration.
    Roster = 8,
    /// Signs of life of an instance between its polls of the roster.
    Pulse = 9,
    /// Requests for permits to send to endpoints that name a limit.
    Permit = 10,
    /// Reports of endpoints that crashed.
    Crash = 11,
    /// Requests for permits within the limits of client accounts.
    AccountPermit = 12,
    /// Reads and writes of kept turns.
    KeptTurns = 13,
    /// Requests for pieces of the configuration.
    ConfigFetch = 14,
}

impl Kind {
    /// All kinds.
    pub const ALL: &[Kind] = &[
        Kind::Log,
        Kind::Propose,
        Kind::Control,
        Kind::Membership,
        Kind::Endpoints,
        Kind::Events,
        Kind::Programs,
        Kind::Roster,
        Kind::Pulse,
        Kind::Permit,
        Kind::Crash,
        Kind::AccountPermit,
        Kind::KeptTurns,
        Kind::ConfigFetch,
    ];

    /// Returns the kind with this number on the wire.
    pub fn from_number(number: u8) -> Option<Kind> {
        Kind::ALL.iter().copied().find(|kind| *kind as u8 == number)
    }
}

/// Says why a message got no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum TransportError {
    /// The peer's address is not known.
    #[display("no address is known for instance {peer}")]
    UnknownPeer {
        /// The peer that was to be reached.
        peer: InstanceName,
    },
    /// The message was certainly not delivered.
    #[display("instance {peer} could not be reached: {reason}")]
    Unreachable {
        /// The peer that was to be reached.
        peer: InstanceName,
        /// What the lower layer reported.
        reason: String,
    },
    /// The message may have been delivered; no answer came in time.
    #[display("instance {peer} did not answer: {reason}")]
    NoAnswer {
        /// The peer that was to be reached.
        peer: InstanceName,
        /// What the lower layer reported.
        reason: String,
    },
    /// The peer received the message and refused it.
    #[display("instance {peer} refused the message: {reason}")]
    Refused {
        /// The peer that refused.
        peer: InstanceName,
        /// The peer's reason.
        reason: String,
    },
    /// The payload is larger than [`PAYLOAD_MAX_BYTES`].
    #[display("a payload of {bytes} bytes is too large")]
    TooLarge {
        /// The payload's size in bytes.
        bytes: usize,
    },
}

/// Handles the messages of one kind that other instances send.
#[async_trait]
pub trait Handler: Send + Sync {
    /// Answers one message. An `Err` reaches the sender as [`TransportError::Refused`].
    async fn handle(&self, from: &InstanceName, payload: Bytes) -> Result<Bytes, String>;
}

/// Sends messages to other instances.
#[async_trait]
pub trait Transport: Send + Sync {
    /// Sends a message without waiting for it; it may be lost and overtaken by others.
    fn send(&self, to: &InstanceName, kind: Kind, payload: Bytes);

    /// Sends a message and waits for its answer, at most for `timeout`.
    async fn call(
        &self,
        to: &InstanceName,
        kind: Kind,
        payload: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, TransportError>;

    /// Registers the handler of a kind. Later registrations replace earlier ones.
    fn register(&self, kind: Kind, handler: Arc<dyn Handler>);

    /// Records where a peer can be reached. Addresses from the settings take precedence.
    fn learn(&self, peer: &InstanceName, address: SocketAddr);

    /// Opens a new connection for the next message to a peer that did not answer: a restarted
    /// process knows nothing of the old one. Messages under way keep the old connection.
    fn reconnect(&self, _peer: &InstanceName) {}
}
