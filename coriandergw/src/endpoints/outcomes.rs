//! The health of endpoints by the outcomes of their calls.
//!
//! Failures lower an endpoint's weight by degrees; below a bound it gets no calls for a while and
//! then single trials. Never more than [`EJECTED_SHARE_MAX`] of a group are out at once, so that the
//! rest is not swamped.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::EndpointName;

/// The largest share of a group's endpoints that may be out at once.
pub const EJECTED_SHARE_MAX: f64 = 0.34;

/// The weight below which an endpoint is out.
const OUT_BELOW: f64 = 0.1;

/// The weight of an endpoint that is tried again after it was out.
const TRIAL_WEIGHT: f64 = 0.15;

/// What a success adds to the weight.
const SUCCESS_STEP: f64 = 0.1;

/// The time in which a lowered weight recovers by half the distance to 1 without calls.
const RECOVERY_HALF_LIFE: Duration = Duration::from_secs(20);

/// The shortest time that an endpoint is out.
const OUT_MIN: Duration = Duration::from_secs(1);

/// The longest time that an endpoint is out.
const OUT_MAX: Duration = Duration::from_secs(30);

/// How one call went, as far as it says something about the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered in full.
    Answered,
    /// The endpoint answered with an error.
    Error,
    /// The endpoint could not be reached or the answer broke off.
    Broken,
    /// The endpoint accepted the call and produced nothing in time.
    Hung,
    /// The endpoint came back after it had been silent.
    Returned,
}

impl Outcome {
    /// Returns what the weight is multiplied by.
    fn factor(self) -> f64 {
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
    at: Timestamp,
    outs: u32,
    out_until: Option<Timestamp>,
}

impl Health {
    fn recovered(&self, now: Timestamp) -> f64 {
        let half_lives = now.since(self.at).as_secs_f64() / RECOVERY_HALF_LIFE.as_secs_f64();
        1.0 - (1.0 - self.weight) * 0.5_f64.powf(half_lives)
    }

    fn is_ejected(&self, now: Timestamp) -> bool {
        self.out_until.is_some_and(|until| now < until)
    }
}

/// Keeps the health of the endpoints that have failed lately.
#[derive(Debug, Default)]
pub struct HealthTracker {
    endpoints: HashMap<EndpointName, Health>,
}

impl HealthTracker {
    /// Records how a call of a member of `group` went.
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
        let fresh = Health { weight: 1.0, at: now, outs: 0, out_until: None };
        let mut health = self.endpoints.get(name).copied().unwrap_or(fresh);
        if health.is_ejected(now) {
            return;
        }
        let was_out = health.out_until.is_some();
        health.weight = health.recovered(now) * outcome.factor();
        health.at = now;
        if was_out || health.weight < OUT_BELOW {
            self.take_out(name, &mut health, group, now);
        }
        self.endpoints.insert(name.clone(), health);
    }

    fn record_success(&mut self, name: &EndpointName, now: Timestamp) {
        let Some(health) = self.endpoints.get_mut(name) else {
            return;
        };
        health.weight = (health.recovered(now) + SUCCESS_STEP).min(1.0);
        health.at = now;
        health.out_until = None;
        if health.weight >= 1.0 {
            self.endpoints.remove(name);
        }
    }

    fn take_out(
        &self,
        name: &EndpointName,
        health: &mut Health,
        group: &[EndpointName],
        now: Timestamp,
    ) {
        health.weight = TRIAL_WEIGHT;
        let others_out = group.iter().filter(|other| *other != name && self.is_ejected(other, now));
        let out = others_out.count() + 1;
        if out as f64 > group.len() as f64 * EJECTED_SHARE_MAX {
            return;
        }
        let time = OUT_MIN * 2_u32.saturating_pow(health.outs.min(10));
        health.outs += 1;
        health.out_until = Some(now + time.min(OUT_MAX));
    }

    /// Returns whether an endpoint gets no calls at `now`.
    pub fn is_ejected(&self, name: &EndpointName, now: Timestamp) -> bool {
        self.endpoints.get(name).is_some_and(|health| health.is_ejected(now))
    }

    /// Returns the weight of an endpoint, from 0 for one that is out to 1 for a healthy one.
    pub fn weight(&self, name: &EndpointName, now: Timestamp) -> f64 {
        match self.endpoints.get(name) {
            None => 1.0,
            Some(health) if health.is_ejected(now) => 0.0,
            Some(health) if health.out_until.is_some() => TRIAL_WEIGHT,
            Some(health) => health.recovered(now),
        }
    }

    /// Forgets an endpoint.
    pub fn forget(&mut self, name: &EndpointName) {
        self.endpoints.remove(name);
    }
}

#[cfg(test)]
mod tests;
