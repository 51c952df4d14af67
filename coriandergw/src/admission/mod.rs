//! Which calls are let in, and which are refused early.
//!
//! A refusal is given at once and says when a new attempt makes sense; nothing is held back.

mod concurrency;
mod limits;
mod retries;
mod waits;

pub use concurrency::ConcurrencyLimit;
pub use limits::EntryCallCounts;
pub use limits::instance_share;
pub use retries::RetryBudget;
pub use retries::backoff;
pub use waits::AdmissionRequest;
pub use waits::WaitEstimate;
pub use waits::admit;

#[cfg(test)]
mod tests;
