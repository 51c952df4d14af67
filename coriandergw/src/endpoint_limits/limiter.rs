//! Grants permits for requests to limited endpoints, on the core instance that is responsible for
//! their service.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::endpoint_limits::RateLimit;
use crate::endpoint_limits::StatedLimit;
use crate::ids::EndpointName;
use crate::token_bucket::TokenBucket;

/// The permits that an endpoint accumulates while it gets fewer requests than its limit allows, as
/// the time in which its limit allows as many; at least one.
const BURST: Duration = Duration::from_millis(500);

/// The longest time after which a refused request is told to come back.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(2);

/// How long a limit is kept after the last request for a permit.
const RETENTION: Duration = Duration::from_secs(120);

/// The decision on a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request may be sent to the candidate at this position.
    Granted(usize),
    /// No candidate has room. The caller should come back after this time.
    Denied(Duration),
}

#[derive(Debug)]
struct Limited {
    stated: StatedLimit,
    bucket: TokenBucket,
    asked_at: Timestamp,
}

/// The limits of the endpoints that this core instance is responsible for.
#[derive(Debug, Default)]
pub struct Limiter {
    endpoints: HashMap<EndpointName, Limited>,
    /// For each service, the time up to which the coming permits are already needed by the requests
    /// that were told to come back.
    booked_until: HashMap<Arc<str>, Timestamp>,
    swept_at: Timestamp,
}

impl Limiter {
    /// Decides which of the candidates, in the order of preference, a request may be sent to. A
    /// request with an alternative does not come back if none of them has room.
    pub fn decide(
        &mut self,
        service: &Arc<str>,
        candidates: &[StatedLimit],
        has_alternative: bool,
        now: Timestamp,
    ) -> Verdict {
        self.sweep(now);
        let mut next_permit = RETRY_AFTER_MAX;
        let mut per_second = 0.0;
        for (position, stated) in candidates.iter().enumerate() {
            let Some(limited) = self.update(stated, now) else {
                // This incarnation has been replaced.
                continue;
            };
            if limited.bucket.take(now) {
                return Verdict::Granted(position);
            }
            next_permit = next_permit.min(limited.bucket.next_token_in(now));
            per_second += limited.stated.limit.permits_per_second();
        }
        Verdict::Denied(match has_alternative {
            true => next_permit,
            false => self.book(service, next_permit, per_second, now),
        })
    }

    /// Records what an entry instance knows of a limit; returns the newest knowledge, or `None` if
    /// the incarnation has been replaced.
    fn update(&mut self, stated: &StatedLimit, now: Timestamp) -> Option<&mut Limited> {
        let is_later = |known: &Limited| known.stated.started_ms < stated.started_ms;
        if self.endpoints.get(&stated.endpoint).is_none_or(is_later) {
            // Empty, since the permits of the core instance that was responsible before may have
            // been used a moment ago.
            let rate = stated.limit.permits_per_second();
            let bucket = TokenBucket::new(burst(stated.limit), rate, now).with_tokens(0.0);
            let limited = Limited { stated: stated.clone(), bucket, asked_at: now };
            self.endpoints.insert(stated.endpoint.clone(), limited);
        }
        let limited = self.endpoints.get_mut(&stated.endpoint)?;
        if limited.stated.started_ms != stated.started_ms {
            return None;
        }
        limited.asked_at = now;
        if limited.stated.stated_at < stated.stated_at {
            let rate = stated.limit.permits_per_second();
            limited.bucket.set_rate(burst(stated.limit), rate, now);
            limited.stated = stated.clone();
        }
        Some(limited)
    }

    /// Returns when a refused request should come back: once the requests that were refused before
    /// it have found room.
    fn book(
        &mut self,
        service: &Arc<str>,
        next_permit: Duration,
        per_second: f64,
        now: Timestamp,
    ) -> Duration {
        let each = Duration::try_from_secs_f64(1.0 / per_second).unwrap_or(RETRY_AFTER_MAX);
        let booked_until = self.booked_until.entry(service.clone()).or_default();
        let delay = booked_until.since(now).max(next_permit).min(RETRY_AFTER_MAX);
        *booked_until = now + (delay + each).min(RETRY_AFTER_MAX);
        delay
    }

    fn sweep(&mut self, now: Timestamp) {
        if now.since(self.swept_at) < RETENTION {
            return;
        }
        self.swept_at = now;
        self.endpoints.retain(|_, limited| now.since(limited.asked_at) < RETENTION);
        self.booked_until.retain(|_, until| *until > now);
    }
}

fn burst(limit: RateLimit) -> f64 {
    (limit.permits_per_second() * BURST.as_secs_f64()).max(1.0)
}

#[cfg(test)]
mod tests;
