//! The messages of the membership protocol.

use crate::ids::InstanceName;
use crate::membership::Update;

/// The request or answer that a message carries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MessageKind {
    /// Probes the receiver, which answers with [`MessageKind::Ack`].
    Ping {
        /// The number of the probe at the instance that started it.
        sequence: u64,
    },
    /// Asks a helper to probe another instance on behalf of the sender.
    PingRequest {
        /// The number of the probe at the instance that started it.
        sequence: u64,
        /// The instance to probe.
        target: InstanceName,
    },
    /// A probe that a helper sends on behalf of `origin`.
    RelayedPing {
        /// The number of the probe at the instance that started it.
        sequence: u64,
        /// The instance that started the probe.
        origin: InstanceName,
    },
    /// Answers [`MessageKind::RelayedPing`].
    RelayedAck {
        /// The number of the probe at the instance that started it.
        sequence: u64,
        /// The instance that started the probe.
        origin: InstanceName,
    },
    /// Answers a probe, directly or forwarded by a helper.
    Ack {
        /// The number of the probe at the instance that started it.
        sequence: u64,
    },
    /// Asks for the full list of members; sent by an instance that has not heard from any other.
    Join,
    /// Answers [`MessageKind::Join`] with the records of the sender and of all members that it does
    /// not consider dead.
    Welcome,
}

/// A message of the membership protocol.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The request or answer.
    pub kind: MessageKind,
    /// The piggybacked updates of members.
    pub updates: Vec<Update>,
}

/// A message with its receiver, to be sent by the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// The instance to send it to.
    pub to: InstanceName,
    /// The message to send.
    pub message: Message,
}
