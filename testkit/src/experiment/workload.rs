//! Seeded programs of the two deployments.

use std::time::Duration;

use coriandergw::catalogue::Class;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::experiment::Options;
use crate::fakes::batch::BatchLimits;

/// The catalogue entries that programs are spread over, after a Zipf law.
const ENTRIES: usize = 12;

/// Whose load is imitated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// Drafting before a closing time.
    Association,
    /// Calls from the poolside over long evening chats.
    Consortium,
    /// Programs that send many calls at once on one history, more than its engine works on at once.
    HotPrefix,
}

impl Deployment {
    /// Returns the deployment of a name.
    pub fn find(name: &str) -> Option<Self> {
        let all = [Self::Association, Self::Consortium, Self::HotPrefix];
        all.into_iter().find(|one| one.name() == name)
    }

    /// Returns the name.
    pub fn name(self) -> &'static str {
        match self {
            Deployment::Association => "association",
            Deployment::Consortium => "consortium",
            Deployment::HotPrefix => "hot_prefix",
        }
    }

    /// Returns the number of model engines.
    pub fn engines(self) -> usize {
        match self {
            Deployment::Association => 12,
            Deployment::Consortium => 9,
            Deployment::HotPrefix => 12,
        }
    }

    /// Returns the number of plain services.
    pub fn services(self) -> usize {
        match self {
            Deployment::Association => 7,
            Deployment::Consortium => 4,
            Deployment::HotPrefix => 2,
        }
    }
}

/// One step of a program.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// A model call.
    Model {
        /// Tokens of its input.
        input_tokens: u64,
        /// Tokens of its answer.
        answer_tokens: u64,
    },
    /// Model calls at once, all on the same history; the first answer goes on.
    Fan {
        /// How many calls.
        calls: u64,
        /// Tokens of the input of each.
        input_tokens: u64,
        /// Tokens of the answer of each.
        answer_tokens: u64,
    },
    /// A call of a plain service.
    Service,
    /// The caller does something else.
    Pause(Duration),
}

/// A program as it will be run; times are the engines' own.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedProgram {
    /// Its number.
    pub number: usize,
    /// When it starts.
    pub start: Duration,
    /// Its class.
    pub class: Class,
    /// The number of its entry.
    pub entry: usize,
    /// Its steps.
    pub steps: Vec<Step>,
}

/// Returns the batch limits of all engines.
pub fn limits() -> BatchLimits {
    BatchLimits {
        max_batch: 8,
        prefill_chunk: 512,
        prefill_tokens_per_second: 4_000.0,
        decode_step: Duration::from_millis(40),
    }
}

/// Returns the engine seconds that a program takes if all its prefixes are cached.
fn demand(program: &PlannedProgram) -> f64 {
    let limits = limits();
    let per_token = limits.decode_step.as_secs_f64() / limits.max_batch as f64;
    let of_call = |input_tokens: u64, answer_tokens: u64| {
        input_tokens as f64 / limits.prefill_tokens_per_second + answer_tokens as f64 * per_token
    };
    let of_step = |step: &Step| match step {
        Step::Model { input_tokens, answer_tokens } => of_call(*input_tokens, *answer_tokens),
        Step::Fan { calls, input_tokens, answer_tokens } => {
            *calls as f64 * of_call(*input_tokens, *answer_tokens)
        }
        _ => 0.0,
    };
    program.steps.iter().map(of_step).sum()
}

/// Returns the programs of a seed, the first to start first.
pub fn generate(options: &Options, seed: u64) -> Vec<PlannedProgram> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let offered = options.load * options.seconds * options.deployment.engines() as f64;
    let mut programs = Vec::new();
    let mut asked = 0.0;
    while asked < offered {
        let program = draw(options, programs.len(), &mut rng);
        asked += demand(&program);
        programs.push(program);
    }
    programs.sort_by_key(|program| program.start);
    programs
}

fn draw(options: &Options, number: usize, rng: &mut ChaCha8Rng) -> PlannedProgram {
    let place: f64 = rng.random();
    // A rush: the arrival rate doubles from the start to the closing time.
    let place = match options.deployment {
        Deployment::Association => (1.0 + 3.0 * place).sqrt() - 1.0,
        Deployment::Consortium | Deployment::HotPrefix => place,
    };
    let class = draw_class(options.deployment, rng);
    PlannedProgram {
        number,
        start: Duration::from_secs_f64(place * options.seconds),
        class,
        entry: zipf(rng),
        steps: draw_steps(options.deployment, class, rng),
    }
}

fn draw_class(deployment: Deployment, rng: &mut ChaCha8Rng) -> Class {
    let interactive = match deployment {
        Deployment::Association | Deployment::HotPrefix => 0.2,
        Deployment::Consortium => 0.6,
    };
    match rng.random::<f64>() {
        x if x < interactive => Class::Interactive,
        x if x < 0.85 => Class::Standard,
        _ => Class::Background,
    }
}

fn zipf(rng: &mut ChaCha8Rng) -> usize {
    let total: f64 = (1..=ENTRIES).map(|rank| 1.0 / rank as f64).sum();
    let mut left = rng.random::<f64>() * total;
    for rank in 1..=ENTRIES {
        left -= 1.0 / rank as f64;
        if left <= 0.0 {
            return rank - 1;
        }
    }
    ENTRIES - 1
}

/// Draws a program that plans, works on all parts of the plan at once and sums up.
fn draw_fan(rng: &mut ChaCha8Rng) -> Vec<Step> {
    let input_tokens = rng.random_range(300..800);
    let plan = Step::Model { input_tokens, answer_tokens: rng.random_range(20..50) };
    let calls = rng.random_range(40..80);
    let fan = Step::Fan { calls, input_tokens: 60, answer_tokens: rng.random_range(20..50) };
    let sum = Step::Model { input_tokens: 400, answer_tokens: rng.random_range(20..50) };
    vec![plan, Step::Service, fan, Step::Service, sum]
}

fn draw_steps(deployment: Deployment, class: Class, rng: &mut ChaCha8Rng) -> Vec<Step> {
    if deployment == Deployment::HotPrefix {
        return draw_fan(rng);
    }
    let chats = deployment == Deployment::Consortium && class != Class::Interactive;
    let turns = match (deployment, class) {
        (Deployment::Consortium, Class::Interactive) => rng.random_range(2..=3),
        (Deployment::Consortium, _) => rng.random_range(8..=20),
        (Deployment::Association | Deployment::HotPrefix, _) => rng.random_range(3..=10),
    };
    let mut steps = Vec::new();
    for turn in 0..turns {
        if turn > 0 && chats {
            steps.push(Step::Pause(Duration::from_secs_f64(rng.random_range(0.5..2.5))));
        } else if turn > 0 {
            steps.push(Step::Service);
        }
        let first = if turn == 0 { rng.random_range(600..1_600) } else { 0 };
        steps.push(Step::Model {
            input_tokens: first + rng.random_range(60..400),
            answer_tokens: rng.random_range(10..50),
        });
    }
    steps
}
