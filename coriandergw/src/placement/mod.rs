//! Which endpoint a call is sent to.
//!
//! A call goes where it is expected to finish first: its wait there, the part of its prompt that is
//! not cached there at the learned prefill rate, its answer at the learned decode rate, and the way.

pub mod baselines;
mod expected_finish;
mod linear_fit;
mod prefixes;
mod rates;

pub use expected_finish::CallDemand;
pub use expected_finish::Candidate;
pub use expected_finish::ExpectedFinish;
pub use expected_finish::PlacementDecision;
pub use expected_finish::PlacementPolicy;
pub use prefixes::CacheChange;
pub use prefixes::CacheEvent;
pub use prefixes::PrefixIndex;
pub use prefixes::PrefixKey;
pub use rates::RateEstimator;
pub use rates::RateSample;
pub use rates::Rates;

#[cfg(test)]
mod tests;
