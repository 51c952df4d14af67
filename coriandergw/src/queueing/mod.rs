//! Chooses which waiting call is served next.
//!
//! Classes share service by weight, the owners of a class share it evenly, and the calls of an
//! owner are ordered by [`urgency`]: least attained service of the program tree first, and started
//! programs before new ones, with aging and deadlines.

mod fair_queue;
mod urgency;

pub use fair_queue::CallQueue;
pub use urgency::QueueSettings;
pub use urgency::QueuedCall;
pub use urgency::engine_priority;
pub use urgency::urgency;

#[cfg(test)]
mod tests;
