//! The order of the calls of one owner in a class, as a timestamp that stays fixed while a call
//! waits.

use std::time::Duration;

use crate::catalogue::Class;
use crate::clock::Timestamp;
use crate::ids::OwnerName;

/// The number of engine priorities per class; a lower priority is more urgent.
const PRIORITIES_PER_CLASS: u32 = 16;

/// How much attained service, new programs and deadlines shift the position of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueSettings {
    /// The delay of a call per token of attained service.
    pub delay_per_token: Duration,
    /// The maximum delay by attained service; limits how long later calls can overtake a call.
    pub attained_delay_max: Duration,
    /// The delay of the first call of a program.
    pub new_program_delay: Duration,
    /// The maximum time by which a deadline moves a call ahead.
    pub deadline_lead_max: Duration,
    /// Whether the calls of an owner are served in the order of their arrival, with all classes
    /// treated as one. Owners still share service evenly.
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

/// A waiting call, with what determines its position in the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedCall {
    /// The identifier of the call within the queue; breaks ties between equal urgencies.
    pub ticket: u64,
    /// The class of the call's entry.
    pub class: Class,
    /// The owner of the call's entry.
    pub owner: OwnerName,
    /// Whether an earlier call of the program has been served.
    pub under_way: bool,
    /// The number of tokens served so far to the program's whole tree.
    pub attained_tokens: u64,
    /// When the caller wants the whole program to be finished.
    pub deadline: Option<Timestamp>,
    /// When the call arrived.
    pub arrived: Timestamp,
    /// How long the call is expected to occupy an endpoint.
    pub service: Duration,
}

/// Returns the position of a call among the calls of its owner; the lowest is served first.
///
/// The position is the arrival time, moved back by attained service and for a new program, and
/// moved ahead by a deadline, each by a bounded time. A call is therefore served before all calls of
/// its owner that arrive later by more than the sum of these bounds, which prevents starvation.
pub fn urgency(call: &QueuedCall, settings: &QueueSettings) -> Timestamp {
    if settings.first_come_first_served {
        return call.arrived;
    }
    let tokens = u32::try_from(call.attained_tokens).unwrap_or(u32::MAX);
    let attained = settings.delay_per_token.saturating_mul(tokens).min(settings.attained_delay_max);
    let new_program = if call.under_way { Duration::ZERO } else { settings.new_program_delay };
    let position = call.arrived + attained + new_program;
    let Some(deadline) = call.deadline.filter(|deadline| *deadline > call.arrived) else {
        return position;
    };
    let latest_start = Timestamp(deadline.0.saturating_sub(micros(call.service * 2)));
    let earliest = Timestamp(call.arrived.0.saturating_sub(micros(settings.deadline_lead_max)));
    position.min(latest_start.max(earliest))
}

fn micros(duration: Duration) -> u64 {
    duration.as_micros() as u64
}

/// Returns the priority of a call that is sent to an engine; 0 is the most urgent.
pub fn engine_priority(class: Class, attained_tokens: u64) -> u32 {
    let rank = Class::ALL.iter().position(|one| *one == class).unwrap_or(0) as u32;
    let steps = (attained_tokens / 1_000 + 1).ilog2().min(PRIORITIES_PER_CLASS - 1);
    rank * PRIORITIES_PER_CLASS + steps
}
