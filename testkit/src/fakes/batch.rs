//! Continuous batching: which sequences an engine works on and how long a step takes.

use std::time::Duration;

/// The speed and width of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BatchLimits {
    /// The sequences that are worked on at once.
    pub max_batch: usize,
    /// The prompt tokens that one step may compute.
    pub prefill_chunk: u64,
    /// The prompt tokens computed a second.
    pub prefill_tokens_per_second: f64,
    /// The time of a step in which each running sequence generates one token.
    pub decode_step: Duration,
}

impl Default for BatchLimits {
    fn default() -> Self {
        Self {
            max_batch: 16,
            prefill_chunk: 512,
            prefill_tokens_per_second: 8_000.0,
            decode_step: Duration::from_millis(25),
        }
    }
}

/// A sequence to work on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sequence {
    /// The identifier, unique at the engine.
    pub id: u64,
    /// The priority; 0 is the most urgent.
    pub priority: u64,
    /// The prompt tokens still to compute.
    pub prefill_left: u64,
    /// The tokens still to generate.
    pub decode_left: u64,
}

/// What one step did.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Step {
    /// How long the step took.
    pub duration: Duration,
    /// The sequences that generated one token each.
    pub generated: Vec<u64>,
    /// The sequences that generated their last token.
    pub finished: Vec<u64>,
}

/// The sequences of one engine.
#[derive(Debug, Default)]
pub struct Batch {
    limits: BatchLimits,
    waiting: Vec<Sequence>,
    running: Vec<Sequence>,
}

impl Batch {
    /// Creates an empty batch.
    pub fn new(limits: BatchLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Adds a sequence to those that wait.
    pub fn push(&mut self, sequence: Sequence) {
        self.waiting.push(sequence);
    }

    /// Removes a sequence, running or waiting. Returns whether it was there.
    pub fn cancel(&mut self, id: u64) -> bool {
        let before = self.waiting.len() + self.running.len();
        self.waiting.retain(|sequence| sequence.id != id);
        self.running.retain(|sequence| sequence.id != id);
        before > self.waiting.len() + self.running.len()
    }

    /// Returns how many sequences run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns how many sequences wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Starts the most urgent waiting sequence while there is room; the oldest first among equals.
    pub fn admit(&mut self) -> Option<u64> {
        if self.running.len() >= self.limits.max_batch {
            return None;
        }
        let urgent = |(_, s): &(usize, &Sequence)| (s.priority, s.id);
        let (index, _) = self.waiting.iter().enumerate().min_by_key(urgent)?;
        let sequence = self.waiting.remove(index);
        let id = sequence.id;
        self.running.push(sequence);
        Some(id)
    }

    /// Sets the prompt tokens that a running sequence has to compute.
    pub fn set_prefill(&mut self, id: u64, tokens: u64) {
        if let Some(sequence) = self.running.iter_mut().find(|sequence| sequence.id == id) {
            sequence.prefill_left = tokens;
        }
    }

    /// Works on the running sequences for one step; nothing if none runs.
    pub fn step(&mut self) -> Option<Step> {
        if self.running.is_empty() {
            return None;
        }
        let mut chunk_left = self.limits.prefill_chunk;
        let mut step = Step::default();
        for sequence in &mut self.running {
            let computed = sequence.prefill_left.min(chunk_left);
            sequence.prefill_left -= computed;
            chunk_left -= computed;
            if sequence.prefill_left > 0 {
                continue;
            }
            sequence.decode_left = sequence.decode_left.saturating_sub(1);
            step.generated.push(sequence.id);
            if sequence.decode_left == 0 {
                step.finished.push(sequence.id);
            }
        }
        self.running.retain(|sequence| !step.finished.contains(&sequence.id));
        let prefilled = (self.limits.prefill_chunk - chunk_left) as f64;
        let prefill = Duration::from_secs_f64(prefilled / self.limits.prefill_tokens_per_second);
        step.duration = self.limits.decode_step + prefill;
        Some(step)
    }
}
