//! What the scheduler learns from answered calls.

use crate::clock::Timestamp;
use crate::dispatch::CallKind;
use crate::dispatch::Usage;
use crate::dispatch::call_metadata::CallMetadata;
use crate::dispatch::scheduler::PrefixReuse;
use crate::dispatch::scheduler::Scheduler;
use crate::ids::EndpointName;
use crate::placement::RateSample;

/// How much one answer's length counts against what was learned before.
const ANSWER_SAMPLE_WEIGHT: f64 = 0.05;

impl Scheduler {
    pub(super) fn learn(
        &mut self,
        facts: &CallMetadata,
        endpoint: &EndpointName,
        sample: RateSample,
        now: Timestamp,
    ) {
        let book = self.rates.entry(facts.queue.clone()).or_default();
        let rates = book.mean();
        let expected = sample.uncached_tokens as f64 * rates.prefill_seconds_per_token
            + sample.answer_tokens as f64 * rates.decode_seconds_per_token
            + rates.overhead_seconds;
        book.learn(endpoint, sample);
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            let ratio = sample.total.as_secs_f64() / expected.max(f64::MIN_POSITIVE);
            state.limit.observe(ratio, state.in_flight(), sample.total, now);
        }
        if let Some(target) = self.targets.get_mut(&facts.queue) {
            let difference = sample.answer_tokens as f64 - target.answer_tokens;
            target.answer_tokens += ANSWER_SAMPLE_WEIGHT * difference;
        }
    }

    pub(super) fn learn_prefix(
        &mut self,
        facts: &CallMetadata,
        endpoint: &EndpointName,
        usage: Usage,
        now: Timestamp,
    ) -> PrefixReuse {
        if facts.queue.0 != CallKind::Model {
            return PrefixReuse::default();
        }
        let key = facts.own_prefix();
        let reusable = self.prefixes.computed_tokens(&key).min(facts.history_tokens);
        for (prefix, bound) in &facts.prefixes {
            if *prefix != key {
                self.prefixes.record(prefix.clone(), endpoint, *bound, now);
            }
        }
        self.prefixes.record(key, endpoint, usage.total(), now);
        PrefixReuse {
            reused: usage.cached_tokens,
            recomputed: reusable.saturating_sub(usage.cached_tokens),
        }
    }
}
