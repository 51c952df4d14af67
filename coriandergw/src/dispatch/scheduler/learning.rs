//! Updates the scheduler's estimates and known prefixes from answered calls.

use crate::clock::Timestamp;
use crate::dispatch::CallKind;
use crate::dispatch::Usage;
use crate::dispatch::call_metadata::CallMetadata;
use crate::dispatch::scheduler::PrefixReuse;
use crate::dispatch::scheduler::Scheduler;
use crate::ids::EndpointName;
use crate::placement::RateSample;

/// The weight of one answer's length in the moving average of answer lengths.
const ANSWER_SAMPLE_WEIGHT: f64 = 0.05;

impl Scheduler {
    pub(super) fn update_estimates(
        &mut self,
        metadata: &CallMetadata,
        endpoint: &EndpointName,
        sample: RateSample,
        now: Timestamp,
    ) {
        let estimator = self.rates.entry(metadata.queue.clone()).or_default();
        let rates = estimator.mean();
        let expected_seconds = sample.uncached_tokens as f64 * rates.prefill_seconds_per_token
            + sample.answer_tokens as f64 * rates.decode_seconds_per_token
            + rates.overhead_seconds;
        estimator.learn(endpoint, sample);
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            let ratio = sample.total.as_secs_f64() / expected_seconds.max(f64::MIN_POSITIVE);
            state.limit.observe(ratio, state.in_flight(), sample.total, now);
        }
        if let Some(target) = self.targets.get_mut(&metadata.queue) {
            let difference = sample.answer_tokens as f64 - target.answer_tokens;
            target.answer_tokens += ANSWER_SAMPLE_WEIGHT * difference;
        }
    }

    pub(super) fn record_prefixes(
        &mut self,
        metadata: &CallMetadata,
        endpoint: &EndpointName,
        usage: Usage,
        now: Timestamp,
    ) -> PrefixReuse {
        if metadata.queue.0 != CallKind::Model {
            return PrefixReuse::default();
        }
        let key = metadata.own_prefix();
        let reusable = self.prefixes.computed_tokens(&key).min(metadata.history_tokens);
        for (prefix, max_tokens) in &metadata.prefixes {
            if *prefix != key {
                self.prefixes.record(prefix.clone(), endpoint, *max_tokens, now);
            }
        }
        self.prefixes.record(key, endpoint, usage.total(), now);
        PrefixReuse {
            reused: usage.cached_tokens,
            recomputed: reusable.saturating_sub(usage.cached_tokens),
        }
    }
}
