//! How long a call would wait, and whether it is let in.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;

/// How much one interval between two starts counts against what was learned before.
const SAMPLE_WEIGHT: f64 = 0.05;

/// The part of the bound that the first call of a program may be expected to wait.
const NEW_PROGRAM_SHARE: f64 = 0.5;

/// The shortest and the longest time after which a refused call may try again.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(10));

/// Learns how fast a queue is served.
#[derive(Debug, Clone, Default)]
pub struct WaitEstimate {
    interval_seconds: Option<f64>,
    started_at: Option<Timestamp>,
}

impl WaitEstimate {
    /// Records that a call left the queue for an endpoint, with others still waiting or not.
    pub fn started(&mut self, others_wait: bool, now: Timestamp) {
        if let Some(before) = self.started_at {
            let interval = now.since(before).as_secs_f64();
            let learned = self.interval_seconds.get_or_insert(interval);
            *learned += SAMPLE_WEIGHT * (interval - *learned);
        }
        // An interval in which nothing waited says nothing about the endpoints' speed.
        self.started_at = others_wait.then_some(now);
    }

    /// Returns the expected wait of a call with `ahead` calls of its class before it, where the
    /// class gets `share` of the service.
    pub fn wait(&self, ahead: usize, share: f64) -> Duration {
        let interval = self.interval_seconds.unwrap_or(0.0);
        let seconds = ahead as f64 * interval / share.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

/// A call that asks to be let in.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest {
    /// How long it is expected to wait.
    pub expected_wait: Duration,
    /// How long it may wait.
    pub bound: Duration,
    /// Whether its program has had an earlier call served.
    pub under_way: bool,
    /// When the caller wants the whole program done.
    pub deadline: Option<Timestamp>,
}

/// Lets a call in or refuses it.
///
/// # Errors
/// Refuses a call that is expected to wait beyond its bound or its deadline.
pub fn admit(arrival: AdmissionRequest, now: Timestamp) -> Result<(), Refusal> {
    let bound = match arrival.under_way {
        true => arrival.bound,
        false => arrival.bound.mul_f64(NEW_PROGRAM_SHARE),
    };
    // A deadline that has passed is no reason to refuse: the caller may still want the result.
    let deadline = arrival.deadline.filter(|deadline| *deadline > now);
    let remaining = deadline.map_or(Duration::MAX, |deadline| deadline.since(now));
    if arrival.expected_wait <= bound.min(remaining) {
        return Ok(());
    }
    let message = format!("the call is expected to wait {} ms", arrival.expected_wait.as_millis());
    let pause = arrival.expected_wait.saturating_sub(bound).clamp(RETRY_AFTER.0, RETRY_AFTER.1);
    Err(Refusal::not_run(ResultCode::Overloaded, message).retry_after(pause))
}
