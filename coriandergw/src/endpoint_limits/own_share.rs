//! The equal share of each limit, which an entry instance uses while the responsible core instance
//! does not answer.

use std::collections::HashMap;

use crate::clock::Timestamp;
use crate::endpoint_limits::StatedLimit;
use crate::ids::EndpointName;
use crate::rendezvous::hash_of;
use crate::token_bucket::TokenBucket;

/// The requests that an instance may send at once by its equal share.
const BURST: f64 = 1.0;

/// The equal shares of an instance since the responsible core instance last answered.
///
/// With many instances a share is one request in seconds. Each instance starts at another point of
/// this time, so that all together send at the rate of the limit from the beginning, and not all
/// at once.
#[derive(Debug)]
pub struct OwnShares {
    since: Timestamp,
    shares: HashMap<EndpointName, TokenBucket>,
}

impl OwnShares {
    /// Creates the shares of a time without answers that begins at `now`.
    pub fn new(now: Timestamp) -> Self {
        Self { since: now, shares: HashMap::new() }
    }

    /// Takes one request from the share of instance `own` in a limit that `instances` instances
    /// share; returns whether there was one.
    pub fn take(
        &mut self,
        own: &str,
        stated: &StatedLimit,
        instances: usize,
        now: Timestamp,
    ) -> bool {
        let per_second = stated.limit.permits_per_second() / instances.max(1) as f64;
        let since = self.since;
        let share = self.shares.entry(stated.endpoint.clone()).or_insert_with(|| {
            let phase = hash_of(own, stated.endpoint.as_str()) as f64 / u64::MAX as f64;
            TokenBucket::new(BURST, per_second, since).with_tokens(phase)
        });
        share.set_rate(BURST, per_second, now);
        share.take(now)
    }
}

#[cfg(test)]
mod tests;
