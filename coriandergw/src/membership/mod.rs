//! Which instances answer: probes, suspicion and leaving.
//!
//! Each instance probes the others of its data centre in turn, directly and then through helpers.
//! One that answers neither is suspected; the suspicion travels with later messages, and the
//! suspected instance refutes it under a higher incarnation number. Across data centres only
//! their relays probe each other. [`Members`] decides; it reads no clock and sends nothing.

mod gossip;
mod member;
mod members;
mod probes;

pub use gossip::Update;
pub use member::Member;
pub use member::MemberState;
pub use members::Members;
pub use members::Message;
pub use members::MessageKind;
pub use members::Outgoing;

#[cfg(test)]
mod tests;
