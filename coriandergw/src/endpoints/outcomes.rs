//! Passive health checks: tracks the health of endpoints by the outcomes of their calls.
//!
//! Each failure lowers an endpoint's weight. Below a threshold the endpoint is ejected for a while
//! and then gets trial calls at a low weight. One success ends the trial, one failure ejects the
//! endpoint again. At most [`EJECTED_SHARE_MAX`] of a group is ejected at once, so that the
//! remaining endpoints are not overloaded.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::EndpointName;

/// The largest share of a group's endpoints that may be ejected at once.
pub const EJECTED_SHARE_MAX: f64 = 0.34;

/// The weight below which an endpoint is ejected.
const EJECTION_WEIGHT: f64 = 0.1;

/// The weight of an endpoint after its ejection, until it answers a call. An endpoint that is not
/// ejected because of [`EJECTED_SHARE_MAX`] is set to this weight as well.
const TRIAL_WEIGHT: f64 = 0.15;

/// What a success adds to the weight.
const SUCCESS_STEP: f64 = 0.1;

/// The time in which a weight recovers half of its distance to 1 without calls.
const RECOVERY_HALF_LIFE: Duration = Duration::from_secs(20);

/// The duration of the first ejection; each further one lasts twice as long, up to
/// [`EJECTION_MAX`].
const EJECTION_MIN: Duration = Duration::from_secs(1);

/// The longest ejection.
const EJECTION_MAX: Duration = Duration::from_secs(30);

/// The outcome of a call as far as it concerns the endpoint's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered in full.
    Answered,
    /// The endpoint answered with an error.
    Error,
    /// The connection failed or was closed before the answer was complete.
    Broken,
    /// The endpoint accepted the call but sent no output within a time limit.
    Hung,
    /// The endpoint announced itself again after its announcement had expired.
    Returned,
}

impl Outcome {
    /// Returns the factor by which the outcome lowers the weight.
    fn weight_factor(self) -> f64 {
        match self {
            Outcome::Answered => 1.0,
            Outcome::Error => 0.6,
            Outcome::Broken | Outcome::Returned => 0.4,
            Outcome::Hung => 0.25,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Health {
    weight: f64,
    updated_at: Timestamp,
    ejections: u32,
    ejected_until: Option<Timestamp>,
}

impl Health {
    fn current_weight(&self, now: Timestamp) -> f64 {
        let half_lives =
            now.since(self.updated_at).as_secs_f64() / RECOVERY_HALF_LIFE.as_secs_f64();
        1.0 - (1.0 - self.weight) * 0.5_f64.powf(half_lives)
    }

    fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }
}

/// Tracks the health of endpoints that have failed and not fully recovered.
#[derive(Debug, Default)]
pub struct HealthTracker {
    endpoints: HashMap<EndpointName, Health>,
}

impl HealthTracker {
    /// Records the outcome of a call to `name`, which is a member of `group`.
    pub fn record(
        &mut self,
        name: &EndpointName,
        outcome: Outcome,
        group: &[EndpointName],
        now: Timestamp,
    ) {
        if outcome == Outcome::Answered {
            self.record_success(name, now);
            return;
        }
        let healthy = Health { weight: 1.0, updated_at: now, ejections: 0, ejected_until: None };
        let mut health = self.endpoints.get(name).copied().unwrap_or(healthy);
        if health.is_ejected(now) {
            return;
        }
        let was_ejected = health.ejected_until.is_some();
        health.weight = health.current_weight(now) * outcome.weight_factor();
        health.updated_at = now;
        if was_ejected || health.weight < EJECTION_WEIGHT {
            self.eject(name, &mut health, group, now);
        }
        self.endpoints.insert(name.clone(), health);
    }

    fn record_success(&mut self, name: &EndpointName, now: Timestamp) {
        let Some(health) = self.endpoints.get_mut(name) else {
            return;
        };
        health.weight = (health.current_weight(now) + SUCCESS_STEP).min(1.0);
        health.updated_at = now;
        health.ejected_until = None;
        if health.weight >= 1.0 {
            self.endpoints.remove(name);
        }
    }

    fn eject(
        &self,
        name: &EndpointName,
        health: &mut Health,
        group: &[EndpointName],
        now: Timestamp,
    ) {
        health.weight = TRIAL_WEIGHT;
        let others_ejected =
            group.iter().filter(|other| *other != name && self.is_ejected(other, now));
        let ejected = others_ejected.count() + 1;
        if ejected as f64 > group.len() as f64 * EJECTED_SHARE_MAX {
            return;
        }
        let duration = EJECTION_MIN * 2_u32.saturating_pow(health.ejections.min(10));
        health.ejections += 1;
        health.ejected_until = Some(now + duration.min(EJECTION_MAX));
    }

    /// Returns whether an endpoint is ejected at `now` and so gets no calls.
    pub fn is_ejected(&self, name: &EndpointName, now: Timestamp) -> bool {
        self.endpoints.get(name).is_some_and(|health| health.is_ejected(now))
    }

    /// Returns the weight of an endpoint, from 0 for one that is ejected to 1 for a healthy one.
    pub fn weight(&self, name: &EndpointName, now: Timestamp) -> f64 {
        match self.endpoints.get(name) {
            None => 1.0,
            Some(health) if health.is_ejected(now) => 0.0,
            Some(health) if health.ejected_until.is_some() => TRIAL_WEIGHT,
            Some(health) => health.current_weight(now),
        }
    }

    /// Discards the health of an endpoint, which then counts as healthy.
    pub fn forget(&mut self, name: &EndpointName) {
        self.endpoints.remove(name);
    }
}

#[cfg(test)]
mod tests;
