//! Admission of calls by their expected wait.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;

/// The weight of a new interval in the moving average of the intervals between starts.
const SAMPLE_WEIGHT: f64 = 0.05;

/// The fraction of the wait limit that applies to the first call of a program.
const NEW_PROGRAM_FACTOR: f64 = 0.5;

/// The shortest and the longest retry delay that a refusal contains.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(10));

/// Estimates waits from the rate at which calls leave a queue.
#[derive(Debug, Clone, Default)]
pub struct WaitEstimate {
    interval_seconds: Option<f64>,
    started_at: Option<Timestamp>,
}

impl WaitEstimate {
    /// Records that a call was sent to an endpoint at `now`, and whether other calls still wait.
    pub fn started(&mut self, others_wait: bool, now: Timestamp) {
        if let Some(before) = self.started_at {
            let interval = now.since(before).as_secs_f64();
            let average = self.interval_seconds.get_or_insert(interval);
            *average += SAMPLE_WEIGHT * (interval - *average);
        }
        // An interval in which no calls waited does not reflect the speed of the endpoints.
        self.started_at = others_wait.then_some(now);
    }

    /// Returns the expected wait of a call behind `ahead` calls of its class, if the class gets
    /// `share` (0 to 1) of the service.
    pub fn wait(&self, ahead: usize, share: f64) -> Duration {
        let interval = self.interval_seconds.unwrap_or(0.0);
        let seconds = ahead as f64 * interval / share.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

/// A call that requests admission.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest {
    /// How long the call is expected to wait.
    pub expected_wait: Duration,
    /// The longest expected wait at which a call is admitted; the first call of a program is
    /// admitted only up to half of it.
    pub bound: Duration,
    /// Whether an earlier call of the program has been served.
    pub under_way: bool,
    /// When the caller wants the whole program to be finished.
    pub deadline: Option<Timestamp>,
}

/// Decides whether a call is admitted.
///
/// # Errors
/// Returns a refusal if the call is expected to wait longer than its limit or past its deadline.
pub fn admit(request: AdmissionRequest, now: Timestamp) -> Result<(), Refusal> {
    let bound = match request.under_way {
        true => request.bound,
        false => request.bound.mul_f64(NEW_PROGRAM_FACTOR),
    };
    // A missed deadline is no reason to refuse the call: the caller may still want the result.
    let deadline = request.deadline.filter(|deadline| *deadline > now);
    let remaining = deadline.map_or(Duration::MAX, |deadline| deadline.since(now));
    if request.expected_wait <= bound.min(remaining) {
        return Ok(());
    }
    let message = format!("the call is expected to wait {} ms", request.expected_wait.as_millis());
    let pause = request.expected_wait.saturating_sub(bound).clamp(RETRY_AFTER.0, RETRY_AFTER.1);
    Err(Refusal::not_run(ResultCode::Overloaded, message).retry_after(pause))
}
