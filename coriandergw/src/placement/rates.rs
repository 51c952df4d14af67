//! The learned rates of endpoints.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::EndpointName;

/// How much one sample counts against what was learned before.
const SAMPLE_WEIGHT: f64 = 0.1;

/// The uncached tokens below which a prompt says nothing about the prefill rate.
const PREFILL_SAMPLE_MIN_TOKENS: u64 = 64;

/// What is known of an endpoint's speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rates {
    /// Seconds to compute one token of a prompt.
    pub prefill_seconds_per_token: f64,
    /// Seconds to generate one token.
    pub decode_seconds_per_token: f64,
    /// Seconds of a call that do not depend on its tokens.
    pub overhead_seconds: f64,
    /// Seconds that a call occupies the endpoint on average.
    pub service_seconds: f64,
}

impl Default for Rates {
    fn default() -> Self {
        Self {
            prefill_seconds_per_token: 0.000_2,
            decode_seconds_per_token: 0.02,
            overhead_seconds: 0.01,
            service_seconds: 1.0,
        }
    }
}

/// One answered call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sample {
    /// Tokens of the prompt that were not cached.
    pub uncached_tokens: u64,
    /// Tokens that were generated.
    pub answer_tokens: u64,
    /// The time until the first token; equal to `total` for tools and services.
    pub first_token: Duration,
    /// The time until the end of the answer.
    pub total: Duration,
}

/// Keeps the rates of the endpoints, and the mean of all for those not seen yet.
#[derive(Debug, Default)]
pub struct RateBook {
    endpoints: HashMap<EndpointName, Rates>,
    mean: Option<Rates>,
}

impl RateBook {
    /// Returns the rates of an endpoint.
    pub fn rates(&self, name: &EndpointName) -> Rates {
        self.endpoints.get(name).copied().or(self.mean).unwrap_or_default()
    }

    /// Returns the mean rates.
    pub fn mean(&self) -> Rates {
        self.mean.unwrap_or_default()
    }

    /// Learns from an answered call.
    pub fn learn(&mut self, name: &EndpointName, sample: Sample) {
        let before = self.rates(name);
        let first = !self.endpoints.contains_key(name) && self.mean.is_none();
        let after = if first { initial(sample) } else { updated(before, sample) };
        self.endpoints.insert(name.clone(), after);
        self.mean = Some(match self.mean {
            None => after,
            Some(mean) => updated(mean, sample),
        });
    }

    /// Forgets an endpoint.
    pub fn forget(&mut self, name: &EndpointName) {
        self.endpoints.remove(name);
    }
}

fn initial(sample: Sample) -> Rates {
    let observed = updated(Rates::default(), sample);
    Rates { service_seconds: sample.total.as_secs_f64(), ..observed }
}

fn updated(rates: Rates, sample: Sample) -> Rates {
    let mut rates = rates;
    let first = sample.first_token.as_secs_f64();
    let total = sample.total.as_secs_f64();
    blend(&mut rates.service_seconds, total);
    if sample.uncached_tokens >= PREFILL_SAMPLE_MIN_TOKENS {
        let prefill = (first - rates.overhead_seconds).max(0.0) / sample.uncached_tokens as f64;
        blend(&mut rates.prefill_seconds_per_token, prefill);
    } else {
        blend(&mut rates.overhead_seconds, first);
    }
    if sample.answer_tokens > 1 {
        let decode = (total - first) / (sample.answer_tokens - 1) as f64;
        blend(&mut rates.decode_seconds_per_token, decode);
    }
    rates
}

fn blend(learned: &mut f64, observed: f64) {
    *learned += SAMPLE_WEIGHT * (observed - *learned);
}
