//! The order of calls of one class and owner, as a point in time that does not change while waiting.

use std::time::Duration;

use crate::catalogue::Class;
use crate::clock::Timestamp;
use crate::ids::OwnerName;

/// Engine priorities that each class spans; a lower priority is more urgent.
const PRIORITIES_PER_CLASS: u32 = 16;

/// Sets how much attained service, newness and deadlines shift a call's place in the order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueSettings {
    /// How far a token of attained service puts a call back.
    pub delay_per_token: Duration,
    /// How far attained service puts a call back at most; bounds how long a call can be overtaken.
    pub attained_delay_max: Duration,
    /// How far the first call of a program is put back.
    pub new_program_delay: Duration,
    /// How far a deadline moves a call ahead at most.
    pub deadline_lead_max: Duration,
    /// Whether all calls go in the order of their arrival.
    pub first_come_first_served: bool,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            delay_per_token: Duration::from_micros(500),
            attained_delay_max: Duration::from_secs(20),
            new_program_delay: Duration::from_secs(2),
            deadline_lead_max: Duration::from_secs(10),
            first_come_first_served: false,
        }
    }
}

/// What the queue knows of a waiting call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedCall {
    /// Identifies the call within the queue.
    pub ticket: u64,
    /// The class of its entry.
    pub class: Class,
    /// The owner of its entry.
    pub owner: OwnerName,
    /// Whether its program has had an earlier call served.
    pub under_way: bool,
    /// The tokens that the whole tree of programs was served so far.
    pub attained_tokens: u64,
    /// When the caller wants the whole program done.
    pub deadline: Option<Timestamp>,
    /// When the call arrived.
    pub arrived: Timestamp,
    /// How long the call is expected to occupy an endpoint.
    pub service: Duration,
}

/// Returns a call's place in the order of its owner's calls; the lowest goes first.
///
/// The place is the arrival put back by a bounded delay. A call therefore goes before all that
/// arrive later than that bound, which is what keeps it from starving.
pub fn urgency(call: &QueuedCall, settings: &QueueSettings) -> Timestamp {
    if settings.first_come_first_served {
        return call.arrived;
    }
    let tokens = u32::try_from(call.attained_tokens).unwrap_or(u32::MAX);
    let attained = settings.delay_per_token.saturating_mul(tokens).min(settings.attained_delay_max);
    let newness = if call.under_way { Duration::ZERO } else { settings.new_program_delay };
    let place = call.arrived + attained + newness;
    let Some(deadline) = call.deadline.filter(|deadline| *deadline > call.arrived) else {
        return place;
    };
    let latest_start = Timestamp(deadline.0.saturating_sub(micros(call.service * 2)));
    let earliest = Timestamp(call.arrived.0.saturating_sub(micros(settings.deadline_lead_max)));
    place.min(latest_start.max(earliest))
}

fn micros(duration: Duration) -> u64 {
    duration.as_micros() as u64
}

/// Returns the priority that an engine is given for a call; 0 is the most urgent.
pub fn engine_priority(class: Class, attained_tokens: u64) -> u32 {
    let rank = Class::ALL.iter().position(|one| *one == class).unwrap_or(0) as u32;
    let steps = (attained_tokens / 1_000 + 1).ilog2().min(PRIORITIES_PER_CLASS - 1);
    rank * PRIORITIES_PER_CLASS + steps
}
