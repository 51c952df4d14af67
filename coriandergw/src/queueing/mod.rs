//! Which waiting call goes next.
//!
//! Classes share service by weight, owners share a class evenly, and the calls of one owner go in
//! the order of [`urgency`]: least attained service of the program tree, programs under way before
//! new ones, with aging and deadlines.

mod fair_queue;
mod urgency;

pub use fair_queue::CallQueue;
pub use urgency::QueueSettings;
pub use urgency::QueuedCall;
pub use urgency::engine_priority;
pub use urgency::urgency;

#[cfg(test)]
mod tests;
