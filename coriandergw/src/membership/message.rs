//! The messages between instances about their members.

use crate::ids::InstanceName;
use crate::membership::Update;

/// What a message asks or answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MessageKind {
    /// Asks for an answer.
    Ping {
        /// Numbers the probe.
        sequence: u64,
    },
    /// Asks a helper to probe another instance.
    PingRequest {
        /// Numbers the probe.
        sequence: u64,
        /// The instance to probe.
        target: InstanceName,
    },
    /// A helper's probe for `origin`.
    RelayedPing {
        /// Numbers the probe.
        sequence: u64,
        /// The instance that started the probe.
        origin: InstanceName,
    },
    /// The answer to a helper's probe.
    RelayedAck {
        /// Numbers the probe.
        sequence: u64,
        /// The instance that started the probe.
        origin: InstanceName,
    },
    /// Answers a probe.
    Ack {
        /// Numbers the probe.
        sequence: u64,
    },
    /// Asks for all members, from an instance that knows none.
    Join,
    /// Answers [`MessageKind::Join`] with news of all members.
    Welcome,
}

/// A message between instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// What it asks or answers.
    pub kind: MessageKind,
    /// News of members.
    pub updates: Vec<Update>,
}

/// A message to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver.
    pub to: InstanceName,
    /// The message.
    pub message: Message,
}
