//! The requests that an instance may send without an answer of the limit keeper.

use std::collections::HashMap;
use std::sync::Arc;

use crate::account_limits::LimitTolerance;
use crate::accounts::AccountLimit;
use crate::clock::Timestamp;
use crate::rendezvous::hash_of;

/// The distance of the mean of all own shares from half of the tolerated excess, in standard
/// deviations of a Poisson variable. With 4, fewer than one in 10,000 windows has more; with 3.5 it
/// would be up to 1.8 in 10,000 for a limit of 2,000 requests a second.
const SAFETY_DEVIATIONS: f64 = 4.0;

/// The windows of an instance's clock that a time window can overlap.
const WINDOWS_OVERLAPPED: f64 = 2.0;

/// The requests that an instance has sent by its own shares in the present window of its clock.
///
/// The share of an instance is mostly less than one request in a window. Which instances may send
/// one is drawn by hashing for each window, so that not all of them save up a request and send it at
/// the same time.
#[derive(Debug, Default)]
pub struct OwnShares {
    window: u64,
    used: HashMap<Arc<str>, u64>,
}

impl OwnShares {
    /// Takes one request from the share of instance `own` in the tolerated excess of an account, if
    /// `instances` instances share it; returns whether there was one.
    pub fn take(
        &mut self,
        own: &str,
        account: &Arc<str>,
        limit: AccountLimit,
        tolerance: &LimitTolerance,
        instances: usize,
        now: Timestamp,
    ) -> bool {
        let window = now.0 / (tolerance.window.as_micros() as u64).max(1);
        if window != self.window {
            self.used.clear();
            self.window = window;
        }
        let share = share(limit, tolerance, instances);
        let draw = hash_of(&format!("{own} {window}"), account) as f64 / u64::MAX as f64;
        let allowed = share as u64 + u64::from(draw < share.fract());
        let used = self.used.entry(account.clone()).or_default();
        let is_allowed = *used < allowed;
        *used += u64::from(is_allowed);
        is_allowed
    }
}

/// Returns the mean number of requests that an instance may send in a window of its clock.
fn share(limit: AccountLimit, tolerance: &LimitTolerance, instances: usize) -> f64 {
    // The square root of a Poisson variable has a standard deviation of a half.
    let root = tolerance.half_excess(limit).sqrt() - SAFETY_DEVIATIONS / 2.0;
    let all = root.max(0.0).powi(2);
    all / WINDOWS_OVERLAPPED / instances.max(1) as f64
}

#[cfg(test)]
mod tests;
