//! Learns the prefill and decode rates of endpoints from answered calls.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::EndpointName;
use crate::placement::linear_fit::LinearFit;
use crate::placement::linear_fit::RegressionSums;

/// The weight of a new sample in the moving average of the service time.
const SAMPLE_WEIGHT: f64 = 0.1;

/// The number of recent calls that determine the rates of one endpoint, and of all endpoints
/// together.
const WINDOW_CALLS: (f64, f64) = (100.0, 1_000.0);

/// The maximum weight of the calls of all endpoints in one endpoint's time to the first token, as a
/// number of its own calls.
const SHARED_FIRST_TOKEN_WEIGHT: f64 = 200.0;

/// The maximum weight of the calls of all endpoints in one endpoint's decode rate, as a number of
/// its own calls.
const SHARED_DECODE_WEIGHT: f64 = 20.0;

/// The speed of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rates {
    /// The time to compute one prompt token, in seconds.
    pub prefill_seconds_per_token: f64,
    /// The time to generate one token, in seconds.
    pub decode_seconds_per_token: f64,
    /// The part of a call's duration that does not depend on its number of tokens, in seconds.
    pub overhead_seconds: f64,
    /// The average time that a call occupies the endpoint, in seconds.
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

/// The measurements of one answered call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RateSample {
    /// The number of prompt tokens that were not cached.
    pub uncached_tokens: u64,
    /// The number of generated tokens.
    pub answer_tokens: u64,
    /// The time to the first token; equal to `total` for tools and services.
    pub first_token: Duration,
    /// The time to the end of the answer.
    pub total: Duration,
}

/// The observations of one endpoint, or of all endpoints together.
#[derive(Debug, Clone, Copy, Default)]
struct Observations {
    /// The time to the first token (`y`) by the number of uncached prompt tokens (`x`).
    first_token: RegressionSums,
    /// The time after the first token (`y`) by the number of tokens after the first (`x`).
    decode: RegressionSums,
    service_seconds: Option<f64>,
}

impl Observations {
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

    /// Combines an endpoint's own observations with those of all endpoints, whose weight is
    /// limited.
    fn with_shared(&self, shared: &Observations) -> Self {
        Self {
            first_token: self
                .first_token
                .plus(shared.first_token.limited(SHARED_FIRST_TOKEN_WEIGHT)),
            decode: self.decode.plus(shared.decode.limited(SHARED_DECODE_WEIGHT)),
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

/// Learns the rates of the endpoints of one target.
///
/// Endpoints of one target are usually similar, and the time to the first token varies with the
/// other calls at an endpoint. The rates of an endpoint are therefore estimated from its own calls
/// and from those of all endpoints: otherwise random differences would move calls away from the
/// endpoints that have cached their prefixes.
#[derive(Debug, Default)]
pub struct RateEstimator {
    endpoints: HashMap<EndpointName, Observations>,
    shared: Observations,
}

impl RateEstimator {
    /// Returns the rates of an endpoint; those over all endpoints if it has not answered any call
    /// yet.
    pub fn rates(&self, name: &EndpointName) -> Rates {
        let own = self.endpoints.get(name);
        own.map_or(self.shared, |own| own.with_shared(&self.shared)).rates()
    }

    /// Returns the rates over all endpoints.
    pub fn mean(&self) -> Rates {
        self.shared.rates()
    }

    /// Adds the measurements of an answered call.
    pub fn learn(&mut self, name: &EndpointName, sample: RateSample) {
        self.endpoints.entry(name.clone()).or_default().add(sample, WINDOW_CALLS.0);
        self.shared.add(sample, WINDOW_CALLS.1);
    }

    /// Removes the observations of an endpoint.
    pub fn forget(&mut self, name: &EndpointName) {
        self.endpoints.remove(name);
    }
}
