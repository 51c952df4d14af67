//! The faults of a soak, drawn from its seed.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::proxy::Faults;

/// The shortest and the longest time that a fault lasts, in milliseconds.
const LASTS_MS: (u64, u64) = (200, 4_000);

/// The shortest and the longest time between the starts of two faults, in milliseconds; shorter than
/// most faults last, so that faults overlap.
const GAP_MS: (u64, u64) = (300, 2_500);

/// What happens to an instance.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// The process is killed and starts again when the fault ends.
    Kill,
    /// The process is asked to stop, and starts again once it has ended.
    Restart,
    /// The process stands still.
    Freeze,
    /// The links between the instance and all others have these faults.
    Links(Faults),
    /// What the instance sends to all others has these faults.
    SentLinks(Faults),
    /// The connections of its callers have these faults.
    Callers(Faults),
    /// All connections of its callers are closed at once.
    CloseCallers,
}

/// A fault with its time.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// When it starts, counted from the start of the soak.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// The index of the instance that it strikes.
    pub instance: usize,
    /// What happens.
    pub fault: Fault,
}

/// Draws the faults of a soak.
///
/// Only one of the first `stores` instances, which keep the data, has a fault at a time, so that the
/// others keep a majority; other instances may have theirs at the same time.
pub fn draw(seed: u64, length: Duration, instances: usize, stores: usize) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut free_at = vec![Duration::ZERO; instances];
    let mut store_free_at = Duration::ZERO;
    let mut at = Duration::from_millis(rng.random_range(GAP_MS.0..=GAP_MS.1));
    while at < length {
        let instance = rng.random_range(0..instances);
        let lasts = Duration::from_millis(rng.random_range(LASTS_MS.0..=LASTS_MS.1));
        let fault = draw_fault(&mut rng);
        let is_store = instance < stores;
        let is_free = at >= free_at[instance] && (!is_store || at >= store_free_at);
        if is_free {
            // An instance that starts again needs some time to catch up.
            let end = at + lasts + Duration::from_millis(LASTS_MS.1);
            free_at[instance] = end;
            if is_store {
                store_free_at = end;
            }
            steps.push(Step { at, lasts, instance, fault });
        }
        at += Duration::from_millis(rng.random_range(GAP_MS.0..=GAP_MS.1));
    }
    steps
}

fn draw_fault(rng: &mut ChaCha8Rng) -> Fault {
    let slow = Faults { delay_ms: rng.random_range(20..300), jitter_ms: 100, ..Faults::default() };
    let lossy = Faults { loss: 0.2, duplication: 0.1, ..Faults::default() };
    let cut = Faults { cut_after_bytes: Some(rng.random_range(1..2_000)), ..Faults::default() };
    match rng.random_range(0..9) {
        0 | 1 => Fault::Kill,
        2 => Fault::Restart,
        3 => Fault::Freeze,
        4 => Fault::Links(if rng.random_bool(0.5) { Faults::blocked() } else { lossy }),
        5 => Fault::SentLinks(if rng.random_bool(0.5) { Faults::blocked() } else { slow }),
        6 => Fault::Callers(if rng.random_bool(0.5) { slow } else { cut }),
        7 => Fault::Callers(Faults::blocked()),
        _ => Fault::CloseCallers,
    }
}

#[cfg(test)]
mod tests;
