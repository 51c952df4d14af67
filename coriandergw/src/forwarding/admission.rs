//! Decides which engines are worth a send while engines are nearly full, and which turns are refused
//! instead.
//!
//! The functions are pure: the known loads, the current time and a random seed are passed as arguments.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::forwarding::loads::Load;
use crate::ids::EndpointName;

/// The time between two completions at an engine that has not completed a turn of this instance: a
/// guess at the low end, so that unknown engines look free rather than full.
const DEFAULT_INTERVAL: Duration = Duration::from_millis(25);

/// The shortest time after which a full engine is tried again: several round trips between data
/// centres, in which a refusal reaches the other instances' views too.
const FULL_HOLD_MIN: Duration = Duration::from_millis(10);

/// The longest time for which a full engine is not tried. Shorter ones make many instances try more
/// often than an engine completes turns: with 500 ms, 24 instances and 20 completions a second, 46% of
/// the sends were refused in the simulation.
const FULL_HOLD_MAX: Duration = Duration::from_secs(2);

/// How many sets of slots an engine is assumed to take before it states that it is full: engines with 8
/// slots and a queue of 24 were measured.
const DEFAULT_CAPACITY_SLOTS: u32 = 4;

/// How long an engine that reported its load counts as known: engines complete a few turns within it.
const KNOWN_FOR: Duration = Duration::from_millis(400);

/// The least number of known engines by which the others are judged; two may be busy by chance while
/// others are free, so a quarter of the engines must be known as well.
const KNOWN_MIN: usize = 2;

/// The part of an engine's room that first turns of the most urgent priority may fill. The rest is for
/// turns of programs in progress, whose work so far would be lost.
const FIRST_TURN_SHARE: f64 = 0.8;

/// How much less of the room each further priority of first turns may fill.
const PRIORITY_STEP: f64 = 0.1;

/// The number of priorities that differ; less urgent ones are treated alike.
const PRIORITY_STEPS_MAX: u8 = 3;

/// The percentage of first turns that may use all of the room. No kind of turn may be served less than
/// a quarter as often as all together, so this is above a quarter.
const UNRESTRICTED_PERCENT: u64 = 30;

/// The most sends of a turn that engines refuse as full. Each costs a connection and traffic between
/// data centres.
const FIRST_TURN_SENDS_MAX: u32 = 2;

/// The same for turns of programs in progress.
const LATER_TURN_SENDS_MAX: u32 = 3;

/// A first turn is not queued at an engine where it waits for more than this multiple of its route's
/// target.
const FIRST_TURN_TARGETS: u32 = 3;

/// The part of the mean duration of turns that each turn needs at least. Kinds of turns differ in their
/// duration, and a short one must not be refused because of the mean.
const RUN_SHARE_MIN: f64 = 0.25;

/// The longest pause before the engines are looked at again; other instances' turns change them within
/// this time.
const PAUSE_MAX: Duration = Duration::from_millis(100);

/// The part of the remaining time that a turn may wait for room here, as a divisor.
const WAIT_DIVISOR: u32 = 4;

/// The shortest time after which a refused first turn is to come back: long enough for engines to
/// complete several turns.
const FIRST_TURN_RETRY_AFTER: Duration = Duration::from_millis(600);

/// The same for a turn of a program in progress. Three refusals end its program, so it comes back
/// sooner than first turns, but not before the load has had time to change.
const LATER_TURN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The longest such time before it is spread.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(1);

/// The span over which refused callers come back, as a multiple of the shortest time. Callers that
/// were told the same time would return at once.
const RETRY_SPREAD: f64 = 2.0;

/// An engine as this instance knows it.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// The name of the engine.
    pub id: EndpointName,
    /// Its known load.
    pub load: Load,
    /// The number of turns that it runs at once.
    pub slots: u32,
}

/// A turn that is to be sent to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turn {
    /// Whether it is certainly the first turn of its program.
    pub is_first: bool,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The time until its deadline.
    pub time_left: Duration,
    /// The route's target for the first event.
    pub target: Duration,
    /// How often engines refused it as full.
    pub refused_sends: u32,
    /// How long it has waited here for room.
    pub waited: Duration,
    /// Random for each turn.
    pub seed: u64,
}

/// Why a turn is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShedReason {
    /// The engines have no room for turns of this kind.
    NoRoom,
    /// The turn could not end before its deadline.
    TooLate,
    /// Several engines refused it.
    RefusedByEngines,
}

impl ShedReason {
    /// Returns the reason as metrics label it.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoRoom => "no room",
            Self::TooLate => "too late",
            Self::RefusedByEngines => "refused by engines",
        }
    }
}

/// What to do with a turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// These engines are worth a send.
    Send(Vec<EndpointName>),
    /// No engine is now; one may be after this time.
    Wait(Duration),
    /// The turn is refused.
    Refuse {
        /// The reason.
        reason: ShedReason,
        /// When its caller should come back.
        retry_after: Duration,
    },
}

impl Engine {
    /// Returns the time between two completions while all slots are in use.
    fn interval(&self) -> Duration {
        self.load.completion_interval.unwrap_or(DEFAULT_INTERVAL)
    }

    fn slots(&self) -> u32 {
        let reported = self.load.reported.map_or(0, |(report, _)| report.slots);
        if reported > 0 { reported } else { self.slots.max(1) }
    }

    /// Returns the number of turns that the engine takes, running and waiting.
    fn capacity(&self) -> f64 {
        f64::from(self.load.capacity.unwrap_or(self.slots() * DEFAULT_CAPACITY_SLOTS))
    }

    /// Returns the expected number of turns at the engine: those of the last report and those sent
    /// since, less what it has completed meanwhile and other instances have not used.
    fn turns(&self, now: Timestamp) -> f64 {
        let in_flight = f64::from(self.load.in_flight);
        let Some((report, at)) = self.load.reported else {
            return in_flight;
        };
        let completed = now.since(at).as_secs_f64() / self.hold(now).as_secs_f64();
        let known = f64::from(report.running + report.waiting + self.load.sent_since_report);
        in_flight.max(known - completed)
    }

    /// Returns the time after which one turn of this instance probably finds room at a full engine. Other
    /// instances take the room of most completions.
    fn hold(&self, now: Timestamp) -> Duration {
        let doublings = (self.load.competition(now) - 1.0).max(0.0);
        let interval = self.interval().max(FULL_HOLD_MIN);
        interval.mul_f64(doublings.exp2()).min(FULL_HOLD_MAX.max(interval))
    }

    /// Returns when an engine that stated that it is full is worth a send again.
    fn full_until(&self, now: Timestamp) -> Option<Timestamp> {
        let has_refused = self.load.competition_at_refusal > 0.0;
        has_refused.then(|| self.load.full_at + self.hold(now))
    }

    fn is_held(&self, now: Timestamp) -> bool {
        self.full_until(now).is_some_and(|until| now < until)
    }

    fn is_known(&self, now: Timestamp) -> bool {
        let is_recent = |at: Timestamp| now.since(at) <= KNOWN_FOR;
        self.is_held(now) || self.load.reported.is_some_and(|(_, at)| is_recent(at))
    }

    /// Returns how long a turn waits for a slot; zero if the duration of turns is not known.
    fn wait(&self, now: Timestamp) -> Duration {
        let ahead = (self.turns(now) + 1.0 - f64::from(self.slots())).max(0.0);
        self.load.completion_interval.unwrap_or_default().mul_f64(ahead)
    }

    /// Returns how long a turn takes here at least.
    fn time_needed(&self, now: Timestamp) -> Duration {
        let interval = self.load.completion_interval.unwrap_or_default();
        self.wait(now) + (interval * self.slots()).mul_f64(RUN_SHARE_MIN)
    }

    /// Returns after which time the engine probably has room for a turn.
    fn room_in(&self, now: Timestamp) -> Duration {
        let held = self.full_until(now).unwrap_or_default().since(now);
        let excess = (self.turns(now) + 1.0 - self.capacity()).max(0.0);
        held.max(self.interval().mul_f64(excess))
    }
}

impl Turn {
    /// Returns whether the turn may use all of the room.
    fn is_unrestricted(&self) -> bool {
        !self.is_first || self.seed % 100 < UNRESTRICTED_PERCENT
    }

    /// Returns the part of an engine's room that turns of this kind may fill.
    fn share(&self) -> f64 {
        let steps = f64::from(self.priority.min(PRIORITY_STEPS_MAX));
        if self.is_unrestricted() { 1.0 } else { FIRST_TURN_SHARE - PRIORITY_STEP * steps }
    }

    fn sends_max(&self) -> u32 {
        if self.is_first { FIRST_TURN_SENDS_MAX } else { LATER_TURN_SENDS_MAX }
    }

    fn has_room(&self, engine: &Engine, now: Timestamp) -> bool {
        let fits = engine.turns(now) + 1.0 <= engine.capacity() * self.share();
        let is_prompt =
            self.is_unrestricted() || engine.wait(now) <= self.target * FIRST_TURN_TARGETS;
        !engine.is_held(now) && fits && is_prompt
    }

    /// Returns how long the turn may still wait here.
    fn wait_left(&self) -> Duration {
        let limit = self.target.min(self.time_left / WAIT_DIVISOR);
        limit.saturating_sub(self.waited)
    }

    fn refuse(&self, reason: ShedReason, engines: &[Engine], now: Timestamp) -> Admission {
        let soonest = engines.iter().map(|engine| engine.room_in(now)).min().unwrap_or_default();
        let least = if self.is_first { FIRST_TURN_RETRY_AFTER } else { LATER_TURN_RETRY_AFTER };
        let base = soonest.clamp(least, RETRY_AFTER_MAX);
        // The lowest digits decide on restrictions, so the jitter comes from the others.
        let jitter = (self.seed / 100 % 1_000) as f64 / 1_000.0;
        Admission::Refuse { reason, retry_after: base.mul_f64(1.0 + RETRY_SPREAD * jitter) }
    }
}

/// Decides what to do with a turn. `engines` are all engines that may run it.
pub fn admit(turn: &Turn, engines: &[Engine], now: Timestamp) -> Admission {
    if engines.is_empty() {
        return Admission::Send(Vec::new());
    }
    if turn.refused_sends >= turn.sends_max() {
        return turn.refuse(ShedReason::RefusedByEngines, engines, now);
    }
    if engines.iter().all(|engine| engine.time_needed(now) > turn.time_left) {
        return turn.refuse(ShedReason::TooLate, engines, now);
    }
    let known = engines.iter().filter(|engine| engine.is_known(now));
    let known_min = KNOWN_MIN.max(engines.len().div_ceil(4)).min(engines.len());
    let are_nearly_full = known.clone().count() >= known_min
        && known.clone().all(|engine| !turn.has_room(engine, now));
    if are_nearly_full && !turn.is_unrestricted() {
        return turn.refuse(ShedReason::NoRoom, engines, now);
    }
    let is_worth_it =
        |engine: &&Engine| turn.has_room(engine, now) && engine.time_needed(now) <= turn.time_left;
    let worth: Vec<EndpointName> =
        engines.iter().filter(is_worth_it).map(|engine| engine.id.clone()).collect();
    if !worth.is_empty() {
        return Admission::Send(worth);
    }
    let soonest = engines.iter().map(|engine| engine.room_in(now)).min().unwrap_or_default();
    let pause = soonest.clamp(FULL_HOLD_MIN, PAUSE_MAX);
    match !turn.is_first && pause <= turn.wait_left() {
        true => Admission::Wait(pause),
        false => turn.refuse(ShedReason::NoRoom, engines, now),
    }
}

#[cfg(test)]
mod tests;
