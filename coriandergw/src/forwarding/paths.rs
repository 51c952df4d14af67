//! Which endpoints this instance reaches directly, and which only through other instances.
//!
//! Whether an endpoint can be reached is a fact about this instance and the endpoint. A pair is lost
//! if the endpoint does not answer this instance while another instance reaches it; an endpoint that
//! nobody reaches has failed itself. If several endpoints in a row do not answer and none is heard
//! any more, this instance has lost its links altogether.
//!
//! All functions take the present time as an argument.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::EndpointName;

/// The number of endpoints that must be silent, with none heard meanwhile, before this instance
/// takes all its links for lost.
const SILENT_UNTIL_CUT_OFF: usize = 3;

/// The pause before a lost pair is tried again; doubled with each failure.
const TRIAL_PAUSE_INITIAL: Duration = Duration::from_millis(250);

/// The longest pause between two trials of a lost pair.
const TRIAL_PAUSE_MAX: Duration = Duration::from_secs(2);

/// The longest pause between two trials of any endpoint while all links are lost.
const CUT_OFF_TRIAL_PAUSE_MAX: Duration = Duration::from_secs(1);

/// The pause before the other lost pairs are tried once one has been regained.
const REGAINED_TRIAL_PAUSE: Duration = Duration::from_millis(50);

/// A pair that is lost again within this time is tried less often than before.
const FLAP_WINDOW: Duration = Duration::from_secs(5);

/// How long after a check of a pair it is not checked again.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// How an endpoint fails to accept a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It refuses the connection. Open connections may still work.
    Refused,
    /// It does not answer. Open connections are held up too.
    Silent,
}

/// The path by which an endpoint is to be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// A connection of this instance.
    Direct,
    /// A connection of another instance.
    Relayed,
}

#[derive(Debug, Clone, Copy)]
struct Loss {
    fault: Fault,
    since: Timestamp,
    trial_at: Timestamp,
}

#[derive(Debug, Clone, Copy, Default)]
struct Pair {
    loss: Option<Loss>,
    /// The pause before the next trial.
    pause: Duration,
    regained_at: Option<Timestamp>,
    checked_at: Option<Timestamp>,
    /// When the endpoint was last heard on a direct connection.
    heard_at: Option<Timestamp>,
    /// When the endpoint was last found to answer no instance.
    silent_to_all_at: Option<Timestamp>,
}

/// All links are lost.
#[derive(Debug, Clone, Copy)]
struct CutOff {
    since: Timestamp,
    trial_at: Timestamp,
    pause: Duration,
    /// Picks the endpoint of the next trial.
    trials: usize,
}

/// What a change of the paths means to this instance, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing new.
    None,
    /// The pair is lost.
    PairLost,
    /// The pair is regained.
    PairRegained,
    /// All links are lost.
    CutOff,
    /// Links work again; the pairs that are lost are tried soon.
    LinksRegained,
}

/// The paths of one entry instance to the endpoints.
#[derive(Debug, Default)]
pub struct Paths {
    pairs: HashMap<EndpointName, Pair>,
    /// The endpoints found silent since any endpoint was last heard.
    silent: BTreeSet<EndpointName>,
    cut_off: Option<CutOff>,
}

impl Paths {
    /// Returns how an endpoint is to be reached.
    pub fn to(&self, endpoint: &EndpointName) -> Path {
        let is_lost = self.pairs.get(endpoint).is_some_and(|pair| pair.loss.is_some());
        if is_lost || self.cut_off.is_some() { Path::Relayed } else { Path::Direct }
    }

    /// Returns whether all links to endpoints are lost.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off.is_some()
    }

    /// Returns whether so many pairs are lost that this instance is of no use as a relay. `known` is
    /// the number of endpoints.
    pub fn has_lost_most(&self, known: usize) -> bool {
        self.is_cut_off() || self.lost().count() * 2 > known
    }

    /// Returns since when open connections to an endpoint are held up.
    pub fn held_up_since(&self, endpoint: &EndpointName) -> Option<Timestamp> {
        let loss = self.pairs.get(endpoint).and_then(|pair| pair.loss);
        let silent = loss.filter(|loss| loss.fault == Fault::Silent).map(|loss| loss.since);
        silent.or(self.cut_off.map(|cut_off| cut_off.since))
    }

    /// Returns whether the endpoint was heard on a direct connection after `since`.
    pub fn has_heard(&self, endpoint: &EndpointName, since: Timestamp) -> bool {
        let heard_at = self.pairs.get(endpoint).and_then(|pair| pair.heard_at);
        heard_at.is_some_and(|heard_at| heard_at > since)
    }

    /// Records that the endpoint answered on an open direct connection. That says nothing of new
    /// connections.
    pub fn note_heard(&mut self, endpoint: &EndpointName, now: Timestamp) -> Change {
        self.pair(endpoint).heard_at = Some(now);
        self.silent.clear();
        if self.cut_off.take().is_none() {
            return Change::None;
        }
        self.try_all_soon(now);
        Change::LinksRegained
    }

    /// Records that the endpoint accepted a direct connection.
    pub fn note_connected(&mut self, endpoint: &EndpointName, now: Timestamp) -> Change {
        let change = self.note_heard(endpoint, now);
        let pair = self.pair(endpoint);
        if pair.loss.take().is_none() {
            return change;
        }
        pair.regained_at = Some(now);
        self.try_all_soon(now);
        if change == Change::None { Change::PairRegained } else { change }
    }

    /// Records that the endpoint does not accept connections of this instance, and does accept those
    /// of another one. `known` is the number of endpoints.
    pub fn note_lost(
        &mut self,
        endpoint: &EndpointName,
        fault: Fault,
        known: usize,
        now: Timestamp,
    ) -> Change {
        let pair = self.pair(endpoint);
        let is_new = pair.loss.is_none();
        if is_new {
            let flaps = pair.regained_at.is_some_and(|at| now.since(at) < FLAP_WINDOW);
            pair.pause = match flaps {
                true => (pair.pause * 2).min(TRIAL_PAUSE_MAX),
                false => TRIAL_PAUSE_INITIAL,
            };
            let trial_at = now + pair.pause;
            pair.loss = Some(Loss { fault, since: now, trial_at });
        }
        if fault == Fault::Silent && self.note_silent(endpoint, known, now) == Change::CutOff {
            return Change::CutOff;
        }
        if is_new { Change::PairLost } else { Change::None }
    }

    /// Records that the endpoint does not answer this instance, while no other instance says whether
    /// it reaches it. `known` is the number of endpoints.
    pub fn note_silent(&mut self, endpoint: &EndpointName, known: usize, now: Timestamp) -> Change {
        self.silent.insert(endpoint.clone());
        let needed = SILENT_UNTIL_CUT_OFF.min(known).max(1);
        if self.cut_off.is_some() || self.silent.len() < needed {
            return Change::None;
        }
        let pause = TRIAL_PAUSE_INITIAL;
        self.cut_off = Some(CutOff { since: now, trial_at: now + pause, pause, trials: 0 });
        Change::CutOff
    }

    /// Returns whether a pair may be checked now, and marks it as checked.
    pub fn start_check(&mut self, endpoint: &EndpointName, now: Timestamp) -> bool {
        let pair = self.pair(endpoint);
        let is_due = pair.checked_at.is_none_or(|at| now.since(at) >= CHECK_INTERVAL);
        if is_due {
            pair.checked_at = Some(now);
        }
        is_due
    }

    /// Records that the endpoint answers neither this instance nor another one, as far as any could be
    /// asked.
    pub fn note_silent_to_all(&mut self, endpoint: &EndpointName, now: Timestamp) {
        self.pair(endpoint).silent_to_all_at = Some(now);
    }

    /// Returns whether the endpoint was found to answer no instance and was not heard since.
    pub fn is_silent_to_all(&self, endpoint: &EndpointName) -> bool {
        let pair = self.pairs.get(endpoint).copied().unwrap_or_default();
        pair.silent_to_all_at.is_some_and(|at| pair.heard_at.is_none_or(|heard| heard < at))
    }

    /// Returns when the next trial of a direct connection is due; `None` if no path is lost.
    pub fn next_trial_at(&self) -> Option<Timestamp> {
        match self.cut_off {
            Some(cut_off) => Some(cut_off.trial_at),
            None => self.lost().map(|(_, loss)| loss.trial_at).min(),
        }
    }

    /// Returns the endpoints to try now, of all that are `known`, and schedules their next trials.
    pub fn take_trials(&mut self, known: &[EndpointName], now: Timestamp) -> Vec<EndpointName> {
        if let Some(cut_off) = &mut self.cut_off {
            if now < cut_off.trial_at {
                return Vec::new();
            }
            cut_off.pause = (cut_off.pause * 2).min(CUT_OFF_TRIAL_PAUSE_MAX);
            cut_off.trial_at = now + cut_off.pause;
            cut_off.trials += 1;
            let chosen = known.get(cut_off.trials % known.len().max(1));
            return chosen.cloned().into_iter().collect();
        }
        let mut due = Vec::new();
        for (endpoint, pair) in &mut self.pairs {
            let Some(loss) = pair.loss.as_mut().filter(|loss| now >= loss.trial_at) else {
                continue;
            };
            pair.pause = (pair.pause * 2).min(TRIAL_PAUSE_MAX);
            loss.trial_at = now + pair.pause;
            due.push(endpoint.clone());
        }
        due
    }

    /// Forgets endpoints for which `is_known` does not hold.
    pub fn retain<F>(&mut self, is_known: F)
    where
        F: Fn(&EndpointName) -> bool,
    {
        self.pairs.retain(|endpoint, _| is_known(endpoint));
        self.silent.retain(|endpoint| is_known(endpoint));
    }

    fn pair(&mut self, endpoint: &EndpointName) -> &mut Pair {
        if !self.pairs.contains_key(endpoint) {
            self.pairs.insert(endpoint.clone(), Pair::default());
        }
        self.pairs.get_mut(endpoint).expect("inserted above")
    }

    fn lost(&self) -> impl Iterator<Item = (&EndpointName, Loss)> {
        self.pairs.iter().filter_map(|(endpoint, pair)| Some((endpoint, pair.loss?)))
    }

    /// What regains one pair has likely regained others.
    fn try_all_soon(&mut self, now: Timestamp) {
        for loss in self.pairs.values_mut().filter_map(|pair| pair.loss.as_mut()) {
            loss.trial_at = loss.trial_at.min(now + REGAINED_TRIAL_PAUSE);
        }
    }
}

#[cfg(test)]
mod tests;
