//! Chooses the endpoint that a call is sent to.
//!
//! A call is sent to the endpoint where it is expected to finish first. The estimate adds up the
//! wait at the endpoint, the prefill of the uncached part of the prompt and the decoding of the
//! answer at the learned rates, and the network round-trip time.

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
