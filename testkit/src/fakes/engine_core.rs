//! What an engine does with calls, orders and time; the HTTP side is in `engine`.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use coriandergw::clock::Timestamp;
use coriandergw::dispatch::Message;
use coriandergw::dispatch::Usage;
use coriandergw::endpoints::LoadReport;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::fakes::batch::Batch;
use crate::fakes::batch::BatchLimits;
use crate::fakes::batch::Sequence;
use crate::fakes::batch::Step;
use crate::fakes::prefix_cache::CacheChange;
use crate::fakes::prefix_cache::PrefixCache;
use crate::sequence;

/// The load samples that are kept for late reports.
const LOAD_SAMPLES_MAX: usize = 4_096;

/// How an engine behaves, in its own (unscaled) time.
#[derive(Debug, Clone)]
pub struct CoreOptions {
    /// The speed and width.
    pub batch: BatchLimits,
    /// The tokens that the prefix cache holds.
    pub cache_tokens: u64,
    /// The tokens of an answer, unless the request allows fewer.
    pub answer_tokens: u64,
    /// How old a load report is when it is read.
    pub load_lag: Duration,
    /// How late a cache event shows.
    pub event_delay: Duration,
    /// The share of cache events that are lost, from 0 to 1.
    pub event_loss: f64,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// The seed of the losses.
    pub seed: u64,
}

impl Default for CoreOptions {
    fn default() -> Self {
        Self {
            batch: BatchLimits::default(),
            cache_tokens: 1_000_000,
            answer_tokens: 16,
            load_lag: Duration::from_millis(100),
            event_delay: Duration::from_millis(200),
            event_loss: 0.0,
            checks_fencing: true,
            seed: 1,
        }
    }
}

/// A model call as it reached the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineCall {
    /// The program.
    pub program: String,
    /// The call.
    pub call: String,
    /// The model.
    pub model: String,
    /// The prompt.
    pub messages: Vec<Message>,
    /// The most tokens to generate.
    pub max_tokens: u64,
    /// The priority; 0 is the most urgent.
    pub priority: u64,
    /// How long to keep the prefix after the answer.
    pub pin: Duration,
}

/// What became of a model call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineRecord {
    /// The call.
    pub call: EngineCall,
    /// What it used so far.
    pub usage: Usage,
    /// The prompt tokens that had been cached before and were computed again.
    pub recomputed_tokens: u64,
    /// The text so far.
    pub text: String,
    /// Whether the answer is complete.
    pub finished: bool,
    /// Whether the caller hung up.
    pub cancelled: bool,
    /// The place of its arrival in the order of all records.
    pub started_at: u64,
    /// The place of its last token in the order of all records.
    pub finished_at: Option<u64>,
}

/// What a stream is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Emitted {
    /// One token's text.
    Token(String),
    /// The answer is complete.
    Finished(Usage),
}

/// A cache event as the engine publishes it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct CacheEvent {
    /// The number of the event; a jump is a gap.
    pub sequence: u64,
    /// `stored` or `evicted`.
    pub change: &'static str,
    /// The program.
    pub program: String,
    /// How many tokens.
    pub tokens: u64,
    #[serde(skip)]
    at: Timestamp,
}

/// An order as `POST /orders` brings it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// The fencing number.
    pub fencing: u64,
    /// What is wanted.
    #[serde(flatten)]
    pub wanted: Wanted,
}

/// The end state that an order wants.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum Wanted {
    /// A version of a model is served.
    LoadModel {
        /// The model.
        model: String,
        /// The version.
        version: String,
    },
    /// A version of a model is not served.
    UnloadModel {
        /// The model.
        model: String,
        /// The version.
        version: String,
    },
    /// The engine has this role.
    SetRole {
        /// `prefill`, `decode` or `both`.
        role: String,
    },
    /// Nothing is held for this program.
    Release {
        /// The program.
        program: String,
    },
}

/// A model that an engine serves or loads.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct ModelState {
    /// The model.
    pub model: String,
    /// The version.
    pub version: String,
    /// Whether the weights are still on their way.
    pub loading: bool,
}

/// Sums over all calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Totals {
    /// Calls that were answered in full.
    pub finished: u64,
    /// Calls whose caller hung up.
    pub cancelled: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Prompt tokens that had been cached before and were computed again.
    pub recomputed_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
}

/// The state of an engine.
pub struct EngineCore {
    options: CoreOptions,
    batch: Batch,
    cache: PrefixCache,
    rng: ChaCha8Rng,
    current: Option<(Timestamp, Step)>,
    sinks: HashMap<u64, mpsc::UnboundedSender<Emitted>>,
    records: Vec<EngineRecord>,
    events: Vec<CacheEvent>,
    event_sequence: u64,
    load: Vec<(Timestamp, LoadReport)>,
    /// The highest fencing number seen.
    pub fencing: u64,
    /// The models, by name and version.
    pub models: BTreeMap<(String, String), ModelState>,
    /// The role.
    pub role: String,
    /// The orders that were applied, oldest first.
    pub orders: Vec<Order>,
}

impl EngineCore {
    /// Creates an idle engine that serves version 1 of `models`.
    pub fn new(options: CoreOptions, models: &[String]) -> Self {
        let state = |model: &String| {
            let version = "1".to_owned();
            let state =
                ModelState { model: model.clone(), version: version.clone(), loading: false };
            ((model.clone(), version), state)
        };
        Self {
            batch: Batch::new(options.batch),
            cache: PrefixCache::new(options.cache_tokens),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            options,
            current: None,
            sinks: HashMap::new(),
            records: Vec::new(),
            events: Vec::new(),
            event_sequence: 0,
            load: Vec::new(),
            fencing: 0,
            models: models.iter().map(state).collect(),
            role: "both".to_owned(),
            orders: Vec::new(),
        }
    }

    /// Returns whether the engine serves a model.
    pub fn serves(&self, model: &str) -> bool {
        self.models.values().any(|state| state.model == model && !state.loading)
    }

    /// Takes a call. Returns its number and what it will be told.
    pub fn submit(
        &mut self,
        call: EngineCall,
        now: Timestamp,
    ) -> (u64, mpsc::UnboundedReceiver<Emitted>) {
        let id = self.records.len() as u64;
        let (tx, rx) = mpsc::unbounded_channel();
        let decode_left = call.max_tokens.min(self.options.answer_tokens).max(1);
        let priority = call.priority;
        self.batch.push(Sequence { id, priority, prefill_left: 0, decode_left });
        self.sinks.insert(id, tx);
        self.records.push(EngineRecord {
            call,
            usage: Usage::default(),
            recomputed_tokens: 0,
            text: String::new(),
            finished: false,
            cancelled: false,
            started_at: sequence::next(),
            finished_at: None,
        });
        self.sample_load(now);
        (id, rx)
    }

    /// Stops work on a call whose caller hung up.
    pub fn cancel(&mut self, id: u64, now: Timestamp) {
        if self.sinks.remove(&id).is_some() {
            self.batch.cancel(id);
            self.records[id as usize].cancelled = true;
            self.sample_load(now);
        }
    }

    /// Works up to `now` and returns when there is more to do; nothing if the engine is idle.
    pub fn advance(&mut self, now: Timestamp) -> Option<Timestamp> {
        let mut start = now;
        while let Some((ends, step)) = self.current.take() {
            if ends > now {
                self.current = Some((ends, step));
                return Some(ends);
            }
            self.deliver(&step, ends);
            start = ends;
            self.begin(start);
        }
        self.begin(start);
        self.current.as_ref().map(|(ends, _)| *ends)
    }

    fn begin(&mut self, now: Timestamp) {
        while let Some(id) = self.batch.admit() {
            let record = &mut self.records[id as usize];
            let lookup = self.cache.find(&record.call.program, &record.call.messages);
            record.usage.prompt_tokens = lookup.prompt_tokens;
            record.usage.cached_tokens = lookup.cached_tokens;
            record.recomputed_tokens = lookup.recomputed_tokens;
            self.batch.set_prefill(id, lookup.prompt_tokens - lookup.cached_tokens);
        }
        if let Some(step) = self.batch.step() {
            self.current = Some((now + step.duration, step));
        }
    }

    fn deliver(&mut self, step: &Step, now: Timestamp) {
        for id in &step.generated {
            let Some(sink) = self.sinks.get(id) else {
                continue;
            };
            let record = &mut self.records[*id as usize];
            let token = token_text(&record.call, record.usage.completion_tokens);
            record.usage.completion_tokens += 1;
            record.text.push_str(&token);
            let _ = sink.send(Emitted::Token(token));
        }
        for id in &step.finished {
            self.finish(*id, now);
        }
        self.sample_load(now);
    }

    fn finish(&mut self, id: u64, now: Timestamp) {
        let Some(sink) = self.sinks.remove(&id) else {
            return;
        };
        let record = &mut self.records[id as usize];
        record.finished = true;
        record.finished_at = Some(sequence::next());
        let answer = Message { role: "assistant".into(), content: record.text.as_str().into() };
        let mut messages = record.call.messages.clone();
        messages.push(answer);
        let (program, pin, usage) = (record.call.program.clone(), record.call.pin, record.usage);
        if !pin.is_zero() {
            self.cache.pin(&program, now + pin);
        }
        let changes = self.cache.store(&program, &messages, now);
        self.publish(changes, now);
        let _ = sink.send(Emitted::Finished(usage));
    }

    fn publish(&mut self, changes: Vec<CacheChange>, now: Timestamp) {
        for change in changes {
            self.event_sequence += 1;
            if self.rng.random_bool(self.options.event_loss) {
                continue;
            }
            self.events.push(CacheEvent {
                sequence: self.event_sequence,
                change: if change.stored { "stored" } else { "evicted" },
                program: change.program,
                tokens: change.tokens,
                at: now,
            });
        }
    }

    /// Returns the cache events after `since` that show by now.
    pub fn cache_events(&self, since: u64, now: Timestamp) -> Vec<CacheEvent> {
        let shows = |event: &&CacheEvent| {
            event.sequence > since && event.at + self.options.event_delay <= now
        };
        self.events.iter().filter(shows).cloned().collect()
    }

    fn sample_load(&mut self, now: Timestamp) {
        if self.load.len() >= LOAD_SAMPLES_MAX {
            self.load.drain(..LOAD_SAMPLES_MAX / 2);
        }
        let report = LoadReport {
            running: self.batch.running() as u32,
            waiting: self.batch.waiting() as u32,
            age_ms: 0,
            cached_tokens: self.cache.held_tokens(),
        };
        self.load.push((now, report));
    }

    /// Returns the load as it was one lag ago.
    pub fn load_report(&self, now: Timestamp) -> LoadReport {
        let lag = self.options.load_lag;
        let old = self.load.iter().rev().find(|(at, _)| *at + lag <= now);
        let report = old.map(|(_, report)| *report).unwrap_or_default();
        LoadReport { age_ms: lag.as_millis() as u64, ..report }
    }

    /// Applies an order. Returns whether its fencing number was accepted.
    pub fn apply(&mut self, order: Order, now: Timestamp) -> bool {
        if self.options.checks_fencing && order.fencing < self.fencing {
            return false;
        }
        self.fencing = self.fencing.max(order.fencing);
        match &order.wanted {
            Wanted::LoadModel { model, version } => {
                let key = (model.clone(), version.clone());
                let (model, version) = key.clone();
                self.models.entry(key).or_insert(ModelState { model, version, loading: true });
            }
            Wanted::UnloadModel { model, version } => {
                self.models.remove(&(model.clone(), version.clone()));
            }
            Wanted::SetRole { role } => self.role = role.clone(),
            Wanted::Release { program } => {
                let changes = self.cache.release(program).into_iter().collect();
                self.publish(changes, now);
            }
        }
        self.orders.push(order);
        true
    }

    /// Marks the weights of a model as arrived.
    pub fn loaded(&mut self, model: &str, version: &str) {
        if let Some(state) = self.models.get_mut(&(model.to_owned(), version.to_owned())) {
            state.loading = false;
        }
    }

    /// Returns the tokens held for each program.
    pub fn held(&self) -> BTreeMap<String, u64> {
        self.cache.held()
    }

    /// Returns what became of all calls.
    pub fn records(&self) -> &[EngineRecord] {
        &self.records
    }

    /// Returns the sums over all calls.
    pub fn totals(&self) -> Totals {
        let mut totals = Totals::default();
        for record in &self.records {
            totals.finished += u64::from(record.finished);
            totals.cancelled += u64::from(record.cancelled);
            totals.prompt_tokens += record.usage.prompt_tokens;
            totals.cached_tokens += record.usage.cached_tokens;
            totals.recomputed_tokens += record.recomputed_tokens;
            totals.completion_tokens += record.usage.completion_tokens;
        }
        totals
    }
}

/// The text of a token: the first names the call, so that an audit can tell whose answer it is.
fn token_text(call: &EngineCall, index: u64) -> String {
    match index {
        0 => format!("{}/{} ", call.program, call.call),
        _ => format!("w{index} "),
    }
}
