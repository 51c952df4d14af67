//! Admission control: decides which calls are accepted and which are refused early.
//!
//! A refusal is sent immediately and tells the caller when to retry; calls that would wait too long
//! are not queued.

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
