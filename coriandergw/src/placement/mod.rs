//! Which endpoint a call is sent to.
//!
//! A call goes where it is expected to finish first: its wait there, the part of its prompt that is
//! not cached there at the learned prefill rate, its answer at the learned decode rate, and the way.

pub mod baselines;
mod expected;
mod line;
mod prefixes;
mod rates;

pub use expected::Candidate;
pub use expected::ExpectedFinish;
pub use expected::Need;
pub use expected::Placer;
pub use expected::Verdict;
pub use prefixes::CacheChange;
pub use prefixes::CacheEvent;
pub use prefixes::PrefixBook;
pub use prefixes::PrefixKey;
pub use rates::RateBook;
pub use rates::Rates;
pub use rates::Sample;

#[cfg(test)]
mod tests;
