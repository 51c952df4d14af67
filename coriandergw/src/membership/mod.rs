//! Which instances answer: probes, suspicion and leaving.
//!
//! Each instance probes a few others of its data centre in turn, directly and then through helpers.
//! One that answers neither is suspected; the suspicion travels with later messages, others check
//! it, and the suspected instance refutes it under a higher incarnation number. Across data centres
//! only their relays probe each other. [`Members`] decides; it reads no clock and sends nothing.

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

/// Tells which instances should get no new work for now.
///
/// This is a hint: it may be wrong for some seconds, and instances may differ in it. What must hold
/// is decided by leases.
pub trait Liveness: Send + Sync {
    /// Returns whether an instance is leaving or found silent by enough others.
    fn is_avoided(&self, name: &InstanceName) -> bool;
}

#[cfg(test)]
mod tests;
