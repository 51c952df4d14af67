//! The learned rates of endpoints.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::EndpointName;
use crate::placement::linear_fit::LinearFit;
use crate::placement::linear_fit::RegressionSums;

/// How much one sample of the time of a call counts against what was learned before.
const SAMPLE_WEIGHT: f64 = 0.1;

/// The calls that count for the rates of one endpoint, and of all.
const WINDOW_CALLS: (f64, f64) = (100.0, 1_000.0);

/// The calls of all endpoints that count for the first token like calls of the endpoint itself.
const SHARED_FIRST_TOKENS: f64 = 200.0;

/// The calls of all endpoints that count for the other tokens like calls of the endpoint itself.
const SHARED_DECODES: f64 = 20.0;

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
pub struct RateSample {
    /// Tokens of the prompt that were not cached.
    pub uncached_tokens: u64,
    /// Tokens that were generated.
    pub answer_tokens: u64,
    /// The time until the first token; equal to `total` for tools and services.
    pub first_token: Duration,
    /// The time until the end of the answer.
    pub total: Duration,
}

/// What was observed of an endpoint, or of all.
#[derive(Debug, Clone, Copy, Default)]
struct Observed {
    /// The time until the first token by the prompt tokens that were computed.
    first_token: RegressionSums,
    /// The time after the first token by the tokens that were generated in it.
    decode: RegressionSums,
    service_seconds: Option<f64>,
}

impl Observed {
    fn add(&mut self, sample: RateSample, window: f64) {
        let first = sample.first_token.as_secs_f64();
        let total = sample.total.as_secs_f64();
        self.first_token.add(sample.uncached_tokens as f64, first, window);
        if sample.answer_tokens > 1 {
            self.decode.add((sample.answer_tokens - 1) as f64, total - first, window);
        }
        let service = self.service_seconds.get_or_insert(total);
        *service += SAMPLE_WEIGHT * (total - *service);
    }

    /// Adds what was observed of all endpoints of the group, as far as that counts for one.
    fn with_shared(&self, shared: &Observed) -> Self {
        Self {
            first_token: self.first_token.plus(shared.first_token.limited(SHARED_FIRST_TOKENS)),
            decode: self.decode.plus(shared.decode.limited(SHARED_DECODES)),
            service_seconds: self.service_seconds.or(shared.service_seconds),
        }
    }

    fn rates(&self) -> Rates {
        let assumed = Rates::default();
        let first_token = self.first_token.line(LinearFit {
            offset: assumed.overhead_seconds,
            slope: assumed.prefill_seconds_per_token,
        });
        Rates {
            prefill_seconds_per_token: first_token.slope,
            decode_seconds_per_token: self.decode.ratio(assumed.decode_seconds_per_token),
            overhead_seconds: first_token.offset,
            service_seconds: self.service_seconds.unwrap_or(assumed.service_seconds),
        }
    }
}

/// Keeps the rates of the endpoints of one target.
///
/// Endpoints of one target are mostly alike, and the time until a first token varies with what else
/// runs there. An endpoint's rates are therefore learned from all calls and its own together: else
/// chance differences would move calls away from the caches that hold their prefixes.
#[derive(Debug, Default)]
pub struct RateEstimator {
    endpoints: HashMap<EndpointName, Observed>,
    shared: Observed,
}

impl RateEstimator {
    /// Returns the rates of an endpoint.
    pub fn rates(&self, name: &EndpointName) -> Rates {
        let own = self.endpoints.get(name);
        own.map_or(self.shared, |own| own.with_shared(&self.shared)).rates()
    }

    /// Returns the rates over all endpoints.
    pub fn mean(&self) -> Rates {
        self.shared.rates()
    }

    /// Learns from an answered call.
    pub fn learn(&mut self, name: &EndpointName, sample: RateSample) {
        self.endpoints.entry(name.clone()).or_default().add(sample, WINDOW_CALLS.0);
        self.shared.add(sample, WINDOW_CALLS.1);
    }

    /// Forgets an endpoint.
    pub fn forget(&mut self, name: &EndpointName) {
        self.endpoints.remove(name);
    }
}
