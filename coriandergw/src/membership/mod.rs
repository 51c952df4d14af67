//! Failure detection and membership, in the manner of SWIM.
//!
//! Each instance probes a few others of its data centre in turn, first directly and then through
//! helpers. An instance that answers neither way is suspected. The suspicion is piggybacked on
//! later messages, other instances verify it with probes of their own, and the suspected instance
//! refutes it with a higher incarnation number. Between data centres, only the relays probe each
//! other regularly; any instance may probe a suspected or dead member of another data centre.
//! [`Members`] holds the protocol logic; it reads no clock and does no I/O.

use crate::ids::InstanceName;

mod driver;
#[allow(missing_docs, clippy::all)]
mod generated;
mod gossip;
mod member;
mod members;
mod message;
mod probes;
mod status;
mod suspicion;
mod targets;
mod timing;
mod wire;

pub use driver::Membership;
pub use gossip::Update;
pub use member::Member;
pub use member::MemberState;
pub use members::Members;
pub use message::Message;
pub use message::MessageKind;
pub use message::Outgoing;
pub use status::MemberStatus;
pub use timing::Timing;

/// Tells which instances should currently get no new work.
///
/// The answer is a hint: it may be wrong for some seconds, and instances may disagree about it.
/// Correctness depends on leases only.
pub trait Liveness: Send + Sync {
    /// Returns whether an instance is leaving, dead or suspected by enough instances.
    fn is_avoided(&self, name: &InstanceName) -> bool;
}

#[cfg(test)]
mod tests;
